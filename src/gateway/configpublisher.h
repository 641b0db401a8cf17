#pragma once

#include "gateway/httpservice.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>
#include <string_view>

namespace eelgrasslift {

/// Hands the committed configuration to gateways that wait for a newer one. Every coordinator does, whether
/// it leads or not: what is committed stays in force. The body is compressed once for all gateways.
class ConfigPublisher
{
public:
    ConfigPublisher(boost::asio::io_context &io, std::string domain);

    /// Publishes a configuration and responds to the waiting gateways.
    void publish(uint64_t version, std::string body);
    /// Handles a gateway's call with the target ConfigurationPath and a version. Responds when there is a
    /// newer configuration, or without one when the poll times out.
    boost::asio::awaitable<HttpResponse> handle(std::string target);

private:
    boost::asio::io_context &io;
    std::string domain;
    uint64_t version = 0;
    /// Encoded response with the configuration, and without one.
    std::string encodedUpdate;
    std::string encodedEmpty;
    /// Cancelled when a configuration is published.
    boost::asio::steady_timer published;
};

} // namespace eelgrasslift
