#include "gateway/coordinatorclient.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/coordinator.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

// The leader responds within its long-poll timeout of 300 ms; a frozen one is abandoned soon after.
constexpr Duration ExchangeTimeout = std::chrono::milliseconds{700};
// The leader responds within its long-poll timeout of 200 ms. The rest covers a round trip between failure
// domains on a busy processor; after it the gateway chooses a runner by itself.
constexpr Duration PlacementTimeout = std::chrono::milliseconds{320};
// A permit that arrives later is useless, since the leaving runner has stopped by then.
constexpr Duration TransferTimeout = std::chrono::milliseconds{2600};
constexpr Duration RetryDelay = std::chrono::milliseconds{60};
constexpr Duration MaxRetryDelay = std::chrono::milliseconds{250};

// After this long without contact with the leader, longer than an election, the gateway polls the platform
// itself.
constexpr Duration ContactTimeout = std::chrono::milliseconds{1500};
constexpr Duration ContactCheckInterval = std::chrono::milliseconds{250};

// Share of the platform's rate limit that all gateways without contact with the leader use together.
constexpr double FallbackListShare = 0.4;
constexpr Duration MinFallbackListInterval = std::chrono::milliseconds{600};

FleetReaderSettings fallbackReaderSettings(const NodeSettings &settings)
{
    FleetReaderSettings result;
    result.listEndpoint = settings.fleetListEndpoint.value_or(Endpoint{});
    result.listInterval = MinFallbackListInterval;
    result.reportInterval = std::chrono::milliseconds{500};
    return result;
}

} // namespace

CoordinatorClient::CoordinatorClient(GatewayState &state, SettingsLoader settingsLoader)
    : gateway(state)
    , loadSettings(std::move(settingsLoader))
    , connections(state.io.get_executor())
    , fallbackReader(state.io, state.format, state.connections, fallbackReaderSettings(state.settings))
    , contactTimer(state.io)
{
    this->addSeeds(state.settings.seeds);
    state.fleetScheduler = this;
}

void CoordinatorClient::addSeeds(const std::vector<Endpoint> &seeds)
{
    const auto port = static_cast<uint16_t>(this->gateway.settings.firstInternalPort + ExchangePortOffset);
    for (const Endpoint &seed : seeds) {
        std::string address = Endpoint{seed.address, port}.toString();
        if (std::find(this->coordinatorAddresses.begin(), this->coordinatorAddresses.end(), address) ==
            this->coordinatorAddresses.end())
            this->coordinatorAddresses.push_back(std::move(address));
    }
}

void CoordinatorClient::start()
{
    this->startedAt = steadyNow();
    this->currentIndex = this->gateway.random.below(std::max<size_t>(this->coordinatorAddresses.size(), 1));
    this->fallbackReader.onUpdate([this](bool) {
        if (!this->hasLeaderContact)
            this->gateway.applyFleet(this->fallbackReader.entries());
    });
    asio::co_spawn(this->gateway.io, this->exchangeLoop(), asio::detached);
    this->checkContact();
}

void CoordinatorClient::checkContact()
{
    const TimePoint now = steadyNow();
    const bool isInContact = now - this->lastLeaderContact.value_or(this->startedAt) < ContactTimeout;
    if (isInContact != this->hasLeaderContact) {
        this->hasLeaderContact = isInContact;
        logInfo(isInContact ? "lead-regained" : "lead-lost",
                {{"config",
                  this->gateway.routes() ? std::to_string(this->gateway.routes()->version()) : "none"},
                 {"last_contact_ms", this->lastLeaderContact
                                             ? std::to_string(toMilliseconds(now - *this->lastLeaderContact))
                                             : "never"}});
    }
    if (this->gateway.settings.fleetListEndpoint) {
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
        if (!isInContact && !this->fallbackReader.isActive())
            this->fallbackReader.setKnownRunners(this->gateway.runners.entries());
        this->fallbackReader.setActive(!isInContact);
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
        bool hasSucceeded = false;
        if (!this->coordinatorAddresses.empty()) {
            const std::string address =
                    this->coordinatorAddresses[this->currentIndex % this->coordinatorAddresses.size()];
            hasSucceeded = co_await this->exchangeOnce(address);
        }
        if (hasSucceeded) {
            this->consecutiveFailures = 0;
            continue;
        }
        ++this->consecutiveFailures;
        if (this->consecutiveFailures % (this->coordinatorAddresses.size() + 1) == 0) {
            const auto settings = this->loadSettings();
            if (const auto *newSettings = std::get_if<NodeSettings>(&settings))
                this->addSeeds(newSettings->seeds);
        }
        retryTimer.expires_after(std::min<Duration>(RetryDelay * this->consecutiveFailures, MaxRetryDelay));
        co_await retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> CoordinatorClient::exchangeOnce(std::string address)
{
    GatewayStatus status;
    status.gateway = this->gateway.settings.name;
    status.configVersion = this->gateway.routes() ? this->gateway.routes()->version() : 0;
    status.fleetVersion = this->fleetVersion;
    status.fleetTerm = this->fleetTerm;
    status.loads = this->gateway.ownLoads();
    OutgoingCall call{"POST", "/exchange", encodeStatus(status)};
    auto result = co_await this->connections.call(address, std::move(call), ExchangeTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response != nullptr && response->result_int() == 200) {
        auto decoded = decodeCoordinatorStatus(response->body());
        if (auto *newStatus = std::get_if<CoordinatorStatus>(&decoded)) {
            this->applyStatus(std::move(*newStatus));
            co_return true;
        }
        logWarning("exchange-unreadable",
                   {{"from", address}, {"cause", std::get<ExchangeError>(decoded).detail}});
    }
    if (response == nullptr)
        this->connections.dropIdle(address);
    const auto leader = response == nullptr ? boost::beast::string_view{}
                                            : (*response)[boost::beast::http::field::location];
    const auto found = std::find(this->coordinatorAddresses.begin(), this->coordinatorAddresses.end(),
                                 std::string_view(leader.data(), leader.size()));
    if (!leader.empty() && found != this->coordinatorAddresses.end())
        this->currentIndex = static_cast<size_t>(found - this->coordinatorAddresses.begin());
    else if (!leader.empty()) {
        this->coordinatorAddresses.emplace_back(leader);
        this->currentIndex = this->coordinatorAddresses.size() - 1;
    } else {
        ++this->currentIndex;
    }
    co_return false;
}

asio::awaitable<std::optional<PlacementResult>> CoordinatorClient::place(FleetPlacementRequest request)
{
    if (!this->hasLeaderContact || this->coordinatorAddresses.empty())
        co_return std::nullopt;
    request.gateway = this->gateway.settings.name;
    OutgoingCall call{"POST", PlacementPath, encodePlacementRequest(request)};
    auto result = co_await this->connections.call(this->currentAddress(), std::move(call), PlacementTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->result_int() != 200)
        co_return std::nullopt;
    auto decoded = decodePlacementResult(response->body());
    if (auto *placement = std::get_if<PlacementResult>(&decoded))
        co_return std::move(*placement);
    co_return std::nullopt;
}

asio::awaitable<std::optional<TransferPermit>> CoordinatorClient::requestTransfer(TransferRequest request)
{
    if (!this->hasLeaderContact || this->coordinatorAddresses.empty())
        co_return std::nullopt;
    request.gateway = this->gateway.settings.name;
    OutgoingCall call{"POST", TransferPath, encodeTransferRequest(request)};
    auto result = co_await this->connections.call(this->currentAddress(), std::move(call), TransferTimeout);
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
    asio::co_spawn(
            this->gateway.io,
            [this, ticket]() -> asio::awaitable<void> {
                const TransferPermit permit{ticket, {}};
                OutgoingCall call{"POST", TransferEndPath, encodeTransferPermit(permit)};
                co_await this->connections.call(this->currentAddress(), std::move(call), ExchangeTimeout);
            },
            asio::detached);
}

void CoordinatorClient::applyStatus(CoordinatorStatus status)
{
    this->lastLeaderContact = steadyNow();
    this->gatewayCount = std::max<uint32_t>(status.gatewayCount, 1);
    this->gateway.retryBudget.setGatewayCount(this->gatewayCount);
    const std::string leader = this->currentAddress();
    for (std::string &address : status.coordinatorAddresses) {
        if (std::find(this->coordinatorAddresses.begin(), this->coordinatorAddresses.end(), address) ==
            this->coordinatorAddresses.end())
            this->coordinatorAddresses.push_back(std::move(address));
    }
    this->currentIndex = static_cast<size_t>(
            std::find(this->coordinatorAddresses.begin(), this->coordinatorAddresses.end(), leader) -
            this->coordinatorAddresses.begin());
    if (status.config)
        this->gateway.applyConfig(*status.config);
    if (status.fleet) {
        this->fleetVersion = status.fleetVersion;
        this->fleetTerm = status.fleetTerm;
        this->gateway.applyFleet(*status.fleet);
    }
    this->gateway.runners.setOtherLoad(status.otherLoads);
}

} // namespace eelgrasslift
