// Fault injection of FleetSimulation.
#include "fleetsimulation.h"

namespace eelgrasslift::bench {

namespace {

constexpr TimePoint FaultTime{std::chrono::seconds{300}};

} // namespace

std::string_view toString(Fault fault)
{
    switch (fault) {
    case Fault::None:
        return "no fault";
    case Fault::DomainLoss:
        return "domain loss";
    case Fault::RackReclaim:
        return "rack reclaim";
    case Fault::LinkStall:
        return "link stall";
    case Fault::MemoryFull:
        return "memory full";
    case Fault::ThirdCrashes:
        return "third dies";
    }
    return "unknown";
}

void FleetSimulation::scheduleFault()
{
    using std::chrono::seconds;
    switch (this->settings.fault) {
    case Fault::None:
        return;
    case Fault::DomainLoss:
        for (uint32_t engine = 0; engine < EngineCount; engine += DomainCount)
            this->schedule(FaultTime, [=, this] { this->crashEngine(engine, seconds{3}, seconds{120}); });
        return;
    case Fault::RackReclaim:
        for (uint32_t engine = 0; engine < 3; ++engine) {
            this->schedule(FaultTime, [=, this] { this->markLeaving(engine, true); });
            this->schedule(FaultTime + seconds{30},
                           [=, this] { this->crashEngine(engine, seconds{0}, seconds{120}); });
        }
        return;
    case Fault::LinkStall:
        for (uint32_t engine = 0; engine < 2; ++engine) {
            this->schedule(FaultTime, [=, this] { this->stallLink(engine); });
            this->schedule(FaultTime + seconds{30}, [=, this] { this->stallLink(engine); });
        }
        return;
    case Fault::MemoryFull:
        this->schedule(FaultTime, [this] {
            for (EngineState &state : this->engines)
                state.engine.setMemory(FakeEngine::Memory * 0.7);
        });
        return;
    case Fault::ThirdCrashes:
        for (uint32_t engine = 0; engine < 3; ++engine)
            this->schedule(FaultTime, [=, this] { this->crashEngine(engine, seconds{15}, seconds{100}); });
        return;
    }
}

void FleetSimulation::markLeaving(uint32_t engine, bool isLeaving)
{
    for (const auto &entry : this->entries)
        entry->markLeaving(engine, isLeaving, this->now);
}

void FleetSimulation::crashEngine(uint32_t engine, Duration detectionDelay, Duration downtime)
{
    EngineState &state = this->engines[engine];
    const std::vector<uint32_t> interrupted = state.engine.crash();
    ++state.epoch;
    state.isStepping = false;
    for (const uint32_t request : interrupted)
        this->schedule(this->now, [this, request, engine] { this->handleRunFailure(request, engine); });
    this->schedule(this->now + detectionDelay, [this, engine] { this->markLeaving(engine, true); });
    this->schedule(this->now + downtime, [this, engine] {
        this->engines[engine].engine.restart();
        this->markLeaving(engine, false);
    });
}

void FleetSimulation::stallLink(uint32_t engine)
{
    constexpr Duration StallLength = std::chrono::seconds{5};
    // Default stall-limit of a class, after which an entry records a stall.
    constexpr Duration StallLimit = std::chrono::seconds{2};
    this->engines[engine].blockedUntil = this->now + StallLength;
    this->schedule(this->now + StallLimit, [this, engine] {
        for (const auto &entry : this->entries)
            entry->recordStall(engine, this->now);
    });
}

} // namespace eelgrasslift::bench
