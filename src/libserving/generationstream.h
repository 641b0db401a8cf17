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

// Events. connection is the number from OpenAttempt or OpenResume.

/// The engine took the request. If its response names the generation before the first token, generation is
/// set and tokens of any other one are dropped; otherwise the first token with index 0 names it.
struct AttemptStarted
{
    uint32_t connection = 0;
    std::string target;
    std::string generation = {};
};

/// The target refused before it ran anything, or nothing could be sent to it.
struct AttemptRefused
{
    uint32_t connection = 0;
    bool mayRetry = false;
};

struct TokenReceived
{
    uint32_t connection = 0;
    std::string generation;
    uint64_t index = 0;
    std::string text;
};

/// The engine says that the generation has this many tokens and no more.
struct EngineFinished
{
    uint32_t connection = 0;
    std::string generation;
    uint64_t tokenCount = 0;
};

/// The engine gave up the generation; it cannot be resumed.
struct EngineFailed
{
    uint32_t connection = 0;
    bool mayRetry = false;
};

struct StreamConnectionLost
{
    uint32_t connection = 0;
    bool mayRetry = false;
};

/// Evidence that the target's process died; its generations are gone.
struct StreamTargetDied
{
    std::string target;
    bool mayRetry = false;
};

/// The engine does not know the generation (any more).
struct ResumeRefused
{
    uint32_t connection = 0;
    bool mayRetry = false;
};

/// The caller's connection accepted this many of the delivered tokens.
struct CallerAccepted
{
    uint64_t tokens = 0;
    uint64_t bytes = 0;
};

struct StreamCallerDisconnected
{};

/// Checks the progress; mayRetry is asked from the retry budget only if nextTick() has passed.
struct StallCheck
{
    bool mayRetry = false;
};

using StreamEvent = std::variant<AttemptStarted, AttemptRefused, TokenReceived, EngineFinished, EngineFailed,
                                 StreamConnectionLost, StreamTargetDied, ResumeRefused, CallerAccepted,
                                 StreamCallerDisconnected, StallCheck>;

// Actions.

/// Choose a target and send the request; report AttemptStarted or AttemptRefused.
struct OpenAttempt
{
    uint32_t connection = 0;
};

struct OpenResume
{
    uint32_t connection = 0;
    std::string target;
    std::string generation;
    uint64_t fromIndex = 0;
    Duration delay{0};
};

/// generation is empty if the engine has not named it yet; closing the connection must do then.
struct CancelGeneration
{
    uint32_t connection = 0;
    std::string target;
    std::string generation;
};

/// Close a connection to the engine without cancelling its generation.
struct CloseConnection
{
    uint32_t connection = 0;
};

struct DeliverToken
{
    std::string generation;
    uint64_t index = 0;
    std::string text;
};

struct FinishComplete
{
    uint64_t tokens = 0;
};

enum class IncompleteCause { TargetDied, EngineFailed, ResumeRefused, ConnectionLost, NotStarted, TooLarge };

/// The caller has the first delivered tokens of one generation and will get no more.
struct FinishIncomplete
{
    uint64_t delivered = 0;
    IncompleteCause cause = IncompleteCause::ConnectionLost;
};

/// No engine ran any part of the request.
struct FailNotRun
{};

struct PauseReading
{
    uint32_t connection = 0;
};

struct ResumeReading
{
    uint32_t connection = 0;
};

using StreamAction = std::variant<OpenAttempt, OpenResume, CancelGeneration, CloseConnection, DeliverToken,
                                  FinishComplete, FinishIncomplete, FailNotRun, PauseReading, ResumeReading>;

struct StreamSettings
{
    Delivery delivery = Delivery::Stream;
    /// Longest time without a token before a second connection resumes the generation.
    Duration stallLimit = std::chrono::seconds{2};
    /// Longest wait for the first token of an attempt before another target is tried; 0: no limit.
    Duration firstTokenLimit{0};
    uint32_t maxRestarts = 2;
    /// Resumes that fail in a row, without a token in between, before the generation is given up.
    uint32_t maxResumeFailures = 4;
    /// Most delivered tokens that the caller's connection has not accepted yet. Reading pauses at three
    /// quarters, and what still arrives beyond the limit is dropped and resumed from the engine later.
    uint64_t maxBufferedTokens = 256;
    uint64_t maxBufferedBytes = uint64_t{64} * 1024;
    /// Answers of delivery=whole are held in memory up to this size.
    uint64_t maxWholeBytes = uint64_t{8} * 1024 * 1024;
};

/// Position of a caller that reconnects with a resume token.
struct StreamPosition
{
    std::string target;
    std::string generation;
    uint64_t nextIndex = 0;
};

struct StreamCounters
{
    uint64_t foreignTokens = 0;
    uint64_t duplicateTokens = 0;
    uint64_t gaps = 0;
    uint64_t overflowTokens = 0;
    uint64_t resumes = 0;
    uint64_t restarts = 0;
    uint64_t stalls = 0;
};

/// One model request at the entry: delivers each token of one generation once and in order, or says that the
/// answer is incomplete.
class GenerationStream
{
public:
    enum class State { Waiting, Streaming, Complete, Incomplete, NotRun, Cancelled };

    explicit GenerationStream(StreamSettings settings);
    GenerationStream(StreamSettings settings, StreamPosition position);

    std::vector<StreamAction> start(TimePoint now);
    std::vector<StreamAction> handle(const StreamEvent &event, TimePoint now);

    /// Time of the next StallCheck, if one is due at all.
    std::optional<TimePoint> nextTick() const;
    State currentState() const { return this->state; }
    bool isFinished() const { return this->state != State::Waiting && this->state != State::Streaming; }
    /// Position after the last delivered token, for the resume token; empty generation before the first one.
    StreamPosition position() const;
    const StreamCounters &counters() const { return this->count; }

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
    void attemptEnded(bool mayRetry, IncompleteCause cause, TimePoint now);
    void finishComplete();
    void finishIncomplete(IncompleteCause cause);
    void cancelAtEngine();
    void closeAllBut(uint32_t connection);
    void updateBackPressure(TimePoint now);
    std::vector<StreamAction> takeActions();

    StreamSettings settings;
    State state = State::Waiting;
    /// Open connections of the current attempt.
    std::set<uint32_t> connections;
    uint32_t lastConnection = 0;
    std::string target;
    std::string generation;
    uint64_t nextIndex = 0;
    /// A token of the generation has arrived, so that its progress can be watched and resumed.
    bool hasProgress = false;
    bool isContinued = false;
    bool mayHaveRun = false;
    bool isPaused = false;
    bool mustResume = false;
    uint32_t resumeFailures = 0;
    uint32_t restartsUsed = 0;
    uint32_t stallsInARow = 0;
    uint64_t bufferedTokens = 0;
    uint64_t bufferedBytes = 0;
    std::vector<DeliverToken> whole;
    uint64_t wholeBytes = 0;
    TimePoint lastProgress;
    StreamCounters count;
    std::vector<StreamAction> actions;
};

} // namespace eelgrasslift
