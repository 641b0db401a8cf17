#pragma once

#include "gateway/requestcontext.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>

namespace eelgrasslift {

/// One stream of events. Before the first event it may be sent again as the route allows; afterwards the same
/// generation goes on from a copy of its memory at another runner, or at the exact event if it is resumable.
class StreamSession : public RequestSession, public std::enable_shared_from_this<StreamSession>
{
public:
    StreamSession(GatewayState &gateway, ResponseWriter &caller, RequestContext context);
    ~StreamSession() override;

    boost::asio::awaitable<void> run() override;

    /// The runner of this stream leaves after the time; decides whether the run moves, and moves it.
    void runnerLeaves(Duration untilGone);

    /// Runner at which the generation is now; nullptr between two sends.
    const RunnerPool::RunnerPointer &runner() const { return this->load.runner(); }

private:
    enum class RelayEnd { Complete, Broken, Stalled, Refused, CallerGone };

    /// Where a send goes, and from which copy it goes on.
    struct Destination
    {
        RunnerPool::RunnerPointer runner;
        std::string continueFrom;
        std::string_view cause;
    };

    struct RelayResult
    {
        RelayEnd end = RelayEnd::Broken;
        SendOutcome outcome = SendOutcome::Unknown;
        std::string_view cause;
        std::optional<HttpResponse> response;
    };

    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<RunnerPool::RunnerPointer> place();
    boost::asio::awaitable<RelayResult> relay(Destination destination);
    boost::asio::awaitable<RelayResult> receive(const RunnerConnectionPointer &connection,
                                                bool isContinuation);
    boost::asio::awaitable<RelayResult> receiveFailure(const RunnerConnectionPointer &connection,
                                                       Parser &parser);
    boost::asio::awaitable<RelayResult> forwardEvents(const RunnerConnectionPointer &connection,
                                                      Parser &parser);
    boost::asio::awaitable<std::optional<Destination>> continuation(const RelayResult &broken,
                                                                    Destination last);
    boost::asio::awaitable<void> migrate();
    RunnerPool::RunnerPointer chooseCopyHolder(const RunnerPool::Runner &source, std::string_view domain,
                                               double memoryLimit) const;
    /// Copies the run's memory; returns the reference to go on from.
    boost::asio::awaitable<std::optional<std::string>> copy(RunnerPool::RunnerPointer source,
                                                            RunnerPool::RunnerPointer destination);
    /// Ends the send at the current runner, so that the session goes on from a copy.
    void breakOff();
    /// Breaks off when the stream stalls while a copy of its memory is in reach.
    boost::asio::awaitable<void> watchForStall(RunnerConnectionPointer connection);
    bool hasBackupInReach() const;
    std::optional<Destination> backupDestination();
    void chooseBackup(const RunnerPool::Runner &primary);
    void noteEvents(uint64_t before);
    RunnerLoad expectedLoad() const;
    GenerationSize size() const { return this->context.caller.size.value_or(GenerationSize{}); }
    double remainingTokens() const;
    double madeTokens() const;
    MemoryForecast expectedMemory() const;
    std::vector<LogField> endDetails() const override;

    EventSplitter splitter;
    RetryController plan;
    LoadTicket load;
    std::set<std::string> tried;
    /// Runners that had no room for a copy of the memory.
    std::set<std::string> fullHolders;
    /// Runner that keeps a growing copy of the memory.
    LoadTicket backup;
    std::optional<TimePoint> firstSentAt;
    std::optional<TimePoint> firstEventAt;
    std::optional<TimePoint> lastEventAt;
    Duration longestPause{};
    /// First event at the current runner.
    std::optional<TimePoint> runStartedAt;

    StallDetector stall;
    uint32_t refusedContinuations = 0;
    bool isMigrating = false;
    /// No move is tried before; set when one failed.
    TimePoint nextMigration{};
    std::optional<Destination> moved;
    boost::asio::steady_timer migrationEnd;
};

} // namespace eelgrasslift
