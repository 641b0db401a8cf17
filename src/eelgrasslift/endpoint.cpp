#include "eelgrasslift/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <charconv>

namespace eelgrasslift {

std::string Endpoint::toString() const
{
    const bool isIpv6 = this->address.find(':') != std::string::npos;
    return (isIpv6 ? "[" + this->address + "]" : this->address) + ":" + std::to_string(this->port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);

    Endpoint endpoint{std::string(host), 0};
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    boost::system::error_code error;
    boost::asio::ip::make_address(endpoint.address, error);
    if (error || status != std::errc{} || end != digits.data() + digits.size())
        return std::nullopt;
    return endpoint;
}

std::optional<Endpoint> parseHttpUrl(std::string_view text)
{
    constexpr std::string_view Scheme = "http://";
    if (!text.starts_with(Scheme))
        return std::nullopt;
    text.remove_prefix(Scheme.size());
    if (text.ends_with('/'))
        text.remove_suffix(1);
    return parseEndpoint(text);
}

Endpoint withFreePort(const Endpoint &endpoint)
{
    if (endpoint.port != 0)
        return endpoint;
    namespace ip = boost::asio::ip;
    boost::asio::io_context context;
    const ip::tcp::acceptor acceptor(context, ip::tcp::endpoint(ip::make_address(endpoint.address), 0));
    return Endpoint{endpoint.address, acceptor.local_endpoint().port()};
}

} // namespace eelgrasslift
