#include "faults.h"

#include "content.h"

#include <algorithm>

namespace eelgrasslift::soak {

namespace {

constexpr double MeanPauseSeconds = 1.1;
constexpr double SeriesProbability = 0.3;
constexpr uint64_t MaxSeriesLength = 3;
constexpr double MeanSeriesPauseSeconds = 0.15;
// The platform's notice of a runner that leaves; runners serve a little longer.
constexpr double NoticeSeconds = 3;
constexpr double MeanOverloadPauseSeconds = 2.5;

std::string toString(const NodeId &node)
{
    return (node.role == Role::Gateway ? "gateway-" : "coordinator-") + std::to_string(node.index);
}

std::string toString(const RunnerPlace &place)
{
    return "runner " + std::to_string(place.service) + "." + std::to_string(place.index);
}

std::string toString(Duration duration)
{
    return std::to_string(toMilliseconds(duration)) + " ms";
}

/// Draws one fault after the other.
class FaultSource
{
public:
    FaultSource(Random &generator, uint64_t runSeed, const Population &drawnFrom)
        : random(generator)
        , seed(runSeed)
        , population(drawnFrom)
    {}

    OverloadRunner drawOverload() { return {this->runner(), this->between(1, 3)}; }
    LeavingNotice drawNotice()
    {
        return this->random.chance(0.5) ? LeavingNotice::Nowhere : LeavingNotice::Everywhere;
    }

    Fault draw()
    {
        // Weights of the kinds, in percent: a gateway that is stopped under load is the most frequent.
        const uint64_t kind = this->random.below(100);
        if (kind < 20)
            return Terminate{this->gateway()};
        if (kind < 27)
            return Kill{this->gateway()};
        if (kind < 34)
            return Pause{this->anyNode(), this->between(0.2, 3)};
        if (kind < 38)
            return Reload{this->anyNode()};
        if (kind < 45)
            return Kill{this->coordinator()};
        if (kind < 48)
            return Terminate{this->coordinator()};
        if (kind < 52)
            return KillAllCoordinators{};
        if (kind < 56)
            return LoseData{coordinatorThatLosesData(this->seed, this->population)};
        if (kind < 68)
            return RetireRunner{this->runner(), this->between(NoticeSeconds, NoticeSeconds + 2)};
        if (kind < 73)
            return SlowRunner{this->runner(), this->between(0.5, 2)};
        if (kind < 82)
            return SilenceRunner{this->runner(), this->between(0.3, 1.2)};
        return ResetRunner{this->runner()};
    }

private:
    Duration between(double from, double to)
    {
        return fromSeconds(from + this->random.uniform() * (to - from));
    }
    NodeId gateway() { return {Role::Gateway, this->random.below(this->population.gateways)}; }
    NodeId coordinator() { return {Role::Coordinator, this->random.below(this->population.coordinators)}; }
    NodeId anyNode() { return this->random.chance(0.5) ? this->gateway() : this->coordinator(); }
    RunnerPlace runner()
    {
        const size_t service = this->random.below(this->population.services);
        return {service, this->random.below(this->population.runnersPerService)};
    }

    Random &random;
    uint64_t seed;
    const Population &population;
};

struct Description
{
    std::string operator()(const Terminate &fault) const { return "SIGTERM to " + toString(fault.node); }
    std::string operator()(const Kill &fault) const { return "SIGKILL to " + toString(fault.node); }
    std::string operator()(const Pause &fault) const
    {
        return "SIGSTOP to " + toString(fault.node) + " for " + toString(fault.duration);
    }
    std::string operator()(const Reload &fault) const { return "SIGHUP to " + toString(fault.node); }
    std::string operator()(const KillAllCoordinators &) const { return "SIGKILL to all coordinators"; }
    std::string operator()(const LoseData &fault) const
    {
        return "SIGKILL to coordinator-" + std::to_string(fault.coordinator) + ", whose data is lost";
    }
    std::string operator()(const RetireRunner &fault) const
    {
        const bool isLagging = fault.notice == LeavingNotice::Nowhere;
        return toString(fault.runner) + " leaves in " + toString(fault.duration) +
               (isLagging ? ", stated in responses only" : "");
    }
    std::string operator()(const SlowRunner &fault) const
    {
        return toString(fault.runner) + " slow for " + toString(fault.duration);
    }
    std::string operator()(const OverloadRunner &fault) const
    {
        return toString(fault.runner) + " overloaded for " + toString(fault.duration);
    }
    std::string operator()(const SilenceRunner &fault) const
    {
        return toString(fault.runner) + " silent for " + toString(fault.duration);
    }
    std::string operator()(const ResetRunner &fault) const
    {
        return "connections of " + toString(fault.runner) + " reset";
    }
};

/// Adds what runners tell gateways: overloads, and how they announce that they leave. Drawn from a generator
/// of its own, so that the other faults of a seed in seeds.txt stay the same.
void drawNotices(uint64_t seed, Duration length, const Population &population,
                 std::vector<ScheduledFault> &faults)
{
    Random random(hashOf("notices " + std::to_string(seed)));
    FaultSource source(random, seed, population);
    for (ScheduledFault &scheduled : faults) {
        if (auto *retirement = std::get_if<RetireRunner>(&scheduled.fault))
            retirement->notice = source.drawNotice();
    }
    const auto drawPause = [&] { return fromSeconds(random.exponential(MeanOverloadPauseSeconds)); };
    for (Duration time = drawPause(); time < length; time += drawPause())
        faults.push_back({time, source.drawOverload()});
    std::ranges::stable_sort(faults, {}, &ScheduledFault::time);
}

} // namespace

std::vector<ScheduledFault> drawFaults(uint64_t seed, Duration length, const Population &population)
{
    Random random(seed);
    FaultSource source(random, seed, population);
    std::vector<ScheduledFault> faults;
    uint64_t seriesLeft = 0;
    const auto drawPause = [&] {
        return fromSeconds(random.exponential(seriesLeft > 0 ? MeanSeriesPauseSeconds : MeanPauseSeconds));
    };
    for (Duration time = drawPause(); time < length; time += drawPause()) {
        faults.push_back({time, source.draw()});
        if (seriesLeft > 0)
            --seriesLeft;
        else if (random.chance(SeriesProbability))
            seriesLeft = 1 + random.below(MaxSeriesLength);
    }
    drawNotices(seed, length, population, faults);
    return faults;
}

size_t coordinatorThatLosesData(uint64_t seed, const Population &population)
{
    return seed % population.coordinators;
}

std::string describe(const Fault &fault)
{
    return std::visit(Description{}, fault);
}

} // namespace eelgrasslift::soak
