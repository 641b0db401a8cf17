#include "modelrequest.h"

#include "gateway/task.h"

#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <map>

using namespace eelgrasslift;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// What the gateway sends to a runner.
enum class Exchange {
    Copy,
    Stop,
    Release,
    UnnamedResponse, ///< A request whose response does not name it.
    Request
};

struct LateReplyCase
{
    const char *name;
    /// The runner sends its reply once more before the one to the next exchange on the connection.
    Exchange first;
    Exchange second;
    std::string path;
};

/// A runner that replies once more to each earlier exchange on a connection.
class RepeatingRunner
{
public:
    RepeatingRunner()
        : fixture([this](tcp::socket &connection, int, std::string message) {
            return this->respond(connection, std::move(message));
        })
    {}

    /// Returns what the gateway or the caller received: the name of a copy, or a status and body.
    std::string play(Exchange exchange, const std::string &path, const std::string &id)
    {
        if (exchange == Exchange::Request || exchange == Exchange::UnnamedResponse) {
            const CallerView view = this->fixture.call(path, id);
            return std::to_string(view.status) + " " + view.body;
        }
        std::optional<std::string> result;
        const RunnerPool::RunnerPointer runner = this->fixture.gateway.runners.find("m1");
        spawnCall(exchange, runner, id, result);
        this->fixture.runUntil([&] { return result.has_value(); });
        return *result;
    }

    /// What a request gets that is answered with its own response.
    static std::string expected(const std::string &id) { return "200 id: 1\ndata: " + id + "\n\n"; }

    GatewayFixture fixture;
    /// Names of the copies by the id of the request.
    std::map<std::string, std::string> handles;

private:
    void spawnCall(Exchange exchange, const RunnerPool::RunnerPointer &runner, const std::string &id,
                   std::optional<std::string> &result)
    {
        spawnTask(this->fixture.io, "call", [this, exchange, runner, id, &result]() -> asio::awaitable<void> {
            std::string received;
            if (exchange == Exchange::Release) {
                co_await this->fixture.gateway.releaseCopy(runner, "h");
            } else {
                const CopyRequest request{id, runner->entry.address, exchange == Exchange::Stop};
                const auto reply =
                        co_await this->fixture.gateway.requestCopy(runner, request, std::chrono::seconds{1});
                const auto &response = std::get<HttpResponse>(reply);
                const auto copy = this->fixture.format.decodeCopyResult(response.body());
                if (const auto *made = std::get_if<CopyResult>(&copy))
                    received = made->handle;
            }
            result = received;
        });
    }

    asio::awaitable<void> respond(tcp::socket &connection, std::string message)
    {
        const uint16_t port = connection.remote_endpoint().port();
        const std::string reply = this->replyTo(message);
        co_await sendBytes(connection, this->earlierReplies[port] + reply);
        this->earlierReplies[port] = reply;
    }

    std::string replyTo(const std::string &message)
    {
        const ModelRequest request = ModelRequest::parse(message);
        switch (request.kind) {
        case ModelRequest::Kind::Copy: {
            std::string &handle = this->handles[request.requestId];
            handle = "copy-of-" + request.requestId;
            return response("200 OK", "", R"({"handle":")" + handle + R"(","made":1})");
        }
        case ModelRequest::Kind::Stop:
            return response("404 Not Found", "", "{}");
        case ModelRequest::Kind::Release:
            return response("200 OK", "", "{}");
        case ModelRequest::Kind::Run:
            break;
        }
        if (request.requestId == "id-unnamed")
            return response("404 Not Found", "X-Server-Seal: s\r\n", "no such thing");
        return response("200 OK", "X-Server-Seal: s\r\nX-Attempt-Id: " + request.requestId + "\r\n",
                        "id: 1\ndata: " + request.requestId + "\n\n");
    }

    static std::string response(const std::string &status, const std::string &fields, const std::string &body)
    {
        return "HTTP/1.1 " + status + "\r\n" + fields +
               "Keep-Alive: timeout=5\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// By the port of the gateway's end.
    std::map<uint16_t, std::string> earlierReplies;
};

void checkLateReply(const LateReplyCase &test)
{
    const bool hasIdleConnection = GENERATE(true, false);
    INFO(test.name << ", " << test.path << (hasIdleConnection ? ", idle connection" : ""));
    RepeatingRunner runner;
    // Shows that the runner names requests.
    runner.play(Exchange::Request, test.path, "id-0");
    if (!hasIdleConnection)
        runner.fixture.gateway.connections.dropIdle(runner.fixture.runner.address());
    runner.play(test.first, test.path, test.first == Exchange::UnnamedResponse ? "id-unnamed" : "id-1");
    const std::string received = runner.play(test.second, test.path, "id-2");
    if (test.second == Exchange::Copy)
        CHECK(received == runner.handles["id-2"]);
    else
        CHECK(received == RepeatingRunner::expected("id-2"));
}

} // namespace

// Guards against a generation that goes on from the memory of another one, because the reply to an earlier
// copy comes once more and is taken for that to its own (review, case 6).
TEST_CASE("A late reply to the copy of one generation is not taken for that of another", "[hostile]")
{
    checkLateReply({"copy, copy", Exchange::Copy, Exchange::Copy, "/generation/a"});
}

// Guards against a request that gets the reply to a call of the gateway about another one, or the response to
// another request, because that does not name its request (review, case 7).
TEST_CASE("A late reply that names no request is not taken for the response to another request", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/resumable/a", "/generation/a");
    const auto first = GENERATE(Exchange::Copy, Exchange::Stop, Exchange::Release, Exchange::UnnamedResponse);
    checkLateReply({"request after a call", first, Exchange::Request, path});
}

// Guards against a copy that seems to have failed, or to be that of another generation.
TEST_CASE("A late reply that names no request is not taken for that to a copy", "[hostile]")
{
    const auto test = GENERATE(values<LateReplyCase>({
            {"copy after a stop", Exchange::Stop, Exchange::Copy, "/generation/a"},
            {"copy after a release", Exchange::Release, Exchange::Copy, "/generation/a"},
            {"copy after an unnamed response", Exchange::UnnamedResponse, Exchange::Copy, "/generation/a"},
            {"copy after a request", Exchange::Request, Exchange::Copy, "/generation/a"},
    }));
    checkLateReply(test);
}
