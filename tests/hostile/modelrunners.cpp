#include "modelrunners.h"

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
{
    this->fixture.runners.clear();
    for (int number = 1; number <= runnerCount; ++number) {
        if (number > 1)
            this->others.emplace_back(this->fixture.io, this->script(number));
        for (const char *service : {"p", "m", "b"}) {
            RunnerEntry &entry = this->fixture.runners.emplace_back();
            entry.id = service + std::to_string(number);
            entry.service = service;
            entry.address = this->at(number).address();
            entry.slots = 6;
        }
    }
    this->fixture.gateway.applyFleet(this->fixture.runners);
}

ScriptedRunner &ModelRunners::at(int number)
{
    return number == 1 ? this->fixture.runner : this->others.at(static_cast<size_t>(number) - 2);
}

CallerView ModelRunners::call(const std::string &path)
{
    return this->fixture.call(path, RequestId);
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
