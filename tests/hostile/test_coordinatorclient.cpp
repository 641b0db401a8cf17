#include "gateway/coordinator.h"
#include "gateway/coordinatorclient.h"
#include "gateway/httpservice.h"
#include "gateway/task.h"
#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <filesystem>

using namespace eelgrasslift;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

uint16_t freePort(asio::io_context &io)
{
    const tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint().port();
}

/// An empty folder that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "eel-coordinator-XXXXXX").string();
        REQUIRE(::mkdtemp(name.data()) != nullptr);
        this->folder = name;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(this->folder); }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::filesystem::path &path() const { return this->folder; }

private:
    std::filesystem::path folder;
};

} // namespace

// Guards against coordinators that go on to place generations at a leaving runner because the gateway that
// has heard of it does not tell them.
TEST_CASE("A gateway names the runners that have stated that they are leaving in its next exchange",
          "[hostile]")
{
    GatewayFixture fixture([](tcp::socket &, int, std::string) -> asio::awaitable<void> { co_return; });
    std::vector<GatewayStatus> received;
    HttpService coordinator(fixture.io, [&](HttpRequest request) -> asio::awaitable<HttpResponse> {
        if (request.target() != StatusPath)
            co_return makeResponse(503);
        received.push_back(std::get<GatewayStatus>(decodeGatewayStatus(request.body())));
        co_return makeResponse(200, encodeStatus(CoordinatorStatus{}));
    });
    const Endpoint endpoint{"127.0.0.1", freePort(fixture.io)};
    REQUIRE(coordinator.listen(endpoint));
    fixture.settings.seeds = {endpoint};
    fixture.settings.firstInternalPort = endpoint.port - ExchangePortOffset;
    CoordinatorClient client(fixture.gateway,
                             [&]() -> Result<NodeSettings, SettingsError> { return fixture.settings; });
    client.start();
    fixture.runUntil([&] { return !received.empty(); });
    CHECK(received.back().leavingRunners.empty());
    ResponseMetadata metadata;
    metadata.isRunnerLeaving = true;
    fixture.gateway.recordAnswer(fixture.runners.front(), 200, metadata, "id-1");
    // One exchange may have been on its way.
    const size_t countBefore = received.size();
    fixture.runUntil([&] { return received.size() >= countBefore + 2; });
    const std::vector<RunnerIncarnation> leaving{RunnerIncarnation::of(fixture.runners.front())};
    CHECK(received.back().leavingRunners == leaving);
}

// Guards against a coordinator that lists a runner as serving although a gateway has told it otherwise.
TEST_CASE("A coordinator lists a runner as leaving after a gateway has named it in an exchange", "[hostile]")
{
    const TemporaryFolder folder;
    asio::io_context io{1};
    const platform::PlatformFormat format;
    const std::string runnerAddress = "127.0.0.1:" + std::to_string(freePort(io));
    ScriptedRunner list(io, [&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        const std::string body = R"({"instances":[{"service":"m","address":")" + runnerAddress +
                                 R"(","zone":"z","version":"v1","slots":4,"state":"ready",)"
                                 R"("cold_left_ms":0,"id":"m1","born":5}],"next":null})";
        co_await sendBytes(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                               "\r\n\r\n" + body);
    });
    NodeSettings settings;
    settings.name = "c1";
    settings.ip = "127.0.0.1";
    settings.firstInternalPort = freePort(io);
    settings.seeds = {Endpoint{settings.ip, settings.firstInternalPort}};
    settings.isBootstrap = true;
    settings.dataFolder = folder.path();
    settings.fleetListEndpoint = parseEndpoint(list.address());
    auto opened = Coordinator::open(io, settings, format);
    REQUIRE(std::holds_alternative<std::unique_ptr<Coordinator>>(opened));
    Coordinator &coordinator = *std::get<std::unique_ptr<Coordinator>>(opened);
    coordinator.start();
    const auto exchange = [&](const GatewayStatus &gateway) {
        std::optional<HttpResponse> response;
        spawnTask(io, "exchange", [&]() -> asio::awaitable<void> {
            HttpRequest request(boost::beast::http::verb::post, StatusPath, 11);
            request.body() = encodeStatus(gateway);
            response = co_await coordinator.handleExchange(std::move(request));
        });
        while (!response)
            io.run_one();
        const auto decoded = decodeCoordinatorStatus(response->body());
        const auto *status = std::get_if<CoordinatorStatus>(&decoded);
        return status != nullptr && status->fleet ? status->fleet->entries : std::vector<RunnerEntry>{};
    };
    GatewayStatus gateway;
    gateway.gateway = "g1";
    std::vector<RunnerEntry> entries;
    // The coordinator is elected and reads the list first.
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{20};
    while (entries.empty() && std::chrono::steady_clock::now() < deadline) {
        io.run_one();
        entries = exchange(gateway);
    }
    REQUIRE(entries.size() == 1);
    CHECK_FALSE(entries.front().isLeaving);
    gateway.leavingRunners = {{"m1", runnerAddress, 5}};
    entries = exchange(gateway);
    REQUIRE(entries.size() == 1);
    CHECK(entries.front().isLeaving);
    coordinator.stop();
}
