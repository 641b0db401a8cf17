#include "gateway/configsubscriber.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

// A coordinator responds within its long-poll timeout of 600 ms; the remainder is for a large configuration
// on a busy link. It doubles with each failure, so that a configuration of any size arrives in the end.
constexpr Duration MinFetchTimeout = std::chrono::milliseconds{1400};
constexpr Duration MaxFetchTimeout = std::chrono::seconds{10};
constexpr Duration RetryDelay = std::chrono::milliseconds{60};
constexpr Duration MaxRetryDelay = std::chrono::milliseconds{250};
// A follower learns of a committed configuration with the next heartbeat of the leader.
constexpr Duration MaxFollowerDelay = std::chrono::milliseconds{250};

} // namespace

ConfigSubscriber::ConfigSubscriber(GatewayState &state, CoordinatorDirectory &directory, ConnectionPool &pool)
    : gateway(state)
    , coordinators(directory)
    , connections(pool)
{}

void ConfigSubscriber::start()
{
    spawnLoop(this->gateway.io, "configuration", [this] { return this->run(); });
}

void ConfigSubscriber::announce(uint64_t version, const std::string &leaderAddress)
{
    if (version <= this->version()) {
        this->missingSince.reset();
        return;
    }
    if (!this->missingSince)
        this->missingSince = steadyNow();
    if (this->isFetchingFromLeader || steadyNow() - *this->missingSince < MaxFollowerDelay)
        return;
    this->isFetchingFromLeader = true;
    spawnTask(this->gateway.io, "configuration", [this, leaderAddress]() -> asio::awaitable<void> {
        // A failure is logged; the next announcement starts another try.
        co_await this->fetch(leaderAddress);
        this->isFetchingFromLeader = false;
    });
}

asio::awaitable<void> ConfigSubscriber::run()
{
    asio::steady_timer retryTimer(this->gateway.io);
    for (;;) {
        const std::string address = this->coordinators.choose(steadyNow(), this->gateway.random);
        const bool hasSucceeded = !address.empty() && co_await this->fetch(address);
        if (hasSucceeded) {
            this->consecutiveFailures = 0;
            continue;
        }
        ++this->consecutiveFailures;
        this->coordinators.recordFailure(address, steadyNow());
        boost::system::error_code ignored;
        retryTimer.expires_after(std::min<Duration>(RetryDelay * this->consecutiveFailures, MaxRetryDelay));
        co_await retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> ConfigSubscriber::fetch(std::string address)
{
    const Duration timeout = std::min<Duration>(
            MinFetchTimeout * (1U << std::min(this->consecutiveFailures, 3U)), MaxFetchTimeout);
    OutgoingCall call{"GET", ConfigurationPath + std::to_string(this->version()), {}};
    const auto result = co_await this->connections.call(address, std::move(call), timeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->result_int() != 200) {
        logWarning("configuration-not-read",
                   {{"from", address},
                    {"cause", response == nullptr ? std::string(toString(std::get<HttpFailure>(result)))
                                                  : std::to_string(response->result_int())}});
        co_return false;
    }
    const auto decoded = decodeConfigUpdate(response->body());
    if (const auto *error = std::get_if<ExchangeError>(&decoded)) {
        logWarning("exchange-unreadable", {{"from", address}, {"cause", error->detail}});
        co_return false;
    }
    const auto &update = std::get<ConfigUpdate>(decoded);
    this->coordinators.recordResponse(address, update.domain);
    if (update.body)
        this->gateway.applyConfig(*update.body);
    co_return true;
}

} // namespace eelgrasslift
