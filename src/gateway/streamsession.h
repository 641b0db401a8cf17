#pragma once

#include "gateway/requestcontext.h"
#include "gateway/sharedbuffer.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>

namespace eelgrasslift {

/// Handles one request whose response is a stream of events. Before the first event the request may be
/// retried as the route allows. After it, a failed attempt is continued on another runner: from a copy of the
/// generation's KV cache, or after the last complete event if the stream is resumable. A stream whose runner
/// is leaving or slow stays connected to it until another runner has accepted the continuation. A runner that
/// the stream has left is asked to end its run, which may outlast the connection.
class StreamSession : public RequestSession, public std::enable_shared_from_this<StreamSession>
{
public:
    StreamSession(GatewayState &gateway, ResponseWriter &writer, RequestContext context);
    ~StreamSession() override;

    /// Returns after the stream is complete, an error response was sent, or the stream was aborted.
    boost::asio::awaitable<void> run() override;

    /// Prepares or begins a migration of the generation if its runner stops too soon for it to complete.
    /// Called by GatewayState.
    void handleRunnerLeaving(const StopForecast &stop);

    /// Runner of the current attempt; nullptr between attempts.
    const RunnerPool::RunnerPointer &runner() const { return this->load.runner(); }

private:
    /// How the relay of an attempt to the caller ended.
    enum class RelayOutcome {
        Complete,
        Broken,
        Stalled,
        Refused,
        Withheld, ///< Nothing was sent, for a reason that says nothing about the runner's health.
        Stopped,  ///< The runner has stopped the run on a call, or closed the stream as it does then.
        CallerDisconnected
    };

    /// Why the stream should go on at another runner while its current one is still connected.
    enum class SwitchReason { Leaving, Stall };
    static std::string_view toString(SwitchReason reason);

    /// Why a runner is called to end a run.
    enum class StopPurpose {
        Copy,      ///< It is leaving, and the stream continues from a copy.
        Check,     ///< It has closed the stream; its reply tells whether the run was complete.
        StreamLeft ///< The stream has left it.
    };
    static std::string_view toString(StopPurpose purpose);

    /// Runner of the next attempt and, if it continues from a copy of the KV cache, the reference to that
    /// copy.
    struct Destination
    {
        RunnerPool::RunnerPointer runner;
        std::string continueFrom;
        /// How the destination was found, for the log.
        std::string_view method;
        /// The runner has ended the run for a copy elsewhere and keeps the KV cache, though it is leaving.
        bool isStoppedSource = false;
        /// The copy there has been made piece by piece while the run went on.
        bool isBackup = false;
    };

    /// A complete copy of the KV cache at another runner.
    struct Copy
    {
        Destination destination;
        /// The runner that has made it, and the name of the copy there.
        RunnerPool::RunnerPointer source;
        std::string handle;
        TimePoint madeAt{};
        /// Memory that the copy occupies there.
        RunnerLoadReservation load;
    };

    /// What is prepared before a stream leaves a runner, so that the runner can be called to end the run.
    struct RunEndMeans
    {
        /// Reserved during the runner's pause.
        PauseCalls calls;
        /// A new connection for the first call; nullptr if there is none.
        RunnerConnectionPointer connection;
    };

    /// What a runner has replied to a call to end a run.
    struct RunStopResult
    {
        RunStopReply reply;
        /// The run does not go on: either the runner or its successor at the address has no such run.
        bool isRunOver = false;
    };

    /// A run that the stream has left, and that its runner is called to end.
    struct LeftRun
    {
        RunnerPool::RunnerPointer runner;
        /// When the request was sent to the runner, and when that ends the run by itself.
        TimePoint sentAt{};
        TimePoint deadline{};
        /// The call that ends the run.
        CopyRequest request;
        /// Name of the copy from which the stream continues, which must not be freed.
        std::string keptHandle;
        RunEndMeans means;
    };

    /// Result of one attempt.
    struct RelayResult
    {
        RelayOutcome relayOutcome = RelayOutcome::Broken;
        SendOutcome outcome = SendOutcome::Unknown;
        /// Reason for the end, for the log.
        std::string_view cause;
        /// Error response to forward, if any.
        std::optional<HttpResponse> response;
    };

    /// Share of a runner's memory up to which it takes copies. Generations from leaving runners may use a
    /// little more than others, since they are lost otherwise.
    static constexpr double CopyMemoryLimit = 0.97;

    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /// The response of a runner that has accepted the request; its body follows.
    struct RunnerStream
    {
        RunnerConnectionPointer connection;
        std::unique_ptr<Parser> parser;
        ResponseMetadata metadata;
        TimePoint sentAt{};
        /// Load on the runner.
        RunnerLoadReservation load;
        /// Load on the runner that keeps an incremental copy of the KV cache.
        RunnerLoadReservation backup;
    };

    /// Chooses a runner; waits for one with enough free memory as long as the first event can still be on
    /// time. nullptr if there is none.
    boost::asio::awaitable<RunnerPool::RunnerPointer> place();
    /// Sends the request to the current destination and forwards the response until it ends, also from other
    /// runners to which the stream switches meanwhile.
    boost::asio::awaitable<RelayResult> relay();
    /// Sends the request to the destination and waits until it is accepted. Closes the previous connection,
    /// if any, when both runners may have worked on the request for too long.
    boost::asio::awaitable<Result<RunnerStream, RelayResult>> open(Destination destination,
                                                                   RunnerConnectionPointer previous);
    /// Returns whether a request may be sent to the destination. Waits for the end of a pause that the runner
    /// has asked for only if the stream cannot continue anywhere else.
    boost::asio::awaitable<bool> waitForPause(Destination destination, RunnerConnectionPointer previous);
    /// Waits for the header of the response to a request that was sent on the connection of the stream, and
    /// stores the header there. Returns nothing if the request was accepted.
    boost::asio::awaitable<std::optional<RelayResult>> receiveHeader(RunnerStream &stream,
                                                                     bool isContinuation);
    /// Returns nothing if the body is incomplete or larger than that of an error response may be.
    boost::asio::awaitable<std::optional<std::string>> readBody(RunnerConnection &connection, Parser &parser);
    boost::asio::awaitable<RelayResult> receiveErrorResponse(const RunnerConnectionPointer &connection,
                                                             Parser &parser);
    /// Makes the stream the one whose events are forwarded.
    void adopt(RunnerStream &stream);
    boost::asio::awaitable<RelayResult> forwardEvents(RunnerStream &stream);
    /// Asks forwardEvents() to continue the stream at another runner.
    void requestSwitch(SwitchReason reason);
    /// Tries to continue at another runner. Returns nothing if the stream goes on, there or at its current
    /// runner.
    boost::asio::awaitable<std::optional<RelayResult>> switchRunner(RunnerStream &stream);
    boost::asio::awaitable<std::optional<Destination>> chooseSwitchDestination(SwitchReason reason);
    /// Whether the current runner can be called to end the run after the stream has left it; prepares
    /// runEndMeans.
    boost::asio::awaitable<bool> prepareRunEnd();
    /// Replaces the stream by the next one, whose runner has accepted the request.
    void moveStream(RunnerStream &stream, RunnerStream &next, const Destination &destination,
                    SwitchReason reason);
    /// Excludes a destination that has failed, unless it can still be used.
    void recordFailedSwitch(const Destination &destination, const RelayResult &failure);
    /// Decides where to continue after a failed attempt; nothing if the stream cannot be continued.
    boost::asio::awaitable<std::optional<Destination>> planContinuation(const RelayResult &failed,
                                                                        Destination previous);
    /// Copies the KV cache to another runner.
    boost::asio::awaitable<void> copyToAnotherRunner();
    /// Whether the runner may not have the whole copy from which the stream continues.
    bool mayBeInTransit(const Destination &destination) const;
    /// Whether the runner with the copy still runs, as far as is known.
    bool hasCopy() const;
    /// Whether the generation could continue from the copy now.
    bool isCopyUsable() const;
    /// The runner that has stopped the run on a call, to continue there after others have refused. Waits for
    /// its reply, which names what it keeps. Nothing if there is none, or if the run was complete.
    boost::asio::awaitable<std::optional<Destination>> takeStoppedSource();
    /// Asks the runner, whose connection is closed, to end the run: not all runners do so by themselves.
    /// nextRunner has taken the stream over; nullptr if none has. sentAt is when the run was sent to the
    /// runner.
    void endRun(const RunnerPool::RunnerPointer &runner, const RunnerPool::Runner *nextRunner,
                TimePoint sentAt, RunEndMeans means = {});
    /// Calls the runner to end the run and returns its reply. opened as for GatewayState::requestCopy().
    static boost::asio::awaitable<RunStopResult> callRunStop(GatewayState &gateway,
                                                             RunnerPool::RunnerPointer runner,
                                                             CopyRequest request, StopPurpose purpose,
                                                             RunnerConnectionPointer opened = nullptr);
    /// The calls for endRun(), repeated until the runner confirms the end of the run, is gone, or has ended
    /// the run at its deadline. Waits for the end of the runner's pause if that takes no more calls during
    /// it. Does nothing if the stream has gone on at the same runner meanwhile, or an earlier call has ended
    /// the run.
    static boost::asio::awaitable<void> requestRunEnd(GatewayState &gateway,
                                                      std::weak_ptr<StreamSession> stream, LeftRun run);
    /// Asks the current runner, which is leaving, to end the run.
    void stopRun(StopPurpose purpose);
    /// Takes note of the reply to a call of stopCalls.
    void recordStopReply(size_t call, RunStopReply reply);
    /// Decides whether the run has ended with its response. Waits a moment for a reply that tells.
    boost::asio::awaitable<RunEnd> judgeRunEnd(const RunnerStream &stream);
    /// Whether the runner is leaving, so that it may stop runs, and can tell whether it has stopped one.
    bool canStopRuns(const RunnerPool::Runner &runner) const;
    /// Waits until the runner takes requests again, unless that is after the limit.
    boost::asio::awaitable<void> waitForEndOfPause(const RunnerPool::Runner &runner, TimePoint limit);
    /// Whether the replies so far tell that the last run was complete, though the stream was to continue.
    bool isKnownComplete() const;
    /// Whether the last run was complete, after all, though the stream was to continue; waits for the reply
    /// that tells.
    boost::asio::awaitable<bool> isDoubtfulEndComplete();
    /// Waits for replies to calls that end runs as long as the condition holds, at most until the limit.
    boost::asio::awaitable<void> waitForStopReplies(std::function<bool()> isWaiting, TimePoint limit);
    /// Ends the response to the caller.
    boost::asio::awaitable<RelayOutcome> completeResponse();
    /// Runner for a copy of the KV cache, with at most the given share of its memory in use; nullptr if there
    /// is none.
    RunnerPool::RunnerPointer chooseCopyDestination(const RunnerPool::Runner &source, std::string_view domain,
                                                    double memoryLimit) const;
    /// Copies the generation's KV cache; returns the name of the copy at the source, or nothing if that
    /// failed.
    boost::asio::awaitable<std::optional<std::string>> copyMemory(RunnerPool::RunnerPointer source,
                                                                  RunnerPool::RunnerPointer destination);
    /// Time without an event after which a stream on the route has stalled.
    static Duration stallTimeout(const Route &route);
    /// Starts watchForStall() for the connection whose events are forwarded, unless it runs.
    void startStallWatch();
    /// Checks for a stall whenever one is due, as long as the events of the connection are forwarded.
    static boost::asio::awaitable<void> watchForStall(std::weak_ptr<StreamSession> stream,
                                                      RunnerConnectionPointer connection);
    /// Lets the stream switch to another runner if it has stalled.
    void checkForStall();
    bool isForwarding(const RunnerConnectionPointer &connection) const
    {
        return this->forwardedConnection == connection && !this->isAbandoned;
    }
    bool isBackupReachable() const;
    /// The backup as destination, or nothing if there is none.
    std::optional<Destination> backupDestination() const;
    /// Chooses a runner for the backup if the generation is long enough and the runners have plenty of free
    /// memory; empty otherwise.
    RunnerLoadReservation chooseBackup(const RunnerPool::Runner &primary) const;
    /// Stage of the run whose events are forwarded.
    RunStage runStage() const
    {
        const bool isRunning = this->runFirstEventAt && this->lastEventAt &&
                               *this->lastEventAt - *this->runFirstEventAt >= BeginningTime;
        return isRunning ? RunStage::Running : RunStage::Beginning;
    }
    /// Updates times and loads after complete events arrived; previousCount is the number of events before
    /// them.
    void recordEvents(uint64_t previousCount);
    /// Tells the gateway once for each run that the parts of the prompt do not end its runner.
    void recordServedParts();
    /// Whether the runner of a resumable stream sends bytes but has completed no event for too long.
    bool isTrickling() const;
    /// Load of the generation at a new runner.
    RunnerLoad expectedLoad() const;
    GenerationSize size() const { return this->context.metadata.size.value_or(GenerationSize{}); }
    /// Tokens that the generation is expected to produce from now on.
    double remainingTokens() const;
    /// Tokens that the generation has produced.
    double generatedTokens() const;
    MemoryForecast expectedMemory() const;
    std::vector<LogField> endLogFields() const override;

    EventSplitter splitter;
    /// The response that has ended had neither length nor chunks, so that its runner may have ended with it.
    bool isUnframed = false;
    /// Memory of the event that has begun.
    SharedBuffer eventBuffer{this->gateway.bufferedResponseBytes, MaxBufferedResponseBytes};
    RetryController retryController;
    /// Destination of the current or last attempt.
    Destination current;
    /// Load on the runner whose events are forwarded.
    RunnerLoadReservation load;
    std::set<std::string> triedRunners;
    /// Runners that rejected a copy of the KV cache for lack of memory.
    std::set<std::string> fullRunners;
    /// Load on the runner that keeps the backup, an incremental copy of the KV cache.
    RunnerLoadReservation backup;
    std::optional<TimePoint> firstSentAt;
    std::optional<TimePoint> firstEventAt;
    std::optional<TimePoint> lastEventAt;
    Duration longestPause{};
    /// First event from the current runner.
    std::optional<TimePoint> runFirstEventAt;
    bool arePartsServed = false;

    /// Connection whose events are forwarded; nullptr between attempts.
    RunnerConnectionPointer forwardedConnection;
    std::optional<SwitchReason> requestedSwitch;
    bool isSwitching = false;
    bool isStallWatched = false;
    int failedSwitches = 0;
    /// Earliest times of the next copy or switch away from a leaving runner, and of the next switch from a
    /// stalled one; set when one failed.
    TimePoint nextMigrationAt{};
    TimePoint nextResumeAt{};
    /// Attempts to continue the stream.
    int continuationCount = 0;
    /// The runner that the stream left last while it was still connected, and why; for the log.
    std::optional<std::pair<std::string, SwitchReason>> lastSwitch;

    StallDetector stallDetector;
    /// The copy was in transit, as far as is known, when the request for the current continuation was sent.
    bool isCopyInTransit = false;
    /// Refusals of the current continuation.
    uint32_t refusedContinuations = 0;
    bool isCopying = false;
    /// The last successful copy, until the stream leaves the runner that it was made from.
    std::optional<Copy> copy;
    /// The runner that has been called to end the run whose events are forwarded, or were last; nullptr if
    /// none has.
    RunnerPool::RunnerPointer calledRunner;
    RunStopCalls stopCalls;
    /// When the session began to wait for the latest event of the current run that it had to wait for; kept
    /// only if there are stopCalls.
    TimePoint lastEventAwaitedAt{};
    /// When the request was sent to the current runner.
    TimePoint runSentAt{};
    /// Set as long as the stream is leaving the current runner.
    RunEndMeans runEndMeans;
    /// The end of the last run, if it may have been complete; until another run continues the stream.
    std::optional<ReceivedEnd> doubtfulEnd;
    /// Cancelled when there is a reply to a call of stopCalls.
    boost::asio::steady_timer stopReplied;
    /// The runner that has ended the run on a call, with the reference to its KV cache if that is known,
    /// until the stream goes on.
    std::optional<Destination> stoppedSource;
    /// Cancelled when copyToAnotherRunner() ends.
    boost::asio::steady_timer copyingDone;
};

} // namespace eelgrasslift
