#pragma once

#include "modelrunners.h"

#include <map>

namespace eelgrasslift {

/// Runners that work on each run to its end, whatever becomes of its connection, unless they are called to
/// end it. Records what they do, to find runs of one request that overlap.
class LongRuns
{
public:
    struct Run
    {
        std::string requestId;
        int runner = 0;
        TimePoint begunAt{};
        /// When the runner worked on it last.
        TimePoint workedUntil{};
        bool isCalled = false;
        bool isEnded = false;
    };

    struct Arrival
    {
        int runner = 0;
        TimePoint at{};
        ModelRequest::Kind kind = ModelRequest::Kind::Run;
    };

    explicit LongRuns(int runnerCount);

    /// Starts the requests id-0, id-1 and so on and waits for the end of all their runs. Returns what their
    /// callers got.
    std::vector<CallerView> play(const std::string &path, int requestCount);

    /// The longest time for which a run went on after another one of its request had begun.
    Duration longestOverlap() const;
    /// Requests that have reached the runner in the time.
    int64_t arrivalCount(int runner, TimePoint from, TimePoint to) const;
    /// The calls to end a run.
    int64_t stopCallCount() const;

    /// Called before each event of a run; may wait.
    std::function<boost::asio::awaitable<void>(Run &run, int event)> beforeEvent;
    /// Called before a continuation begins; may wait.
    std::function<boost::asio::awaitable<void>()> beforeContinuation;
    /// Whether the runner loses a call to end a run: it resets the connection, and the run goes on.
    std::function<bool()> losesStopCall;

    ModelRunners runners;
    std::deque<Run> runs;
    std::vector<Arrival> arrivals;

private:
    boost::asio::awaitable<void> respond(boost::asio::ip::tcp::socket &connection, ModelRequest request);
    boost::asio::awaitable<void> work(boost::asio::ip::tcp::socket &connection, Run &run, int first);
    boost::asio::awaitable<void> stop(boost::asio::ip::tcp::socket &connection, const ModelRequest &request);
};

} // namespace eelgrasslift
