// A generation is late for a moment and is sent to its backup, which is busy. The generation stays, and the
// backup begins to run it too.

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
    constexpr int Runners = 8;
    constexpr int PauseAtEvent = 60;
    // A prompt of 2,800 tokens, at 14 a millisecond.
    constexpr Milliseconds PrefillPause{200};
    // One of 6,000 tokens, and a little more.
    constexpr Milliseconds BusyTime{450};
    std::atomic<bool> isPlayed = false;
    std::vector<std::unique_ptr<ModelRunner>> runners;
    for (int i = 0; i < Runners; ++i) {
        runners.push_back(std::make_unique<ModelRunner>(
                ModelRunner::Settings{"i-" + std::to_string(i), addresses.runner(i), ModelService}, world));
        runners[i]->beforeEvent = [&](ModelRunner &, Run &run, int event) {
            if (event != PauseAtEvent || isPlayed.exchange(true))
                return;
            record.add(run.runner + " reads another prompt for " + std::to_string(PrefillPause.count()) +
                       " ms before the next event of " + run.request);
            sleepFor(PrefillPause);
        };
        runners[i]->beforeRun = [&](ModelRunner &runner, const Message &request) {
            if (!request.has("kv-from") || !hasTrouble())
                return;
            record.add(runner.options().id + " accepts " + request.field("x-attempt-id") +
                       " and reads another prompt for " + std::to_string(BusyTime.count()) +
                       " ms before it begins");
            sleepFor(BusyTime);
        };
    }
    const FleetList list(addresses, runners);
    Deployment deployment(addresses, 3, 2, record);
    deployment.start();
    if (!deployment.configure(configuration(1), Milliseconds{15000}) ||
        !deployment.waitUntilReady(Milliseconds{15000}))
        return ExitNotRun;
    // In touch, and all loads are known.
    sleepFor(Milliseconds{4000});
    constexpr int OutputTokens = 800;
    const std::string id = "5eed000000000008";
    const ClientResult result =
            sendRequest(record, deployment.gateways[0].ip, "POST", "/summary/a", id,
                        generationFields(id, 3000, OutputTokens) + "X-Request-Deadline: 39000\r\n",
                        std::string(2600, 'p'), Milliseconds{39000});
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
