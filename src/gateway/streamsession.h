#pragma once

#include "gateway/requestcontext.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>

namespace eelgrasslift {

/// Handles one request whose response is a stream of events. Before the first event the request may be
/// retried as the route allows. After it, a failed attempt is continued on another runner: from a copy of the
/// generation's KV cache, or after the last complete event if the stream is resumable.
class StreamSession : public RequestSession, public std::enable_shared_from_this<StreamSession>
{
public:
    StreamSession(GatewayState &gateway, ResponseWriter &writer, RequestContext context);
    ~StreamSession() override;

    /// Returns after the stream is complete, an error response was sent, or the stream was aborted.
    boost::asio::awaitable<void> run() override;

    /// Starts a migration of the generation if its runner stops too soon for it to complete. Called by
    /// GatewayState with the time until the runner stops.
    void handleRunnerLeaving(Duration timeUntilStop);

    /// Runner of the current attempt; nullptr between attempts.
    const RunnerPool::RunnerPointer &runner() const { return this->load.runner(); }

private:
    /// How the relay of an attempt to the caller ended.
    enum class RelayOutcome { Complete, Broken, Stalled, Refused, CallerDisconnected };

    /// Why the gateway itself closed its connection to a runner that was still connected.
    enum class DisconnectReason { Backup, Copy, Stall };
    static std::string_view toString(DisconnectReason reason);

    struct Disconnect
    {
        std::string runnerId;
        DisconnectReason reason;
    };

    /// Runner of the next attempt and, if it continues from a copy of the KV cache, the reference to that
    /// copy.
    struct Destination
    {
        RunnerPool::RunnerPointer runner;
        std::string continueFrom;
        /// How the destination was found, for the log.
        std::string_view method;
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

    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /// Chooses a runner; waits for one with enough free memory as long as the first event can still be on
    /// time. nullptr if there is none.
    boost::asio::awaitable<RunnerPool::RunnerPointer> place();
    /// Sends the request to the destination and forwards the response until the attempt ends.
    boost::asio::awaitable<RelayResult> relay(Destination destination);
    boost::asio::awaitable<RelayResult> receive(const RunnerConnectionPointer &connection,
                                                bool isContinuation);
    boost::asio::awaitable<RelayResult> receiveErrorResponse(const RunnerConnectionPointer &connection,
                                                             Parser &parser);
    boost::asio::awaitable<RelayResult> forwardEvents(const RunnerConnectionPointer &connection,
                                                      Parser &parser);
    /// Decides where to continue after a failed attempt; nothing if the stream cannot be continued.
    boost::asio::awaitable<std::optional<Destination>> planContinuation(const RelayResult &failed,
                                                                        Destination previous);
    /// Copies the KV cache to another runner and disconnects from the current one.
    boost::asio::awaitable<void> migrate();
    /// Runner for a copy of the KV cache, with at most the given share of its memory in use; nullptr if there
    /// is none.
    RunnerPool::RunnerPointer chooseCopyDestination(const RunnerPool::Runner &source, std::string_view domain,
                                                    double memoryLimit) const;
    /// Copies the generation's KV cache; returns the reference to the copy, or nothing if that failed.
    boost::asio::awaitable<std::optional<std::string>> copyMemory(RunnerPool::RunnerPointer source,
                                                                  RunnerPool::RunnerPointer destination);
    /// Ends the current attempt, so that the session continues from a copy.
    void disconnectRunner(DisconnectReason reason);
    /// Disconnects from the runner if the stream stalls while a backup is reachable.
    boost::asio::awaitable<void> watchForStall(RunnerConnectionPointer connection);
    bool isBackupReachable() const;
    /// Releases the backup; returns it as destination, or nothing if there is none.
    std::optional<Destination> takeBackupDestination();
    /// Chooses a runner for the backup if the generation is long enough and the runners have plenty of free
    /// memory.
    void chooseBackup(const RunnerPool::Runner &primary);
    /// Updates times and loads after complete events arrived; previousCount is the number of events before
    /// them.
    void recordEvents(uint64_t previousCount);
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
    RetryController retryController;
    /// Load on the runner of the current attempt.
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

    /// The last one of the request, for the log.
    std::optional<Disconnect> lastDisconnect;
    StallDetector stallDetector;
    /// Consecutive continuations from a copy that the runner refused.
    uint32_t refusedContinuations = 0;
    bool isMigrating = false;
    /// Earliest time of the next migration; set when one failed.
    TimePoint nextMigrationAt{};
    /// Destination of a successful copy, until the session continues there.
    std::optional<Destination> completedMigration;
    /// Cancelled when a migration ends.
    boost::asio::steady_timer migrationDone;
};

} // namespace eelgrasslift
