#include "longruns.h"

#include "gateway/clock.h"

#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

namespace eelgrasslift {

namespace asio = boost::asio;
using asio::ip::tcp;

LongRuns::LongRuns(int runnerCount)
    : runners([this](tcp::socket &connection,
                     ModelRequest request) { return this->respond(connection, std::move(request)); },
              runnerCount)
{}

std::vector<CallerView> LongRuns::play(const std::string &path, int requestCount)
{
    std::vector<CallerView> views(static_cast<size_t>(requestCount));
    int endedCount = 0;
    for (int i = 0; i < requestCount; ++i) {
        this->runners.fixture.start(path, "id-" + std::to_string(i), [&, i](const CallerView &view) {
            views[static_cast<size_t>(i)] = view;
            ++endedCount;
        });
    }
    this->runners.fixture.runUntil([&] {
        return endedCount == requestCount &&
               std::ranges::all_of(this->runs, [](const Run &run) { return run.isEnded; });
    });
    return views;
}

Duration LongRuns::longestOverlap() const
{
    Duration longest{};
    for (const Run &earlier : this->runs) {
        for (const Run &later : this->runs) {
            if (earlier.requestId == later.requestId && earlier.begunAt < later.begunAt)
                longest = std::max<Duration>(longest, std::min(earlier.workedUntil, later.workedUntil) -
                                                              later.begunAt);
        }
    }
    return longest;
}

int64_t LongRuns::arrivalCount(int runner, TimePoint from, TimePoint to) const
{
    return std::ranges::count_if(this->arrivals, [&](const Arrival &arrival) {
        return arrival.runner == runner && arrival.at >= from && arrival.at < to;
    });
}

int64_t LongRuns::stopCallCount() const
{
    return std::ranges::count(this->arrivals, ModelRequest::Kind::Stop, &Arrival::kind);
}

asio::awaitable<void> LongRuns::respond(tcp::socket &connection, ModelRequest request)
{
    this->arrivals.push_back({request.runner, steadyNow(), request.kind});
    if (request.kind == ModelRequest::Kind::Copy) {
        co_await sendReply(connection, 503);
    } else if (request.kind == ModelRequest::Kind::Stop) {
        co_await this->stop(connection, request);
    } else {
        const bool isContinuation = request.lastEventId > 0;
        if (isContinuation && this->beforeContinuation)
            co_await this->beforeContinuation();
        const TimePoint now = steadyNow();
        Run &run = this->runs.emplace_back();
        run.requestId = request.requestId;
        run.runner = request.runner;
        run.begunAt = now;
        run.workedUntil = now;
        co_await this->work(connection, run, request.lastEventId + 1);
    }
}

asio::awaitable<void> LongRuns::work(tcp::socket &connection, Run &run, int first)
{
    bool isOpen = co_await sendBytes(
            connection, "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = first; event <= ModelRunners::EventCount && !run.isCalled; ++event) {
        co_await wait(ModelRunners::EventInterval);
        if (this->beforeEvent)
            co_await this->beforeEvent(run, event);
        if (run.isCalled)
            break;
        run.workedUntil = steadyNow();
        if (isOpen)
            isOpen = co_await sendBytes(connection, chunk(eventsBetween(event, event)));
    }
    run.isEnded = true;
    if (isOpen && !run.isCalled)
        co_await sendBytes(connection, "0\r\n\r\n");
    connection.close();
}

asio::awaitable<void> LongRuns::stop(tcp::socket &connection, const ModelRequest &request)
{
    if (this->losesStopCall && this->losesStopCall()) {
        resetConnection(connection);
        co_return;
    }
    const auto run = std::ranges::find_if(this->runs, [&](const Run &candidate) {
        return candidate.requestId == request.requestId && candidate.runner == request.runner &&
               !candidate.isEnded;
    });
    if (run == this->runs.end()) {
        co_await sendReply(connection, 404);
        co_return;
    }
    run->isCalled = true;
    co_await sendReply(connection, 200, "h");
}

} // namespace eelgrasslift
