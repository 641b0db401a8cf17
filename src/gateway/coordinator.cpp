#include "gateway/coordinator.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/httpservice.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Long-poll timeout of an exchange: the gateway's next one reports its load and shows it that the leader is
// alive.
constexpr Duration ExchangePollTimeout = std::chrono::milliseconds{300};
// Members are a few milliseconds apart, and a system that restarts as a whole serves nothing before an
// election.
constexpr Duration HeartbeatInterval = std::chrono::milliseconds{80};
constexpr Duration ElectionTimeoutMin = std::chrono::milliseconds{400};
constexpr Duration ElectionTimeoutMax = std::chrono::milliseconds{800};
constexpr Duration LeaseDuration = std::chrono::milliseconds{340};
// A voter that does not respond for longer is replaced if there is a caught-up learner. Half of the time
// within which the platform expects a repaired member to vote again.
constexpr Duration UnresponsiveVoterTimeout = std::chrono::seconds{2};
// A gateway without an exchange for this long is no longer counted, nor is its load.
constexpr Duration GatewayTimeout = std::chrono::seconds{5};
// Long-poll timeout of a transfer request; longer than any notice period that the users specify.
constexpr Duration TransferPollTimeout = std::chrono::milliseconds{2500};
// Reports are half a second old when they arrive, so polling more often adds little.
constexpr Duration ReportInterval = std::chrono::milliseconds{400};
// A tenth of the shortest notice period that the users specify.
constexpr Duration HealthInterval = std::chrono::milliseconds{200};
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
constexpr Duration LeadershipCheckInterval = std::chrono::milliseconds{100};
// Bounds the size of a proposal whose outcome may stay unknown; an operator's request would time out on
// larger bodies.
constexpr size_t MaxConfigBytes = size_t{5} << 20;

std::string replacePort(const std::string &address, uint16_t port)
{
    const auto endpoint = parseEndpoint(address);
    return endpoint ? Endpoint{endpoint->address, port}.toString() : std::string{};
}

template <typename Start>
asio::awaitable<Result<LogIndex, ProposalError>> awaitIndex(asio::io_context &io, Start start)
{
    auto initiate = [&io, start = std::move(start)](auto handler) mutable {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        start([&io, shared](Result<LogIndex, ProposalError> result) {
            asio::post(io, [shared, result = std::move(result)]() mutable { (*shared)(std::move(result)); });
        });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                            void(Result<LogIndex, ProposalError>)>(std::move(initiate),
                                                                                   asio::use_awaitable);
}

std::optional<StorageError> bootstrapDataFolder(const NodeSettings &settings, const std::string &ownAddress)
{
    if (isInitialised(settings.dataFolder) || !settings.isBootstrap)
        return std::nullopt;
    std::vector<std::string> founders;
    for (const Endpoint &seed : settings.seeds)
        founders.push_back(Endpoint{seed.address,
                                    static_cast<uint16_t>(settings.firstInternalPort + ConsensusPortOffset)}
                                   .toString());
    if (std::find(founders.begin(), founders.end(), ownAddress) == founders.end())
        return std::nullopt;
    auto result = bootstrapCluster(settings.dataFolder, founders, ownAddress);
    if (auto *error = std::get_if<StorageError>(&result))
        return std::move(*error);
    logInfo("cluster-founded", {{"members", std::to_string(founders.size())}});
    return std::nullopt;
}

} // namespace

Coordinator::Coordinator(asio::io_context &context, const NodeSettings &nodeSettings,
                         const WireFormat &wireFormat)
    : io(context)
    , settings(nodeSettings)
    , format(wireFormat)
    , connections(context.get_executor())
    , updateSignal(context)
    , leadershipTimer(context)
    , placementTimer(context)
{
    this->updateSignal.expires_at(std::chrono::steady_clock::time_point::max());
}

Result<std::unique_ptr<Coordinator>, StorageError>
Coordinator::open(asio::io_context &io, const NodeSettings &settings, const WireFormat &format)
{
    std::unique_ptr<Coordinator> coordinator(new Coordinator(io, settings, format));
    const auto consensusPort = static_cast<uint16_t>(settings.firstInternalPort + ConsensusPortOffset);
    const std::string ownAddress = Endpoint{settings.ip, consensusPort}.toString();
    if (auto error = bootstrapDataFolder(settings, ownAddress))
        return std::move(*error);
    ReplicatorSettings replication;
    replication.dataFolder = settings.dataFolder;
    replication.address = ownAddress;
    replication.raft.heartbeatInterval = HeartbeatInterval;
    replication.raft.electionTimeoutMin = ElectionTimeoutMin;
    replication.raft.electionTimeoutMax = ElectionTimeoutMax;
    replication.raft.leaseDuration = LeaseDuration;
    replication.raft.maxVoters = size_t{settings.toleratedFailures} * 2 + 1;
    replication.raft.unresponsiveVoterTimeout = UnresponsiveVoterTimeout;
    replication.raft.maxCommandBytes = MaxConfigBytes;
    for (const Endpoint &seed : settings.seeds) {
        const std::string address = Endpoint{seed.address, consensusPort}.toString();
        if (address != ownAddress)
            replication.joinAddresses.push_back(address);
    }
    auto opened = Replicator::open(io, coordinator->configStore, std::move(replication));
    if (auto *error = std::get_if<StorageError>(&opened))
        return std::move(*error);
    coordinator->replica = std::move(std::get<std::unique_ptr<Replicator>>(opened));
    if (settings.fleetListEndpoint) {
        FleetReaderSettings readerSettings{*settings.fleetListEndpoint};
        readerSettings.reportInterval = ReportInterval;
        readerSettings.healthInterval = HealthInterval;
        coordinator->fleetReader =
                std::make_unique<FleetReader>(io, format, coordinator->connections, readerSettings);
    }
    return coordinator;
}

void Coordinator::start()
{
    this->configStore.onChange([this] {
        const auto config = this->format.decodeConfig(this->configStore.body());
        if (const auto *error = std::get_if<ConfigError>(&config)) {
            logError("stored-configuration-unreadable", {{"cause", describe(*error)}});
        } else if (this->fleetReader) {
            this->engineTraits.clear();
            FleetReader::EngineServices services;
            for (const Service &service : std::get<ServingConfig>(config).services) {
                if (!service.engine)
                    continue;
                services.emplace(service.name, service.healthPath);
                this->engineTraits.emplace(service.name, *service.engine);
            }
            this->fleetReader->setEngineServices(std::move(services));
        }
        this->wakeGateways();
    });
    if (this->fleetReader)
        this->fleetReader->onUpdate([this](bool isUrgent) { this->handleFleetUpdate(isUrgent); });
    this->replica->onChange([this] { this->wakeGateways(); });
    this->replica->start();
    this->checkLeadership();
}

void Coordinator::stop()
{
    this->leadershipTimer.cancel();
    this->placementTimer.cancel();
    this->replica->stop();
}

void Coordinator::checkLeadership()
{
    if (this->fleetReader)
        this->fleetReader->setActive(this->replica->status().hasLease);
    this->leadershipTimer.expires_after(LeadershipCheckInterval);
    this->leadershipTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->checkLeadership();
    });
}

void Coordinator::handleFleetUpdate(bool isUrgent)
{
    ++this->fleetVersion;
    this->encodedFleet = encodeFleet(this->fleetReader->entries());
    this->runners.setFleet(this->fleetReader->entries(), steadyNow());
    if (isUrgent)
        this->wakeGateways();
}

void Coordinator::wakeGateways()
{
    this->updateSignal.cancel();
}

asio::awaitable<HttpResponse> Coordinator::handleOperator(HttpRequest request)
{
    if (this->format.isConfigWrite(request))
        co_return co_await this->writeConfig(std::move(request.body()));
    if (this->format.isConfigRead(request))
        co_return co_await this->readConfig();
    co_return makeResponse(404, R"({"error":"no such call"})");
}

HttpResponse Coordinator::leadershipErrorResponse(const ProposalError &error, std::string_view call,
                                                  uint64_t version) const
{
    const std::string leader = this->replica->leaderAddress();
    const RaftStatus status = this->replica->status();
    logInfo("operator-call-refused", {{"call", std::string(call)},
                                      {"version", std::to_string(version)},
                                      {"cause", std::string(raft::toString(error.kind))},
                                      {"leader", leader},
                                      {"term", std::to_string(status.term)}});
    if (error.kind == raft::RequestErrorKind::NotLeader && !leader.empty() && this->settings.operatorListen) {
        HttpResponse response = makeResponse(307, R"({"error":"another member leads"})");
        const std::string address = replacePort(leader, this->settings.operatorListen->port);
        response.set(http::field::location, "http://" + address + this->format.configPath());
        return response;
    }
    return makeResponse(503, R"({"error":"no lead at this member"})");
}

asio::awaitable<HttpResponse> Coordinator::writeConfig(std::string body)
{
    const auto decoded = this->format.decodeConfig(body);
    if (const auto *error = std::get_if<ConfigError>(&decoded)) {
        logWarning("configuration-refused",
                   {{"cause", describe(*error)}, {"bytes", std::to_string(body.size())}});
        co_return makeResponse(400, R"({"error":"invalid configuration"})");
    }
    const uint64_t version = std::get<ServingConfig>(decoded).version;
    const bool isNewer = version > this->configStore.version();
    const auto start = [this, &body, version, isNewer](Replicator::IndexCallback callback) {
        // An outdated version changes nothing, but only a confirmed leader may acknowledge it as superseded.
        if (isNewer)
            this->replica->propose(ConfigStore::encode(version, body), std::move(callback));
        else
            this->replica->confirmLeadership(std::move(callback));
    };
    auto result = co_await awaitIndex(this->io, start);
    if (const auto *error = std::get_if<ProposalError>(&result))
        co_return this->leadershipErrorResponse(*error, "write", version);
    logInfo("configuration-acknowledged", {{"version", std::to_string(version)},
                                           {"in_force", std::to_string(this->configStore.version())},
                                           {"index", std::to_string(std::get<LogIndex>(result))}});
    co_return makeResponse(200, R"({"version":)" + std::to_string(version) + "}");
}

asio::awaitable<HttpResponse> Coordinator::readConfig()
{
    const auto start = [this](Replicator::IndexCallback callback) {
        this->replica->confirmLeadership(std::move(callback));
    };
    auto result = co_await awaitIndex(this->io, start);
    if (const auto *error = std::get_if<ProposalError>(&result))
        co_return this->leadershipErrorResponse(*error, "read", this->configStore.version());
    // Checks the lease again right before the response, since this process may have been suspended meanwhile.
    if (!this->replica->status().hasLease)
        co_return makeResponse(503, R"({"error":"the lead may have ended"})");
    if (this->configStore.version() == 0)
        co_return makeResponse(503, R"({"error":"no configuration yet"})");
    co_return makeResponse(200, this->configStore.body());
}

bool Coordinator::hasUpdateFor(const GatewayStatus &gateway) const
{
    if (this->configStore.version() > gateway.configVersion)
        return true;
    const Term term = this->replica->status().term;
    return this->fleetReader && this->fleetReader->hasList() && gateway.fleetTerm != term;
}

asio::awaitable<HttpResponse> Coordinator::handleExchange(HttpRequest request)
{
    if (request.target() == PlacementPath)
        co_return co_await this->handlePlacement(std::move(request.body()));
    if (request.target() == TransferPath)
        co_return co_await this->handleTransferRequest(std::move(request.body()));
    if (request.target() == TransferEndPath)
        co_return this->handleTransferEnd(request.body());
    auto decoded = decodeGatewayStatus(request.body());
    if (const auto *error = std::get_if<ExchangeError>(&decoded)) {
        logWarning("exchange-unreadable", {{"cause", error->detail}});
        co_return makeResponse(400);
    }
    const auto gateway = std::move(std::get<GatewayStatus>(decoded));
    if (!this->replica->status().hasLease) {
        HttpResponse response = makeResponse(503);
        const std::string leader = this->replica->leaderAddress();
        const auto port = static_cast<uint16_t>(this->settings.firstInternalPort + ExchangePortOffset);
        if (!leader.empty())
            response.set(http::field::location, replacePort(leader, port));
        co_return response;
    }
    this->fleetLoad.update(gateway.gateway, gateway.loads, steadyNow());
    this->schedulePlacement();
    if (!this->hasUpdateFor(gateway)) {
        boost::system::error_code ignored;
        asio::steady_timer timeout(this->io, ExchangePollTimeout);
        timeout.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                this->updateSignal.cancel_one();
        });
        co_await this->updateSignal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        timeout.cancel();
    }
    if (!this->replica->status().hasLease)
        co_return makeResponse(503);
    const CoordinatorStatus status = this->statusFor(gateway);
    const bool hasNewFleet =
            this->fleetReader && this->fleetReader->hasList() &&
            (status.fleetVersion != gateway.fleetVersion || status.fleetTerm != gateway.fleetTerm);
    co_return makeResponse(200, encodeStatus(status, hasNewFleet ? std::string_view(this->encodedFleet)
                                                                 : std::string_view{}));
}

asio::awaitable<HttpResponse> Coordinator::handleTransferRequest(std::string body)
{
    const auto decoded = decodeTransferRequest(body);
    if (const auto *error = std::get_if<ExchangeError>(&decoded)) {
        logWarning("exchange-unreadable", {{"cause", error->detail}});
        co_return makeResponse(400);
    }
    if (!this->replica->status().hasLease)
        co_return makeResponse(503);
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

RunnerPool::RunnerPointer Coordinator::chooseRunner(RunnerCriteria criteria)
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

std::string Coordinator::chooseDestination(const TransferRequest &transfer)
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

RunnerPool::RunnerPointer Coordinator::tryPlace(const FleetPlacementRequest &placement)
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

void Coordinator::placePending()
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

void Coordinator::schedulePlacement()
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

asio::awaitable<HttpResponse> Coordinator::handlePlacement(std::string body)
{
    const auto decoded = decodePlacementRequest(body);
    if (const auto *error = std::get_if<ExchangeError>(&decoded)) {
        logWarning("exchange-unreadable", {{"cause", error->detail}});
        co_return makeResponse(400);
    }
    if (!this->replica->status().hasLease || !this->fleetReader || !this->fleetReader->hasList())
        co_return makeResponse(503);
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
    co_return makeResponse(
            200, encodePlacementResult({pending.runner ? pending.runner->entry.id : std::string{}}));
}

void Coordinator::grantTransfers()
{
    for (const TransferQueue::Ticket ticket : this->transferQueue.grant(steadyNow())) {
        const auto waiter = this->pendingTransfers.find(ticket);
        if (waiter != this->pendingTransfers.end())
            waiter->second->cancel();
        else
            this->transferQueue.release(ticket);
    }
}

HttpResponse Coordinator::handleTransferEnd(std::string_view body)
{
    const auto decoded = decodeTransferPermit(body);
    if (const auto *permit = std::get_if<TransferPermit>(&decoded))
        this->transferQueue.release(permit->ticket);
    this->grantTransfers();
    return makeResponse(200);
}

CoordinatorStatus Coordinator::statusFor(const GatewayStatus &gateway)
{
    this->fleetLoad.removeSilentGateways(steadyNow(), GatewayTimeout);
    CoordinatorStatus status;
    const RaftStatus raftStatus = this->replica->status();
    const auto port = static_cast<uint16_t>(this->settings.firstInternalPort + ExchangePortOffset);
    for (const RaftMemberStatus &member : raftStatus.members)
        status.coordinatorAddresses.push_back(replacePort(member.address, port));
    status.gatewayCount = static_cast<uint32_t>(this->fleetLoad.gatewayCount());
    if (this->configStore.version() > gateway.configVersion)
        status.config = this->configStore.body();
    status.fleetVersion = this->fleetVersion;
    status.fleetTerm = raftStatus.term;
    status.otherLoads = this->fleetLoad.totalExcluding(gateway.gateway);
    return status;
}

} // namespace eelgrasslift
