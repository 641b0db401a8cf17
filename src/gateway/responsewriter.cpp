#include "gateway/responsewriter.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// The version of the gateway itself, whatever a runner speaks: HTTP/1.0 knows no chunks.
constexpr unsigned HttpVersion = 11;

// A caller that accepts no bytes for this long is treated as disconnected.
constexpr Duration WriteTimeout = std::chrono::seconds{10};

} // namespace

asio::awaitable<bool> ResponseWriter::send(HttpResponse response)
{
    this->responseStarted = true;
    response.version(HttpVersion);
    response.keep_alive(this->isKeptAlive());
    boost::system::error_code error;
    this->stream.expires_after(WriteTimeout);
    co_await http::async_write(this->stream, response, asio::redirect_error(asio::use_awaitable, error));
    this->isPersistent = this->isPersistent && !error && !response.need_eof();
    co_return !error;
}

asio::awaitable<bool> ResponseWriter::beginStream(ResponseHeader header)
{
    this->responseStarted = true;
    http::response<http::empty_body> response(std::move(header));
    response.erase(http::field::content_length);
    response.version(HttpVersion);
    response.chunked(true);
    response.keep_alive(this->isKeptAlive());
    http::response_serializer<http::empty_body> serializer(response);
    boost::system::error_code error;
    this->stream.expires_after(WriteTimeout);
    co_await http::async_write_header(this->stream, serializer,
                                      asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> ResponseWriter::sendChunk(std::string_view bytes)
{
    boost::system::error_code error;
    this->stream.expires_after(WriteTimeout);
    const auto chunk = http::make_chunk(asio::buffer(bytes.data(), bytes.size()));
    co_await asio::async_write(this->stream, chunk, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> ResponseWriter::endStream()
{
    boost::system::error_code error;
    this->stream.expires_after(WriteTimeout);
    const auto chunk = http::make_chunk_last();
    co_await asio::async_write(this->stream, chunk, asio::redirect_error(asio::use_awaitable, error));
    this->isPersistent = this->isPersistent && !error;
    co_return !error;
}

void ResponseWriter::abort()
{
    this->isPersistent = false;
    boost::system::error_code ignored;
    this->stream.socket().close(ignored);
}

} // namespace eelgrasslift
