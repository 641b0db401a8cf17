#include "gateway/configpublisher.h"

#include "eelgrasslift/logging.h"
#include "gateway/exchange.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

// Long-poll timeout; the gateway's next call shows it that this coordinator can be reached.
constexpr Duration PollTimeout = std::chrono::milliseconds{600};

std::optional<uint64_t> versionIn(std::string_view target)
{
    target.remove_prefix(std::min(std::string_view(ConfigurationPath).size(), target.size()));
    uint64_t version = 0;
    const auto [end, error] = std::from_chars(target.data(), target.data() + target.size(), version);
    if (error != std::errc{} || end != target.data() + target.size())
        return std::nullopt;
    return version;
}

} // namespace

ConfigPublisher::ConfigPublisher(asio::io_context &context, std::string ownDomain)
    : io(context)
    , domain(std::move(ownDomain))
    , encodedEmpty(encodeConfigUpdate({this->domain, std::nullopt}))
    , published(context)
{
    this->published.expires_at(std::chrono::steady_clock::time_point::max());
}

void ConfigPublisher::publish(uint64_t newVersion, std::string body)
{
    this->version = newVersion;
    this->encodedUpdate = encodeConfigUpdate({this->domain, std::move(body)});
    this->published.cancel();
}

asio::awaitable<HttpResponse> ConfigPublisher::handle(std::string target)
{
    const std::optional<uint64_t> known = versionIn(target);
    if (!known) {
        logWarning("exchange-unreadable", {{"cause", "no version in " + target}});
        co_return makeResponse(400);
    }
    const auto deadline = std::chrono::steady_clock::now() + PollTimeout;
    while (this->version <= *known && std::chrono::steady_clock::now() < deadline) {
        boost::system::error_code ignored;
        asio::steady_timer timeout(this->io, deadline);
        timeout.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                this->published.cancel_one();
        });
        co_await this->published.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return makeResponse(200, this->version > *known ? this->encodedUpdate : this->encodedEmpty);
}

} // namespace eelgrasslift
