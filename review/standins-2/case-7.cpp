// A client leaves its generation; the runner's answer to the call that ends the run comes once more, where
// the answer to the next generation on that connection is expected.

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
    constexpr int Rounds = 4;
    std::vector<std::unique_ptr<ModelRunner>> runners;
    std::atomic<int> calls = 0;
    for (int i = 0; i < Runners; ++i) {
        ModelRunner::Settings settings{"i-" + std::to_string(i), addresses.runner(i), ModelService};
        settings.dropsOnClose = true;
        runners.push_back(std::make_unique<ModelRunner>(settings, world));
        runners[i]->repeatsReply = [&](ModelRunner &runner, const Message &) {
            ++calls;
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
    int foreignAnswers = 0;
    for (int round = 0; round < Rounds; ++round) {
        // Four others that stay, so that one client in six leaves.
        for (int other = 0; other < 4; ++other) {
            const std::string id = "0ther" + std::to_string(round) + "000000000" + std::to_string(other);
            sendRequest(record, ip, "POST", "/summary/c", id,
                        generationFields(id, 300, 80) + "X-Request-Deadline: 39000\r\n", "ijkl",
                        Milliseconds{39000});
            sleepFor(Milliseconds{500});
        }
        const std::string left = "1eft00000000000" + std::to_string(round);
        {
            const auto connection = Connection::connect(ip, CallerPort, Milliseconds{1000});
            if (!connection)
                return ExitNotRun;
            connection->send(std::string("POST /summary/a HTTP/1.1\r\nHost: ") + Host + "\r\nX-Attempt-Id: " +
                             left + "\r\nX-Api-Key: " + ApiKey + "\r\n" + generationFields(left, 3000, 800) +
                             "X-Request-Deadline: 39000\r\nContent-Length: 4\r\n\r\nabcd");
            sleepFor(Milliseconds{900});
            record.add("client leaves " + left);
        }
        sleepFor(Milliseconds{350});
        const std::string next = "ca11e2000000000" + std::to_string(round);
        const ClientResult result =
                sendRequest(record, ip, "POST", "/summary/b", next,
                            generationFields(next, 300, 40) + "X-Request-Deadline: 39000\r\n", "efgh",
                            Milliseconds{39000});
        const std::string seal = result.fields.contains("x-server-seal") ? "" : ", without a seal";
        // No runner of this script answers a generation with such a status.
        if (result.status != 200 && result.status != 502 && result.status != 503 && result.status != 504 &&
            result.status != 0) {
            ++foreignAnswers;
            const std::string line = "request " + next + " got " + std::to_string(result.status) + seal +
                                     ", the answer to a call about " + left;
            record.add("BROKEN, MIXED: " + line);
            std::cout << "MIXED: " << line << "\n";
        }
        sleepFor(Milliseconds{500});
    }
    if (calls == 0)
        return ExitNotRun;
    return foreignAnswers == 0 ? ExitHeld : ExitBroken;
}
