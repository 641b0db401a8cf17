#include "gatewayfixture.h"

#include "eelgrasslift/engineconnection.h"
#include "gateway/connectionpool.h"
#include "gateway/task.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration CallTimeout = 3s;

/// Clients of the product other than the sessions of a gateway.
enum class Client {
    Pool,   ///< Calls between gateways and coordinators, and to runners and the platform.
    Single, ///< Calls on a connection of their own.
    Engine, ///< Generations of an entry.
};

/// A peer on loopback and the clients that call it.
class ClientFixture
{
public:
    ClientFixture(ScriptedRunner::Script script, size_t readBytes)
        : peer(this->io, std::move(script))
        , connections(this->io.get_executor())
    {
        this->peer.maxBodyBytes = readBytes;
    }

    /// Sends a request with the body and returns how it ended: "answered", or the name of the failure.
    std::string call(Client client, const std::string &body)
    {
        std::optional<std::string> result;
        if (client == Client::Engine)
            this->startGeneration(body, result);
        else
            spawnTask(this->io, "call", this->exchangeOnce(client, body, result));
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (!result && std::chrono::steady_clock::now() < limit)
            this->io.run_one_for(100ms);
        REQUIRE(result);
        return *result;
    }

private:
    asio::awaitable<void> exchangeOnce(Client client, std::string body, std::optional<std::string> &result)
    {
        Result<HttpResponse, HttpFailure> response = HttpFailure::NotConnected;
        const Endpoint endpoint = *parseEndpoint(this->peer.address());
        if (client == Client::Pool) {
            OutgoingCall call{"POST", "/", std::move(body)};
            std::string address = this->peer.address();
            response = co_await this->connections.call(std::move(address), std::move(call), CallTimeout);
        } else {
            HttpRequest request = makeRequest("POST", endpoint, "/", std::move(body));
            response = co_await exchange(endpoint, std::move(request), CallTimeout);
        }
        const auto *failure = std::get_if<HttpFailure>(&response);
        result = failure ? std::string(toString(*failure)) : "answered";
    }

    void startGeneration(const std::string &prompt, std::optional<std::string> &result)
    {
        const Endpoint endpoint = *parseEndpoint(this->peer.address());
        const auto connection = std::make_shared<EngineConnection>(this->io.get_executor(), endpoint);
        connection->start(GenerateRequest{"id", "m", prompt, 10, 5}, [&result](EngineEvent event) {
            if (std::holds_alternative<EngineDone>(event))
                result = "answered";
            else if (const auto *failure = std::get_if<EngineFailure>(&event))
                result = *failure == EngineFailure::ConnectionBroken ? "broken" : "refused";
        });
    }

    asio::io_context io{1};
    ScriptedRunner peer;
    ConnectionPool connections;
};

const std::string Token = R"(id: g:0
data: {"choices":[{"text":"a"}]}

)";
const std::string LastToken = R"(id: g:1
data: {"choices":[{"text":"b","finish_reason":"stop"}]}

data: [DONE]

)";

/// The head, up to its empty line, and a body that ends a generation.
std::string wholeResponse(const std::string &head, bool hasLength)
{
    const std::string body = Token + LastToken;
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return head + (hasLength ? length : std::string{}) + "\r\n" + body;
}

struct Response
{
    const char *name;
    std::string head;
    std::string body = Token;
};

} // namespace

// Guards against a part of a response that is taken for the whole one in calls between processes and in the
// streams of engines.
TEST_CASE("A client does not take a part of a response for the whole one if its upload was reset",
          "[hostile]")
{
    const Client client = GENERATE(Client::Pool, Client::Single, Client::Engine);
    const size_t readBytes = GENERATE(0, 500'000);
    const auto response = GENERATE(values<Response>({
            {"no length", "HTTP/1.1 200 OK\r\n\r\n"},
            {"no length, closing", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
            {"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n"},
            {"no length, no body", "HTTP/1.1 200 OK\r\n\r\n", ""},
            {"404", "HTTP/1.1 404 None\r\n\r\n"},
            {"length not reached", "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n"},
            {"chunks without their end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"},
    }));
    const bool isUploading = GENERATE(true, false);
    INFO(static_cast<int>(client) << ", " << readBytes << ", " << response.name << ", " << isUploading);
    ClientFixture fixture(
            [&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
                std::string bytes = response.head + response.body;
                co_await sendBytes(connection, std::move(bytes));
                resetConnection(connection);
            },
            readBytes);
    const std::string result = fixture.call(client, std::string(isUploading ? LargeBodyBytes : 10, 'u'));
    // A status is all that the engine's protocol needs of a refusal.
    const bool isRefusal = client == Client::Engine && response.name == std::string("404") && !isUploading;
    CHECK(result == (isRefusal ? "refused" : "broken"));
}

// Guards against a response with an invalid status that is accepted, or taken for a refusal.
TEST_CASE("A client rejects a response with an invalid status", "[hostile]")
{
    const Client client = GENERATE(Client::Pool, Client::Engine);
    const std::string status = GENERATE("000", "000 OK", "099 Early", "101 Switching", "600 Error", "2x0 OK");
    const bool hasLength = GENERATE(true, false);
    INFO(static_cast<int>(client) << ", " << status << ", length " << hasLength);
    ClientFixture fixture(
            [&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
                std::string bytes = wholeResponse("HTTP/1.1 " + status + "\r\n", hasLength);
                co_await sendBytes(connection, std::move(bytes));
                connection.close();
            },
            std::numeric_limits<size_t>::max());
    CHECK(fixture.call(client, "request") == "broken");
}

// Guards against a response with a malformed head that is accepted.
TEST_CASE("A client rejects a response with a malformed line in a head", "[hostile]")
{
    const Client client = GENERATE(Client::Pool, Client::Single, Client::Engine);
    const std::string line = GENERATE("X A: b", "X-A : b", "X\x01-A: b", "X\x7f-A: b", " X-A: b",
                                      "Content-Length : 3", "Transfer-Encoding : chunked", ": b", "X-A");
    const std::string before = GENERATE(as<std::string>{}, "", "HTTP/1.1 103 Early Hints\r\n");
    const bool hasLength = GENERATE(true, false);
    INFO(static_cast<int>(client) << ", " << before << line << ", length " << hasLength);
    ClientFixture fixture(
            [&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
                const std::string statusLine = "HTTP/1.1 200 OK\r\n";
                std::string bytes = wholeResponse(statusLine + line + "\r\n", hasLength);
                if (!before.empty())
                    bytes = before + line + "\r\n\r\n" + wholeResponse(statusLine, hasLength);
                co_await sendBytes(connection, std::move(bytes));
                connection.close();
            },
            std::numeric_limits<size_t>::max());
    CHECK(fixture.call(client, "request") == "broken");
}

// Guards against clients that pass the tests above because they reject every response.
TEST_CASE("A client accepts a whole response", "[hostile]")
{
    const Client client = GENERATE(Client::Pool, Client::Single, Client::Engine);
    const bool hasLength = GENERATE(true, false);
    ClientFixture fixture(
            [&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
                std::string bytes = wholeResponse("HTTP/1.1 200 OK\r\n", hasLength);
                co_await sendBytes(connection, std::move(bytes));
                connection.close();
            },
            std::numeric_limits<size_t>::max());
    CHECK(fixture.call(client, "request") == "answered");
}
