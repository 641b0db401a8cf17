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

/// Serves one model request: drives a GenerationStream with engine connections and the caller's connection.
/// Lives on the strand of the caller's connection.
class CompletionSession : public std::enable_shared_from_this<CompletionSession>
{
public:
    CompletionSession(EntryContext &context, CallerCall call);

    /// Serves the request. Returns whether the connection may carry another one.
    boost::asio::awaitable<bool> run();

private:
    struct PlacementArrived
    {
        uint32_t connection = 0;
        PlacementResult result;
    };

    struct WriteFinished
    {
        bool isOk = false;
        uint64_t tokens = 0;
        uint64_t bytes = 0;
    };

    struct WatchFinished
    {
        bool isCallerGone = false;
    };

    using Event = std::variant<StreamEvent, PlacementArrived, WriteFinished, WatchFinished>;

    struct Prepared
    {
        CompletionRequest request;
        std::optional<ResumeToken> resume;
    };

    std::variant<Prepared, CallerError> prepare() const;
    boost::asio::awaitable<bool> serve(const Prepared &prepared);
    boost::asio::awaitable<void> loop();
    void handle(const Event &event);
    void placementArrived(const PlacementArrived &arrived);
    void feed(const StreamEvent &event);

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

    void openEngine(uint32_t connection, const Endpoint &endpoint, EngineOrder order,
                    const std::string &target);
    void engineReported(uint32_t connection, const std::string &target, const EngineReport &report);
    boost::asio::awaitable<void> engineEnded(uint32_t connection, std::string target, EngineEnd end);
    boost::asio::awaitable<bool> isTargetDead(std::string target);
    boost::asio::awaitable<bool> waitForRetry();
    boost::asio::awaitable<void> resumeLater(OpenResume action);
    void closeEngine(uint32_t connection);

    void startWrite();
    boost::asio::awaitable<void> write(std::string bytes, uint64_t tokens);
    boost::asio::awaitable<bool> finishAnswer();
    boost::asio::awaitable<bool> finishStream();
    CallerError failure() const;
    void finishRun(RunOutcome outcome);
    void observeToken();
    std::vector<HeaderField> headerFields(Outcome outcome) const;
    void spawn(boost::asio::awaitable<void> job);

    EntryContext &context;
    CallerCall call;
    CompletionRequest request;
    std::optional<GenerationStream> stream;
    EventQueue<Event> events;
    std::map<uint32_t, std::shared_ptr<EngineConnection>> engines;
    std::map<std::string, Endpoint> endpoints;
    std::vector<std::string> excludedTargets;
    Sha256 fingerprint{};
    std::optional<RunId> currentRun;
    std::optional<uint64_t> ticket;
    std::optional<PlacementRefused> placementRefused;
    std::optional<StreamAction> finish;
    uint32_t attempts = 0;
    TimePoint startedAt;
    std::optional<TimePoint> lastTokenAt;
    uint64_t deliveredTokens = 0;

    std::string outbox;
    uint64_t outboxTokens = 0;
    std::string wholeText;
    bool isWriting = false;
    bool isHeaderSent = false;
    bool isCallerGone = false;
    bool isWatching = false;
    size_t openJobs = 0;
};

} // namespace eelgrasslift
