#include "fleetsimulation.h"

#include <algorithm>
#include <chrono>

namespace eelgrasslift::bench {

namespace {

constexpr Duration WarmUp = std::chrono::seconds{120};
// Time after the end of the trace in which open requests can complete.
constexpr Duration DrainPeriod = std::chrono::seconds{120};
// A pause that a reader of the stream notices; normal inter-token latencies are 20 to 80 ms.
constexpr Duration StallThreshold = std::chrono::milliseconds{200};
constexpr Duration ReportInterval = std::chrono::milliseconds{500};
constexpr Duration ReportDelay = std::chrono::milliseconds{300};
constexpr Duration GossipInterval = std::chrono::milliseconds{500};
constexpr Duration GossipDelay = std::chrono::milliseconds{1000};
constexpr Duration CacheEventDelay = std::chrono::milliseconds{1000};
constexpr double CacheEventLossRate = 0.1;
constexpr Duration TickInterval = std::chrono::milliseconds{100};
constexpr Duration ConnectFailureDelay = std::chrono::milliseconds{2};

} // namespace

FleetSimulation::FleetSimulation(const RunSettings &settings, const RequestMix &mix,
                                 const std::vector<TraceRequest> &trace)
    : settings(settings)
    , mix(mix)
    , trace(trace)
    , random(settings.seed + 77)
    , requests(trace.size())
{
    for (uint32_t index = 0; index < EntryCount; ++index) {
        EntryActions actions{[this](uint32_t request, uint32_t engine) { this->send(request, engine); },
                             [this](uint32_t request) { this->endIncomplete(request); }};
        const EntrySettings entry{index, settings.kind, settings.stallWeight, settings.seed};
        this->entries.push_back(makeEntry(entry, mix, trace, std::move(actions)));
    }
}

void FleetSimulation::schedule(TimePoint time, std::function<void()> action)
{
    this->events.push({time, this->nextOrder++, std::move(action)});
}

void FleetSimulation::scheduleEvery(Duration interval, std::function<void()> action)
{
    this->schedule(this->now + interval, [this, interval, action = std::move(action)] {
        action();
        this->scheduleEvery(interval, action);
    });
}

bool FleetSimulation::isInMeasurementWindow(TimePoint time) const
{
    return time >= TimePoint{WarmUp} && time < TimePoint{this->settings.length};
}

template <typename Call>
void FleetSimulation::measureDecision(Call call)
{
    const auto start = std::chrono::steady_clock::now();
    call();
    this->decisionSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

Metrics FleetSimulation::run()
{
    for (uint32_t request = 0; request < this->trace.size(); ++request)
        this->schedule(this->trace[request].arrival, [this, request] { this->handleArrival(request); });
    this->scheduleEvery(ReportInterval, [this] { this->publishReports(); });
    this->scheduleEvery(GossipInterval, [this] { this->exchangeUsage(); });
    this->scheduleEvery(TickInterval, [this] {
        for (const auto &entry : this->entries)
            entry->tick(this->now);
    });
    this->scheduleFault();
    const TimePoint end = TimePoint{this->settings.length + DrainPeriod};
    while (!this->events.empty() && this->events.top().at < end) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        event.action();
    }
    return this->summarize();
}

void FleetSimulation::handleArrival(uint32_t request)
{
    const Duration deadline = this->mix.classes[this->trace[request].classIndex].deadline;
    this->schedule(this->now + deadline, [this, request] { this->handleDeadline(request); });
    this->measureDecision([&] { this->entryOf(request).handleArrival(request, this->now); });
}

void FleetSimulation::send(uint32_t request, uint32_t engine)
{
    RequestState &state = this->requests[request];
    ++state.attempts;
    this->sends += this->isInMeasurementWindow(this->trace[request].arrival) ? 1 : 0;
    state.engine = engine;
    if (!this->engines[engine].engine.alive()) {
        this->schedule(this->now + ConnectFailureDelay,
                       [this, request, engine] { this->handleRunFailure(request, engine); });
        return;
    }
    const TraceRequest &traceRequest = this->trace[request];
    FakeEngine::Sequence sequence;
    sequence.request = request;
    // The engine contract includes the priority, so the baselines pass it as well.
    sequence.priority = this->mix.classes[traceRequest.classIndex].priority;
    sequence.promptTokens = traceRequest.promptTokens;
    sequence.outputTokens = traceRequest.outputTokens;
    sequence.prefixHashes = traceRequest.prefixHashes;
    this->engines[engine].engine.submit(std::move(sequence));
    this->schedule(this->now, [this, engine] { this->startStep(engine); });
}

void FleetSimulation::endIncomplete(uint32_t request)
{
    RequestState &state = this->requests[request];
    state.isRefused = state.deliveredTokens == 0;
    state.isBroken = state.deliveredTokens > 0;
    state.isDone = true;
}

void FleetSimulation::handleDeadline(uint32_t request)
{
    RequestState &state = this->requests[request];
    if (state.isDone || state.deliveredTokens > 0)
        return;
    this->endIncomplete(request);
    if (this->entryOf(request).cancelQueued(request, this->now) || state.engine == EngineCount)
        return;
    const uint32_t engine = state.engine;
    this->engines[engine].engine.cancel(request);
    this->entryOf(request).finish(request, engine, RunOutcome::Cancelled, this->now);
}

void FleetSimulation::handleRunFailure(uint32_t request, uint32_t engine)
{
    RequestState &state = this->requests[request];
    if (state.isDone)
        return;
    state.engine = EngineCount;
    this->entryOf(request).finish(request, engine, RunOutcome::Failed, this->now);
    const bool isDeliveredWhole = this->mix.classes[this->trace[request].classIndex].isDeliveredWhole;
    if (state.deliveredTokens > 0 && !isDeliveredWhole)
        return this->endIncomplete(request);
    state.deliveredTokens = 0;
    state.deliveredInWindow = 0;
    this->entryOf(request).retry(request, engine, state.attempts, this->now);
}

void FleetSimulation::startStep(uint32_t index)
{
    EngineState &state = this->engines[index];
    if (state.isStepping || !state.engine.alive() || !state.engine.hasWork())
        return;
    state.isStepping = true;
    FakeEngine::Step step = state.engine.step();
    const TimePoint end = this->now + step.time;
    const uint64_t epoch = state.epoch;
    if (this->isInMeasurementWindow(this->now))
        this->preemptions += step.preempted.size();
    this->publishCacheEvents(index, step.cacheEvents);
    const auto ifSameEpoch = [this, index, epoch](auto action) {
        return [this, index, epoch, action] {
            if (this->engines[index].epoch == epoch)
                action();
        };
    };
    this->schedule(std::max(end, state.blockedUntil),
                   ifSameEpoch([this, index, step = std::move(step)] { this->deliverStep(index, step); }));
    this->schedule(end, ifSameEpoch([this, index] {
                       this->engines[index].isStepping = false;
                       this->startStep(index);
                   }));
}

void FleetSimulation::deliverStep(uint32_t engine, const FakeEngine::Step &step)
{
    for (const auto &[request, isLast] : step.tokens)
        this->deliverToken(request, engine, isLast);
}

void FleetSimulation::deliverToken(uint32_t request, uint32_t engine, bool isLast)
{
    RequestState &state = this->requests[request];
    if (state.isDone || state.engine != engine)
        return;
    const bool isRequestMeasured = this->isInMeasurementWindow(this->trace[request].arrival);
    if (state.deliveredTokens == 0) {
        state.wait = this->now - this->trace[request].arrival;
    } else if (isRequestMeasured) {
        const Duration gap = this->now - state.lastTokenTime;
        this->gaps.add(gap);
        state.stall += std::max<Duration>(gap - StallThreshold, Duration{0});
    }
    state.lastTokenTime = this->now;
    ++state.deliveredTokens;
    state.deliveredInWindow += this->isInMeasurementWindow(this->now) ? 1 : 0;
    this->entryOf(request).recordTokens(request, state.deliveredTokens, this->now);
    if (!isLast)
        return;
    state.isDone = true;
    this->measureDecision(
            [&] { this->entryOf(request).finish(request, engine, RunOutcome::Completed, this->now); });
}

void FleetSimulation::publishReports()
{
    for (uint32_t index = 0; index < EngineCount; ++index) {
        if (!this->engines[index].engine.alive())
            continue;
        const LoadReport report = this->engines[index].engine.report(this->now);
        this->schedule(this->now + ReportDelay, [this, index, report] {
            for (const auto &entry : this->entries)
                this->measureDecision([&] { entry->applyReport(index, report, this->now); });
        });
    }
    size_t bytes = 0;
    for (const auto &entry : this->entries)
        bytes = std::max(bytes, entry->byteSize());
    this->peakStateBytes = std::max(this->peakStateBytes, bytes);
}

void FleetSimulation::publishCacheEvents(uint32_t engine, const std::vector<CacheEvent> &events)
{
    for (const CacheEvent &event : events) {
        if (this->random.chance(CacheEventLossRate))
            continue;
        this->schedule(this->now + CacheEventDelay, [this, engine, event] {
            for (const auto &entry : this->entries)
                entry->applyCacheEvent(engine, event);
        });
    }
}

void FleetSimulation::exchangeUsage()
{
    for (uint32_t from = 0; from < EntryCount; ++from) {
        std::vector<TargetUsage> usage = this->entries[from]->targetUsage(this->now);
        this->schedule(this->now + GossipDelay, [this, from, usage = std::move(usage)] {
            for (uint32_t to = 0; to < EntryCount; ++to) {
                if (to != from)
                    this->entries[to]->applyPeerTargetUsage(from, usage, this->now);
            }
        });
    }
}

double FleetSimulation::fairness() const
{
    std::array<double, AccountCount> requestedTokens{};
    std::array<double, AccountCount> receivedTokens{};
    for (uint32_t request = 0; request < this->trace.size(); ++request) {
        if (!this->isInMeasurementWindow(this->trace[request].arrival))
            continue;
        const TraceRequest &traceRequest = this->trace[request];
        requestedTokens[traceRequest.account] += traceRequest.outputTokens;
        receivedTokens[traceRequest.account] +=
                this->requests[request].isBroken ? 0 : this->requests[request].deliveredTokens;
    }
    double sum = 0;
    double squares = 0;
    double count = 0;
    for (uint32_t account = 0; account < AccountCount; ++account) {
        if (requestedTokens[account] == 0)
            continue;
        const double servedFraction = receivedTokens[account] / requestedTokens[account];
        sum += servedFraction;
        squares += servedFraction * servedFraction;
        ++count;
    }
    return squares > 0 ? sum * sum / (count * squares) : 0;
}

Metrics FleetSimulation::summarize()
{
    Metrics metrics;
    std::vector<double> stalls;
    std::vector<double> shortWaits;
    std::vector<double> longWaits;
    double count = 0;
    for (uint32_t request = 0; request < this->trace.size(); ++request) {
        const RequestState &state = this->requests[request];
        metrics.goodput += state.isBroken ? 0 : state.deliveredInWindow;
        if (!this->isInMeasurementWindow(this->trace[request].arrival))
            continue;
        ++count;
        metrics.refused += state.isRefused ? 100 : 0;
        metrics.incomplete += state.isBroken ? 100 : 0;
        if (state.deliveredTokens == 0)
            continue;
        stalls.push_back(toSeconds(state.stall));
        metrics.stallTotal += stalls.back();
        metrics.stallAndWaitTotal += stalls.back() + toSeconds(state.wait);
        (this->trace[request].classIndex == 0 ? shortWaits : longWaits).push_back(toSeconds(state.wait));
    }
    metrics.goodput /= toSeconds(this->settings.length - WarmUp);
    metrics.refused /= count;
    metrics.incomplete /= count;
    metrics.stallP95 = quantileOf(stalls, 0.95);
    metrics.stallP99 = quantileOf(stalls, 0.99);
    metrics.preemptions = static_cast<double>(this->preemptions);
    metrics.gapP50 = this->gaps.quantile(0.50);
    metrics.gapP95 = this->gaps.quantile(0.95);
    metrics.gapP99 = this->gaps.quantile(0.99);
    metrics.shortWaitP95 = quantileOf(shortWaits, 0.95);
    metrics.longWaitP50 = quantileOf(longWaits, 0.50);
    metrics.longWaitP95 = quantileOf(longWaits, 0.95);
    metrics.longWaitP99 = quantileOf(longWaits, 0.99);
    metrics.fairness = this->fairness();
    metrics.sendsPerRequest = static_cast<double>(this->sends) / count;
    metrics.decisionMicroseconds = this->decisionSeconds * 1e6 / static_cast<double>(this->trace.size());
    metrics.stateBytes = static_cast<double>(this->peakStateBytes);
    return metrics;
}

} // namespace eelgrasslift::bench
