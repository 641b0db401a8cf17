#include "httpserver.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrasslift::standins {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::string percentDecode(std::string_view text)
{
    std::string result;
    for (size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 &&
                              hexDigit(text[i + 2]) >= 0;
        if (!isEscape) {
            result.push_back(text[i]);
            continue;
        }
        result.push_back(static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2])));
        i += 2;
    }
    return result;
}

} // namespace

HttpReply jsonReply(unsigned status, const nlohmann::json &body, HttpHeaders headers)
{
    headers.emplace_back("Content-Type", "application/json");
    return {status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), std::move(headers)};
}

HttpTarget parseTarget(std::string_view target)
{
    const size_t queryStart = target.find('?');
    HttpTarget result{percentDecode(target.substr(0, queryStart)), {}};
    std::string_view remaining =
            queryStart == std::string_view::npos ? std::string_view{} : target.substr(queryStart + 1);
    while (!remaining.empty()) {
        const size_t end = std::min(remaining.find('&'), remaining.size());
        const std::string_view pair = remaining.substr(0, end);
        const size_t equals = std::min(pair.find('='), pair.size());
        const std::string_view value = equals < pair.size() ? pair.substr(equals + 1) : std::string_view{};
        result.query[percentDecode(pair.substr(0, equals))] = percentDecode(value);
        remaining.remove_prefix(std::min(end + 1, remaining.size()));
    }
    return result;
}

HttpSession::HttpSession(tcp::socket socket, Handler handler)
    : socket(std::move(socket))
    , delayTimer(this->socket.get_executor())
    , handler(std::move(handler))
{}

void HttpSession::start()
{
    this->readRequest();
}

void HttpSession::readRequest()
{
    this->currentRequest = {};
    http::async_read(this->socket, this->buffer, this->currentRequest,
                     [self = shared_from_this()](error_code error, size_t) {
                         if (error)
                             return self->abort();
                         self->handler(self);
                     });
}

void HttpSession::respond(HttpReply reply)
{
    if (!this->socket.is_open())
        return;
    auto response = std::make_shared<http::response<http::string_body>>();
    response->version(this->currentRequest.version());
    response->result(reply.status);
    for (const auto &[name, value] : reply.headers)
        response->set(name, value);
    response->keep_alive(this->currentRequest.keep_alive());
    response->body() = std::move(reply.body);
    response->prepare_payload();
    http::async_write(this->socket, *response,
                      [self = shared_from_this(), response](error_code error, size_t) {
                          if (error)
                              return self->abort();
                          self->finishResponse();
                      });
}

void HttpSession::respondAfter(std::chrono::milliseconds delay, HttpReply reply)
{
    if (delay.count() <= 0)
        return this->respond(std::move(reply));
    this->delayTimer.expires_after(delay);
    this->delayTimer.async_wait([self = shared_from_this(), reply = std::move(reply)](error_code error) {
        if (!error)
            self->respond(reply);
    });
}

void HttpSession::sendRaw(std::string bytes, bool isReset)
{
    if (!this->socket.is_open())
        return;
    this->outgoing = std::move(bytes);
    net::async_write(this->socket, net::buffer(this->outgoing),
                     [self = shared_from_this(), isReset](error_code error, size_t) {
                         if (error || !isReset)
                             return self->abort();
                         self->socket.set_option(net::socket_base::linger(true, 0), error);
                         self->socket.close(error);
                     });
}

void HttpSession::stream(unsigned status, const HttpHeaders &headers, StreamSource source)
{
    if (!this->socket.is_open())
        return;
    this->source = std::move(source);
    this->isWriting = true;
    auto response = std::make_shared<http::response<http::empty_body>>();
    response->version(this->currentRequest.version());
    response->result(status);
    for (const auto &[name, value] : headers)
        response->set(name, value);
    response->keep_alive(this->currentRequest.keep_alive());
    response->chunked(true);
    auto serializer = std::make_shared<http::response_serializer<http::empty_body>>(*response);
    http::async_write_header(this->socket, *serializer,
                             [self = shared_from_this(), response, serializer](error_code error, size_t) {
                                 self->isWriting = false;
                                 if (error)
                                     return self->abort();
                                 self->watchForClose();
                                 self->writeChunk();
                             });
}

void HttpSession::wake()
{
    if (!this->isWriting && this->source && this->socket.is_open())
        this->writeChunk();
}

void HttpSession::writeChunk()
{
    // The session may have been aborted while its last chunk was being written.
    if (!this->source || !this->socket.is_open())
        return;
    StreamChunk chunk = this->source();
    if (chunk.kind == StreamChunk::Kind::Pending)
        return;
    if (chunk.kind == StreamChunk::Kind::Abort)
        return this->abort();
    const bool isLast = chunk.kind == StreamChunk::Kind::End;
    this->isWriting = true;
    this->outgoing = std::move(chunk.bytes);
    const auto written = [self = shared_from_this(), isLast](error_code error, size_t) {
        self->isWriting = false;
        if (error)
            return self->abort();
        if (!isLast)
            return self->writeChunk();
        self->source = nullptr;
        self->finishResponse();
    };
    if (isLast)
        net::async_write(this->socket, http::make_chunk_last(), written);
    else
        net::async_write(this->socket, http::make_chunk(net::buffer(this->outgoing)), written);
}

void HttpSession::watchForClose()
{
    if (this->isWatching || !this->socket.is_open())
        return;
    this->isWatching = true;
    this->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        self->isWatching = false;
        if (error || !self->source)
            return;
        char byte = 0;
        error_code receiveError;
        const size_t size =
                self->socket.receive(net::buffer(&byte, 1), tcp::socket::message_peek, receiveError);
        if (receiveError || size == 0)
            self->abort();
    });
}

void HttpSession::finishResponse()
{
    if (!this->currentRequest.keep_alive())
        return this->abort();
    this->readRequest();
}

void HttpSession::abort()
{
    error_code ignored;
    this->delayTimer.cancel();
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
    this->source = nullptr;
}

HttpServer::HttpServer(net::io_context &context, const tcp::endpoint &endpoint, HttpSession::Handler handler)
    : HttpServer(tcp::acceptor(context, endpoint), std::move(handler))
{}

HttpServer::HttpServer(tcp::acceptor acceptor, HttpSession::Handler handler)
    : acceptor(std::move(acceptor))
    , handler(std::move(handler))
{
    this->accept();
}

void HttpServer::close()
{
    error_code ignored;
    this->acceptor.close(ignored);
}

void HttpServer::accept()
{
    this->acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == net::error::operation_aborted || !this->acceptor.is_open())
            return;
        if (!error) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<HttpSession>(std::move(socket), this->handler)->start();
        }
        this->accept();
    });
}

} // namespace eelgrasslift::standins
