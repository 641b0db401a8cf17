#include "servicefleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

using Topology = ServiceFleet::Topology;

struct Tally
{
    int cells = 0;
    int ran = 0;
    int notRun = 0;
    int unknown = 0;
    int unreached = 0;

    void add(const ServiceFleet &fleet)
    {
        ++this->cells;
        this->ran += fleet.toldCount(ServiceOutcome::Ran);
        this->notRun += fleet.toldCount(ServiceOutcome::NotRun);
        this->unknown += fleet.toldCount(ServiceOutcome::Unknown);
        this->unreached += fleet.armedCount() > 0 ? 1 : 0;
    }

    void print(const char *title) const
    {
        std::cout << title << ": " << this->cells << " cells, told ran " << this->ran << ", not-run "
                  << this->notRun << ", unknown " << this->unknown
                  << "; cells with a fault that was not reached " << this->unreached << "\n";
    }
};

constexpr int VariantCount = 9;

/// Each topology with full entries and both kinds of keys, and with recovering entries and UUIDv7 keys.
ServiceFleet::Options options(int variant, uint64_t seed)
{
    static constexpr Topology Topologies[]{Topology::Domain, Topology::Fleet, Topology::Move};
    return {seed, Topologies[variant % 3], variant < 6, variant < 3 || variant >= 6};
}

/// Faults at random times, several keys and callers. Everything follows from the seed.
std::string runSchedule(uint64_t seed, Tally &tally)
{
    Random random{seed};
    ServiceFleet fleet{options(static_cast<int>(random.below(VariantCount)), seed)};
    const auto soon = [&](uint64_t most) { return std::chrono::microseconds{random.below(most)}; };
    const int keys = 1 + static_cast<int>(random.below(3));
    for (int key = 0; key < keys; ++key) {
        for (uint64_t callers = 1 + random.below(2); callers > 0; --callers)
            fleet.at(soon(12'000), [&fleet, key, entry = random.below(6)] { fleet.submit(key, entry, 4); });
    }
    const uint64_t faults = 1 + random.below(6);
    for (uint64_t i = 0; i < faults; ++i) {
        const auto fault = static_cast<Fault>(random.below(FaultCount));
        const size_t entry = random.below(fleet.entryCount());
        fleet.at(soon(random.chance(0.7) ? 25'000 : 2'000'000),
                 [&fleet, fault, entry] { fleet.strike(fault, entry); });
    }
    fleet.run(60s);
    tally.add(fleet);
    return fleet.violation();
}

} // namespace

// Guards against a non-idempotent request that runs twice, and against a false "not-run", for each fault at
// each step of a call.
TEST_CASE("Contract holds for every single fault at every step", "[contract]")
{
    Tally tally;
    for (int variant = 0; variant < VariantCount; ++variant) {
        for (int cell = 0; cell < FaultCount * StepCount; ++cell) {
            const auto fault = static_cast<Fault>(cell / StepCount);
            const auto step = static_cast<Step>(cell % StepCount);
            ServiceFleet fleet{options(variant, static_cast<uint64_t>(cell) + 1)};
            fleet.arm(fault, step, false);
            fleet.submit(0, 1, 3);
            fleet.run(30s);
            tally.add(fleet);
            INFO("variant " << variant << ": " << name(fault) << " at " << name(step));
            CHECK(fleet.violation() == "");
        }
    }
    tally.print("single service faults");
    CHECK(tally.cells == VariantCount * FaultCount * StepCount);
}

// Guards against a second fault that strikes while the first one is being handled, and the same fault twice.
TEST_CASE("Contract holds for every pair of faults at every pair of steps", "[contract]")
{
    Tally tally;
    constexpr int Singles = FaultCount * StepCount;
    for (int first = 0; first < Singles; ++first) {
        for (int second = 0; second < Singles; ++second) {
            const bool isLater = second % StepCount >= first % StepCount;
            ServiceFleet fleet{options((first + second) % VariantCount,
                                       static_cast<uint64_t>(first * Singles + second) + 1)};
            fleet.arm(static_cast<Fault>(first / StepCount), static_cast<Step>(first % StepCount), false);
            fleet.arm(static_cast<Fault>(second / StepCount), static_cast<Step>(second % StepCount),
                      !isLater);
            fleet.submit(0, 1, 3);
            fleet.run(30s);
            tally.add(fleet);
            const std::string violation = fleet.violation();
            if (violation.empty())
                continue;
            FAIL_CHECK(name(static_cast<Fault>(first / StepCount))
                       << " at " << name(static_cast<Step>(first % StepCount)) << ", "
                       << name(static_cast<Fault>(second / StepCount)) << " at "
                       << name(static_cast<Step>(second % StepCount)) << ", variant "
                       << (first + second) % VariantCount << ": " << violation);
        }
    }
    tally.print("pairs of service faults");
    CHECK(tally.cells == Singles * Singles);
}

// Guards against schedules that nobody thought of. EELGRASSLIFT_SEED replays one seed.
TEST_CASE("Contract holds for random schedules of service faults", "[contract]")
{
    Tally tally;
    if (const char *seed = std::getenv("EELGRASSLIFT_SEED")) {
        CHECK(runSchedule(std::strtoull(seed, nullptr, 10), tally) == "");
        return;
    }
    constexpr uint64_t Seeds = 10'000;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        const std::string violation = runSchedule(seed, tally);
        if (!violation.empty())
            FAIL_CHECK("EELGRASSLIFT_SEED=" << seed << ": " << violation);
    }
    tally.print("random service schedules");
    CHECK(tally.cells == Seeds);
}
