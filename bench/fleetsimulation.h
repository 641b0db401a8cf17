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

/// Fault that is injected 300 s after the start of a run.
enum class Fault {
    None,
    DomainLoss,   ///< All engines of one failure domain crash; in the VM list after 3 s, up after 120 s.
    RackReclaim,  ///< Three engines stop after a notice period of 30 s; up after another 120 s.
    LinkStall,    ///< The streams of two engines stall for 5 s, and again 30 s later.
    MemoryFull,   ///< All engines lose 30% of their memory until the end of the run.
    ThirdCrashes, ///< Three engines crash; in the VM list after 15 s, up after 100 s.
};

/// Name of the fault, as in the tables and the CSV file.
std::string_view toString(Fault fault);

struct RunSettings
{
    PolicyKind kind = PolicyKind::Eelgrasslift;
    Fault fault = Fault::None;
    /// SelectorOptions::stallWeight; only for PolicyKind::Eelgrasslift.
    uint32_t stallWeight = 50;
    uint64_t seed = 1;
    /// Length of the trace. The first 120 s are a warm-up that the metrics leave out.
    Duration length = std::chrono::seconds{600};
};

/// Discrete-event simulation of EntryCount entries and EngineCount engines that serve the requests of one
/// trace. A run depends only on its arguments, except for Metrics::decisionMicroseconds, which is real time.
class FleetSimulation
{
public:
    /// `mix` and `trace` must outlive the simulation.
    FleetSimulation(const RunSettings &settings, const RequestMix &mix,
                    const std::vector<TraceRequest> &trace);

    /// Runs the simulation to its end and returns the metrics; to be called once.
    Metrics run();

private:
    struct Event
    {
        TimePoint at;
        /// Events at the same time run in the order in which they were scheduled.
        uint64_t order;
        std::function<void()> action;
        /// Inverted, so that std::priority_queue returns the earliest event first.
        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    struct RequestState
    {
        /// EngineCount while the request is not on an engine.
        uint32_t engine = EngineCount;
        uint32_t attempts = 0;
        uint32_t deliveredTokens = 0;
        uint32_t deliveredInWindow = 0;
        TimePoint lastTokenTime{};
        /// Time to first token and stall time, see Metrics.
        Duration wait{};
        Duration stall{};
        bool isRefused = false;
        /// Ended after the first token, but before the last; isRefused means before the first.
        bool isBroken = false;
        bool isDone = false;
    };

    struct EngineState
    {
        FakeEngine engine;
        bool isStepping = false;
        /// Incremented by a crash; step events of an earlier epoch are discarded.
        uint64_t epoch = 0;
        /// End of a link stall; tokens are not delivered before.
        TimePoint blockedUntil{};
    };

    void schedule(TimePoint time, std::function<void()> action);
    void scheduleEvery(Duration interval, std::function<void()> action);
    /// Whether the time is after the warm-up and before the end of the trace.
    bool isInMeasurementWindow(TimePoint time) const;

    void handleArrival(uint32_t request);
    void send(uint32_t request, uint32_t engine);
    /// Ends a request that did not complete: as refused before its first token, otherwise as broken.
    void endIncomplete(uint32_t request);
    /// Cancels a request that has not received its first token by the deadline of its class.
    void handleDeadline(uint32_t request);
    /// Ends a run whose engine crashed or refused the connection, and asks the entry for a retry if the class
    /// allows one.
    void handleRunFailure(uint32_t request, uint32_t engine);
    /// Starts the next step of an engine that has work and is not in a step.
    void startStep(uint32_t engine);
    void deliverStep(uint32_t engine, const FakeEngine::Step &step);
    void deliverToken(uint32_t request, uint32_t engine, bool isLast);
    /// Sends a load report of each live engine to all entries, and records the peak state size.
    void publishReports();
    void publishCacheEvents(uint32_t engine, const std::vector<CacheEvent> &events);
    void exchangeUsage();

    void scheduleFault();
    void markLeaving(uint32_t engine, bool isLeaving);
    /// Crashes an engine. The VM list reports it after `detectionDelay`; it restarts after `downtime`.
    void crashEngine(uint32_t engine, Duration detectionDelay, Duration downtime);
    void stallLink(uint32_t engine);

    EntryModel &entryOf(uint32_t request) { return *this->entries[this->trace[request].entry]; }
    /// Adds the real time of the call to decisionSeconds.
    template <typename Call>
    void measureDecision(Call call);
    Metrics summarize();
    double fairness() const;

    RunSettings settings;
    const RequestMix &mix;
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
