#include "modelrequest.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sstream>

namespace eelgrasslift {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

asio::awaitable<void> send(tcp::socket &connection, std::string bytes)
{
    co_await sendBytes(connection, std::move(bytes));
}

} // namespace

ModelRequest ModelRequest::parse(const std::string &message)
{
    ModelRequest request;
    if (message.starts_with("POST /v1/kv-move"))
        request.kind = message.find(R"("last":true)") == std::string::npos ? Kind::Copy : Kind::Stop;
    else if (message.starts_with("DELETE /v1/kv-handle/"))
        request.kind = Kind::Release;
    request.requestId = valueOf(message, "X-Attempt-Id");
    constexpr std::string_view IdMember = R"("id":")";
    if (const size_t at = message.find(IdMember); request.requestId.empty() && at != std::string::npos) {
        const size_t from = at + IdMember.size();
        request.requestId = message.substr(from, message.find('"', from) - from);
    }
    request.runnerId = valueOf(message, "X-Expect-Instance");
    if (const std::string lastId = valueOf(message, "Last-Event-Id"); !lastId.empty())
        request.lastEventId = std::stoi(lastId);
    const std::string reference = valueOf(message, "Kv-From");
    request.handle = reference.substr(reference.rfind('/') + 1);
    return request;
}

asio::awaitable<void> sendReply(tcp::socket &connection, const CopyReply &reply)
{
    if (reply.status == 0) {
        connection.close();
        return wait(Duration::zero());
    }
    std::string body = "{}";
    if (!reply.handle.empty())
        body = R"({"handle":")" + reply.handle + R"(","made":)" + std::to_string(reply.made) + "}";
    return send(connection, "HTTP/1.1 " + std::to_string(reply.status) + " Status\r\n" + reply.fields +
                                    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

asio::awaitable<void> sendReply(tcp::socket &connection, unsigned status, const char *handle, int made)
{
    return sendReply(connection, CopyReply{status, handle, made});
}

asio::awaitable<void> sendRefusal(tcp::socket &connection)
{
    co_await sendBytes(connection, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt-Id: id-1\r\n"
                                   "Content-Length: 0\r\n\r\n");
}

std::string valueOf(const std::string &message, const std::string &name)
{
    const size_t at = message.find(name + ": ");
    if (at == std::string::npos)
        return {};
    const size_t from = at + name.size() + 2;
    return message.substr(from, message.find('\r', from) - from);
}

std::string eventsBetween(int first, int last)
{
    std::string events;
    for (int id = first; id <= last; ++id)
        events += "id: " + std::to_string(id) + "\ndata:\n\n";
    return events;
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

asio::awaitable<void> wait(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> waitFor(const std::function<bool()> &condition)
{
    while (condition && !condition())
        co_await wait(std::chrono::milliseconds{1});
}

} // namespace eelgrasslift
