#include "modelrunners.h"

#include <algorithm>

namespace eelgrasslift {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

int numberOf(const std::string &runnerId)
{
    return runnerId.back() - '0';
}

} // namespace

ModelRunners::ModelRunners(Respond respondTo, int runnerCount)
    : respond(std::move(respondTo))
    , fixture(this->script(1))
    , second(this->fixture.io, this->script(2))
    , third(this->fixture.io, this->script(3))
{
    for (const char *service : {"p", "m", "b"}) {
        RunnerEntry entry = this->entry(service + std::string("1"));
        entry.id = service + std::string("3");
        this->fixture.runners.push_back(entry);
    }
    std::erase_if(this->fixture.runners,
                  [&](const RunnerEntry &entry) { return numberOf(entry.id) > runnerCount; });
    for (RunnerEntry &entry : this->fixture.runners)
        entry.address = this->at(numberOf(entry.id)).address();
    this->fixture.gateway.applyFleet(this->fixture.runners);
}

ScriptedRunner &ModelRunners::at(int number)
{
    return number == 1 ? this->fixture.runner : number == 2 ? this->second : this->third;
}

CallerView ModelRunners::call(const std::string &path)
{
    const CallerView view = this->fixture.call(path, "id-1");
    // A copy that is being made keeps the session.
    this->fixture.runUntil([this] { return this->fixture.lastSession() == nullptr; });
    return view;
}

void ModelRunners::announceStop(int number)
{
    for (RunnerEntry &entry : this->fixture.runners) {
        if (numberOf(entry.id) != number)
            continue;
        entry.report.emplace();
        entry.report->isLeaving = true;
        entry.report->timeUntilStop = Notice;
    }
    this->fixture.gateway.applyFleet(this->fixture.runners);
}

void ModelRunners::suspectStop(int number, bool seemsLeaving)
{
    for (RunnerEntry &entry : this->fixture.runners)
        entry.seemsLeaving = numberOf(entry.id) == number ? seemsLeaving : entry.seemsLeaving;
    this->fixture.gateway.applyFleet(this->fixture.runners);
}

asio::awaitable<void> ModelRunners::sendHead(tcp::socket &connection) const
{
    const bool isChunked = this->framing == Framing::Chunks;
    co_await sendBytes(connection, std::string("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n") +
                                           (isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
}

asio::awaitable<void> ModelRunners::sendPart(tcp::socket &connection, std::string bytes) const
{
    if (this->framing == Framing::Chunks)
        bytes = chunk(bytes);
    co_await sendBytes(connection, std::move(bytes));
}

asio::awaitable<int> ModelRunners::sendEvents(tcp::socket &connection, int first, int last,
                                              const bool &isStopped) const
{
    int id = first;
    for (; id <= last && !isStopped; ++id) {
        co_await this->sendPart(connection, eventsBetween(id, id));
        co_await wait(EventInterval);
    }
    co_return id;
}

asio::awaitable<void> ModelRunners::sendRest(tcp::socket &connection, int first) const
{
    co_await this->sendHead(connection);
    for (int id = first; id <= EventCount; ++id)
        co_await this->sendPart(connection, eventsBetween(id, id));
    co_await this->finish(connection);
}

asio::awaitable<void> ModelRunners::finish(tcp::socket &connection) const
{
    if (this->framing == Framing::Chunks)
        co_await sendBytes(connection, "0\r\n\r\n");
    else
        connection.close();
}

const RunnerEntry &ModelRunners::entry(const std::string &id)
{
    return *std::ranges::find(this->fixture.runners, id, &RunnerEntry::id);
}

ScriptedRunner::Script ModelRunners::script(int number)
{
    return [this, number](tcp::socket &connection, int, const std::string &message) {
        return this->handle(connection, number, message);
    };
}

asio::awaitable<void> ModelRunners::handle(tcp::socket &connection, int number, std::string message)
{
    ModelRequest request = ModelRequest::parse(message);
    request.runner = number;
    if (request.kind == ModelRequest::Kind::Release)
        co_await sendReply(connection, 200);
    else
        co_await this->respond(connection, std::move(request));
}

} // namespace eelgrasslift
