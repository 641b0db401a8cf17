#include "model.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

constexpr Milliseconds IdleTime{15000};
constexpr Milliseconds MaxOverlap{400};
// A model request states at most so many tokens for each event.
constexpr int TokensPerEvent = 4;

} // namespace

std::vector<std::string> World::overlaps()
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> lines;
    for (const auto &earlier : this->runs) {
        for (const auto &later : this->runs) {
            if (earlier->request != later->request || earlier->runner == later->runner ||
                earlier->begin >= later->begin)
                continue;
            const auto overlap = std::chrono::duration_cast<Milliseconds>(
                    std::min(earlier->lastWork, later->lastWork) - later->begin);
            if (overlap <= MaxOverlap)
                continue;
            lines.push_back("request " + earlier->request + " goes on at " + later->runner + " from " +
                            std::to_string(this->record.millisecondsOf(later->begin)) + " ms, and " +
                            earlier->runner + " works on it as well for " + std::to_string(overlap.count()) +
                            " ms after that");
        }
    }
    return lines;
}

void SecondAnswers::countAnswer()
{
    const std::lock_guard lock(this->mutex);
    this->answers.push_back(Clock::now());
}

bool SecondAnswers::take()
{
    constexpr double MaxShare = 0.03;
    constexpr std::chrono::seconds Window{5};
    const std::lock_guard lock(this->mutex);
    const Time from = Clock::now() - Window;
    const auto isBefore = [from](Time time) { return time < from; };
    std::erase_if(this->answers, isBefore);
    std::erase_if(this->repeated, isBefore);
    if (static_cast<double>(this->repeated.size() + 1) > MaxShare * static_cast<double>(this->answers.size()))
        return false;
    this->repeated.push_back(Clock::now());
    return true;
}

std::string jsonField(const std::string &json, const std::string &name)
{
    const size_t at = json.find("\"" + name + "\"");
    if (at == std::string::npos)
        return {};
    size_t begin = json.find_first_not_of(" :", at + name.size() + 2);
    if (json[begin] == '"')
        return json.substr(begin + 1, json.find('"', begin + 1) - begin - 1);
    return json.substr(begin, json.find_first_of(",}", begin) - begin);
}

std::string streamEvent(const std::string &request, int event)
{
    return "id: " + std::to_string(event) + "\ndata: " + request + " event " + std::to_string(event) + "\n\n";
}

FleetList::FleetList(const Addresses &addresses, std::function<std::string()> listEntries)
    : entries(std::move(listEntries))
    , server(addresses.list(), ListPort, [this](const ConnectionPointer &connection) {
        while (const auto request = connection->receive(false, IdleTime)) {
            if (!connection->send(
                        response(200, {}, R"({"instances":[)" + this->entries() + R"(],"next":null})")))
                return;
        }
    })
{}

FleetList::FleetList(const Addresses &addresses, const std::vector<std::unique_ptr<ModelRunner>> &runners)
    : FleetList(addresses, [&runners] {
        std::string entries;
        for (const auto &runner : runners)
            entries += (entries.empty() ? "" : ",") + runner->listEntry();
        return entries;
    })
{}

ModelRunner::ModelRunner(Settings runnerSettings, World &runWorld)
    : settings(std::move(runnerSettings))
    , world(runWorld)
    , server(this->settings.ip, RunnerPort,
             [this](const ConnectionPointer &connection) { this->serve(connection); })
{
    this->server.resetWhile([this] { return this->isFull && this->isFull(); });
}

std::string ModelRunner::listEntry() const
{
    return R"({"id":")" + this->settings.id + R"(","service":")" + this->settings.service +
           R"(","address":")" + this->address() + R"(","zone":"zone-a","version":"v1","slots":)" +
           std::to_string(this->settings.slots) + R"(,"state":")" + (this->isLeaving ? "draining" : "ready") +
           R"(","cold_left_ms":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"born":)" +
           std::to_string(this->born) + "}";
}

void ModelRunner::leave(Milliseconds duration)
{
    this->world.record.add(this->settings.id + " is leaving, in " + std::to_string(duration.count()) + " ms");
    this->leavesAtUnixMs = unixMilliseconds() + duration.count();
    this->isLeaving = true;
}

void ModelRunner::serve(const ConnectionPointer &connection)
{
    std::string secondAnswer;
    while (const auto request = connection->receive(false, IdleTime)) {
        if (!request->isComplete)
            return;
        if (!secondAnswer.empty()) {
            this->world.record.add(this->settings.id +
                                   " sends an answer to an earlier call once more, before that to " +
                                   request->firstLine + " " + request->field("x-attempt-id"));
            connection->send(std::exchange(secondAnswer, {}));
        }
        this->secondAnswers.countAnswer();
        if (!this->respond(connection, *request, secondAnswer))
            return;
    }
}

bool ModelRunner::respond(const ConnectionPointer &connection, const Message &request,
                          std::string &secondAnswer)
{
    const std::string leaving = this->isLeaving ? "Server-Leaving: 1\r\n" : "";
    const std::string own = "X-Instance-Id: " + this->settings.id + "\r\n" + leaving;
    if (request.target() == "/health")
        return connection->send(response(this->isLeaving ? 503 : 200, own, {}));
    if (request.target() == "/v1/report") {
        int running = 0;
        {
            const std::lock_guard lock(this->world.mutex);
            for (const auto &run : this->world.runs)
                running += run->runner == this->settings.id && !run->isEnded ? 1 : 0;
        }
        return connection->send(response(
                200, own,
                R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queue_depth":)" +
                        std::to_string(this->queueDepth) + R"(,"running":)" + std::to_string(running) +
                        R"(,"kv_used":)" + std::to_string(running * 3000) +
                        R"(,"kv_total":34364,"handles":0,"born":)" + std::to_string(this->born) +
                        (this->isLeaving ? R"(,"state":"draining","leaves_ms":)" +
                                                   std::to_string(this->leavesAtUnixMs - unixMilliseconds())
                                         : R"(,"state":"ready")") +
                        "}"));
    }
    if (request.target() == "/v1/kv-move") {
        const std::string reply = this->copy(request);
        sleepFor(this->copyTime);
        if (this->losesReply && this->losesReply(*this, request)) {
            connection->reset();
            return false;
        }
        if (this->repeatsReply && this->repeatsReply(*this, request))
            secondAnswer = reply;
        return connection->send(reply);
    }
    if (request.target().starts_with("/v1/kv-handle/")) {
        this->world.record.add(this->settings.id + " is called to free " + request.target());
        return connection->send(response(200, own, "{}"));
    }
    const std::string id = request.field("x-attempt-id");
    const std::string answer =
            "X-Attempt-Id: " + id + "\r\nX-Server-Seal: seal." + this->settings.id + "." + id + "\r\n";
    const std::string expected = request.field("x-expect-instance");
    if (!expected.empty() && expected != this->settings.id)
        return connection->send(response(421, answer + "X-Not-Executed: 1\r\n", "{}"));
    if (this->refuse) {
        if (const auto fields = this->refuse(*this, request)) {
            this->world.record.add(this->settings.id + " turns " + id + " away: 503 " + *fields);
            return connection->send(response(503, answer + "X-Not-Executed: 1\r\n" + *fields + "\r\n", "{}"));
        }
    }
    if (this->settings.isPlain) {
        sleepFor(this->settings.eventInterval);
        return connection->send(response(200, answer + leaving + "Keep-Alive: timeout=5\r\n",
                                         "done for " + id, "text/plain"));
    }
    this->stream(connection, request);
    return false;
}

void ModelRunner::stream(const ConnectionPointer &connection, const Message &request)
{
    const std::string id = request.field("x-attempt-id");
    const std::string usage = request.field("x-token-usage");
    const int last = std::max(std::atoi(usage.c_str() + usage.find(',') + 1) / TokensPerEvent, 1);
    const int first =
            request.has("last-event-id") ? std::atoi(request.field("last-event-id").c_str()) + 1 : 1;
    const std::string from = request.field("kv-from");
    // The memory decides what is generated.
    std::string source = id;
    if (this->beforeRun)
        this->beforeRun(*this, request);
    auto run = std::make_shared<Run>();
    run->request = id;
    run->runner = this->settings.id;
    run->begin = run->lastWork = Clock::now();
    run->events = first - 1;
    {
        const std::lock_guard lock(this->world.mutex);
        if (!from.empty()) {
            const auto found = this->world.copies.find(from);
            if (found == this->world.copies.end()) {
                this->world.record.add(this->settings.id + " has no copy " + from + " for " + id);
                connection->send(response(503, "X-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\n", "{}"));
                return;
            }
            if (found->second != id) {
                this->world.foreignMemory.push_back("request " + id + " was sent to " + this->settings.id +
                                                    " to go on from " + from + ", the memory of request " +
                                                    found->second);
                source = found->second;
            }
            this->world.copies.erase(found);
        }
        this->world.runs.push_back(run);
        const std::string backup = request.field("x-kv-backup");
        run->hasBackup = !backup.empty();
        if (run->hasBackup)
            this->world.copies[backup + "/" + id] = id;
    }
    this->world.record.add(this->settings.id + " runs " + id + " from event " + std::to_string(first) +
                           " of " + std::to_string(last) + (from.empty() ? "" : ", from copy " + from) +
                           (request.has("x-kv-backup") ? ", backup at " + request.field("x-kv-backup") : ""));
    bool isConnected =
            connection->send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + id +
                             "\r\nX-Server-Seal: seal." + this->settings.id + "." + id +
                             "\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = first; event <= last; ++event) {
        sleepFor(this->settings.eventInterval);
        if (this->beforeEvent)
            this->beforeEvent(*this, *run, event);
        {
            const std::lock_guard lock(this->world.mutex);
            if (run->isStopped)
                break;
            run->lastWork = Clock::now();
            run->events = event;
        }
        const std::string text = streamEvent(source, event);
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        if (isConnected && (connection->isClosedByPeer() || !connection->send(size + text + "\r\n"))) {
            isConnected = false;
            this->world.record.add(this->settings.id + " finds the connection of " + id +
                                   " closed at event " + std::to_string(event));
            if (this->settings.dropsOnClose)
                break;
        }
    }
    bool isStopped = false;
    {
        const std::lock_guard lock(this->world.mutex);
        run->isEnded = true;
        isStopped = run->isStopped;
    }
    this->world.record.add(this->settings.id + " ends its run of " + id + " at event " +
                           std::to_string(run->events) + (isStopped ? ", called to" : ""));
    if (isConnected && !isStopped)
        connection->send("0\r\n\r\n");
}

std::string ModelRunner::copy(const Message &request)
{
    const std::string id = jsonField(request.body, "id");
    const bool isLast = jsonField(request.body, "last") == "true";
    std::string handle;
    int made = 0;
    {
        const std::lock_guard lock(this->world.mutex);
        for (const auto &run : this->world.runs) {
            if (run->request != id || run->runner != this->settings.id || run->isEnded || run->isStopped)
                continue;
            run->isStopped = isLast;
            made = run->events;
            handle = "h" + std::to_string(++this->world.handles);
            this->world.copies[this->address() + "/" + handle] = id;
        }
    }
    this->world.record.add(this->settings.id + " is called to copy " + id + (isLast ? " and to end it" : "") +
                           (handle.empty() ? ", and has no such run" : ", handle " + handle));
    const std::string fields = "Keep-Alive: timeout=5\r\n";
    if (handle.empty())
        return response(404, fields, R"({"born":)" + std::to_string(this->born) + "}");
    return response(200, fields, R"({"handle":")" + handle + R"(","made":)" + std::to_string(made) + "}");
}

} // namespace review
