#include "eelgrasslift/adminclient.h"

#include "eelgrasslift/controlthread.h"
#include "eelgrasslift/httpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <thread>

namespace eelgrasslift {

namespace {

namespace http = boost::beast::http;

/// An election takes about a second; a shorter delay only adds requests.
constexpr std::chrono::milliseconds RetryDelay{200};

Result<HttpResponse, HttpFailure> exchangeAndWait(const Endpoint &endpoint, HttpRequest request,
                                                  Duration timeout)
{
    boost::asio::io_context io;
    auto result = boost::asio::co_spawn(io, exchange(endpoint, std::move(request), timeout),
                                        boost::asio::use_future);
    io.run();
    return result.get();
}

} // namespace

AdminClient::AdminClient(AdminClientSettings clientSettings)
    : settings(std::move(clientSettings))
{}

Result<AdminReply, AdminFailure> AdminClient::call(const AdminRequest &request)
{
    const TimePoint deadline = monotonicNow() + this->settings.deadline;
    bool mayHaveBeenExecuted = false;
    while (monotonicNow() < deadline && !this->settings.members.empty()) {
        const size_t count = this->settings.members.size();
        const bool isLeaderKnown = this->leader.port != 0 && request.requiresLeader;
        const Endpoint member =
                isLeaderKnown ? this->leader : this->settings.members[this->nextMember % count];
        AdminReply reply;
        const Duration timeout = std::min<Duration>(this->settings.attemptTimeout, deadline - monotonicNow());
        const AttemptOutcome outcome = this->attempt(request, member, timeout, reply);
        if (outcome == AttemptOutcome::Done)
            return reply;
        mayHaveBeenExecuted = mayHaveBeenExecuted || outcome == AttemptOutcome::ResponseLost;
        if (outcome == AttemptOutcome::ResponseLost && !request.isRetryable)
            break;
        this->leader = {};
        if (outcome == AttemptOutcome::RetryNextMember && reply.status == 421)
            this->followRedirect(reply);
        if (outcome != AttemptOutcome::RetrySameMember && request.requiresLeader)
            ++this->nextMember;
        if (this->leader.port == 0)
            std::this_thread::sleep_for(RetryDelay);
    }
    return mayHaveBeenExecuted ? AdminFailure::OutcomeUnknown : AdminFailure::Unreachable;
}

AdminClient::AttemptOutcome AdminClient::attempt(const AdminRequest &request, const Endpoint &member,
                                                 Duration timeout, AdminReply &reply)
{
    HttpRequest httpRequest = makeRequest(request.method, member, request.target, request.body);
    httpRequest.set(http::field::authorization, "Bearer " + this->settings.adminKey);
    if (!request.author.empty())
        httpRequest.set("X-Author", request.author);
    const auto result = exchangeAndWait(member, std::move(httpRequest), timeout);
    if (const auto *failure = std::get_if<HttpFailure>(&result))
        return *failure == HttpFailure::NotConnected ? AttemptOutcome::RetryNextMember
                                                     : AttemptOutcome::ResponseLost;
    const HttpResponse &response = std::get<HttpResponse>(result);
    reply.status = response.result_int();
    reply.body = nlohmann::json::parse(response.body(), nullptr, false);
    switch (reply.status) {
    case 421:
        return AttemptOutcome::RetryNextMember;
    case 503:
        return request.requiresLeader ? AttemptOutcome::RetrySameMember : AttemptOutcome::Done;
    case 504:
        return AttemptOutcome::ResponseLost;
    default:
        return AttemptOutcome::Done;
    }
}

void AdminClient::followRedirect(const AdminReply &reply)
{
    const nlohmann::json error =
            reply.body.is_object() ? reply.body.value("error", nlohmann::json{}) : nlohmann::json{};
    const std::string address = error.is_object() ? error.value("leader", "") : "";
    if (const auto endpoint = parseEndpoint(address))
        this->leader = *endpoint;
}

} // namespace eelgrasslift
