#include "loopback.h"

#include <unistd.h>

namespace eelgrasslift {

namespace asio = boost::asio;
using asio::ip::tcp;

std::array<Endpoint, 3> freeEndpoints(asio::io_context &io)
{
    constexpr uint32_t FirstAddress = (127U << 24U) + (254U << 16U);
    const asio::ip::address_v4 address(FirstAddress + (static_cast<uint32_t>(getpid()) & 0xffffU));
    const tcp::acceptor first(io, tcp::endpoint(address, 0));
    const tcp::acceptor second(io, tcp::endpoint(address, 0));
    const tcp::acceptor third(io, tcp::endpoint(address, 0));
    return {Endpoint{address.to_string(), first.local_endpoint().port()},
            Endpoint{address.to_string(), second.local_endpoint().port()},
            Endpoint{address.to_string(), third.local_endpoint().port()}};
}

std::optional<tcp::socket> connectTo(asio::io_context &io, const Endpoint &endpoint)
{
    tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect({asio::ip::make_address(endpoint.address), endpoint.port}, error);
    if (error)
        return std::nullopt;
    return socket;
}

} // namespace eelgrasslift
