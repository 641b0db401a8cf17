// A runner asks a gateway for a pause; a generation that runs there goes on at its backup, and nobody ends
// its earlier run.

#include "client.h"
#include "model.h"

#include <iostream>

using namespace review;

int main(int argc, char **argv)
{
    if (argc != 2)
        return ExitNotRun;
    Record record(std::string(argv[1]) + "/record.txt");
    record.add(hasTrouble() ? "with the disruption" : "without the disruption");
    const Addresses addresses;
    World world(record);
    constexpr int Runners = 3;
    constexpr int ShortGenerations = 9;
    const std::string id = "5eed000000000010";
    // Another prompt of 3,000 tokens, at 14 a millisecond, and a little more.
    constexpr Milliseconds PrefillPause{300};
    std::atomic<bool> isPlayed = false;
    std::atomic<bool> hasTurnedAway = false;
    std::vector<std::unique_ptr<ModelRunner>> runners;
    const auto runsTheGeneration = [&](const ModelRunner &runner) {
        const std::lock_guard lock(world.mutex);
        return !world.runs.empty() && world.runs.front()->request == id &&
               world.runs.front()->runner == runner.options().id && !world.runs.front()->isEnded;
    };
    for (int i = 0; i < Runners; ++i) {
        runners.push_back(std::make_unique<ModelRunner>(
                ModelRunner::Settings{"i-" + std::to_string(i), addresses.runner(i), ModelService}, world));
        // The runner is full with this generation and those of others.
        runners[i]->refuse = [&](ModelRunner &runner, const Message &request) -> std::optional<std::string> {
            if (request.field("x-attempt-id") == id || !runsTheGeneration(runner))
                return std::nullopt;
            hasTurnedAway = true;
            return hasTrouble() ? "Retry-After: 3" : "X-Reason: full";
        };
        runners[i]->beforeEvent = [&](ModelRunner &runner, Run &run, int event) {
            if (run.request != id || !hasTurnedAway || event < 30 || isPlayed.exchange(true))
                return;
            record.add(runner.options().id + " reads other prompts for " +
                       std::to_string(PrefillPause.count()) + " ms before the next event of " + run.request);
            sleepFor(PrefillPause);
        };
    }
    const FleetList list(addresses, runners);
    Deployment deployment(addresses, 3, 1, record);
    deployment.start();
    if (!deployment.configure(configuration(1), Milliseconds{15000}) ||
        !deployment.waitUntilReady(Milliseconds{15000}))
        return ExitNotRun;
    // In touch, and all loads are known.
    sleepFor(Milliseconds{4000});
    const std::string ip = deployment.gateways[0].ip;
    constexpr int OutputTokens = 800;
    ClientResult result;
    std::thread planner([&] {
        result = sendRequest(record, ip, "POST", "/summary/a", id,
                             generationFields(id, 3000, OutputTokens) + "X-Request-Deadline: 39000\r\n",
                             std::string(2600, 'p'), Milliseconds{39000});
    });
    sleepFor(Milliseconds{1000});
    std::vector<std::thread> others;
    for (int i = 0; i < ShortGenerations; ++i) {
        const std::string other = "0ther0000000000" + std::to_string(i);
        others.emplace_back([&record, ip, other] {
            sendRequest(record, ip, "POST", "/summary/b", other,
                        generationFields(other, 300, 200) + "X-Request-Deadline: 39000\r\n",
                        std::string(300, 'p'), Milliseconds{39000});
        });
        sleepFor(Milliseconds{20});
    }
    planner.join();
    for (std::thread &other : others)
        other.join();
    sleepFor(Milliseconds{6000});
    if (!isPlayed || result.status != 200)
        return ExitNotRun;
    const std::vector<std::string> overlaps = world.overlaps();
    for (const std::string &line : overlaps) {
        record.add("BROKEN, TWICE: " + line);
        std::cout << "TWICE: " << line << "\n";
    }
    return overlaps.empty() ? ExitHeld : ExitBroken;
}
