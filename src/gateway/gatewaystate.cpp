#include "gateway/gatewaystate.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/streamsession.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace eelgrasslift {

namespace asio = boost::asio;

GatewayState::GatewayState(asio::io_context &context, const NodeSettings &nodeSettings,
                           const WireFormat &wireFormat)
    : io(context)
    , settings(nodeSettings)
    , format(wireFormat)
    , connections(context.get_executor())
    , budget({nodeSettings.retryBudgetRatio, nodeSettings.retryBudgetExtra, nodeSettings.retryBudgetWindow})
    , capacity(context)
{
    this->capacity.expires_at(std::chrono::steady_clock::time_point::max());
}

bool GatewayState::adoptConfig(std::string_view body)
{
    auto decoded = this->format.decodeConfig(body);
    if (const auto *error = std::get_if<ConfigError>(&decoded)) {
        logError("configuration-unreadable", {{"cause", describe(*error)}});
        return false;
    }
    auto &config = std::get<ServingConfig>(decoded);
    if (this->currentRoutes && config.version <= this->currentRoutes->version())
        return false;
    const uint64_t version = config.version;
    this->currentRoutes = std::make_shared<const RouteTable>(std::move(config));
    this->metrics.configVersion.Set(static_cast<double>(version));
    logInfo("configuration-in-force", {{"version", std::to_string(version)}});
    this->capacityFreed();
    return true;
}

void GatewayState::adoptFleet(std::span<const RunnerEntry> entries)
{
    this->runners.setFleet(entries, steadyNow());
    this->capacityFreed();
    this->reviewStreams();
}

void GatewayState::reviewStreams()
{
    const TimePoint now = steadyNow();
    const std::set<StreamSession *> current = this->streams;
    for (StreamSession *session : current) {
        const RunnerPool::RunnerPointer runner = session->runner();
        if (!runner || !runner->entry.isExpectedToLeave())
            continue;
        session->runnerLeaves(runner->timeUntilStop(now));
    }
}

std::map<std::string, RunnerLoad, std::less<>> GatewayState::ownLoads() const
{
    std::map<std::string, RunnerLoad, std::less<>> loads;
    for (const auto &[id, runner] : this->runners.runners()) {
        if (runner->ownLoad.activeRequests > 0 || runner->ownLoad.memory.peak() > 0)
            loads.emplace(id, runner->ownLoad);
    }
    return loads;
}

asio::awaitable<void> GatewayState::waitForCapacity(Duration longest)
{
    boost::system::error_code ignored;
    asio::steady_timer timeout(this->io, longest);
    timeout.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->capacity.cancel();
    });
    co_await this->capacity.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    timeout.cancel();
}

LoadTicket::LoadTicket(RunnerPool::RunnerPointer runner, RunnerLoad amount)
    : target(std::move(runner))
    , load(amount)
{
    this->target->ownLoad += this->load;
}

LoadTicket::LoadTicket(LoadTicket &&other) noexcept
    : target(std::exchange(other.target, nullptr))
    , load(other.load)
{}

LoadTicket &LoadTicket::operator=(LoadTicket &&other) noexcept
{
    if (this != &other) {
        this->release();
        this->target = std::exchange(other.target, nullptr);
        this->load = other.load;
    }
    return *this;
}

void LoadTicket::release()
{
    if (!this->target)
        return;
    this->target->ownLoad.activeRequests -= this->load.activeRequests;
    this->target->ownLoad.memory -= this->load.memory;
    this->target->ownLoad.prefillTokens -= this->load.prefillTokens;
    this->target.reset();
}

void LoadTicket::setMemory(const MemoryForecast &memory)
{
    if (!this->target)
        return;
    this->target->ownLoad.memory -= this->load.memory;
    this->target->ownLoad.memory += memory;
    this->load.memory = memory;
}

void LoadTicket::endPrefill()
{
    if (!this->target)
        return;
    this->target->ownLoad.prefillTokens -= this->load.prefillTokens;
    this->load.prefillTokens = 0;
}

} // namespace eelgrasslift
