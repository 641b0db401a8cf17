#include "plannedgeneration.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace eelgrasslift {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int EventCount = ModelRunners::EventCount;

} // namespace

PlannedGeneration::PlannedGeneration(int runnerCount)
    : runners([this](tcp::socket &connection,
                     ModelRequest request) { return this->respond(connection, std::move(request)); },
              runnerCount)
{}

RunPlan::Condition PlannedGeneration::asked(size_t run) const
{
    return [this, run] { return this->runs.size() > run; };
}

RunPlan::Condition PlannedGeneration::started(size_t run) const
{
    return this->holds(run, &Run::isStarted);
}

RunPlan::Condition PlannedGeneration::called(size_t run) const
{
    return this->holds(run, &Run::isCalled);
}

RunPlan::Condition PlannedGeneration::replied(size_t run) const
{
    return this->holds(run, &Run::isReplied);
}

RunPlan::Condition PlannedGeneration::closed(size_t run, Duration delay) const
{
    return [this, run, delay] {
        return this->runs.size() > run && this->runs[run].isClosed &&
               std::chrono::steady_clock::now() >= this->runs[run].closedAt + delay;
    };
}

RunPlan::Condition PlannedGeneration::copied() const
{
    return [this] { return this->isCopied; };
}

RunPlan::Condition PlannedGeneration::holds(size_t run, bool Run::*flag) const
{
    return [this, run, flag] { return this->runs.size() > run && this->runs[run].*flag; };
}

int PlannedGeneration::callCount() const
{
    int sum = 0;
    for (const auto &[runner, count] : this->callCounts)
        sum += count;
    return sum;
}

asio::awaitable<void> PlannedGeneration::respond(tcp::socket &connection, ModelRequest request)
{
    Continuation continuation = Continuation::Accepts;
    if (request.kind == ModelRequest::Kind::Run && !this->runs.empty()) {
        ++this->continuationCount;
        continuation = this->treat(request);
    }
    if (request.kind == ModelRequest::Kind::Copy) {
        co_await this->replyToCopy(connection, std::move(request));
    } else if (request.kind == ModelRequest::Kind::Stop) {
        co_await this->replyToStop(connection, request.runner);
    } else if (continuation == Continuation::Refuses) {
        co_await sendRefusal(connection);
        ++this->refusedCount;
    } else if (continuation == Continuation::Closes) {
        connection.close();
    } else {
        co_await this->generate(connection, std::move(request));
    }
}

asio::awaitable<void> PlannedGeneration::replyToCopy(tcp::socket &connection, ModelRequest request)
{
    co_await waitFor(this->copiesAfter);
    const CopyReply reply = this->copy(request);
    co_await sendReply(connection, reply);
    this->isCopied = true;
}

asio::awaitable<void> PlannedGeneration::replyToStop(tcp::socket &connection, int runner)
{
    ++this->callCounts[runner];
    // A call meets the last run at its runner.
    const auto found = std::find_if(this->runs.rbegin(), this->runs.rend(),
                                    [&](const Run &run) { return run.runner == runner; });
    const auto index = static_cast<size_t>(this->runs.rend() - found) - 1;
    if (found != this->runs.rend() && !found->isClosed)
        ++found->callCount;
    if (found == this->runs.rend() || index >= this->plans.size() ||
        found->replyCount == this->plans[index].replies.size()) {
        co_await wait(this->replyDelay);
        co_await sendReply(connection, this->furtherReply);
        co_return;
    }
    Run &run = this->runs[index];
    const RunPlan &plan = this->plans[index];
    const CopyReply &reply = plan.replies[run.replyCount++];
    if (run.replyCount == 1)
        co_await sendBytes(connection, plan.beforeReply);
    run.isCalled = run.isCalled || plan.repliesAfter;
    co_await waitFor(plan.repliesAfter);
    co_await wait(this->replyDelay);
    co_await sendReply(connection, reply);
    run.isCalled = true;
    run.isReplied = true;
}

asio::awaitable<void> PlannedGeneration::generate(tcp::socket &connection, ModelRequest request)
{
    const size_t index = this->runs.size();
    Run &run = this->runs.emplace_back();
    run.runner = request.runner;
    if (index < this->plans.size()) {
        co_await this->play(connection, this->plans[index], run, request.lastEventId + 1);
        co_return;
    }
    run.isStarted = true;
    co_await this->runners.sendRest(connection, this->continuedAfter.value_or(request.lastEventId) + 1);
    run.isClosed = true;
}

asio::awaitable<void> PlannedGeneration::play(tcp::socket &connection, const RunPlan &plan, Run &run,
                                              int first)
{
    co_await waitFor(plan.startsAfter);
    run.isStarted = true;
    if (plan.started)
        plan.started();
    co_await this->runners.sendHead(connection);
    int id = co_await this->runners.sendEvents(connection, first, first + plan.eventCount - 1, run.isCalled);
    co_await waitFor(plan.leavesAfter);
    co_await wait(plan.pauseBeforeLeaving);
    if (plan.end == RunPlan::End::Complete && !plan.isUntilCalled) {
        for (; id <= EventCount; ++id)
            co_await this->runners.sendPart(connection, eventsBetween(id, id));
    }
    // The gateway has read the events by then.
    if (!plan.isUntilCalled)
        co_await wait(ModelRunners::EventInterval);
    this->leave(plan.departure, run.runner);
    if (plan.isUntilCalled)
        id = co_await this->runners.sendEvents(connection, id, EventCount, run.isCalled);
    co_await waitFor(plan.closesAfter);
    if (plan.end == RunPlan::End::Complete) {
        for (; id <= EventCount; ++id)
            co_await this->runners.sendPart(connection, eventsBetween(id, id));
        co_await this->runners.finish(connection);
    }
    if (plan.end == RunPlan::End::InsideEvent)
        co_await this->runners.sendPart(connection, "id: 5");
    if (plan.end == RunPlan::End::Reset)
        connection.set_option(asio::socket_base::linger(true, 0));
    if (plan.isGone)
        this->runners.at(run.runner).end();
    connection.close();
    run.isClosed = true;
    run.closedAt = std::chrono::steady_clock::now();
    co_await waitFor(plan.finishesAfter);
    if (plan.finished)
        plan.finished();
}

void PlannedGeneration::leave(RunPlan::Departure departure, int runner)
{
    if (departure == RunPlan::Departure::Announced)
        this->runners.announceStop(runner);
    if (departure == RunPlan::Departure::Suspected)
        this->runners.suspectStop(runner, true);
}

void checkStream(const CallerView &view, bool isWhole)
{
    const std::string all = ModelRunners::allEvents();
    CHECK(view.status == 200);
    CHECK(view.isComplete == isWhole);
    CHECK((view.body == all) == isWhole);
    CHECK(all.starts_with(view.body));
}

} // namespace eelgrasslift
