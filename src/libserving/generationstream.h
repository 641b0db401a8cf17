#pragma once

#include "libcore/time.h"
#include "librules/ruleset.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasslift {

// Events, to be passed to GenerationStream::handle(). connection is the number from OpenAttempt or
// OpenResume; events of closed connections are ignored. mayRetry is whether the retry budget permits another
// attempt.

/// The engine accepted the request. generation is set if the response contains its id before the first token,
/// and tokens of other generations are then dropped. Otherwise the first token with index 0 determines the
/// generation.
struct AttemptStarted
{
    uint32_t connection = 0;
    std::string target;
    std::string generation = {};
};

/// The target refused the request before running any part of it, or nothing could be sent to it.
struct AttemptRefused
{
    uint32_t connection = 0;
    bool mayRetry = false;
};

/// A token arrived. index counts from 0 within the generation.
struct TokenReceived
{
    uint32_t connection = 0;
    std::string generation;
    uint64_t index = 0;
    std::string text;
};

/// The engine completed the generation, which has this many tokens.
struct EngineFinished
{
    uint32_t connection = 0;
    std::string generation;
    uint64_t tokenCount = 0;
};

/// The engine aborted the generation. It cannot be resumed.
struct EngineFailed
{
    uint32_t connection = 0;
    bool mayRetry = false;
};

/// A connection to the engine was closed or lost.
struct StreamConnectionLost
{
    uint32_t connection = 0;
    bool mayRetry = false;
};

/// The target's process was found dead. Its generations are lost.
struct StreamTargetDied
{
    std::string target;
    bool mayRetry = false;
};

/// The engine does not have the generation, or does not have it any longer.
struct ResumeRefused
{
    uint32_t connection = 0;
    bool mayRetry = false;
};

/// The caller's connection accepted this many further tokens of those delivered, with this many bytes of
/// text.
struct CallerAccepted
{
    uint64_t tokens = 0;
    uint64_t bytes = 0;
};

/// The caller closed its connection.
struct StreamCallerDisconnected
{};

/// Requests a check for stalls, at GenerationStream::nextTick(). An earlier one has no effect, so that the
/// retry budget need not be asked for it.
struct StallCheck
{
    bool mayRetry = false;
};

using StreamEvent = std::variant<AttemptStarted, AttemptRefused, TokenReceived, EngineFinished, EngineFailed,
                                 StreamConnectionLost, StreamTargetDied, ResumeRefused, CallerAccepted,
                                 StreamCallerDisconnected, StallCheck>;

// Actions, to be performed in order. connection is chosen by the stream.

/// Choose a target, send it the request and report AttemptStarted or AttemptRefused.
struct OpenAttempt
{
    uint32_t connection = 0;
};

/// Open another connection to the target after the delay and request the generation's tokens from fromIndex
/// on.
struct OpenResume
{
    uint32_t connection = 0;
    std::string target;
    std::string generation;
    /// Index of the next token to deliver.
    uint64_t fromIndex = 0;
    Duration delay{0};
};

/// Cancel the generation at the target. generation is empty if its id is not known yet; closing the
/// connection then has to suffice.
struct CancelGeneration
{
    uint32_t connection = 0;
    std::string target;
    std::string generation;
};

/// Close a connection to the engine. Its generation continues.
struct CloseConnection
{
    uint32_t connection = 0;
};

/// Send a token to the caller.
struct DeliverToken
{
    std::string generation;
    uint64_t index = 0;
    std::string text;
};

/// All tokens of the generation were delivered; tokens is their number.
struct FinishComplete
{
    uint64_t tokens = 0;
};

/// Why a response is incomplete. NotStarted: the last attempt was refused, after an earlier one may have run.
/// TooLarge: it exceeded StreamSettings::maxWholeBytes.
enum class IncompleteCause { TargetDied, EngineFailed, ResumeRefused, ConnectionLost, NotStarted, TooLarge };

/// The response ends after its first tokens. delivered: how many of them the caller was sent.
struct FinishIncomplete
{
    uint64_t delivered = 0;
    IncompleteCause cause = IncompleteCause::ConnectionLost;
};

/// The request failed, and no engine ran any part of it.
struct FailNotRun
{};

/// Stop reading from the connection, to apply backpressure to the engine.
struct PauseReading
{
    uint32_t connection = 0;
};

/// Continue reading from the connection.
struct ResumeReading
{
    uint32_t connection = 0;
};

using StreamAction = std::variant<OpenAttempt, OpenResume, CancelGeneration, CloseConnection, DeliverToken,
                                  FinishComplete, FinishIncomplete, FailNotRun, PauseReading, ResumeReading>;

struct StreamSettings
{
    Delivery delivery = Delivery::Stream;
    /// Maximum time without a token before the generation is resumed on a second connection. Doubles with
    /// consecutive stalls.
    Duration stallLimit = std::chrono::seconds{2};
    /// Maximum time to the first token of an attempt before another target is tried. 0: no limit.
    Duration firstTokenLimit{0};
    /// Maximum number of attempts after the first one.
    uint32_t maxRestarts = 2;
    /// Maximum number of consecutive failed resumes without a new token. At the next failure the attempt
    /// fails.
    uint32_t maxResumeFailures = 4;
    /// Maximum number of delivered tokens that the caller's connection has not accepted yet. Reading pauses
    /// at three quarters of the limits and continues below a half. Tokens that still arrive beyond a limit
    /// are dropped and requested from the engine again later.
    uint64_t maxBufferedTokens = 256;
    uint64_t maxBufferedBytes = uint64_t{64} * 1024;
    /// Maximum size of the response text for delivery=whole, which is buffered until it is complete.
    uint64_t maxWholeBytes = uint64_t{8} * 1024 * 1024;
};

/// Position in a generation from which a caller resumes, from its resume token.
struct StreamPosition
{
    std::string target;
    std::string generation;
    uint64_t nextIndex = 0;
};

/// Counts of the events in one stream, for metrics.
struct StreamCounters
{
    /// Tokens of other generations or from connections that are not open.
    uint64_t foreignTokens = 0;
    uint64_t duplicateTokens = 0;
    /// Tokens with an index beyond the next one.
    uint64_t gaps = 0;
    /// Tokens dropped because the caller's connection accepted too few.
    uint64_t overflowTokens = 0;
    uint64_t resumes = 0;
    uint64_t restarts = 0;
    uint64_t stalls = 0;
};

/// Streams the response of one model request from the engine to the caller, across connections and attempts.
///
/// Delivers each token of one generation exactly once and in order, or reports that the response is
/// incomplete. A lost or stalled connection is resumed at the same engine. A failed attempt is restarted with
/// a new generation only while the caller has no token of the old one. Performs no I/O: the functions return
/// the actions that the owner has to perform, in order.
class GenerationStream
{
public:
    /// Waiting: for the first token of an attempt. Streaming: tokens arrive. The others are final.
    enum class State { Waiting, Streaming, Complete, Incomplete, NotRun, Cancelled };

    /// A new request.
    explicit GenerationStream(StreamSettings settings);
    /// A caller that resumes a generation. Such a stream is never restarted.
    GenerationStream(StreamSettings settings, StreamPosition position);

    /// Opens the first connection. To be called once.
    std::vector<StreamAction> start(TimePoint now);
    /// Handles an event; ignored in a final state.
    std::vector<StreamAction> handle(const StreamEvent &event, TimePoint now);

    /// Time at which the next StallCheck is due, if any.
    std::optional<TimePoint> nextTick() const;
    State currentState() const { return this->state; }
    /// Whether the state is final.
    bool isFinished() const { return this->state != State::Waiting && this->state != State::Streaming; }
    /// Position after the last delivered token, for the resume token. The generation is empty while its id is
    /// not known.
    StreamPosition position() const;
    const StreamCounters &counters() const { return this->streamCounters; }

private:
    void on(const AttemptStarted &event, TimePoint now);
    void on(const AttemptRefused &event, TimePoint now);
    void on(const TokenReceived &event, TimePoint now);
    void on(const EngineFinished &event, TimePoint now);
    void on(const EngineFailed &event, TimePoint now);
    void on(const StreamConnectionLost &event, TimePoint now);
    void on(const StreamTargetDied &event, TimePoint now);
    void on(const ResumeRefused &event, TimePoint now);
    void on(const CallerAccepted &event, TimePoint now);
    void on(const StreamCallerDisconnected &event, TimePoint now);
    void on(const StallCheck &event, TimePoint now);

    bool isOpen(uint32_t connection) const { return this->connections.count(connection) > 0; }
    bool isOverLimit() const;
    bool mayRestart() const;
    bool adoptGeneration(const TokenReceived &event);
    void accept(const TokenReceived &event, TimePoint now);
    void openAttempt(TimePoint now);
    void restart(TimePoint now);
    void openResume(TimePoint now, Duration delay = Duration{0});
    void resumeAfterFailure(bool mayRetry, IncompleteCause cause, TimePoint now);
    void failAttempt(bool mayRetry, IncompleteCause cause, TimePoint now);
    void finishComplete();
    void finishIncomplete(IncompleteCause cause);
    void cancelGeneration();
    void closeAllExcept(uint32_t connection);
    void updateBackpressure(TimePoint now);
    std::vector<StreamAction> takeActions();

    StreamSettings settings;
    State state = State::Waiting;
    /// Open connections of the current attempt.
    std::set<uint32_t> connections;
    uint32_t lastConnection = 0;
    std::string target;
    std::string generation;
    uint64_t nextIndex = 0;
    /// Whether a token of the generation has arrived, so that stalls can be detected and the generation
    /// resumed.
    bool hasProgress = false;
    bool isResumed = false;
    bool mayHaveRun = false;
    bool isPaused = false;
    bool mustResume = false;
    uint32_t resumeFailures = 0;
    uint32_t restartsUsed = 0;
    uint32_t consecutiveStalls = 0;
    uint64_t bufferedTokens = 0;
    uint64_t bufferedBytes = 0;
    std::vector<DeliverToken> wholeTokens;
    uint64_t wholeBytes = 0;
    TimePoint lastProgress;
    StreamCounters streamCounters;
    std::vector<StreamAction> actions;
};

} // namespace eelgrasslift
