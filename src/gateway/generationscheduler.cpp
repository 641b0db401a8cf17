#include "gateway/generationscheduler.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

// A gateway without an exchange for this long is no longer counted, nor is its load.
constexpr Duration GatewayTimeout = std::chrono::seconds{5};
// Long-poll timeout of a transfer request; longer than any notice period that the users specify.
constexpr Duration TransferPollTimeout = std::chrono::milliseconds{2500};
// Long-poll timeout of a placement request; the next request shows that the gateway still needs the
// placement.
constexpr Duration PlacementPollTimeout = std::chrono::milliseconds{200};
// The exchanges of the gateways arrive a few milliseconds apart; this batches them into one pass over the
// queue.
constexpr Duration PlacementInterval = std::chrono::milliseconds{20};
// Generations need similar amounts of memory: after this many found no runner in a pass, the others would not
// either.
constexpr size_t MaxFailedPlacements = 6;
constexpr double TransferMemoryLimit = 0.97;
// A copy to another failure domain takes twice as long on the link of a runner that may stop within a second.
constexpr double CopyCrossDomainSeconds = 1.0;

} // namespace

GenerationScheduler::GenerationScheduler(asio::io_context &context)
    : io(context)
    , placementTimer(context)
{}

void GenerationScheduler::setFleet(std::span<const RunnerEntry> entries)
{
    this->runners.setFleet(entries, steadyNow());
}

void GenerationScheduler::updateGateway(std::string_view gateway, RunnerLoads loads)
{
    this->fleetLoad.removeSilentGateways(steadyNow(), GatewayTimeout);
    this->fleetLoad.update(gateway, std::move(loads), steadyNow());
    this->schedulePlacement();
}

void GenerationScheduler::stop()
{
    this->placementTimer.cancel();
}

RunnerLoads GenerationScheduler::loadOfOthers(std::string_view gateway,
                                              std::span<const std::string> runnerIds) const
{
    RunnerLoads loads = this->fleetLoad.totalExcluding(gateway, runnerIds);
    for (const std::string &id : runnerIds) {
        const RunnerPool::RunnerPointer runner = this->runners.find(id);
        if (!runner || !runner->entry.report)
            continue;
        const RunnerLoad own = this->fleetLoad.ownLoad(gateway, id);
        RunnerLoad &load = loads[id];
        load.memory.raiseCurrent(static_cast<double>(runner->entry.report->memoryUsed) -
                                 own.memory.currentTokens());
    }
    return loads;
}

std::map<std::string, double, std::less<>> GenerationScheduler::memoryUtilization()
{
    this->runners.setOtherLoad(this->fleetLoad.total());
    std::map<std::string, double, std::less<>> result;
    for (const auto &[service, engine] : this->engineTraits)
        result.emplace(service, this->runners.memoryUtilization(service, engine));
    return result;
}

asio::awaitable<HttpResponse> GenerationScheduler::place(std::string body)
{
    const auto decoded = decodePlacementRequest(body);
    if (const auto *error = std::get_if<ExchangeError>(&decoded)) {
        logWarning("exchange-unreadable", {{"cause", error->detail}});
        co_return makeResponse(400);
    }
    const auto &placement = std::get<FleetPlacementRequest>(decoded);
    const TimePoint now = steadyNow();
    const PlacementQueue::Ticket ticket =
            this->placementQueue.add({placement.priority, placement.routePriority, now - placement.waited});
    asio::steady_timer wakeUp(this->io, PlacementPollTimeout);
    PendingPlacement pending{placement, wakeUp, nullptr};
    this->pendingPlacements.emplace(ticket, &pending);
    this->placePending();
    if (!pending.runner) {
        boost::system::error_code ignored;
        co_await wakeUp.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->placementQueue.remove(ticket);
    this->pendingPlacements.erase(ticket);
    PlacementResult result;
    if (pending.runner)
        result = {pending.runner->entry.id, pending.runner->entry};
    co_return makeResponse(200, encodePlacementResult(result));
}

asio::awaitable<HttpResponse> GenerationScheduler::requestTransfer(std::string body)
{
    const auto decoded = decodeTransferRequest(body);
    if (const auto *error = std::get_if<ExchangeError>(&decoded)) {
        logWarning("exchange-unreadable", {{"cause", error->detail}});
        co_return makeResponse(400);
    }
    const TransferRequest transfer = std::get<TransferRequest>(decoded);
    const double valuePerToken =
            transfer.value / std::max(transfer.size.promptTokens + transfer.generatedTokens, 1.0);
    const TransferQueue::Ticket ticket =
            this->transferQueue.enqueue(transfer.sourceId, valuePerToken, steadyNow());
    asio::steady_timer wakeUp(this->io, TransferPollTimeout);
    this->pendingTransfers[ticket] = &wakeUp;
    // All gateways learn of a leaving runner at the same time: granting in a later handler lets their
    // requests that have already arrived compete by value.
    asio::post(this->io, [this] { this->grantTransfers(); });
    boost::system::error_code ignored;
    co_await wakeUp.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    this->pendingTransfers.erase(ticket);
    const std::string destination =
            this->transferQueue.isActive(ticket) ? this->chooseDestination(transfer) : std::string{};
    logInfo("transfer-permit", {{"source", transfer.sourceId},
                                {"destination", destination},
                                {"ticket", std::to_string(ticket)},
                                {"queued", std::to_string(this->transferQueue.size())}});
    if (destination.empty()) {
        this->transferQueue.release(ticket);
        this->grantTransfers();
        co_return makeResponse(503);
    }
    // Counted immediately, so that copies from other runners avoid the memory this one will need.
    this->fleetLoad.addPlacement(
            transfer.gateway, destination,
            RunnerLoad{1, MemoryForecast::forGeneration(transfer.size, transfer.generatedTokens), 0},
            steadyNow());
    co_return makeResponse(200, encodeTransferPermit({ticket, destination}));
}

RunnerPool::RunnerPointer GenerationScheduler::chooseRunner(RunnerCriteria criteria)
{
    criteria.isFromCoordinator = true;
    const auto engine = this->engineTraits.find(criteria.service);
    if (engine == this->engineTraits.end())
        return nullptr;
    this->runners.setOtherLoad(this->fleetLoad.total());
    auto placed = this->runners.choose(criteria, &engine->second, steadyNow(), this->random);
    const auto *chosen = std::get_if<RunnerPool::RunnerPointer>(&placed);
    return chosen == nullptr ? nullptr : *chosen;
}

std::string GenerationScheduler::chooseDestination(const TransferRequest &transfer)
{
    const auto source = this->runners.find(transfer.sourceId);
    if (!source)
        return {};
    const std::set<std::string> excluded(transfer.excluded.begin(), transfer.excluded.end());
    RunnerCriteria criteria{transfer.service, source->entry.domain, transfer.size,
                            &excluded,        TransferMemoryLimit,  CopyCrossDomainSeconds};
    criteria.generatedTokens = transfer.generatedTokens;
    const RunnerPool::RunnerPointer chosen = this->chooseRunner(criteria);
    return chosen ? chosen->entry.id : std::string{};
}

RunnerPool::RunnerPointer GenerationScheduler::tryPlace(const FleetPlacementRequest &placement)
{
    const std::set<std::string> excluded(placement.excluded.begin(), placement.excluded.end());
    const RunnerCriteria criteria{placement.service, placement.domain,      placement.size,
                                  &excluded,         placement.memoryLimit, placement.crossDomainSeconds};
    RunnerPool::RunnerPointer chosen = this->chooseRunner(criteria);
    if (chosen) {
        const RunnerLoad load{1, MemoryForecast::forGeneration(placement.size, 0),
                              placement.size.promptTokens};
        this->fleetLoad.addPlacement(placement.gateway, chosen->entry.id, load, steadyNow());
        chosen->addPrefill(placement.size.promptTokens, steadyNow());
    }
    return chosen;
}

void GenerationScheduler::placePending()
{
    size_t failedCount = 0;
    for (const PlacementQueue::Ticket ticket : this->placementQueue.order()) {
        PendingPlacement &pending = *this->pendingPlacements.at(ticket);
        pending.runner = this->tryPlace(pending.placement);
        if (pending.runner) {
            this->placementQueue.remove(ticket);
            pending.wakeUp.cancel();
        } else if (++failedCount >= MaxFailedPlacements) {
            return;
        }
    }
}

void GenerationScheduler::schedulePlacement()
{
    if (this->placementQueue.isEmpty() || this->isPlacementScheduled)
        return;
    this->isPlacementScheduled = true;
    this->placementTimer.expires_after(PlacementInterval);
    this->placementTimer.async_wait([this](const boost::system::error_code &error) {
        this->isPlacementScheduled = false;
        if (!error)
            this->placePending();
    });
}

void GenerationScheduler::grantTransfers()
{
    for (const TransferQueue::Ticket ticket : this->transferQueue.grant(steadyNow())) {
        const auto waiter = this->pendingTransfers.find(ticket);
        if (waiter != this->pendingTransfers.end())
            waiter->second->cancel();
        else
            this->transferQueue.release(ticket);
    }
}

HttpResponse GenerationScheduler::endTransfer(std::string_view body)
{
    const auto decoded = decodeTransferPermit(body);
    if (const auto *permit = std::get_if<TransferPermit>(&decoded))
        this->transferQueue.release(permit->ticket);
    this->grantTransfers();
    return makeResponse(200);
}

} // namespace eelgrasslift
