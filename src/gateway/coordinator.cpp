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

// Members are a few milliseconds apart, and a system that restarts as a whole serves nothing before an
// election.
constexpr Duration HeartbeatInterval = std::chrono::milliseconds{80};
constexpr Duration ElectionTimeoutMin = std::chrono::milliseconds{400};
constexpr Duration ElectionTimeoutMax = std::chrono::milliseconds{800};
constexpr Duration LeaseDuration = std::chrono::milliseconds{340};
// A voter that does not respond for longer is replaced if there is a caught-up learner. Half of the time
// within which the platform expects a repaired member to vote again.
constexpr Duration UnresponsiveVoterTimeout = std::chrono::seconds{2};
// Reports are half a second old when they arrive, so polling more often adds little.
constexpr Duration ReportInterval = std::chrono::milliseconds{400};
// A tenth of the shortest notice period that the users specify.
constexpr Duration HealthInterval = std::chrono::milliseconds{200};
// A gateway that needs the delegate exchanges its status several times a second.
constexpr Duration DelegateTimeout = std::chrono::seconds{2};
constexpr Duration LeadershipCheckInterval = std::chrono::milliseconds{100};
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
    std::vector<std::string> initialMembers;
    for (const Endpoint &seed : settings.seeds)
        initialMembers.push_back(Endpoint{
                seed.address, static_cast<uint16_t>(settings.firstInternalPort + ConsensusPortOffset)}
                                         .toString());
    auto result = bootstrapAtStart(settings.dataFolder, initialMembers, ownAddress, settings.isBootstrap);
    if (auto *error = std::get_if<StorageError>(&result))
        return std::move(*error);
    if (std::get<bool>(result))
        logInfo("cluster-founded", {{"address", ownAddress}});
    return std::nullopt;
}

} // namespace

Coordinator::Coordinator(asio::io_context &context, const NodeSettings &nodeSettings,
                         const WireFormat &wireFormat)
    : io(context)
    , settings(nodeSettings)
    , format(wireFormat)
    , connections(context.get_executor())
    , leadershipTimer(context)
    , configPublisher(context, nodeSettings.domain)
    , scheduler(context)
    , exchange(context, this->scheduler)
{}

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
        coordinator->fleetReader = std::make_unique<FleetReader>(io, format, coordinator->connections,
                                                                 coordinator->leavingRunners, readerSettings);
    }
    return coordinator;
}

void Coordinator::start()
{
    this->configStore.onChange([this] { this->applyConfig(); });
    this->configStore.onEvacuation([this] { this->applyEvacuations(); });
    if (this->fleetReader)
        this->fleetReader->onUpdate([this] { this->handleFleetUpdate(); });
    this->replica->onChange([this] {
        // A member that has lost the lead must not keep its gateways waiting.
        const bool hasLease = this->replica->status().hasLease;
        if (this->hadLease && !hasLease)
            this->exchange.wakeAll();
        this->hadLease = hasLease;
    });
    this->replica->start();
    this->checkLeadership();
}

void Coordinator::stop()
{
    this->leadershipTimer.cancel();
    this->scheduler.stop();
    this->replica->stop();
}

void Coordinator::applyConfig()
{
    const std::string &body = this->configStore.body();
    const auto decoded = this->format.decodeConfig(body);
    if (const auto *error = std::get_if<ConfigError>(&decoded)) {
        logError("stored-configuration-unreadable", {{"cause", describe(*error)}});
        return;
    }
    FleetReader::EngineServices services;
    GenerationScheduler::Engines engines;
    this->engineServices.clear();
    for (const Service &service : std::get<ServingConfig>(decoded).services) {
        if (!service.engine)
            continue;
        services.emplace(service.name, service.healthPath);
        engines.emplace(service.name, *service.engine);
        this->engineServices.insert(service.name);
    }
    if (this->fleetReader)
        this->fleetReader->setEngineServices(std::move(services));
    this->scheduler.setEngines(std::move(engines));
    this->configPublisher.publish(this->configStore.version(), body);
}

bool Coordinator::isScheduling() const
{
    return this->replica->status().hasLease ||
           (this->delegateUsedAt && steadyNow() - *this->delegateUsedAt < DelegateTimeout);
}

void Coordinator::checkLeadership()
{
    if (this->fleetReader)
        this->fleetReader->setActive(this->isScheduling());
    this->leadershipTimer.expires_after(LeadershipCheckInterval);
    this->leadershipTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->checkLeadership();
    });
}

void Coordinator::handleFleetUpdate()
{
    this->exchange.updateFleet(this->fleetReader->entries(), this->engineServices);
}

asio::awaitable<HttpResponse> Coordinator::handleOperator(HttpRequest request)
{
    if (this->format.isConfigWrite(request))
        co_return co_await this->writeConfig(std::move(request.body()));
    if (this->format.isConfigRead(request))
        co_return co_await this->readConfig();
    if (auto change = this->format.decodeEvacuation(request))
        co_return co_await this->changeEvacuation(std::move(*change), std::string(request.target()));
    co_return makeResponse(404, R"({"error":"no such call"})");
}

HttpResponse Coordinator::leadershipErrorResponse(const ProposalError &error, std::string_view call,
                                                  uint64_t version, std::string_view path) const
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
        response.set(http::field::location, "http://" + address + std::string(path));
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
        co_return this->leadershipErrorResponse(*error, "write", version, this->format.configPath());
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
        co_return this->leadershipErrorResponse(*error, "read", this->configStore.version(),
                                                this->format.configPath());
    // Checks the lease again right before the response, since this process may have been suspended meanwhile.
    if (!this->replica->status().hasLease)
        co_return makeResponse(503, R"({"error":"the lead may have ended"})");
    if (this->configStore.version() == 0)
        co_return makeResponse(503, R"({"error":"no configuration yet"})");
    co_return makeResponse(200, this->configStore.body());
}

asio::awaitable<HttpResponse> Coordinator::changeEvacuation(EvacuationChange change, std::string target)
{
    const std::vector<std::string> &domains = this->settings.knownDomains;
    const bool isKnown = domains.empty() || std::ranges::find(domains, change.domain) != domains.end();
    // The end of an evacuation is accepted for any domain, so that one can be withdrawn whose name is gone.
    if (change.isEvacuated && !isKnown) {
        logWarning("evacuation-refused", {{"domain", change.domain}, {"cause", "unknown-domain"}});
        co_return makeResponse(404, R"({"error":"unknown failure domain"})");
    }
    const auto start = [this, &change](Replicator::IndexCallback callback) {
        // Also if it is in force already: another change may be on its way to the log.
        this->replica->propose(ConfigStore::encode(change), std::move(callback));
    };
    auto result = co_await awaitIndex(this->io, start);
    if (const auto *error = std::get_if<ProposalError>(&result))
        co_return this->leadershipErrorResponse(*error, "evacuation", this->configStore.version(), target);
    logInfo("evacuation-acknowledged", {{"domain", change.domain},
                                        {"evacuated", change.isEvacuated ? "yes" : "no"},
                                        {"index", std::to_string(std::get<LogIndex>(result))}});
    co_return makeResponse(200, "{}");
}

void Coordinator::applyEvacuations()
{
    this->scheduler.setEvacuations(this->configStore.evacuations());
    this->exchange.wakeAll();
}

std::string Coordinator::leaderExchangeAddress() const
{
    const std::string leader = this->replica->leaderAddress();
    const auto port = static_cast<uint16_t>(this->settings.firstInternalPort + ExchangePortOffset);
    return leader.empty() ? std::string{} : replacePort(leader, port);
}

asio::awaitable<HttpResponse> Coordinator::handleExchange(HttpRequest request)
{
    const std::string target(request.target());
    if (target.starts_with(ConfigurationPath))
        co_return co_await this->configPublisher.handle(target);
    if (target == StatusPath)
        co_return co_await this->handleStatus(std::move(request.body()));
    if (target != PlacementPath && target != TransferPath && target != TransferEndPath)
        co_return makeResponse(404);
    if (!this->isScheduling() || !this->fleetReader || !this->fleetReader->hasList())
        co_return makeResponse(503);
    HttpResponse response;
    if (target == PlacementPath)
        response = co_await this->scheduler.place(std::move(request.body()));
    else if (target == TransferPath)
        response = co_await this->scheduler.requestTransfer(std::move(request.body()));
    else
        response = this->scheduler.endTransfer(request.body());
    // This process may have been paused, or have lost the lead, while the call waited.
    co_return this->isScheduling() ? std::move(response) : makeResponse(503);
}

void Coordinator::mergeCrashReports(const GatewayStatus &gateway)
{
    bool isAnyChanged = false;
    for (const CrashReport &report : gateway.crashReports) {
        const CrashRecords::Change change = this->crashRecords.merge(report, steadyNow());
        if (change != CrashRecords::Change::Quarantined && change != CrashRecords::Change::Cleared)
            continue;
        isAnyChanged = true;
        const bool isQuarantined = change == CrashRecords::Change::Quarantined;
        logWarning(isQuarantined ? "request-quarantined" : "request-cleared",
                   {{"subject", std::string(toString(report.subject))},
                    {"fingerprint", fingerprintText(report.fingerprint)},
                    {"source", gateway.gateway},
                    {"runners", this->crashRecords.crashedRunners(report.fingerprint)}});
    }
    if (isAnyChanged)
        this->exchange.wakeAll();
}

asio::awaitable<HttpResponse> Coordinator::handleStatus(std::string body)
{
    auto decoded = decodeGatewayStatus(body);
    if (const auto *error = std::get_if<ExchangeError>(&decoded)) {
        logWarning("exchange-unreadable", {{"cause", error->detail}});
        co_return makeResponse(400);
    }
    const auto gateway = std::move(std::get<GatewayStatus>(decoded));
    if (this->fleetReader)
        this->fleetReader->recordLeaving(gateway.gateway, gateway.leavingRunners);
    this->mergeCrashReports(gateway);
    if (!this->replica->status().hasLease && gateway.acceptsDelegate) {
        if (!this->isScheduling())
            logInfo("delegate-started",
                    {{"gateway", gateway.gateway}, {"leader", this->leaderExchangeAddress()}});
        this->delegateUsedAt = steadyNow();
    }
    const auto mayServe = [this, &gateway] {
        return this->replica->status().hasLease || (gateway.acceptsDelegate && this->isScheduling());
    };
    const auto refuse = [this] {
        HttpResponse response = makeResponse(503);
        if (const std::string leader = this->leaderExchangeAddress(); !leader.empty())
            response.set(http::field::location, leader);
        return response;
    };
    if (!mayServe())
        co_return refuse();
    this->scheduler.updateGateway(gateway.gateway, gateway.loads);
    const auto isFleetKnown = [this] { return this->fleetReader && this->fleetReader->hasList(); };
    co_await this->exchange.waitForUpdate(gateway, isFleetKnown());
    if (!mayServe())
        co_return refuse();
    CoordinatorStatus status;
    const RaftStatus raftStatus = this->replica->status();
    const auto port = static_cast<uint16_t>(this->settings.firstInternalPort + ExchangePortOffset);
    for (const RaftMemberStatus &member : raftStatus.members)
        status.coordinatorAddresses.push_back(replacePort(member.address, port));
    status.isLeader = raftStatus.hasLease;
    status.leaderAddress = this->leaderExchangeAddress();
    status.domain = this->settings.domain;
    status.configVersion = this->configStore.version();
    status.evacuations = this->configStore.evacuations();
    this->exchange.fillStatus(status, gateway, isFleetKnown());
    const uint64_t knownVersion = gateway.crashSource == status.fleetSource ? gateway.crashVersion : 0;
    status.refusals = this->crashRecords.refusalsSince(knownVersion, steadyNow());
    co_return makeResponse(200, encodeStatus(status));
}

} // namespace eelgrasslift
