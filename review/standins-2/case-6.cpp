// Generations are copied away from a runner that is leaving. Its answer to the copy of one of them comes once
// more, where the answer to the copy of the next one is expected.

#include "client.h"
#include "model.h"

#include <algorithm>
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
    constexpr int Runners = 6;
    // They fill more than 0.4 of the memory, so that the later ones get no backup.
    constexpr int LongPrompts = 18;
    constexpr int Generations = LongPrompts + 14;
    std::vector<std::unique_ptr<ModelRunner>> runners;
    std::atomic<int> copies = 0;
    for (int i = 0; i < Runners; ++i) {
        ModelRunner::Settings settings{"i-" + std::to_string(i), addresses.runner(i), ModelService};
        settings.dropsOnClose = true;
        runners.push_back(std::make_unique<ModelRunner>(settings, world));
        runners[i]->copyTime = Milliseconds{30};
        runners[i]->repeatsReply = [&](ModelRunner &runner, const Message &request) {
            if (jsonField(request.body, "last") == "true")
                return false;
            ++copies;
            return hasTrouble() && runner.secondAnswers.take();
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
    std::vector<ClientResult> results(Generations);
    std::vector<std::thread> clients;
    const auto idOf = [](int i) { return "c0b1e000000000" + std::to_string(10 + i); };
    for (int i = 0; i < Generations; ++i) {
        clients.emplace_back([&, i] {
            results[i] = sendRequest(record, ip, "POST", "/summary/a", idOf(i),
                                     generationFields(idOf(i), i < LongPrompts ? 5000 : 500, 720) +
                                             "X-Request-Deadline: 39000\r\n",
                                     "prompt", Milliseconds{39000});
        });
        sleepFor(Milliseconds{i + 1 == LongPrompts ? 600 : 30});
    }
    sleepFor(Milliseconds{1000});
    std::map<std::string, int> runsToCopy;
    {
        const std::lock_guard lock(world.mutex);
        for (const auto &run : world.runs)
            runsToCopy[run->runner] += run->hasBackup ? 0 : 1;
    }
    const auto leaving = std::ranges::max_element(
            runners, {}, [&](const auto &runner) { return runsToCopy[runner->options().id]; });
    (*leaving)->leave(Milliseconds{2100});
    for (std::thread &client : clients)
        client.join();
    if (copies < 2)
        return ExitNotRun;
    bool isBroken = false;
    const auto report = [&](const std::string &line) {
        isBroken = true;
        record.add("BROKEN, MIXED: " + line);
        std::cout << "MIXED: " << line << "\n";
    };
    for (const std::string &line : world.foreignMemory)
        report(line);
    for (int i = 0; i < Generations; ++i) {
        for (int j = 0; j < Generations; ++j) {
            if (i != j && results[i].body.find(idOf(j)) != std::string::npos)
                report("the client of " + idOf(i) + " got events of " + idOf(j));
        }
    }
    return isBroken ? ExitBroken : ExitHeld;
}
