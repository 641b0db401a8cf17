#pragma once

#include "eelgrasslift/asyncbridge.h"
#include "eelgrasslift/completionrequest.h"
#include "eelgrasslift/engineconnection.h"
#include "eelgrasslift/entrycontext.h"
#include "libserving/serving.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace eelgrasslift {

/// Serves one request to a model: performs the actions of a GenerationStream with connections to engines, and
/// writes the tokens to the caller's connection. Runs on the strand of the caller's connection.
class CompletionSession : public std::enable_shared_from_this<CompletionSession>
{
public:
    CompletionSession(EntryContext &context, AuthenticatedRequest call);

    /// Serves the request until the response is complete or the caller has disconnected. Returns whether the
    /// connection may carry another request. Must be called once.
    boost::asio::awaitable<bool> run();

private:
    /// Placement chose a target for an attempt or refused it.
    struct PlacementFinished
    {
        uint32_t connection = 0;
        PlacementResult result;
    };

    /// A write to the caller ended. tokens and bytes are the number of tokens and bytes in it.
    struct WriteFinished
    {
        bool isOk = false;
        uint64_t tokens = 0;
        uint64_t bytes = 0;
    };

    /// The watch for a closed caller connection ended.
    struct WatchFinished
    {
        bool isCallerDisconnected = false;
    };

    using Event = std::variant<StreamEvent, PlacementFinished, WriteFinished, WatchFinished>;

    /// The validated request and, if the caller sent a Last-Event-ID, the position to resume from.
    struct Prepared
    {
        CompletionRequest request;
        std::optional<ResumeToken> resume;
    };

    std::variant<Prepared, CallerError> prepare() const;
    boost::asio::awaitable<bool> serve(const Prepared &prepared);
    /// Processes events until the stream is finished.
    boost::asio::awaitable<void> loop();
    void handle(const Event &event);
    void placementFinished(const PlacementFinished &finished);
    /// Passes an event to the stream, updates the metrics and performs the resulting actions.
    void process(const StreamEvent &event);

    void on(const OpenAttempt &action);
    void on(const OpenResume &action);
    void on(const CancelGeneration &action);
    void on(const CloseConnection &action);
    void on(const DeliverToken &action);
    void on(const FinishComplete &action);
    void on(const FinishIncomplete &action);
    void on(const FailNotRun &action);
    void on(const PauseReading &action);
    void on(const ResumeReading &action);

    void openEngine(uint32_t connection, const Endpoint &endpoint, EngineRequest engineRequest,
                    const std::string &target);
    void handleEngineEvent(uint32_t connection, const std::string &target, const EngineEvent &engineEvent);
    boost::asio::awaitable<void> handleEngineFailure(uint32_t connection, std::string target,
                                                     EngineFailure engineFailure);
    /// Finds out whether the target's process has died: it refuses connections, or reports another process
    /// than the one that the current run belongs to. Returns when the other entries know the suspects.
    boost::asio::awaitable<bool> checkTargetDeath(std::string target);
    // The functions below call those of EntryState and wait until they are done.
    boost::asio::awaitable<bool> reportDeath(std::string target, std::optional<RunId> run);
    boost::asio::awaitable<ProcessFate> reportIncarnation(IncarnationReport report, RunId run);
    boost::asio::awaitable<bool> reportConnectionLost(std::string target, RunId run, bool isAccepting);
    /// Requests a retry from the retry budget and waits for the back-off. Returns whether it was granted.
    boost::asio::awaitable<bool> waitForRetry();
    boost::asio::awaitable<void> resumeLater(OpenResume action);
    void closeEngine(uint32_t connection);

    /// Writes the buffered output, unless a write is in progress.
    void startWrite();
    boost::asio::awaitable<void> write(std::string bytes, uint64_t tokens);
    boost::asio::awaitable<bool> finishResponse();
    boost::asio::awaitable<bool> finishStream();
    /// The error to report for a request that did not complete.
    CallerError callerError() const;
    /// Ends the current run at its target, if there is one.
    void finishRun(RunOutcome outcome);
    void observeToken();
    std::vector<HeaderField> headerFields(Outcome outcome) const;
    void spawn(boost::asio::awaitable<void> job);

    EntryContext &context;
    AuthenticatedRequest call;
    CompletionRequest request;
    std::optional<GenerationStream> stream;
    EventQueue<Event> events;
    std::map<uint32_t, std::shared_ptr<EngineConnection>> engines;
    /// By target.
    std::map<std::string, Endpoint> endpoints;
    std::vector<std::string> excludedTargets;
    Sha256 fingerprint{};
    std::optional<RunId> currentRun;
    /// Ticket of the waiting request in the admission queue.
    std::optional<uint64_t> ticket;
    std::optional<PlacementRefused> placementRefused;
    /// The action that ended the stream.
    std::optional<StreamAction> finishAction;
    uint32_t attempts = 0;
    TimePoint startedAt;
    std::optional<TimePoint> lastTokenAt;
    uint64_t deliveredTokens = 0;

    /// Server-sent events that are not being written yet.
    std::string writeBuffer;
    uint64_t writeBufferTokens = 0;
    /// Text of a response that is not streamed.
    std::string wholeText;
    bool isWriting = false;
    bool isHeaderSent = false;
    bool isCallerDisconnected = false;
    bool isWatching = false;
    /// Coroutines of spawn() that have not ended.
    size_t openJobs = 0;
};

} // namespace eelgrasslift
