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

// The lead answers within its wait of 300 ms; a frozen one is given up soon after.
constexpr Duration ExchangeTimeout = std::chrono::milliseconds{700};
// The lead answers within its wait of 200 ms; two crossings between failure domains on a busy processor later
// the gateway places by its own view.
constexpr Duration PlacementTimeout = std::chrono::milliseconds{320};
// A turn comes before the runner is gone, or is of no use.
constexpr Duration TransferTimeout = std::chrono::milliseconds{2600};
constexpr Duration PauseAfterFailure = std::chrono::milliseconds{60};
constexpr Duration LongestPause = std::chrono::milliseconds{250};

// Without the lead for this long the gateway asks the platform itself; longer than an election.
constexpr Duration ContactTimeout = std::chrono::milliseconds{1500};
constexpr Duration WatchInterval = std::chrono::milliseconds{250};

// Part of the platform's rate that gateways without a lead may use together.
constexpr double OwnListShare = 0.4;
constexpr Duration ShortestOwnListInterval = std::chrono::milliseconds{600};

FleetReaderSettings ownReaderSettings(const NodeSettings &settings)
{
    FleetReaderSettings result;
    result.list = settings.fleetListEndpoint.value_or(Endpoint{});
    result.listInterval = ShortestOwnListInterval;
    result.reportInterval = std::chrono::milliseconds{500};
    return result;
}

} // namespace

CoordinatorClient::CoordinatorClient(GatewayState &state, SettingsLoader source)
    : gateway(state)
    , reload(std::move(source))
    , connections(state.io.get_executor())
    , ownReader(state.io, state.format, state.connections, ownReaderSettings(state.settings))
    , watchTimer(state.io)
{
    this->useSeeds(state.settings.seeds);
    state.fleetScheduler = this;
}

void CoordinatorClient::useSeeds(const std::vector<Endpoint> &seeds)
{
    const auto port = static_cast<uint16_t>(this->gateway.settings.firstInternalPort + ExchangePortOffset);
    for (const Endpoint &seed : seeds) {
        std::string address = Endpoint{seed.address, port}.toString();
        if (std::find(this->coordinators.begin(), this->coordinators.end(), address) ==
            this->coordinators.end())
            this->coordinators.push_back(std::move(address));
    }
}

void CoordinatorClient::start()
{
    this->startedAt = steadyNow();
    this->current = this->gateway.random.below(std::max<size_t>(this->coordinators.size(), 1));
    this->ownReader.onUpdate([this](bool) {
        if (!this->hasContact)
            this->gateway.adoptFleet(this->ownReader.entries());
    });
    asio::co_spawn(this->gateway.io, this->exchangeForever(), asio::detached);
    this->watchContact();
}

void CoordinatorClient::watchContact()
{
    const TimePoint now = steadyNow();
    const bool isInContact = now - this->lastContact.value_or(this->startedAt) < ContactTimeout;
    if (isInContact != this->hasContact) {
        this->hasContact = isInContact;
        logInfo(isInContact ? "lead-regained" : "lead-lost",
                {{"config",
                  this->gateway.routes() ? std::to_string(this->gateway.routes()->version()) : "none"},
                 {"last_contact_ms",
                  this->lastContact ? std::to_string(toMilliseconds(now - *this->lastContact)) : "never"}});
    }
    if (this->gateway.settings.fleetListEndpoint) {
        const double share = this->gateway.settings.fleetCallsPerSecond * OwnListShare;
        this->ownReader.setListInterval(
                std::max(ShortestOwnListInterval, fromSeconds(this->gatewayCount / std::max(share, 0.1))));
        if (this->gateway.routes()) {
            FleetReader::EngineServices engines;
            for (const Service &service : this->gateway.routes()->config().services) {
                if (service.engine)
                    engines.emplace(service.name, service.healthPath);
            }
            this->ownReader.setEngineServices(std::move(engines));
        }
        if (!isInContact && !this->ownReader.isActive())
            this->ownReader.useKnown(this->gateway.runners.entries());
        this->ownReader.setActive(!isInContact);
    }
    this->watchTimer.expires_after(WatchInterval);
    this->watchTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->watchContact();
    });
}

asio::awaitable<void> CoordinatorClient::exchangeForever()
{
    boost::system::error_code ignored;
    asio::steady_timer pause(this->gateway.io);
    for (;;) {
        bool isDone = false;
        if (!this->coordinators.empty()) {
            const std::string address = this->coordinators[this->current % this->coordinators.size()];
            isDone = co_await this->exchangeOnce(address);
        }
        if (isDone) {
            this->failures = 0;
            continue;
        }
        ++this->failures;
        if (this->failures % (this->coordinators.size() + 1) == 0) {
            const auto settings = this->reload();
            if (const auto *fresh = std::get_if<NodeSettings>(&settings))
                this->useSeeds(fresh->seeds);
        }
        pause.expires_after(std::min<Duration>(PauseAfterFailure * this->failures, LongestPause));
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> CoordinatorClient::exchangeOnce(std::string address)
{
    GatewayStatus status;
    status.gateway = this->gateway.settings.name;
    status.configVersion = this->gateway.routes() ? this->gateway.routes()->version() : 0;
    status.fleetNumber = this->fleetNumber;
    status.fleetTerm = this->fleetTerm;
    status.loads = this->gateway.ownLoads();
    OutgoingCall call{"POST", "/exchange", encodeStatus(status)};
    auto result = co_await this->connections.call(address, std::move(call), ExchangeTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response != nullptr && response->result_int() == 200) {
        auto decoded = decodeCoordinatorStatus(response->body());
        if (auto *answer = std::get_if<CoordinatorStatus>(&decoded)) {
            this->adopt(std::move(*answer));
            co_return true;
        }
        logWarning("exchange-unreadable",
                   {{"from", address}, {"cause", std::get<ExchangeError>(decoded).detail}});
    }
    if (response == nullptr)
        this->connections.dropIdle(address);
    const auto leader = response == nullptr ? boost::beast::string_view{}
                                            : (*response)[boost::beast::http::field::location];
    const auto known = std::find(this->coordinators.begin(), this->coordinators.end(),
                                 std::string_view(leader.data(), leader.size()));
    if (!leader.empty() && known != this->coordinators.end())
        this->current = static_cast<size_t>(known - this->coordinators.begin());
    else if (!leader.empty()) {
        this->coordinators.emplace_back(leader);
        this->current = this->coordinators.size() - 1;
    } else {
        ++this->current;
    }
    co_return false;
}

asio::awaitable<std::optional<PlacementAnswer>> CoordinatorClient::place(PlacementWish wish)
{
    if (!this->hasContact || this->coordinators.empty())
        co_return std::nullopt;
    wish.gateway = this->gateway.settings.name;
    OutgoingCall call{"POST", PlacementPath, encodePlacementWish(wish)};
    auto result = co_await this->connections.call(this->currentAddress(), std::move(call), PlacementTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->result_int() != 200)
        co_return std::nullopt;
    auto answer = decodePlacement(response->body());
    if (auto *placement = std::get_if<PlacementAnswer>(&answer))
        co_return std::move(*placement);
    co_return std::nullopt;
}

asio::awaitable<std::optional<TransferTurn>> CoordinatorClient::ask(TransferWish wish)
{
    if (!this->hasContact || this->coordinators.empty())
        co_return std::nullopt;
    wish.gateway = this->gateway.settings.name;
    OutgoingCall call{"POST", TransferPath, encodeWish(wish)};
    auto result = co_await this->connections.call(this->currentAddress(), std::move(call), TransferTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->result_int() != 200)
        co_return std::nullopt;
    auto turn = decodeTurn(response->body());
    if (auto *granted = std::get_if<TransferTurn>(&turn))
        co_return std::move(*granted);
    co_return std::nullopt;
}

void CoordinatorClient::finish(uint64_t ticket)
{
    asio::co_spawn(
            this->gateway.io,
            [this, ticket]() -> asio::awaitable<void> {
                const TransferTurn turn{ticket, {}};
                OutgoingCall call{"POST", TransferEndPath, encodeTurn(turn)};
                co_await this->connections.call(this->currentAddress(), std::move(call), ExchangeTimeout);
            },
            asio::detached);
}

void CoordinatorClient::adopt(CoordinatorStatus status)
{
    this->lastContact = steadyNow();
    this->gatewayCount = std::max<uint32_t>(status.gatewayCount, 1);
    this->gateway.budget.setGatewayCount(this->gatewayCount);
    const std::string leader = this->currentAddress();
    for (std::string &address : status.coordinators) {
        if (std::find(this->coordinators.begin(), this->coordinators.end(), address) ==
            this->coordinators.end())
            this->coordinators.push_back(std::move(address));
    }
    this->current =
            static_cast<size_t>(std::find(this->coordinators.begin(), this->coordinators.end(), leader) -
                                this->coordinators.begin());
    if (status.config)
        this->gateway.adoptConfig(*status.config);
    if (status.fleet) {
        this->fleetNumber = status.fleetNumber;
        this->fleetTerm = status.fleetTerm;
        this->gateway.adoptFleet(*status.fleet);
    }
    this->gateway.runners.setOtherLoad(status.otherLoads);
}

} // namespace eelgrasslift
