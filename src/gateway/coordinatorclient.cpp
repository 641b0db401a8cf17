#include "gateway/coordinatorclient.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/coordinator.h"
#include "gateway/task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

// The leader responds within its long-poll timeout of 300 ms; the exchange with a paused one is aborted soon
// after.
constexpr Duration ExchangeTimeout = std::chrono::milliseconds{700};
// The leader responds within its long-poll timeout of 200 ms. The remainder covers a round trip between
// failure domains on a busy processor; after it the gateway chooses a runner by itself.
constexpr Duration PlacementTimeout = std::chrono::milliseconds{320};
// A permit that arrives later is useless, since the leaving runner has stopped by then.
constexpr Duration TransferTimeout = std::chrono::milliseconds{2600};
constexpr Duration RetryDelay = std::chrono::milliseconds{60};
constexpr Duration MaxRetryDelay = std::chrono::milliseconds{250};

constexpr Duration ContactCheckInterval = std::chrono::milliseconds{250};
// Share of the platform's rate limit that all gateways without any coordinator use together.
constexpr double FallbackListShare = 0.4;
constexpr Duration MinFallbackListInterval = std::chrono::milliseconds{600};
// Only runners with generations of this gateway are asked for reports, to learn when they leave.
constexpr Duration FallbackReportInterval = std::chrono::seconds{1};

FleetReaderSettings fallbackReaderSettings(const NodeSettings &settings)
{
    FleetReaderSettings result;
    result.listEndpoint = settings.fleetListEndpoint.value_or(Endpoint{});
    result.listInterval = MinFallbackListInterval;
    result.reportInterval = FallbackReportInterval;
    return result;
}

} // namespace

CoordinatorClient::CoordinatorClient(GatewayState &state, SettingsLoader settingsLoader)
    : gateway(state)
    , loadSettings(std::move(settingsLoader))
    , connections(state.io.get_executor())
    , fallbackReader(state.io, state.format, this->connections, state.runners.leavingRunners(),
                     fallbackReaderSettings(state.settings))
    , coordinators(state.settings.domain)
    , configSubscriber(state, this->coordinators, this->connections)
    , contact(steadyNow())
    , contactTimer(state.io)
{
    this->addSeeds(state.settings.seeds);
    state.fleetScheduler = this;
}

void CoordinatorClient::addSeeds(const std::vector<Endpoint> &seeds)
{
    const auto port = static_cast<uint16_t>(this->gateway.settings.firstInternalPort + ExchangePortOffset);
    for (const Endpoint &seed : seeds)
        this->coordinators.add(Endpoint{seed.address, port}.toString());
}

void CoordinatorClient::start()
{
    this->fallbackReader.onUpdate([this] {
        if (this->fallbackReader.isActive()) {
            this->gateway.applyFleet(this->fallbackReader.entries());
            return;
        }
        // An answer that arrived after the reader was stopped may have stated that its sender is leaving.
        this->gateway.runners.markStatedLeaving();
        this->gateway.handleFleetUpdate();
    });
    this->fallbackReader.setReportFilter([this](const RunnerEntry &entry) {
        const RunnerPool::RunnerPointer runner = this->gateway.runners.find(entry.id);
        return runner && runner->ownLoad.activeRequests > 0 &&
               !this->gateway.runners.isPaused(*runner, steadyNow());
    });
    this->fallbackReader.onResponse([this](const RunnerEntry &entry, const ResponseMetadata &metadata) {
        const RunnerPool::RunnerPointer runner = this->gateway.runners.find(entry.id);
        if (runner && runner->entry.address == entry.address &&
            runner->entry.startedAtMs == entry.startedAtMs)
            this->gateway.recordPause(*runner, metadata, {});
    });
    spawnLoop(this->gateway.io, "exchange", [this] { return this->exchangeLoop(); });
    this->configSubscriber.start();
    this->checkContact();
}

void CoordinatorClient::checkContact()
{
    const TimePoint now = steadyNow();
    const bool isInContact = this->contact.hasLeaderContact(now);
    if (isInContact != this->wasInContact) {
        this->wasInContact = isInContact;
        logInfo(isInContact ? "lead-regained" : "lead-lost",
                {{"config",
                  this->gateway.routes() ? std::to_string(this->gateway.routes()->version()) : "none"},
                 {"last_contact_ms", std::to_string(toMilliseconds(this->contact.sinceLeaderContact(now)))},
                 {"cause", this->lastFailure}});
    }
    if (this->gateway.settings.fleetListEndpoint) {
        const bool isAlone = this->contact.isAlone(now);
        const double share = this->gateway.settings.fleetCallsPerSecond * FallbackListShare;
        this->fallbackReader.setListInterval(
                std::max(MinFallbackListInterval, fromSeconds(this->gatewayCount / std::max(share, 0.1))));
        if (this->gateway.routes()) {
            FleetReader::EngineServices engines;
            for (const Service &service : this->gateway.routes()->config().services) {
                if (service.engine)
                    engines.emplace(service.name, service.healthPath);
            }
            this->fallbackReader.setEngineServices(std::move(engines));
        }
        if (isAlone && !this->fallbackReader.isActive())
            this->fallbackReader.setKnownRunners(this->gateway.runners.entries());
        this->fallbackReader.setActive(isAlone);
        // The list that the gateway reads itself has no version of a coordinator.
        if (isAlone)
            this->fleetSource = 0;
    }
    this->contactTimer.expires_after(ContactCheckInterval);
    this->contactTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->checkContact();
    });
}

asio::awaitable<void> CoordinatorClient::exchangeLoop()
{
    boost::system::error_code ignored;
    asio::steady_timer retryTimer(this->gateway.io);
    for (;;) {
        std::string address = this->contact.nextAddress(steadyNow());
        // Beside a delegate that knows no leader, another coordinator is only asked for the leader.
        const bool mayDelegate = !address.empty() || this->contact.scheduler().empty();
        if (address.empty())
            address = this->coordinators.choose(steadyNow(), this->gateway.random, this->contact.scheduler());
        const bool hasSucceeded = !address.empty() && co_await this->exchangeOnce(address, mayDelegate);
        if (hasSucceeded) {
            this->consecutiveFailures = 0;
            continue;
        }
        ++this->consecutiveFailures;
        if (this->consecutiveFailures % (this->coordinators.size() + 1) == 0) {
            const auto settings = this->loadSettings();
            if (const auto *newSettings = std::get_if<NodeSettings>(&settings))
                this->addSeeds(newSettings->seeds);
        }
        retryTimer.expires_after(std::min<Duration>(RetryDelay * this->consecutiveFailures, MaxRetryDelay));
        co_await retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> CoordinatorClient::exchangeOnce(std::string address, bool mayDelegate)
{
    GatewayStatus status;
    status.gateway = this->gateway.settings.name;
    status.domain = this->gateway.settings.domain;
    status.fleetVersion = this->fleetVersion;
    status.fleetSource = this->fleetSource;
    status.acceptsDelegate = mayDelegate && !this->contact.hasLeaderContact(steadyNow());
    status.loads = this->gateway.ownLoads();
    status.leavingRunners = this->gateway.runners.listedLeaving();
    CrashChanges crashes = this->gateway.crashRecords.changesSince(this->reportedCrashVersion, steadyNow());
    status.crashReports = std::move(crashes.reports);
    status.crashVersion = this->crashVersion;
    status.crashSource = this->crashSource;
    OutgoingCall call{"POST", StatusPath, encodeStatus(status)};
    const TimePoint startedAt = steadyNow();
    auto result = co_await this->connections.call(address, std::move(call), ExchangeTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response != nullptr && response->result_int() == 200) {
        const auto decoded = decodeCoordinatorStatus(response->body());
        if (const auto *newStatus = std::get_if<CoordinatorStatus>(&decoded)) {
            this->applyStatus(address, *newStatus);
            this->applyRefusals(*newStatus, crashes.version);
            co_return true;
        }
        logWarning("exchange-unreadable",
                   {{"from", address}, {"cause", std::get<ExchangeError>(decoded).detail}});
    }
    this->lastFailure = address + " " +
                        (response == nullptr ? std::string(toString(std::get<HttpFailure>(result)))
                                             : std::to_string(response->result_int())) +
                        " after " + std::to_string(toMilliseconds(steadyNow() - startedAt)) + " ms";
    const auto location = response == nullptr ? boost::beast::string_view{}
                                              : (*response)[boost::beast::http::field::location];
    const std::string leader(location);
    if (!leader.empty() && leader != address) {
        this->contact.recordRedirect(address, leader);
        this->coordinators.add(leader);
        co_return false;
    }
    this->contact.recordFailure(address);
    this->coordinators.recordFailure(address, steadyNow());
    if (response == nullptr)
        this->connections.dropIdle(address);
    co_return false;
}

asio::awaitable<std::optional<PlacementResult>> CoordinatorClient::place(FleetPlacementRequest request)
{
    if (this->contact.scheduler().empty())
        co_return std::nullopt;
    request.gateway = this->gateway.settings.name;
    OutgoingCall call{"POST", PlacementPath, encodePlacementRequest(request)};
    auto result =
            co_await this->connections.call(this->contact.scheduler(), std::move(call), PlacementTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->result_int() != 200)
        co_return std::nullopt;
    auto decoded = decodePlacementResult(response->body());
    auto *placement = std::get_if<PlacementResult>(&decoded);
    if (placement == nullptr)
        co_return std::nullopt;
    if (placement->runner && !this->gateway.runners.find(placement->runner->id)) {
        FleetChanges addition;
        addition.entries.push_back(*placement->runner);
        this->gateway.runners.applyChanges(addition, steadyNow());
    }
    co_return std::move(*placement);
}

asio::awaitable<std::optional<TransferPermit>> CoordinatorClient::requestTransfer(TransferRequest request)
{
    if (this->contact.scheduler().empty())
        co_return std::nullopt;
    request.gateway = this->gateway.settings.name;
    OutgoingCall call{"POST", TransferPath, encodeTransferRequest(request)};
    auto result =
            co_await this->connections.call(this->contact.scheduler(), std::move(call), TransferTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->result_int() != 200)
        co_return std::nullopt;
    auto decoded = decodeTransferPermit(response->body());
    if (auto *permit = std::get_if<TransferPermit>(&decoded))
        co_return std::move(*permit);
    co_return std::nullopt;
}

void CoordinatorClient::finishTransfer(uint64_t ticket)
{
    spawnTask(this->gateway.io, "transfer-end", [this, ticket]() -> asio::awaitable<void> {
        OutgoingCall call{"POST", TransferEndPath, encodeTransferPermit({ticket, {}})};
        co_await this->connections.call(this->contact.scheduler(), std::move(call), ExchangeTimeout);
    });
}

void CoordinatorClient::applyRefusals(const CoordinatorStatus &status, uint64_t reportedVersion)
{
    // A coordinator that the gateway has not exchanged with before gets all reports next time.
    this->reportedCrashVersion = status.fleetSource == this->crashSource ? reportedVersion : 0;
    this->crashSource = status.fleetSource;
    this->crashVersion = status.refusals.version;
    this->gateway.mergeCrashReports(status.refusals.reports);
}

void CoordinatorClient::applyStatus(const std::string &address, const CoordinatorStatus &status)
{
    const TimePoint now = steadyNow();
    if (this->contact.scheduler() != address)
        logInfo("scheduler-changed", {{"coordinator", address}, {"leads", status.isLeader ? "yes" : "no"}});
    this->contact.recordStatus(address, status.isLeader, status.leaderAddress, now);
    // A delegate knows only a part of the gateways.
    this->gatewayCount = std::max(status.gatewayCount, status.isLeader ? 1U : this->gatewayCount);
    this->gateway.retryBudget.setGatewayCount(this->gatewayCount);
    this->gateway.gatewayCount = this->gatewayCount;
    this->gateway.crashRecords.setHasOthers(this->gatewayCount > 1);
    this->coordinators.setMembers(status.coordinatorAddresses);
    this->coordinators.recordResponse(address, status.domain);
    if (status.fleet) {
        this->fleetVersion = status.fleet->version;
        this->fleetSource = status.fleetSource;
        this->gateway.runners.applyChanges(*status.fleet, now);
    }
    if (this->gateway.runners.setEvacuations(status.evacuations))
        logInfo("evacuation-changed", {{"domains", status.evacuations.describe()},
                                       {"sequence", std::to_string(status.evacuations.sequence)}});
    this->gateway.runners.setOtherLoad(status.otherLoads);
    this->gateway.runners.setMemoryUtilization(status.memoryUtilization);
    this->gateway.handleFleetUpdate();
    if (status.isLeader)
        this->configSubscriber.announce(status.configVersion, address);
}

} // namespace eelgrasslift
