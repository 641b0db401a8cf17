#include "fleet.h"

#include <algorithm>
#include <chrono>

namespace eelgrasslift::bench {

namespace {

constexpr Duration WarmUp = std::chrono::seconds{120};
constexpr Duration Overrun = std::chrono::seconds{120};
// A gap that a reader of a stream notices; normal gaps are 20 to 80 ms.
constexpr Duration StallThreshold = std::chrono::milliseconds{200};
constexpr Duration ReportInterval = std::chrono::milliseconds{500};
constexpr Duration ReportLag = std::chrono::milliseconds{300};
constexpr Duration GossipInterval = std::chrono::milliseconds{500};
constexpr Duration GossipLag = std::chrono::milliseconds{1000};
constexpr Duration CacheEventLag = std::chrono::milliseconds{1000};
constexpr double CacheEventLoss = 0.1;
constexpr Duration Tick = std::chrono::milliseconds{100};
constexpr Duration ConnectFailure = std::chrono::milliseconds{2};

} // namespace

Fleet::Fleet(const RunSettings &settings, const Mix &mix, const std::vector<TraceRequest> &trace)
    : settings(settings)
    , mix(mix)
    , trace(trace)
    , random(settings.seed + 77)
    , requests(trace.size())
{
    for (uint32_t index = 0; index < EntryCount; ++index) {
        EntryActions actions{[this](uint32_t request, uint32_t engine) { this->send(request, engine); },
                             [this](uint32_t request) { this->refuse(request); }};
        const EntrySettings entry{index, settings.kind, settings.stallWeight, settings.seed};
        this->entries.push_back(makeEntry(entry, mix, trace, std::move(actions)));
    }
}

void Fleet::at(TimePoint time, std::function<void()> action)
{
    this->events.push({time, this->nextOrder++, std::move(action)});
}

void Fleet::every(Duration interval, std::function<void()> action)
{
    this->at(this->now + interval, [this, interval, action = std::move(action)] {
        action();
        this->every(interval, action);
    });
}

bool Fleet::isMeasured(TimePoint time) const
{
    return time >= TimePoint{WarmUp} && time < TimePoint{this->settings.length};
}

template <typename Call>
void Fleet::timed(Call call)
{
    const auto start = std::chrono::steady_clock::now();
    call();
    this->decisionSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

Metrics Fleet::run()
{
    for (uint32_t request = 0; request < this->trace.size(); ++request)
        this->at(this->trace[request].arrival, [this, request] { this->arrive(request); });
    this->every(ReportInterval, [this] { this->publishReports(); });
    this->every(GossipInterval, [this] { this->gossip(); });
    this->every(Tick, [this] {
        for (const auto &entry : this->entries)
            entry->tick(this->now);
    });
    this->scheduleFault();
    const TimePoint end = TimePoint{this->settings.length + Overrun};
    while (!this->events.empty() && this->events.top().at < end) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        event.action();
    }
    return this->summarize();
}

void Fleet::arrive(uint32_t request)
{
    const Duration deadline = this->mix.classes[this->trace[request].classIndex].deadline;
    this->at(this->now + deadline, [this, request] { this->giveUp(request); });
    this->timed([&] { this->entryOf(request).arrive(request, this->now); });
}

void Fleet::send(uint32_t request, uint32_t engine)
{
    RequestState &state = this->requests[request];
    ++state.attempts;
    this->sends += this->isMeasured(this->trace[request].arrival) ? 1 : 0;
    state.engine = engine;
    if (!this->engines[engine].engine.alive()) {
        this->at(this->now + ConnectFailure, [this, request, engine] { this->fail(request, engine); });
        return;
    }
    const TraceRequest &entry = this->trace[request];
    FakeEngine::Sequence sequence;
    sequence.request = request;
    // All policies pass the class's priority on, as the engine contract provides.
    sequence.priority = this->mix.classes[entry.classIndex].priority;
    sequence.promptTokens = entry.promptTokens;
    sequence.outputTokens = entry.outputTokens;
    sequence.prefixHashes = entry.prefixHashes;
    this->engines[engine].engine.submit(std::move(sequence));
    this->at(this->now, [this, engine] { this->wake(engine); });
}

void Fleet::refuse(uint32_t request)
{
    RequestState &state = this->requests[request];
    state.isRefused = state.delivered == 0;
    state.isBroken = state.delivered > 0;
    state.isDone = true;
}

void Fleet::giveUp(uint32_t request)
{
    RequestState &state = this->requests[request];
    if (state.isDone || state.delivered > 0)
        return;
    this->refuse(request);
    if (this->entryOf(request).giveUp(request, this->now) || state.engine == EngineCount)
        return;
    const uint32_t engine = state.engine;
    this->engines[engine].engine.cancel(request);
    this->entryOf(request).finish(request, engine, RunOutcome::Cancelled, this->now);
}

void Fleet::fail(uint32_t request, uint32_t engine)
{
    RequestState &state = this->requests[request];
    if (state.isDone)
        return;
    state.engine = EngineCount;
    this->entryOf(request).finish(request, engine, RunOutcome::Failed, this->now);
    const bool isWhole = this->mix.classes[this->trace[request].classIndex].isWhole;
    if (state.delivered > 0 && !isWhole)
        return this->refuse(request);
    state.delivered = 0;
    state.deliveredInWindow = 0;
    this->entryOf(request).retry(request, engine, state.attempts, this->now);
}

void Fleet::wake(uint32_t index)
{
    EngineState &state = this->engines[index];
    if (state.isStepping || !state.engine.alive() || !state.engine.hasWork())
        return;
    state.isStepping = true;
    FakeEngine::Step step = state.engine.step();
    const TimePoint end = this->now + step.time;
    const uint64_t epoch = state.epoch;
    if (this->isMeasured(this->now))
        this->preemptions += step.preempted.size();
    this->publishCacheEvents(index, step.cacheEvents);
    const auto ifSameEngine = [this, index, epoch](auto action) {
        return [this, index, epoch, action] {
            if (this->engines[index].epoch == epoch)
                action();
        };
    };
    this->at(std::max(end, state.blockedUntil),
             ifSameEngine([this, index, step = std::move(step)] { this->deliver(index, step); }));
    this->at(end, ifSameEngine([this, index] {
                 this->engines[index].isStepping = false;
                 this->wake(index);
             }));
}

void Fleet::deliver(uint32_t engine, const FakeEngine::Step &step)
{
    for (const auto &[request, isLast] : step.tokens)
        this->deliverToken(request, engine, isLast);
}

void Fleet::deliverToken(uint32_t request, uint32_t engine, bool isLast)
{
    RequestState &state = this->requests[request];
    if (state.isDone || state.engine != engine)
        return;
    const bool isMeasuredRequest = this->isMeasured(this->trace[request].arrival);
    if (state.delivered == 0) {
        state.wait = this->now - this->trace[request].arrival;
    } else if (isMeasuredRequest) {
        const Duration gap = this->now - state.lastToken;
        this->gaps.add(gap);
        state.stall += std::max<Duration>(gap - StallThreshold, Duration{0});
    }
    state.lastToken = this->now;
    ++state.delivered;
    state.deliveredInWindow += this->isMeasured(this->now) ? 1 : 0;
    this->entryOf(request).progress(request, state.delivered, this->now);
    if (!isLast)
        return;
    state.isDone = true;
    this->timed([&] { this->entryOf(request).finish(request, engine, RunOutcome::Completed, this->now); });
}

void Fleet::publishReports()
{
    for (uint32_t index = 0; index < EngineCount; ++index) {
        if (!this->engines[index].engine.alive())
            continue;
        const LoadReport report = this->engines[index].engine.report(this->now);
        this->at(this->now + ReportLag, [this, index, report] {
            for (const auto &entry : this->entries)
                this->timed([&] { entry->applyReport(index, report, this->now); });
        });
    }
    size_t bytes = 0;
    for (const auto &entry : this->entries)
        bytes = std::max(bytes, entry->byteSize());
    this->peakStateBytes = std::max(this->peakStateBytes, bytes);
}

void Fleet::publishCacheEvents(uint32_t engine, const std::vector<CacheEvent> &events)
{
    for (const CacheEvent &event : events) {
        if (this->random.chance(CacheEventLoss))
            continue;
        this->at(this->now + CacheEventLag, [this, engine, event] {
            for (const auto &entry : this->entries)
                entry->applyCacheEvent(engine, event);
        });
    }
}

void Fleet::gossip()
{
    for (uint32_t from = 0; from < EntryCount; ++from) {
        std::vector<TargetUsage> use = this->entries[from]->use(this->now);
        this->at(this->now + GossipLag, [this, from, use = std::move(use)] {
            for (uint32_t to = 0; to < EntryCount; ++to) {
                if (to != from)
                    this->entries[to]->applyPeerTargetUsage(from, use, this->now);
            }
        });
    }
}

double Fleet::fairness() const
{
    std::array<double, AccountCount> asked{};
    std::array<double, AccountCount> got{};
    for (uint32_t request = 0; request < this->trace.size(); ++request) {
        if (!this->isMeasured(this->trace[request].arrival))
            continue;
        const TraceRequest &entry = this->trace[request];
        asked[entry.account] += entry.outputTokens;
        got[entry.account] += this->requests[request].isBroken ? 0 : this->requests[request].delivered;
    }
    double sum = 0;
    double squares = 0;
    double count = 0;
    for (uint32_t account = 0; account < AccountCount; ++account) {
        if (asked[account] == 0)
            continue;
        const double part = got[account] / asked[account];
        sum += part;
        squares += part * part;
        ++count;
    }
    return squares > 0 ? sum * sum / (count * squares) : 0;
}

Metrics Fleet::summarize()
{
    Metrics metrics;
    std::vector<double> stalls;
    std::vector<double> shortWaits;
    std::vector<double> longWaits;
    double count = 0;
    for (uint32_t request = 0; request < this->trace.size(); ++request) {
        const RequestState &state = this->requests[request];
        metrics.goodput += state.isBroken ? 0 : state.deliveredInWindow;
        if (!this->isMeasured(this->trace[request].arrival))
            continue;
        ++count;
        metrics.refused += state.isRefused ? 100 : 0;
        metrics.incomplete += state.isBroken ? 100 : 0;
        if (state.delivered == 0)
            continue;
        stalls.push_back(toSeconds(state.stall));
        metrics.stallTotal += stalls.back();
        metrics.idleTotal += stalls.back() + toSeconds(state.wait);
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
