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

// A gateway waits this long for news; its next call tells its load and shows that the lead is alive.
constexpr Duration ExchangeWait = std::chrono::milliseconds{300};
// Members are some milliseconds apart, and a whole system that starts again serves nothing before an
// election.
constexpr Duration HeartbeatInterval = std::chrono::milliseconds{80};
constexpr Duration ElectionTimeoutMin = std::chrono::milliseconds{400};
constexpr Duration ElectionTimeoutMax = std::chrono::milliseconds{800};
constexpr Duration Lease = std::chrono::milliseconds{340};
// A voter that is away for longer is replaced if a caught-up learner is there; half of the time in which the
// platform expects a repaired member to count again.
constexpr Duration SilentVoterTimeout = std::chrono::seconds{2};
constexpr Duration GatewayTimeout = std::chrono::seconds{5};
// Longer than any notice on the sheets.
constexpr Duration TransferWait = std::chrono::milliseconds{2500};
// Reports are half a second old when they arrive, so asking more often tells little more.
constexpr Duration ReportInterval = std::chrono::milliseconds{400};
// A tenth of the shortest notice on the sheets.
constexpr Duration HealthInterval = std::chrono::milliseconds{200};
// A call for a placement waits this long for room; the next one shows that the gateway still wants it.
constexpr Duration PlacementWait = std::chrono::milliseconds{200};
// Load reports of all gateways come some milliseconds apart; together they are looked at once.
constexpr Duration PlacementInterval = std::chrono::milliseconds{20};
// Generations differ little in what they need: if so many find no room, the rest will not.
constexpr size_t MaxPlacementsInVain = 6;
constexpr double TransferMemoryLimit = 0.97;
// A copy between failure domains takes twice its time on the link of a runner that has a second left.
constexpr double CopyCrossingSeconds = 1.0;
constexpr Duration LeadershipCheckInterval = std::chrono::milliseconds{100};
// Bounds a proposal whose outcome stays open, below the operator's own patience for large bodies.
constexpr size_t MaxConfigBytes = size_t{5} << 20;

std::string withPort(const std::string &address, uint16_t port)
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

std::optional<StorageError> prepareFolder(const NodeSettings &settings, const std::string &ownAddress)
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
    auto founded = bootstrapCluster(settings.dataFolder, founders, ownAddress);
    if (auto *error = std::get_if<StorageError>(&founded))
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
    , news(context)
    , leadershipTimer(context)
    , placementTimer(context)
{
    this->news.expires_at(std::chrono::steady_clock::time_point::max());
}

Result<std::unique_ptr<Coordinator>, StorageError>
Coordinator::open(asio::io_context &io, const NodeSettings &settings, const WireFormat &format)
{
    std::unique_ptr<Coordinator> coordinator(new Coordinator(io, settings, format));
    const auto consensusPort = static_cast<uint16_t>(settings.firstInternalPort + ConsensusPortOffset);
    const std::string ownAddress = Endpoint{settings.ip, consensusPort}.toString();
    if (auto error = prepareFolder(settings, ownAddress))
        return std::move(*error);
    ReplicatorSettings replication;
    replication.dataFolder = settings.dataFolder;
    replication.address = ownAddress;
    replication.raft.heartbeatInterval = HeartbeatInterval;
    replication.raft.electionTimeoutMin = ElectionTimeoutMin;
    replication.raft.electionTimeoutMax = ElectionTimeoutMax;
    replication.raft.leaseDuration = Lease;
    replication.raft.maxVoters = size_t{settings.toleratedFailures} * 2 + 1;
    replication.raft.unresponsiveVoterTimeout = SilentVoterTimeout;
    replication.raft.maxCommandBytes = MaxConfigBytes;
    for (const Endpoint &seed : settings.seeds) {
        const std::string address = Endpoint{seed.address, consensusPort}.toString();
        if (address != ownAddress)
            replication.joinAddresses.push_back(address);
    }
    auto opened = Replicator::open(io, coordinator->store, std::move(replication));
    if (auto *error = std::get_if<StorageError>(&opened))
        return std::move(*error);
    coordinator->replica = std::move(std::get<std::unique_ptr<Replicator>>(opened));
    if (settings.fleetListEndpoint) {
        FleetReaderSettings reading{*settings.fleetListEndpoint};
        reading.reportInterval = ReportInterval;
        reading.healthInterval = HealthInterval;
        coordinator->fleet = std::make_unique<FleetReader>(io, format, coordinator->connections, reading);
    }
    return coordinator;
}

void Coordinator::start()
{
    this->store.onChange([this] {
        const auto config = this->format.decodeConfig(this->store.body());
        if (const auto *error = std::get_if<ConfigError>(&config)) {
            logError("stored-configuration-unreadable", {{"cause", describe(*error)}});
        } else if (this->fleet) {
            this->engines.clear();
            FleetReader::EngineServices services;
            for (const Service &service : std::get<ServingConfig>(config).services) {
                if (!service.engine)
                    continue;
                services.emplace(service.name, service.healthPath);
                this->engines.emplace(service.name, *service.engine);
            }
            this->fleet->setEngineServices(std::move(services));
        }
        this->wakeWaiters();
    });
    if (this->fleet)
        this->fleet->onUpdate([this](bool isUrgent) { this->fleetUpdated(isUrgent); });
    this->replica->onChange([this] { this->wakeWaiters(); });
    this->replica->start();
    this->followLeadership();
}

void Coordinator::stop()
{
    this->leadershipTimer.cancel();
    this->placementTimer.cancel();
    this->replica->stop();
}

void Coordinator::followLeadership()
{
    if (this->fleet)
        this->fleet->setActive(this->replica->status().hasLease);
    this->leadershipTimer.expires_after(LeadershipCheckInterval);
    this->leadershipTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->followLeadership();
    });
}

void Coordinator::fleetUpdated(bool isUrgent)
{
    ++this->fleetNumber;
    this->encodedFleet = encodeFleet(this->fleet->entries());
    this->pool.setFleet(this->fleet->entries(), steadyNow());
    if (isUrgent)
        this->wakeWaiters();
}

void Coordinator::wakeWaiters()
{
    this->news.cancel();
}

asio::awaitable<HttpResponse> Coordinator::handleOperator(HttpRequest request)
{
    if (this->format.isConfigWrite(request))
        co_return co_await this->writeConfig(std::move(request.body()));
    if (this->format.isConfigRead(request))
        co_return co_await this->readConfig();
    co_return makeResponse(404, R"({"error":"no such call"})");
}

HttpResponse Coordinator::refuseWithoutLead(const ProposalError &error, std::string_view call,
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
        const std::string address = withPort(leader, this->settings.operatorListen->port);
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
    const bool isNewer = version > this->store.version();
    const auto start = [this, &body, version, isNewer](Replicator::IndexCallback callback) {
        // A version that is overtaken changes nothing; the lead still has to be certain before it says so.
        if (isNewer)
            this->replica->propose(ConfigStore::encode(version, body), std::move(callback));
        else
            this->replica->confirmLeadership(std::move(callback));
    };
    auto result = co_await awaitIndex(this->io, start);
    if (const auto *error = std::get_if<ProposalError>(&result))
        co_return this->refuseWithoutLead(*error, "write", version);
    logInfo("configuration-acknowledged", {{"version", std::to_string(version)},
                                           {"in_force", std::to_string(this->store.version())},
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
        co_return this->refuseWithoutLead(*error, "read", this->store.version());
    // The lease is asked again at the moment of the answer: this process may have been suspended meanwhile.
    if (!this->replica->status().hasLease)
        co_return makeResponse(503, R"({"error":"the lead may have ended"})");
    if (this->store.version() == 0)
        co_return makeResponse(503, R"({"error":"no configuration yet"})");
    co_return makeResponse(200, this->store.body());
}

bool Coordinator::hasNews(const GatewayStatus &gateway) const
{
    if (this->store.version() > gateway.configVersion)
        return true;
    const Term term = this->replica->status().term;
    return this->fleet && this->fleet->hasList() && gateway.fleetTerm != term;
}

asio::awaitable<HttpResponse> Coordinator::handleExchange(HttpRequest request)
{
    if (request.target() == PlacementPath)
        co_return co_await this->place(std::move(request.body()));
    if (request.target() == TransferPath)
        co_return co_await this->waitForTransfer(std::move(request.body()));
    if (request.target() == TransferEndPath)
        co_return this->finishTransfer(request.body());
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
            response.set(http::field::location, withPort(leader, port));
        co_return response;
    }
    this->load.update(gateway.gateway, gateway.loads, steadyNow());
    this->placeWaitingSoon();
    if (!this->hasNews(gateway)) {
        boost::system::error_code ignored;
        asio::steady_timer timeout(this->io, ExchangeWait);
        timeout.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                this->news.cancel_one();
        });
        co_await this->news.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        timeout.cancel();
    }
    if (!this->replica->status().hasLease)
        co_return makeResponse(503);
    const CoordinatorStatus status = this->statusFor(gateway);
    const bool hasNewFleet =
            this->fleet && this->fleet->hasList() &&
            (status.fleetNumber != gateway.fleetNumber || status.fleetTerm != gateway.fleetTerm);
    co_return makeResponse(200, encodeStatus(status, hasNewFleet ? std::string_view(this->encodedFleet)
                                                                 : std::string_view{}));
}

asio::awaitable<HttpResponse> Coordinator::waitForTransfer(std::string body)
{
    const auto decoded = decodeWish(body);
    if (const auto *error = std::get_if<ExchangeError>(&decoded)) {
        logWarning("exchange-unreadable", {{"cause", error->detail}});
        co_return makeResponse(400);
    }
    if (!this->replica->status().hasLease)
        co_return makeResponse(503);
    const TransferWish wish = std::get<TransferWish>(decoded);
    const double value = wish.worth / std::max(wish.size.promptTokens + wish.madeTokens, 1.0);
    const TransferQueue::Ticket ticket = this->transfers.enqueue(wish.sourceId, value, steadyNow());
    asio::steady_timer turn(this->io, TransferWait);
    this->transferWaiters[ticket] = &turn;
    // All gateways hear of a leaving runner at once; a moment later their wishes are known.
    asio::post(this->io, [this] { this->grantTransfers(); });
    boost::system::error_code ignored;
    co_await turn.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    this->transferWaiters.erase(ticket);
    const std::string destination =
            this->transfers.isActive(ticket) ? this->chooseDestination(wish) : std::string{};
    logInfo("transfer-turn", {{"source", wish.sourceId},
                              {"destination", destination},
                              {"ticket", std::to_string(ticket)},
                              {"queued", std::to_string(this->transfers.size())}});
    if (destination.empty()) {
        this->transfers.release(ticket);
        this->grantTransfers();
        co_return makeResponse(503);
    }
    // Counts at once, so that the copies from other runners go elsewhere.
    this->load.addPlacement(wish.gateway, destination,
                            RunnerLoad{1, MemoryForecast::forGeneration(wish.size, wish.madeTokens), 0},
                            steadyNow());
    co_return makeResponse(200, encodeTurn({ticket, destination}));
}

RunnerPool::RunnerPointer Coordinator::choose(RunnerCriteria request)
{
    request.isFromCoordinator = true;
    const auto engine = this->engines.find(request.service);
    if (engine == this->engines.end())
        return nullptr;
    this->pool.setOtherLoad(this->load.total());
    auto placed = this->pool.choose(request, &engine->second, steadyNow(), this->random);
    const auto *chosen = std::get_if<RunnerPool::RunnerPointer>(&placed);
    return chosen == nullptr ? nullptr : *chosen;
}

std::string Coordinator::chooseDestination(const TransferWish &wish)
{
    const auto source = this->pool.find(wish.sourceId);
    if (!source)
        return {};
    const std::set<std::string> excluded(wish.excluded.begin(), wish.excluded.end());
    RunnerCriteria request{wish.service, source->entry.domain, wish.size,
                           &excluded,    TransferMemoryLimit,  CopyCrossingSeconds};
    request.generatedTokens = wish.madeTokens;
    const RunnerPool::RunnerPointer chosen = this->choose(request);
    return chosen ? chosen->entry.id : std::string{};
}

RunnerPool::RunnerPointer Coordinator::placeNow(const PlacementWish &wish)
{
    const std::set<std::string> excluded(wish.excluded.begin(), wish.excluded.end());
    const RunnerCriteria request{wish.service, wish.domain,      wish.size,
                                 &excluded,    wish.memoryLimit, wish.crossingSeconds};
    RunnerPool::RunnerPointer chosen = this->choose(request);
    if (chosen) {
        const RunnerLoad load{1, MemoryForecast::forGeneration(wish.size, 0), wish.size.promptTokens};
        this->load.addPlacement(wish.gateway, chosen->entry.id, load, steadyNow());
        chosen->addPrefill(wish.size.promptTokens, steadyNow());
    }
    return chosen;
}

void Coordinator::placeWaiting()
{
    size_t inVain = 0;
    for (const PlacementQueue::Ticket ticket : this->placements.order()) {
        PlacementWaiter &waiter = *this->placementWaiters.at(ticket);
        waiter.runner = this->placeNow(waiter.wish);
        if (waiter.runner) {
            this->placements.remove(ticket);
            waiter.turn.cancel();
        } else if (++inVain >= MaxPlacementsInVain) {
            return;
        }
    }
}

void Coordinator::placeWaitingSoon()
{
    if (this->placements.isEmpty() || this->isPlacingSoon)
        return;
    this->isPlacingSoon = true;
    this->placementTimer.expires_after(PlacementInterval);
    this->placementTimer.async_wait([this](const boost::system::error_code &error) {
        this->isPlacingSoon = false;
        if (!error)
            this->placeWaiting();
    });
}

asio::awaitable<HttpResponse> Coordinator::place(std::string body)
{
    const auto decoded = decodePlacementWish(body);
    if (const auto *error = std::get_if<ExchangeError>(&decoded)) {
        logWarning("exchange-unreadable", {{"cause", error->detail}});
        co_return makeResponse(400);
    }
    if (!this->replica->status().hasLease || !this->fleet || !this->fleet->hasList())
        co_return makeResponse(503);
    const auto &wish = std::get<PlacementWish>(decoded);
    const TimePoint now = steadyNow();
    const PlacementQueue::Ticket ticket =
            this->placements.add({wish.priority, wish.routePriority, now - wish.waited});
    asio::steady_timer turn(this->io, PlacementWait);
    PlacementWaiter waiter{wish, turn, nullptr};
    this->placementWaiters.emplace(ticket, &waiter);
    this->placeWaiting();
    if (!waiter.runner) {
        boost::system::error_code ignored;
        co_await turn.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->placements.remove(ticket);
    this->placementWaiters.erase(ticket);
    co_return makeResponse(200, encodePlacement({waiter.runner ? waiter.runner->entry.id : std::string{}}));
}

void Coordinator::grantTransfers()
{
    for (const TransferQueue::Ticket ticket : this->transfers.grant(steadyNow())) {
        const auto waiter = this->transferWaiters.find(ticket);
        if (waiter != this->transferWaiters.end())
            waiter->second->cancel();
        else
            this->transfers.release(ticket);
    }
}

HttpResponse Coordinator::finishTransfer(std::string_view body)
{
    const auto decoded = decodeTurn(body);
    if (const auto *turn = std::get_if<TransferTurn>(&decoded))
        this->transfers.release(turn->ticket);
    this->grantTransfers();
    return makeResponse(200);
}

CoordinatorStatus Coordinator::statusFor(const GatewayStatus &gateway)
{
    this->load.removeSilentGateways(steadyNow(), GatewayTimeout);
    CoordinatorStatus status;
    const RaftStatus raftStatus = this->replica->status();
    const auto port = static_cast<uint16_t>(this->settings.firstInternalPort + ExchangePortOffset);
    for (const RaftMemberStatus &member : raftStatus.members)
        status.coordinators.push_back(withPort(member.address, port));
    status.gatewayCount = static_cast<uint32_t>(this->load.gatewayCount());
    if (this->store.version() > gateway.configVersion)
        status.config = this->store.body();
    status.fleetNumber = this->fleetNumber;
    status.fleetTerm = raftStatus.term;
    status.otherLoads = this->load.totalExcluding(gateway.gateway);
    return status;
}

} // namespace eelgrasslift
