#include "gateway/exchange.h"
#include "gateway/generationscheduler.h"
#include "gateway/task.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace eelgrasslift;
namespace asio = boost::asio;

// Guards against generations that a coordinator places at, or copies to, a runner that the gateway has ruled
// out because it pauses for that gateway.
TEST_CASE("A coordinator chooses none of the runners that a gateway excludes", "[hostile]")
{
    const auto [excluded, expected] = GENERATE(table<std::string, std::string>({{"m1", "m2"}, {"m2", "m1"}}));
    const bool isTransfer = GENERATE(false, true);
    INFO(excluded << (isTransfer ? ", transfer" : ", placement"));
    asio::io_context io;
    GenerationScheduler scheduler(io);
    scheduler.setEngines({{"m", EngineTraits{64, 34000, 262144, true, true, 4}}});
    std::vector<RunnerEntry> entries;
    for (const char *id : {"m1", "m2", "m3"}) {
        RunnerEntry entry;
        entry.id = id;
        entry.service = "m";
        entry.address = std::string("10.0.0.") + id[1] + ":80";
        entry.isLeaving = entry.id == "m3";
        entries.push_back(entry);
    }
    scheduler.setFleet(entries);
    std::string chosen = "none";
    const std::string excludedId = excluded;
    spawnTask(io, "call", [&]() -> asio::awaitable<void> {
        const GenerationSize size{2200, 12, 32};
        if (isTransfer) {
            TransferRequest request{"g1", "m3", "m", size, 4, 1, {excludedId}};
            const HttpResponse response = co_await scheduler.requestTransfer(encodeTransferRequest(request));
            if (response.result_int() == 200)
                chosen = std::get<TransferPermit>(decodeTransferPermit(response.body())).destinationId;
        } else {
            FleetPlacementRequest request{"g1", "m", "z", size, 0.9, 0.6, {excludedId}, 0, 0, Duration{}};
            const HttpResponse response = co_await scheduler.place(encodePlacementRequest(request));
            chosen = std::get<PlacementResult>(decodePlacementResult(response.body())).runnerId;
        }
        scheduler.stop();
        io.stop();
    });
    io.run();
    CHECK(chosen == expected);
}
