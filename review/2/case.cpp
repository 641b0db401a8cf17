#include "casekit.h"

#include <map>
#include <set>

// A runner is emptied and taken away while it generates. A generation that goes on at another runner must not
// be worked on by the first one any more 400 ms later.

using namespace casekit;

namespace {

// scale_in, how = spot: a share of 0.17 of the runners, gone 2.1 s after the notice, are the largest doses of
// the site file.
constexpr unsigned Runners = 6;
constexpr int64_t NoticeMs = 2000;
constexpr int64_t LeaveAfterMs = 4000;
constexpr int64_t LoadForMs = 16000;

// TWICE: two runners may work on a request for this long.
constexpr int64_t AllowedOverlapMs = 400;

constexpr unsigned Clients = 18;
constexpr unsigned Events = 232;
constexpr int64_t EventIntervalMs = 45;
constexpr int64_t CopyMs = 120;
constexpr int DeadlineMs = 39000;

// gap_slo_ms is wide, so that a busy machine, which delays events, is not taken for a runner that stalls.
const std::string Config = R"({"version":1,"routes":[
{"name":"report","host":"trays.example","path_prefix":"/report/","kind":"streaming","timeout_ms":39000,"slo_ms":1800,
"priority":1,"service":"model","max_attempts":1,"public":true,"session_affinity":true,"stream_resume":false,
"gap_slo_ms":1000}],
"services":[{"name":"model","health_path":"/health","max_conns":442,"protocol":"h1","tls":false,"engine":{"slots":64,
"kv_capacity_tokens":34364,"kv_token_bytes":262144,"link_mbps":38000.0,"moves":true,"backups":true,"stride":4,
"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[]})";

struct Run
{
    std::string runner;
    int64_t from = 0;
    /// The end of the work; later than now while it goes on.
    int64_t until = INT64_MAX;
    unsigned made = 0;
    std::string cause;
};

struct Results
{
    std::mutex mutex;
    /// Runs of each attempt in their order.
    std::map<std::string, std::vector<Run>> runs;
    /// Attempts that a runner may continue, by the reference that names the copy.
    std::map<std::string, std::string> copies;
    unsigned sent = 0;
    unsigned whole = 0;
    unsigned wrong = 0;
};

class Runner
{
public:
    /// dropsClosed: whether a run ends with its connection.
    Runner(unsigned number, bool dropsClosedRuns, Results &allResults, Record &caseRecord)
        : id("i-" + std::to_string(number))
        , dropsClosed(dropsClosedRuns)
        , results(allResults)
        , record(caseRecord)
        , server({loopbackIp(40 + number), 0}, [this](Connection &connection) { this->serve(connection); })
    {}

    RunnerEntry entry() const
    {
        return {this->id, "model", this->server.address(), 64, this->stopsAt < INT64_MAX};
    }

    void leave() { this->stopsAt = nowMs() + NoticeMs; }
    void stop()
    {
        this->isGone = true;
        this->server.stop();
    }
    unsigned running() const { return this->runCount; }

private:
    bool sendBody(Connection &connection, int status, const std::string &body,
                  const std::string &more = {}) const
    {
        return connection.send("HTTP/1.1 " + std::to_string(status) + " Status\r\n" + more +
                               "Content-Type: application/json\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::string reportText() const
    {
        const bool isLeaving = this->stopsAt < INT64_MAX;
        std::string text =
                R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":2,)"
                R"("queue_depth":0,"handles":0,"kv_total":34364,"kv_used":)" +
                std::to_string(this->runCount * 300) + R"(,"running":)" + std::to_string(this->runCount) +
                R"(,"state":")" + (isLeaving ? "draining" : "ready") + "\"";
        if (isLeaving)
            text += ",\"leaves_ms\":" + std::to_string(std::max<int64_t>(this->stopsAt - nowMs(), 0));
        return text + "}";
    }

    void serve(Connection &connection)
    {
        while (const auto request = connection.read(60000, true)) {
            if (!request->isComplete || this->isGone)
                return;
            const std::string target = request->target();
            bool isOpen = true;
            if (target == "/v1/report")
                isOpen = this->sendBody(connection, 200, this->reportText());
            else if (target == "/health")
                isOpen = this->sendBody(connection, this->stopsAt < INT64_MAX ? 503 : 200, {},
                                        "X-Instance-Id: " + this->id + "\r\n");
            else if (target == "/v1/kv-move")
                isOpen = this->copy(connection, request->body);
            else if (target.starts_with("/v1/"))
                isOpen = this->sendBody(connection, 200, "{}");
            else
                isOpen = this->generate(connection, *request);
            if (!isOpen)
                return;
        }
    }

    static std::string textField(const std::string &json, const std::string &name)
    {
        const size_t at = json.find("\"" + name + "\":\"");
        if (at == std::string::npos)
            return {};
        const size_t from = at + name.size() + 4;
        return json.substr(from, json.find('"', from) - from);
    }

    bool copy(Connection &connection, const std::string &body)
    {
        const std::string attempt = textField(body, "id");
        const std::string handle = "h" + hexId();
        sleepMs(CopyMs);
        unsigned made = 0;
        {
            const std::lock_guard lock(this->results.mutex);
            const auto found = this->results.runs.find(attempt);
            if (found == this->results.runs.end() || found->second.back().runner != this->id)
                return this->sendBody(connection, 404, "{}");
            made = found->second.back().made;
            this->results.copies[this->server.address().text() + "/" + handle] = attempt;
        }
        this->record.line("copy of " + attempt + " from " + this->id + " to " + textField(body, "to"));
        return this->sendBody(connection, 200,
                              R"({"handle":")" + handle + R"(","made":)" + std::to_string(made) + "}");
    }

    bool generate(Connection &connection, const Message &request)
    {
        const std::string attempt = request.header("X-Attempt-Id");
        const std::string reference = request.header("Kv-From");
        const std::string last = request.header("Last-Event-Id");
        const unsigned first = last.empty() ? 1 : static_cast<unsigned>(std::stoul(last)) + 1;
        size_t index = 0;
        {
            const std::lock_guard lock(this->results.mutex);
            if (!reference.empty()) {
                const auto found = this->results.copies.find(reference);
                if (found == this->results.copies.end() || found->second != attempt)
                    return this->sendBody(connection, 503, "{}",
                                          "X-Not-Executed: 1\r\nX-Attempt-Id: " + attempt + "\r\n");
                this->results.copies.erase(found);
            }
            if (const std::string backup = request.header("X-Kv-Backup"); !backup.empty())
                this->results.copies[backup + "/" + attempt] = attempt;
            index = this->results.runs[attempt].size();
            this->results.runs[attempt].push_back({this->id, nowMs(), INT64_MAX, first - 1, {}});
        }
        ++this->runCount;
        this->record.line("run " + attempt + " at " + this->id + " from event " + std::to_string(first) +
                          (reference.empty() ? "" : ", continues " + reference));
        const std::string cause = this->work(connection, attempt, first, index);
        --this->runCount;
        const std::lock_guard lock(this->results.mutex);
        Run &run = this->results.runs[attempt][index];
        run.until = nowMs();
        run.cause = cause;
        this->record.line("end " + attempt + " at " + this->id + ", event " + std::to_string(run.made) +
                          ", " + cause);
        return cause == "complete";
    }

    /// Returns why the work has ended.
    std::string work(Connection &connection, const std::string &attempt, unsigned first, size_t index)
    {
        bool isOpen = connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " +
                                      attempt + "\r\nX-Server-Seal: 3e1b." + hexId() +
                                      "\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        sleepMs(first == 1 ? 200 : 20);
        for (unsigned event = first; event <= Events; ++event) {
            sleepMs(EventIntervalMs);
            if (this->isGone)
                return "runner gone";
            isOpen = isOpen && !connection.isClosedByPeer();
            if (!isOpen && this->dropsClosed)
                return "connection closed";
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + attempt + "-" +
                                     std::to_string(event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            isOpen = isOpen && connection.send(size + text + "\r\n");
            const std::lock_guard lock(this->results.mutex);
            this->results.runs[attempt][index].made = event;
        }
        return isOpen && connection.send("0\r\n\r\n") ? "complete" : "complete, connection closed";
    }

    std::string id;
    bool dropsClosed;
    Results &results;
    Record &record;
    std::atomic<int64_t> stopsAt = INT64_MAX;
    std::atomic<bool> isGone = false;
    std::atomic<unsigned> runCount = 0;
    Server server;
};

void runClient(const Address &gateway, Results &results, Record &record, int64_t until)
{
    while (nowMs() < until) {
        const auto connection = Connection::open(gateway, 1000);
        if (!connection) {
            sleepMs(100);
            continue;
        }
        const std::string attempt = hexId();
        connection->send(
                "POST /report/a HTTP/1.1\r\nHost: trays.example\r\nConnection: close\r\nX-Attempt-Id: " +
                attempt +
                "\r\nX-Model: m\r\nX-Token-Usage: 300,928\r\nX-Length-Hint: 900\r\nX-Prompt-Prefix: "
                "5c1e07a2:79," +
                attempt.substr(0, 8) + ":221\r\nX-Request-Deadline: " + std::to_string(DeadlineMs) +
                "\r\nContent-Length: " + std::to_string(attempt.size()) + "\r\n\r\n" + attempt);
        const auto response = connection->read(DeadlineMs + 1000, false);
        std::string expected;
        for (unsigned event = 1; event <= Events; ++event)
            expected += "id: " + std::to_string(event) + "\ndata: " + attempt + "-" + std::to_string(event) +
                        "\n\n";
        const bool isWhole = response && response->isComplete && response->status() == 200;
        record.line("answer " + std::to_string(response ? response->status() : 0) +
                    (isWhole ? "" : " (not whole)") + " to " + attempt);
        const std::lock_guard lock(results.mutex);
        ++results.sent;
        results.whole += isWhole ? 1 : 0;
        results.wrong += isWhole && response->body != expected ? 1 : 0;
    }
}

int runCase(const std::string &folder)
{
    // Threads of the stand-ins use these until the process ends.
    auto &record = *new Record(folder + "/record.txt");
    auto &results = *new Results;
    auto &runners = *new std::vector<std::unique_ptr<Runner>>;
    // One runner in six does not drop a request when its connection closes.
    for (unsigned number = 0; number < Runners; ++number)
        runners.push_back(std::make_unique<Runner>(number, number != 0, results, record));
    const auto entries = [&](unsigned from) {
        std::vector<RunnerEntry> result;
        for (unsigned number = from; number < Runners; ++number)
            result.push_back(runners[number]->entry());
        return result;
    };
    Deployment deployment(folder, {3, 1, 4100, 800});
    deployment.setRunners(entries(0));
    if (!deployment.start(Config)) {
        record.say("the deployment did not start");
        return CouldNotRun;
    }
    sleepMs(1500);
    const int64_t until = nowMs() + LoadForMs;
    std::vector<std::thread> clients;
    for (unsigned number = 0; number < Clients; ++number) {
        clients.emplace_back([&, number] {
            sleepMs(number * 150);
            runClient(deployment.gateway(0), results, record, until - 12000);
        });
    }
    sleepMs(LeaveAfterMs);
    const unsigned runningAtNotice = runners[0]->running();
    if (hasTrouble()) {
        record.line("i-0 is taken away, " + std::to_string(runningAtNotice) + " generations run there");
        runners[0]->leave();
        deployment.setRunners(entries(0));
        sleepMs(NoticeMs);
        runners[0]->stop();
        record.line("i-0 is gone");
        deployment.setRunners(entries(1));
    }
    for (std::thread &client : clients)
        client.join();
    unsigned continued = 0;
    unsigned twice = 0;
    {
        const std::lock_guard lock(results.mutex);
        for (const auto &[attempt, runs] : results.runs) {
            for (size_t index = 1; index < runs.size(); ++index) {
                ++continued;
                const int64_t overlap = std::min(runs[index - 1].until, nowMs()) - runs[index].from;
                if (overlap <= AllowedOverlapMs)
                    continue;
                ++twice;
                record.line("TWICE " + attempt + ": " + runs[index].runner + " went on with it, " +
                            runs[index - 1].runner + " worked on it for " + std::to_string(overlap) +
                            " ms more");
            }
        }
    }
    record.say("generations " + std::to_string(results.sent) + ", whole " + std::to_string(results.whole) +
               ", with wrong events " + std::to_string(results.wrong) + ", at i-0 at its notice " +
               std::to_string(runningAtNotice) + ", continued elsewhere " + std::to_string(continued) +
               ", worked on by two runners for over 400 ms " + std::to_string(twice));
    if (results.whole == 0 || (hasTrouble() && runningAtNotice == 0))
        return CouldNotRun;
    return twice > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int, char **arguments)
{
    endWith(runCase(arguments[1]));
}
