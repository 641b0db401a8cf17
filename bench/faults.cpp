// Faults of Fleet.
#include "fleet.h"

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
    case Fault::ThirdDies:
        return "third dies";
    }
    return "unknown";
}

void Fleet::scheduleFault()
{
    using std::chrono::seconds;
    switch (this->settings.fault) {
    case Fault::None:
        return;
    case Fault::DomainLoss:
        for (uint32_t engine = 0; engine < EngineCount; engine += DomainCount)
            this->at(FaultTime, [=, this] { this->killEngine(engine, seconds{3}, seconds{120}); });
        return;
    case Fault::RackReclaim:
        for (uint32_t engine = 0; engine < 3; ++engine) {
            this->at(FaultTime, [=, this] { this->markLeaving(engine, true); });
            this->at(FaultTime + seconds{30},
                     [=, this] { this->killEngine(engine, seconds{0}, seconds{120}); });
        }
        return;
    case Fault::LinkStall:
        for (uint32_t engine = 0; engine < 2; ++engine) {
            this->at(FaultTime, [=, this] { this->stallLink(engine); });
            this->at(FaultTime + seconds{30}, [=, this] { this->stallLink(engine); });
        }
        return;
    case Fault::MemoryFull:
        this->at(FaultTime, [this] {
            for (EngineState &state : this->engines)
                state.engine.setMemory(FakeEngine::Memory * 0.7);
        });
        return;
    case Fault::ThirdDies:
        for (uint32_t engine = 0; engine < 3; ++engine)
            this->at(FaultTime, [=, this] { this->killEngine(engine, seconds{15}, seconds{100}); });
        return;
    }
}

void Fleet::markLeaving(uint32_t engine, bool isLeaving)
{
    for (const auto &entry : this->entries)
        entry->markLeaving(engine, isLeaving, this->now);
}

void Fleet::killEngine(uint32_t engine, Duration listLag, Duration absence)
{
    EngineState &state = this->engines[engine];
    const std::vector<uint32_t> lost = state.engine.die();
    ++state.epoch;
    state.isStepping = false;
    for (const uint32_t request : lost)
        this->at(this->now, [this, request, engine] { this->fail(request, engine); });
    this->at(this->now + listLag, [this, engine] { this->markLeaving(engine, true); });
    this->at(this->now + absence, [this, engine] {
        this->engines[engine].engine.restart();
        this->markLeaving(engine, false);
    });
}

void Fleet::stallLink(uint32_t engine)
{
    constexpr Duration StallTime = std::chrono::seconds{5};
    // The entry's watchdog (class rule stall=2s) notices the stall.
    constexpr Duration StallLimit = std::chrono::seconds{2};
    this->engines[engine].blockedUntil = this->now + StallTime;
    this->at(this->now + StallLimit, [this, engine] {
        for (const auto &entry : this->entries)
            entry->recordStall(engine, this->now);
    });
}

} // namespace eelgrasslift::bench
