#include "modelrequest.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int EventCount = 60;
constexpr int EventsBeforeNotice = 5;
constexpr int RunnerCount = 4;
constexpr auto EventInterval = 20ms;

struct RefusalCase
{
    const char *name;
    /// From the announcement until the stop. The run goes on for longer than that if it is short.
    Duration notice;
    /// From the call to stop the run until the reply.
    Duration replyDelay;
    /// Sends to the first runner that refuses, and to each further one.
    int maxFirstRefusals;
    int maxFurtherRefusals;
};

} // namespace

// Guards against a generation that is sent again and again to runners that refuse it although they have the
// whole copy, while only its own runner takes it back.
TEST_CASE("A copy that is complete is refused only once", "[hostile]")
{
    const auto test = GENERATE(values<RefusalCase>({
            {"reply at once", 2000ms, 0ms, 1, 0},
            {"reply while the copy is refused", 2000ms, 100ms, 4, 2},
            {"reply at once, stop due", 600ms, 0ms, 1, 1},
            {"reply while the copy is refused, stop due", 600ms, 100ms, 4, 1},
    }));
    INFO(test.name);
    GatewayFixture *gateway = nullptr;
    std::string source;
    bool isRunning = false;
    bool isStopped = false;
    int returnCount = 0;
    /// Runners that have refused, each with the number of refusals, in their order.
    std::vector<std::pair<std::string, int>> refusals;
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string message) -> asio::awaitable<void> {
        const std::string runnerId = valueOf(message, "X-Expect-Instance");
        if (message.starts_with("POST /v1/kv-move")) {
            const bool isStop = message.find(R"("last":true)") != std::string::npos;
            const std::string status = isRunning ? "200 OK" : "404 None";
            isStopped = isStopped || isStop;
            if (isStop)
                co_await wait(test.replyDelay);
            co_await sendBytes(connection, "HTTP/1.1 " + status + "\r\nContent-Length: 23\r\n\r\n" +
                                                   R"({"handle":"h","made":1})");
        } else if (message.starts_with("DELETE /v1/kv-handle/")) {
            co_await sendBytes(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        } else if (!source.empty() && runnerId != source) {
            auto known = std::ranges::find(refusals, runnerId, &std::pair<std::string, int>::first);
            if (known == refusals.end())
                known = refusals.insert(refusals.end(), {runnerId, 0});
            ++known->second;
            co_await sendRefusal(connection);
        } else {
            const bool isFirst = source.empty();
            source = runnerId;
            returnCount += isFirst ? 0 : 1;
            isStopped = false;
            isRunning = true;
            co_await sendBytes(connection, "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\n");
            int id = isFirst ? 1 : std::stoi(valueOf(message, "Last-Event-Id")) + 1;
            for (; !isStopped && id <= EventCount; ++id) {
                co_await sendBytes(connection, eventsBetween(id, id));
                if (isFirst && id == EventsBeforeNotice)
                    gateway->announceStop(test.notice);
                co_await wait(EventInterval);
            }
            isRunning = false;
            connection.close();
        }
    });
    gateway = &fixture;
    for (int number = 3; number <= RunnerCount; ++number) {
        RunnerEntry entry = *std::ranges::find(fixture.runners, "m1", &RunnerEntry::id);
        entry.id = "m" + std::to_string(number);
        fixture.runners.push_back(std::move(entry));
    }
    fixture.gateway.applyFleet(fixture.runners);
    const CallerView view = fixture.call("/generation/a", "id-1");
    CHECK(view.isComplete);
    CHECK(view.body == eventsBetween(1, EventCount));
    CHECK(returnCount == 1);
    REQUIRE_FALSE(refusals.empty());
    CHECK(refusals.front().second <= test.maxFirstRefusals);
    for (size_t further = 1; further < refusals.size(); ++further)
        CHECK(refusals[further].second <= test.maxFurtherRefusals);
}
