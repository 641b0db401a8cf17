#pragma once

#include "entrymodel.h"
#include "fakeengine.h"
#include "metrics.h"

#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <string_view>
#include <vector>

namespace eelgrasslift::bench {

enum class Fault {
    None,
    DomainLoss,  ///< All engines of one failure domain die; the VM list says so 3 s later; back after 120 s.
    RackReclaim, ///< Three engines leave with 30 s notice; back after 120 s.
    LinkStall,   ///< The streams of two engines stall twice for 5 s.
    MemoryFull,  ///< All engines lose 30% of their memory.
    ThirdDies,   ///< Three engines die; the VM list says so 15 s later; back after 100 s.
};

std::string_view toString(Fault fault);

struct RunSettings
{
    PolicyKind kind = PolicyKind::Eelgrasslift;
    Fault fault = Fault::None;
    uint32_t stallWeight = 50;
    uint64_t seed = 1;
    Duration length = std::chrono::seconds{600};
};

/// Event-driven run of nine entries and ten engines over one trace.
class Fleet
{
public:
    Fleet(const RunSettings &settings, const Mix &mix, const std::vector<TraceRequest> &trace);

    Metrics run();

private:
    struct Event
    {
        TimePoint at;
        uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    struct RequestState
    {
        uint32_t engine = EngineCount;
        uint32_t attempts = 0;
        uint32_t delivered = 0;
        uint32_t deliveredInWindow = 0;
        TimePoint lastToken{};
        Duration wait{};
        Duration stall{};
        bool isRefused = false;
        bool isBroken = false;
        bool isDone = false;
    };

    struct EngineState
    {
        FakeEngine engine;
        bool isStepping = false;
        uint64_t epoch = 0;
        TimePoint blockedUntil{};
    };

    void at(TimePoint time, std::function<void()> action);
    void every(Duration interval, std::function<void()> action);
    bool isMeasured(TimePoint time) const;

    void arrive(uint32_t request);
    void send(uint32_t request, uint32_t engine);
    void refuse(uint32_t request);
    void giveUp(uint32_t request);
    void fail(uint32_t request, uint32_t engine);
    void wake(uint32_t engine);
    void deliver(uint32_t engine, const FakeEngine::Step &step);
    void deliverToken(uint32_t request, uint32_t engine, bool isLast);
    void publishReports();
    void publishCacheEvents(uint32_t engine, const std::vector<CacheEvent> &events);
    void gossip();

    void scheduleFault();
    void markLeaving(uint32_t engine, bool isLeaving);
    void killEngine(uint32_t engine, Duration listLag, Duration absence);
    void stallLink(uint32_t engine);

    EntryModel &entryOf(uint32_t request) { return *this->entries[this->trace[request].entry]; }
    template <typename Call>
    void timed(Call call);
    Metrics summarize();
    double fairness() const;

    RunSettings settings;
    const Mix &mix;
    const std::vector<TraceRequest> &trace;
    Random random;
    std::priority_queue<Event> events;
    uint64_t nextOrder = 0;
    TimePoint now{};
    std::vector<std::unique_ptr<EntryModel>> entries;
    std::array<EngineState, EngineCount> engines;
    std::vector<RequestState> requests;
    GapHistogram gaps;
    uint64_t preemptions = 0;
    uint64_t sends = 0;
    double decisionSeconds = 0;
    size_t peakStateBytes = 0;
};

} // namespace eelgrasslift::bench
