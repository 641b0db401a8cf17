#include "casekit.h"

#include <map>
#include <set>

// One part of a prompt ends each runner that begins to write an answer on it. Sound requests that share the
// other parts with such requests must go on being served.

using namespace casekit;

namespace {

constexpr unsigned Runners = 8;
// The runner is back after some seconds.
constexpr int64_t BackAfterMs = 3000;
constexpr unsigned Gateways = 2;

// bounds.contact_ms of the settings.
constexpr int64_t ContactMs = 3000;

// Sound requests with the sheet of the day before, then requests with the part that ends runners and the new
// sheet, then sound requests with the new sheet.
constexpr int64_t CalmMs = 12000;
constexpr unsigned CrashRequests = 4;
constexpr int64_t CrashEveryMs = 900;
constexpr int64_t SoundEveryMs = 300;
constexpr int64_t CrashLaterEveryMs = 1000;
constexpr int64_t JudgedMs = 14000;

constexpr int DeadlineMs = 39000;
constexpr unsigned Events = 30;
constexpr int64_t EventIntervalMs = 50;

// LOST: "20 or more of each", "less than half as often".
constexpr unsigned MinRequests = 20;

// Parts of the prompts: what all prompts of the caller begin with, the attachment that ends runners, and the
// sheets of two days.
const std::string Instructions = "5c1e07a2:79";
const std::string BadAttachment = "bad0bad0:60";
const std::string OldSheet = "91bd3f06:110";
const std::string NewSheet = "e4402b7d:110";

const std::string Config = R"({"version":1,"routes":[
{"name":"report","host":"trays.example","path_prefix":"/report/","kind":"streaming","timeout_ms":39000,"slo_ms":1800,
"priority":1,"service":"model","max_attempts":1,"public":false,"session_affinity":true,"stream_resume":false,
"gap_slo_ms":1000}],
"services":[{"name":"model","health_path":"/health","max_conns":442,"protocol":"h1","tls":false,"engine":{"slots":64,
"kv_capacity_tokens":34364,"kv_token_bytes":262144,"link_mbps":38000.0,"moves":false,"backups":false,"stride":4,
"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})";

struct Count
{
    unsigned sent = 0;
    unsigned begun = 0;
};

struct Results
{
    std::mutex mutex;
    std::set<std::string> begun;
    std::vector<int64_t> crashes;
    Count calm;
    Count judged;
    unsigned crashRequests = 0;
    unsigned crashRequestsRun = 0;
};

class Runner
{
public:
    Runner(unsigned number, Results &allResults, Record &caseRecord)
        : id("i-" + std::to_string(number))
        , results(allResults)
        , record(caseRecord)
        , server({loopbackIp(40 + number), 0}, [this](Connection &connection) { this->serve(connection); })
    {}

    RunnerEntry entry() const { return {this->id, "model", this->server.address(), 64, false}; }
    bool hasCrashed() const { return this->isCrashing; }
    /// Ends the listener and all connections; call it once, outside of the runner's own threads.
    void end() { this->server.stop(); }

private:
    void serve(Connection &connection)
    {
        while (const auto request = connection.read(60000, true)) {
            if (!request->isComplete || this->isCrashing)
                return;
            const std::string target = request->target();
            if (target == "/v1/report" || target == "/health") {
                const std::string body =
                        target == "/health"
                                ? ""
                                : R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,)"
                                  R"("seq":2,"queue_depth":0,"running":1,"kv_used":2000,"kv_total":34364,)"
                                  R"("handles":0,"state":"ready"})";
                if (!connection.send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + this->id +
                                     "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                                     body))
                    return;
                continue;
            }
            if (!this->generate(connection, *request))
                return;
        }
    }

    bool generate(Connection &connection, const Message &request)
    {
        const std::string attempt = request.header("X-Attempt-Id");
        const bool isBad =
                hasTrouble() && request.header("X-Prompt-Prefix").find(BadAttachment) != std::string::npos;
        {
            const std::lock_guard lock(this->results.mutex);
            this->results.begun.insert(attempt);
        }
        this->record.line("run " + attempt + " at " + this->id + ", " + request.header("X-Prompt-Prefix"));
        sleepMs(100);
        if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " +
                             attempt + "\r\nX-Server-Seal: 3e1b." + hexId() +
                             "\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (unsigned event = 1; event <= Events; ++event) {
            sleepMs(EventIntervalMs);
            if (connection.isClosedByPeer() || this->isCrashing)
                return false;
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + attempt + "-" +
                                     std::to_string(event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            // A runner that crashes stops in the middle of an event.
            if (isBad) {
                connection.send(size + text.substr(0, text.size() / 2));
                this->record.line("CRASH of " + this->id + " under " + attempt);
                {
                    const std::lock_guard lock(this->results.mutex);
                    this->results.crashes.push_back(nowMs());
                }
                this->isCrashing = true;
                return false;
            }
            if (!connection.send(size + text + "\r\n"))
                return false;
        }
        return connection.send("0\r\n\r\n");
    }

    std::string id;
    Results &results;
    Record &record;
    std::atomic<bool> isCrashing = false;
    Server server;
};

/// Runners in their places; one that has crashed is replaced after some seconds at another address.
class Fleet
{
public:
    Fleet(Deployment &ownDeployment, Results &allResults, Record &caseRecord)
        : deployment(ownDeployment)
        , results(allResults)
        , record(caseRecord)
    {
        for (unsigned place = 0; place < Runners; ++place)
            this->start();
        this->list();
        this->keeper = std::thread([this] { this->keep(); });
        this->keeper.detach();
    }

private:
    void start()
    {
        this->runners.push_back(std::make_unique<Runner>(this->nextNumber++, this->results, this->record));
    }

    void list()
    {
        std::vector<RunnerEntry> entries;
        for (const auto &runner : this->runners)
            entries.push_back(runner->entry());
        this->deployment.setRunners(entries);
    }

    void keep()
    {
        std::vector<int64_t> startAt;
        for (;;) {
            sleepMs(2);
            for (auto runner = this->runners.begin(); runner != this->runners.end();) {
                if (!(*runner)->hasCrashed()) {
                    ++runner;
                    continue;
                }
                (*runner)->end();
                startAt.push_back(nowMs() + BackAfterMs);
                // Its threads may still use it.
                this->ended.push_back(std::move(*runner));
                runner = this->runners.erase(runner);
            }
            bool isChanged = false;
            for (auto start = startAt.begin(); start != startAt.end();) {
                if (*start > nowMs()) {
                    ++start;
                    continue;
                }
                this->start();
                isChanged = true;
                start = startAt.erase(start);
            }
            if (isChanged)
                this->list();
        }
    }

    Deployment &deployment;
    Results &results;
    Record &record;
    unsigned nextNumber = 0;
    std::vector<std::unique_ptr<Runner>> runners;
    std::vector<std::unique_ptr<Runner>> ended;
    std::thread keeper;
};

/// Sends a request and returns its attempt's id once it has been answered.
void request(const Address &gateway, const std::string &parts, const std::string &what, Results &results,
             Record &record, Count *count)
{
    const std::string attempt = hexId();
    const auto connection = Connection::open(gateway, 1000);
    if (!connection)
        return;
    const std::string body = "ask " + attempt;
    connection->send(
            "POST /report/a HTTP/1.1\r\nHost: trays.example\r\nConnection: close\r\nX-Attempt-Id: " +
            attempt +
            "\r\nX-Api-Key: xd9dnn2ctnfzs989anu6\r\nX-Model: m\r\nX-Token-Usage: 300,120\r\nX-Length-Hint: "
            "120\r\nX-Prompt-Prefix: " +
            parts + "," + attempt.substr(0, 8) + ":51\r\nX-Request-Deadline: " + std::to_string(DeadlineMs) +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto response = connection->read(DeadlineMs + 1000, false);
    record.line("answer " + std::to_string(response ? response->status() : 0) +
                (response && response->isComplete ? "" : " (cut)") + " to " + attempt + ", " + what +
                (response && response->hasHeader("Retry-After")
                         ? ", Retry-After " + response->header("Retry-After")
                         : ""));
    const std::lock_guard lock(results.mutex);
    const bool hasBegun = results.begun.contains(attempt);
    if (count != nullptr) {
        ++count->sent;
        count->begun += hasBegun ? 1 : 0;
    } else {
        ++results.crashRequests;
        results.crashRequestsRun += hasBegun ? 1 : 0;
    }
}

int runCase(const std::string &folder)
{
    // Threads of the stand-ins use these until the process ends.
    auto &record = *new Record(folder + "/record.txt");
    auto &results = *new Results;
    auto &deployment = *new Deployment(folder, {3, Gateways, 4100, 800});
    new Fleet(deployment, results, record);
    if (!deployment.start(Config)) {
        record.say("the deployment did not start");
        deployment.~Deployment();
        return CouldNotRun;
    }
    sleepMs(1500);
    std::vector<std::thread> requests;
    unsigned number = 0;
    const auto send = [&](const std::string &parts, const std::string &what, Count *count) {
        const Address gateway = deployment.gateway(number++ % Gateways);
        requests.emplace_back(
                [&, gateway, parts, what, count] { request(gateway, parts, what, results, record, count); });
    };
    const std::string sound = Instructions + "," + OldSheet;
    const std::string soundNew = Instructions + "," + NewSheet;
    const std::string bad = Instructions + "," + BadAttachment + "," + NewSheet;
    const int64_t calmUntil = nowMs() + CalmMs;
    while (nowMs() < calmUntil) {
        send(sound, "sound", &results.calm);
        sleepMs(SoundEveryMs);
    }
    for (unsigned crash = 0; crash < CrashRequests; ++crash) {
        send(bad, "with the bad part", nullptr);
        sleepMs(CrashEveryMs);
    }
    const int64_t judgedFrom = nowMs() + 2 * ContactMs;
    const int64_t judgedUntil = judgedFrom + JudgedMs;
    int64_t nextBad = nowMs();
    int64_t nextSound = judgedFrom;
    while (nowMs() < judgedUntil) {
        if (nowMs() >= nextBad) {
            send(bad, "with the bad part", nullptr);
            nextBad += CrashLaterEveryMs;
        }
        if (nowMs() >= nextSound) {
            send(soundNew, "sound, new sheet", &results.judged);
            nextSound += SoundEveryMs;
        }
        sleepMs(20);
    }
    for (std::thread &thread : requests)
        thread.join();
    deployment.~Deployment();
    const std::lock_guard lock(results.mutex);
    record.say("runners that crashed " + std::to_string(results.crashes.size()) +
               ", requests with the bad part " + std::to_string(results.crashRequests) + ", run " +
               std::to_string(results.crashRequestsRun) + "; sound requests before " +
               std::to_string(results.calm.sent) + ", begun " + std::to_string(results.calm.begun) +
               "; sound requests from 6 s after the last crash " + std::to_string(results.judged.sent) +
               ", begun " + std::to_string(results.judged.begun));
    if (results.calm.sent < MinRequests || results.judged.sent < MinRequests ||
        results.calm.begun * 10 < results.calm.sent * 9 || (hasTrouble() && results.crashes.empty()))
        return CouldNotRun;
    const double before = static_cast<double>(results.calm.begun) / results.calm.sent;
    const double after = static_cast<double>(results.judged.begun) / results.judged.sent;
    return after < before / 2 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int, char **arguments)
{
    endWith(runCase(arguments[1]));
}
