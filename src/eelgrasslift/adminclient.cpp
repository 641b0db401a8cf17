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

/// An election takes about a second; shorter pauses only add requests.
constexpr std::chrono::milliseconds RetryPause{200};

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
    bool mayHaveRun = false;
    while (monotonicNow() < deadline && !this->settings.members.empty()) {
        const size_t count = this->settings.members.size();
        const bool isLeaderKnown = this->leader.port != 0 && request.followsLeader;
        const Endpoint member =
                isLeaderKnown ? this->leader : this->settings.members[this->nextMember % count];
        AdminReply reply;
        const Duration timeout = std::min<Duration>(this->settings.attemptTimeout, deadline - monotonicNow());
        const Step step = this->attempt(request, member, timeout, reply);
        if (step == Step::Done)
            return reply;
        mayHaveRun = mayHaveRun || step == Step::Lost;
        if (step == Step::Lost && !request.isRepeatable)
            break;
        this->leader = {};
        if (step == Step::NextMember && reply.status == 421)
            this->followLeader(reply);
        if (step != Step::SameMember && request.followsLeader)
            ++this->nextMember;
        if (this->leader.port == 0)
            std::this_thread::sleep_for(RetryPause);
    }
    return mayHaveRun ? AdminFailure::OutcomeUnknown : AdminFailure::Unreachable;
}

AdminClient::Step AdminClient::attempt(const AdminRequest &request, const Endpoint &member, Duration timeout,
                                       AdminReply &reply)
{
    HttpRequest message = makeRequest(request.method, member, request.target, request.body);
    message.set(http::field::authorization, "Bearer " + this->settings.adminKey);
    if (!request.author.empty())
        message.set("X-Author", request.author);
    const auto result = exchangeAndWait(member, std::move(message), timeout);
    if (const auto *failure = std::get_if<HttpFailure>(&result))
        return *failure == HttpFailure::NotConnected ? Step::NextMember : Step::Lost;
    const HttpResponse &response = std::get<HttpResponse>(result);
    reply.status = response.result_int();
    reply.body = nlohmann::json::parse(response.body(), nullptr, false);
    switch (reply.status) {
    case 421:
        return Step::NextMember;
    case 503:
        return request.followsLeader ? Step::SameMember : Step::Done;
    case 504:
        return Step::Lost;
    default:
        return Step::Done;
    }
}

void AdminClient::followLeader(const AdminReply &reply)
{
    const nlohmann::json error =
            reply.body.is_object() ? reply.body.value("error", nlohmann::json{}) : nlohmann::json{};
    const std::string address = error.is_object() ? error.value("leader", "") : "";
    if (const auto endpoint = parseEndpoint(address))
        this->leader = *endpoint;
}

} // namespace eelgrasslift
