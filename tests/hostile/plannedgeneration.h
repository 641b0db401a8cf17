#pragma once

#include "modelrunners.h"

#include <deque>
#include <map>

namespace eelgrasslift {

/// What the runner of one run of a generation does.
struct RunPlan
{
    using Condition = std::function<bool()>;

    enum class Departure { Announced, Suspected, None };

    /// How the stream ends.
    enum class End {
        BetweenEvents,
        InsideEvent,
        Reset,
        Complete ///< The run ends by itself, even if a call arrives just then.
    };

    Condition startsAfter{};
    std::function<void()> started{};
    /// Events before the runner leaves.
    int eventCount = 5;
    Condition leavesAfter{};
    Duration pauseBeforeLeaving{};
    Departure departure = Departure::Announced;
    /// The runner sends events until it is called to end the run; otherwise it ends the run by itself.
    bool isUntilCalled = true;
    Condition closesAfter{};
    End end = End::BetweenEvents;
    /// The runner refuses connections once it has closed the stream.
    bool isGone = false;
    /// Called after the end of the stream, as soon as the condition holds.
    Condition finishesAfter{};
    std::function<void()> finished{};

    /// Replies to the calls that end the run.
    std::vector<CopyReply> replies{};
    /// Sent before the first reply, on the same connection.
    std::string beforeReply{};
    /// Without a condition, the runner replies before it ends the run.
    Condition repliesAfter{};
};

/// A generation at leaving runners, each of which has a plan for its run. A run without a plan
/// sends the rest of the stream.
class PlannedGeneration
{
public:
    enum class Continuation { Accepts, Refuses, Closes };

    struct Run
    {
        int runner = 0;
        bool isStarted = false;
        /// By a call that the plan has a reply to.
        bool isCalled = false;
        bool isReplied = false;
        bool isClosed = false;
        std::chrono::steady_clock::time_point closedAt{};
        size_t replyCount = 0;
        /// Calls that have met the run before the end of its stream.
        int callCount = 0;
    };

    explicit PlannedGeneration(int runnerCount = 3);

    CallerView play(const std::string &path = "/generation/a") { return this->runners.call(path); }

    RunPlan::Condition asked(size_t run) const;
    RunPlan::Condition started(size_t run) const;
    RunPlan::Condition called(size_t run) const;
    RunPlan::Condition replied(size_t run) const;
    RunPlan::Condition closed(size_t run, Duration delay = {}) const;
    RunPlan::Condition copied() const;

    bool isSource(int runner) const { return this->runs.front().runner == runner; }

    std::vector<RunPlan> plans;
    /// Treats a request that continues the generation.
    std::function<Continuation(const ModelRequest &)> treat;
    std::function<CopyReply(const ModelRequest &)> copy = [](const ModelRequest &) {
        return CopyReply{200, "h"};
    };
    RunPlan::Condition copiesAfter;
    /// Reply to calls without a planned one.
    CopyReply furtherReply{404};
    Duration replyDelay{};
    /// Runs without a plan continue after this event, in place of the last one that the gateway names.
    std::optional<int> continuedAfter;

    std::deque<Run> runs;
    bool isCopied = false;
    /// Requests that continue the generation, and those refused.
    int continuationCount = 0;
    int refusedCount = 0;
    /// Calls to end a run, by the number of the runner.
    std::map<int, int> callCounts;
    int callCount() const;

private:
    boost::asio::awaitable<void> respond(boost::asio::ip::tcp::socket &connection, ModelRequest request);
    boost::asio::awaitable<void> replyToCopy(boost::asio::ip::tcp::socket &connection, ModelRequest request);
    boost::asio::awaitable<void> replyToStop(boost::asio::ip::tcp::socket &connection, int runner);
    boost::asio::awaitable<void> generate(boost::asio::ip::tcp::socket &connection, ModelRequest request);
    boost::asio::awaitable<void> play(boost::asio::ip::tcp::socket &connection, const RunPlan &plan, Run &run,
                                      int first);
    void leave(RunPlan::Departure departure, int runner);
    RunPlan::Condition holds(size_t run, bool Run::*flag) const;

public:
    ModelRunners runners;
};

/// Checks what the caller has: the whole stream, or a part that does not count as complete.
void checkStream(const CallerView &view, bool isWhole);

} // namespace eelgrasslift
