#include "gateway/gatewayexchange.h"

#include "gateway/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

// Long-poll timeout of an exchange: the gateway's next one reports its load and shows it that the coordinator
// is alive.
constexpr Duration ExchangePollTimeout = std::chrono::milliseconds{300};
// A gateway of a fleet with more model runners gets the load of its own failure domain only, which bounds its
// traffic to some kilobytes a second.
constexpr size_t MaxEnginesOfAllDomains = 64;
// Memory fills up over seconds.
constexpr Duration UtilizationInterval = std::chrono::milliseconds{200};

} // namespace

GatewayExchange::GatewayExchange(asio::io_context &context, GenerationScheduler &generationScheduler)
    : io(context)
    , scheduler(generationScheduler)
    , source(Random(systemSeed()).next())
{}

void GatewayExchange::updateFleet(std::span<const RunnerEntry> entries,
                                  const std::set<std::string, std::less<>> &engines)
{
    const bool isFirst = this->changeLog.version() == 0;
    this->scheduler.setFleet(entries);
    const std::vector<std::string> changed = this->changeLog.update(entries, steadyNow());
    if (changed.empty())
        return;
    bool isPlainChanged = false;
    this->plainRunners.clear();
    this->enginesByDomain.clear();
    this->engineCount = 0;
    for (const RunnerEntry &entry : entries) {
        const bool isEngine = engines.contains(entry.service);
        (isEngine ? this->enginesByDomain[entry.domain] : this->plainRunners).push_back(entry.id);
        this->engineCount += isEngine ? 1 : 0;
        isPlainChanged = isPlainChanged || (!isEngine && std::ranges::count(changed, entry.id) > 0);
    }
    if (isFirst || isPlainChanged) {
        this->wakeAll();
        return;
    }
    for (const auto &[gateway, timer] : this->waiting) {
        if (this->scheduler.load().hasLoadOn(gateway, changed))
            timer->cancel();
    }
}

asio::awaitable<void> GatewayExchange::waitForUpdate(const GatewayStatus &gateway, bool isFleetKnown)
{
    if (isFleetKnown && gateway.fleetSource != this->source)
        co_return;
    boost::system::error_code ignored;
    asio::steady_timer timer(this->io, ExchangePollTimeout);
    this->waiting[gateway.gateway] = &timer;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    // A later exchange of the same gateway, which has given up this one, may have replaced the timer.
    const auto found = this->waiting.find(gateway.gateway);
    if (found != this->waiting.end() && found->second == &timer)
        this->waiting.erase(found);
}

void GatewayExchange::wakeAll()
{
    for (const auto &[gateway, timer] : this->waiting)
        timer->cancel();
}

void GatewayExchange::fillStatus(CoordinatorStatus &status, const GatewayStatus &gateway, bool isFleetKnown)
{
    const TimePoint now = steadyNow();
    status.gatewayCount = static_cast<uint32_t>(this->scheduler.load().gatewayCount());
    status.fleetSource = this->source;
    if (isFleetKnown) {
        const uint64_t known = gateway.fleetSource == this->source ? gateway.fleetVersion : 0;
        FleetChanges changes = this->changeLog.changesSince(known, now);
        if (!changes.isEmpty())
            status.fleet = std::move(changes);
    }
    status.otherLoads = this->scheduler.loadOfOthers(gateway.gateway, this->plainRunners);
    for (const auto &[domain, engines] : this->enginesByDomain) {
        if (domain == gateway.domain || this->engineCount <= MaxEnginesOfAllDomains)
            status.otherLoads.merge(this->scheduler.loadOfOthers(gateway.gateway, engines));
    }
    if (now - this->utilizationAt >= UtilizationInterval) {
        this->utilizationAt = now;
        this->memoryUtilization = this->scheduler.memoryUtilization();
    }
    status.memoryUtilization = this->memoryUtilization;
}

} // namespace eelgrasslift
