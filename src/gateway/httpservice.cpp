#include "gateway/httpservice.h"

#include "eelgrasslift/logging.h"
#include "gateway/task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Above the limit of 4 MiB for operators' bodies; a configuration with some hundred routes takes about 200
// KB.
constexpr size_t MaxBodyBytes = size_t{5} << 20;
constexpr Duration IdleTimeout = std::chrono::seconds{15};
constexpr Duration WriteTimeout = std::chrono::seconds{3};

} // namespace

HttpResponse makeResponse(unsigned status, std::string body, std::string_view contentType)
{
    HttpResponse response;
    response.version(11);
    response.result(status);
    response.set(http::field::content_type, {contentType.data(), contentType.size()});
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

bool openAcceptor(tcp::acceptor &acceptor, const Endpoint &endpoint)
{
    boost::system::error_code error;
    const tcp::endpoint address(asio::ip::make_address(endpoint.address, error), endpoint.port);
    if (!error)
        acceptor.open(address.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(address, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        logError("cannot-listen", {{"address", endpoint.toString()}, {"cause", error.message()}});
    return !error;
}

bool HttpService::listen(const Endpoint &endpoint)
{
    if (!openAcceptor(this->acceptor, endpoint))
        return false;
    spawnLoop(this->io, "accept", [this] { return this->accept(); });
    return true;
}

void HttpService::stop()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

asio::awaitable<void> HttpService::accept()
{
    while (this->acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket socket =
                co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            spawnTask(this->io, "serve", this->serve(std::move(socket)));
    }
}

asio::awaitable<void> HttpService::serve(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    boost::system::error_code error;
    stream.socket().set_option(tcp::no_delay(true), error);
    beast::flat_buffer buffer{MaxParseBufferBytes};
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(MaxBodyBytes);
        stream.expires_after(IdleTimeout);
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        stream.expires_never();
        const bool isKeepAlive = parser.get().keep_alive();
        HttpResponse response = co_await this->handler(parser.release());
        response.keep_alive(isKeepAlive);
        stream.expires_after(WriteTimeout);
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !isKeepAlive)
            break;
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
}

} // namespace eelgrasslift
