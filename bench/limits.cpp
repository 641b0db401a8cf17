#include "commands.h"

#include <deque>
#include <iomanip>
#include <iostream>

namespace eelgrasslift::bench {

namespace {

constexpr AccountLimits Limits{50, 100, 100000};
// Simulated time per scenario, in steps of 10 ms.
constexpr int RunSeconds = 120;

/// Traffic of one account.
struct Scenario
{
    const char *name;
    /// Entries that receive the traffic in the first and in the second half of the run.
    std::vector<uint32_t> entriesBefore;
    std::vector<uint32_t> entriesAfter;
    /// Whether the network is partitioned between the failure domains from 30 s on.
    bool isPartitioned;
    /// Requests per second of the account to all entries together.
    double demand;
};

/// One limiter per entry. Each receives the usage of the others with a delay of one second.
class LimiterFleet
{
public:
    LimiterFleet()
        : limiters(EntryCount)
    {
        for (uint32_t entry = 0; entry < EntryCount; ++entry) {
            std::vector<std::string> peers;
            for (uint32_t peer = 0; peer < EntryCount; ++peer) {
                if (peer != entry)
                    peers.push_back(domainName(peer));
            }
            this->limiters[entry].setPeers(peers, TimePoint{});
            this->limiters[entry].setAccount("kiosk", Limits, TimePoint{});
        }
    }

    /// Whether the entry admits a request, which ends at once.
    bool admit(uint32_t entry, TimePoint now)
    {
        const bool isAdmitted = std::holds_alternative<Admitted>(this->limiters[entry].admit("kiosk", now));
        if (isAdmitted)
            this->limiters[entry].release("kiosk", now);
        return isAdmitted;
    }

    /// Publishes the current usage and delivers that of two calls ago; to be called every 500 ms.
    void exchangeUsage(TimePoint now, bool isPartitioned)
    {
        std::vector<std::vector<AccountUsage>> usages;
        usages.reserve(EntryCount);
        for (AccountLimiter &limiter : this->limiters)
            usages.push_back(limiter.usage(now));
        this->inTransit.push_back(std::move(usages));
        if (this->inTransit.size() < 3)
            return;
        constexpr uint32_t PerDomain = EntryCount / DomainCount;
        for (uint32_t from = 0; from < EntryCount; ++from) {
            for (uint32_t to = 0; to < EntryCount; ++to) {
                if (from != to && (!isPartitioned || from / PerDomain == to / PerDomain))
                    this->limiters[to].applyPeerUsage(domainName(from), this->inTransit.front()[from], now);
            }
        }
        this->inTransit.pop_front();
    }

private:
    std::vector<AccountLimiter> limiters;
    /// Usage of all entries by time of publication, oldest first.
    std::deque<std::vector<std::vector<AccountUsage>>> inTransit;
};

/// Simulates the scenario; returns the number of requests that were admitted in each second.
std::vector<int> admittedPerSecond(const Scenario &scenario, uint64_t seed)
{
    LimiterFleet fleet;
    Random random{seed};
    std::vector<int> perSecond(RunSeconds, 0);
    for (int step = 0; step < RunSeconds * 100; ++step) {
        const TimePoint now{step * std::chrono::milliseconds{10}};
        const auto &entries = step < RunSeconds * 50 ? scenario.entriesBefore : scenario.entriesAfter;
        for (double remaining = scenario.demand / 100; random.chance(remaining); remaining -= 1)
            perSecond[static_cast<size_t>(step) / 100] +=
                    fleet.admit(entries[random.below(entries.size())], now) ? 1 : 0;
        if (step % 50 == 0)
            fleet.exchangeUsage(now, scenario.isPartitioned && step >= RunSeconds * 25);
    }
    return perSecond;
}

/// Largest excess of the admitted requests over rate * T + burst, of all intervals T of whole seconds.
double worstExcess(const std::vector<int> &perSecond)
{
    double worst = -Limits.burst;
    for (size_t from = 0; from < perSecond.size(); ++from) {
        double excess = -Limits.burst;
        for (size_t to = from; to < perSecond.size(); ++to) {
            excess += perSecond[to] - Limits.rate;
            worst = std::max(worst, excess);
        }
    }
    return worst;
}

/// Mean of the values from second `from` up to, but without, second `to`.
double meanRate(const std::vector<int> &perSecond, size_t from, size_t to)
{
    double sum = 0;
    for (size_t second = from; second < to; ++second)
        sum += perSecond[second];
    return sum / static_cast<double>(to - from);
}

} // namespace

int runLimits(uint64_t seed)
{
    const std::vector<uint32_t> allEntries{0, 1, 2, 3, 4, 5, 6, 7, 8};
    const std::vector<Scenario> scenarios{
            {"all entries, 4x the rate", allEntries, allEntries, false, 200},
            {"all entries, 0.8x the rate", allEntries, allEntries, false, 40},
            {"one entry, 4x the rate", {0}, {0}, false, 200},
            {"one entry, 0.8x the rate", {0}, {0}, false, 40},
            {"moves to another entry, 4x", {0}, {5}, false, 200},
            {"domains cut off, 4x", {0, 3, 6}, {0, 3, 6}, true, 200},
            {"moves within cut-off domains, 4x", {0, 3, 6}, {1, 4, 7}, true, 200},
            {"moves into one cut-off domain, 4x", {0, 3, 6}, {0, 1, 2}, true, 200},
    };
    std::cout << "rate 50/s, burst 100, 9 entries; bound of the excess over rate * T + burst: 9 requests\n"
              << std::left << std::setw(36) << "scenario" << std::right << std::setw(10) << "excess"
              << std::setw(18) << "req/s 50-60 s" << std::setw(18) << "req/s 60-70 s" << std::setw(18)
              << "req/s 110-120 s"
              << "\n";
    for (const Scenario &scenario : scenarios) {
        const std::vector<int> admitted = admittedPerSecond(scenario, seed);
        std::cout << std::left << std::setw(36) << scenario.name << std::right << std::fixed
                  << std::setprecision(1) << std::setw(10) << worstExcess(admitted) << std::setw(18)
                  << meanRate(admitted, 50, 60) << std::setw(18) << meanRate(admitted, 60, 70)
                  << std::setw(18) << meanRate(admitted, 110, 120) << "\n";
    }
    return 0;
}

} // namespace eelgrasslift::bench
