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
    int uninjected = 0;

    void add(const ServiceFleet &fleet)
    {
        ++this->cells;
        this->ran += fleet.replyCount(ServiceOutcome::Ran);
        this->notRun += fleet.replyCount(ServiceOutcome::NotRun);
        this->unknown += fleet.replyCount(ServiceOutcome::Unknown);
        this->uninjected += fleet.armedFaultCount() > 0 ? 1 : 0;
    }

    void print(const char *title) const
    {
        std::cout << title << ": " << this->cells << " cells, replies: ran " << this->ran << ", not-run "
                  << this->notRun << ", unknown " << this->unknown
                  << "; cells with a fault that was not injected " << this->uninjected << "\n";
    }
};

constexpr int VariantCount = 9;

/// Each topology with recovered replicas and both kinds of keys, and with recovering replicas and UUIDv7
/// keys.
ServiceFleet::Options options(int variant, uint64_t seed)
{
    static constexpr Topology Topologies[]{Topology::Domain, Topology::Fleet, Topology::Move};
    return {seed, Topologies[variant % 3], variant < 6, variant < 3 || variant >= 6};
}

/// Faults that in combination could make the grants of two processes count for one slot. Uniformly random
/// schedules rarely combine them.
constexpr Fault ReplacementFaults[]{Fault::ReplicaReplaced,
                                    Fault::EntryReplaced,
                                    Fault::ReplicaPausedAndReplaced,
                                    Fault::EntryPausedAndReplaced,
                                    Fault::Delays,
                                    Fault::LostReplies,
                                    Fault::EntryPaused};

/// Runs a schedule of random faults, keys and callers that the seed determines. Returns the violation, if
/// any.
std::string runSchedule(uint64_t seed, Tally &tally)
{
    Random random{seed};
    const bool isFocused = random.chance(0.6);
    ServiceFleet fleet{options(static_cast<int>(random.below(VariantCount)), seed)};
    const auto randomDelay = [&](uint64_t most) { return std::chrono::microseconds{random.below(most)}; };
    const int keys = isFocused ? 1 : 1 + static_cast<int>(random.below(3));
    for (int key = 0; key < keys; ++key) {
        for (uint64_t callers = (isFocused ? 2 : 1) + random.below(2); callers > 0; --callers)
            fleet.schedule(randomDelay(isFocused ? 30'000 : 12'000),
                           [&fleet, key, entry = random.below(6)] { fleet.submit(key, entry, 3); });
    }
    for (uint64_t faults = 1 + random.below(6); faults > 0; --faults) {
        const Fault fault = isFocused ? ReplacementFaults[random.below(std::size(ReplacementFaults))]
                                      : static_cast<Fault>(random.below(FaultCount));
        const size_t entry = random.below(fleet.entryCount());
        const bool isEarly = isFocused || random.chance(0.7);
        fleet.schedule(randomDelay(isEarly ? 25'000 : 2'000'000),
                       [&fleet, fault, entry] { fleet.injectFault(fault, entry); });
    }
    fleet.run(60s);
    tally.add(fleet);
    return fleet.violation();
}

} // namespace

// Guards against a non-idempotent request that runs twice, and against a wrong "not-run", for each fault at
// each step of a call.
TEST_CASE("Service calls keep their contract for every single fault at every step", "[contract]")
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

// Guards against the same violations by a second fault, or the same one again, while the first one is being
// handled.
TEST_CASE("Service calls keep their contract for every pair of faults at every pair of steps", "[contract]")
{
    Tally tally;
    constexpr int SingleFaultCount = FaultCount * StepCount;
    for (int first = 0; first < SingleFaultCount; ++first) {
        for (int second = 0; second < SingleFaultCount; ++second) {
            const bool isLater = second % StepCount >= first % StepCount;
            ServiceFleet fleet{options((first + second) % VariantCount,
                                       static_cast<uint64_t>(first * SingleFaultCount + second) + 1)};
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
    CHECK(tally.cells == SingleFaultCount * SingleFaultCount);
}

// Guards against a request without a key that is sent twice or wrongly reported as not-run.
TEST_CASE("Requests without a key run at most once for every pair of faults", "[contract]")
{
    Tally tally;
    constexpr int SingleFaultCount = FaultCount * StepCount;
    for (int number = 0; number < SingleFaultCount * SingleFaultCount; ++number) {
        const Fault first = static_cast<Fault>(number / SingleFaultCount / StepCount);
        const Fault second = static_cast<Fault>(number % SingleFaultCount / StepCount);
        const Step firstStep = static_cast<Step>(number / SingleFaultCount % StepCount);
        const Step secondStep = static_cast<Step>(number % StepCount);
        ServiceFleet fleet{{static_cast<uint64_t>(number) + 1, Topology::Domain, true, true, false}};
        fleet.arm(first, firstStep, false);
        fleet.arm(second, secondStep, secondStep < firstStep);
        fleet.submit(0, 1, 3);
        fleet.run(30s);
        tally.add(fleet);
        const std::string violation = fleet.violation();
        if (!violation.empty())
            FAIL_CHECK(name(first) << " at " << name(firstStep) << ", " << name(second) << " at "
                                   << name(secondStep) << ": " << violation);
    }
    tally.print("pairs of service faults without a key");
    CHECK(tally.cells == SingleFaultCount * SingleFaultCount);
}

// Guards against violations by combinations of faults that the matrix does not contain. EELGRASSLIFT_SEED
// replays one seed.
TEST_CASE("Service calls keep their contract for random schedules of faults", "[contract]")
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
