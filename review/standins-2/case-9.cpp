// A generation goes on at its backup, and the call that ends its earlier run meets a runner that resets new
// connections for a moment.

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
    // Another prompt of 3,000 tokens, at 14 a millisecond, and a little more.
    constexpr Milliseconds PrefillPause{300};
    std::atomic<bool> isPlayed = false;
    std::vector<std::unique_ptr<ModelRunner>> runners;
    std::atomic<int64_t> fullRunner = -1;
    for (int i = 0; i < Runners; ++i) {
        runners.push_back(std::make_unique<ModelRunner>(
                ModelRunner::Settings{"i-" + std::to_string(i), addresses.runner(i), ModelService}, world));
        runners[i]->isFull = [i, &fullRunner] { return fullRunner == i; };
        runners[i]->beforeEvent = [&, i](ModelRunner &runner, Run &run, int event) {
            if (event != PauseAtEvent || isPlayed.exchange(true))
                return;
            record.add(run.runner + " reads other prompts for " + std::to_string(PrefillPause.count()) +
                       " ms before the next event of " + run.request);
            if (hasTrouble()) {
                record.add(run.runner + " resets new connections, since its queue is long");
                runner.queueDepth = 40;
                fullRunner = i;
            }
            sleepFor(PrefillPause);
            runner.queueDepth = 0;
            fullRunner = -1;
            record.add(run.runner + " goes on, and accepts connections");
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
    const std::string id = "5eed000000000009";
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
