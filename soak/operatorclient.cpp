#include "operatorclient.h"

#include "content.h"
#include "runnerfleet.h"

namespace eelgrasslift::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr unsigned Http11 = 11;
// The operator moves on to another node after a second without a response.
constexpr Duration CallTimeout = std::chrono::seconds{1};
constexpr Duration RetryDelay = std::chrono::milliseconds{150};
constexpr double MeanChangeSeconds = 0.8;
constexpr uint64_t MaxVersionStep = 5;
constexpr int MaxRedirections = 2;

} // namespace

OperatorClient::OperatorClient(uint64_t seed, Nodes &allNodes, Journal &runJournal)
    : random(hashOf("operator " + std::to_string(seed)))
    , nodes(allNodes)
    , journal(runJournal)
{}

asio::awaitable<void> OperatorClient::run()
{
    while (!this->isStopping) {
        const uint64_t version = this->newest + 1 + this->random.below(MaxVersionStep);
        this->newest = version;
        while (!co_await this->write(version))
            co_await sleepFor(RetryDelay);
        this->acknowledged = version;
        this->journal.count("configurations acknowledged");
        co_await sleepFor(fromSeconds(this->random.exponential(MeanChangeSeconds)));
        co_await this->read();
    }
    this->ended = true;
}

asio::awaitable<bool> OperatorClient::write(uint64_t version)
{
    Request request(http::verb::put, "/v1/config", Http11);
    request.set(http::field::content_type, "application/json");
    request.body() = RunnerFleet::configuration(version);
    const auto response = co_await this->call(std::move(request));
    if (!response)
        co_return false;
    const unsigned status = response->result_int();
    if (status == 400)
        this->journal.recordBreach({}, "configuration " + std::to_string(version) + " refused as invalid");
    co_return status == 200;
}

asio::awaitable<bool> OperatorClient::read()
{
    const uint64_t acknowledgedBefore = this->acknowledged;
    const auto response = co_await this->call(Request(http::verb::get, "/v1/config", Http11));
    if (!response || response->result_int() != 200)
        co_return false;
    this->journal.count("configurations read");
    const Json body = Json::parse(response->body(), nullptr, false);
    const uint64_t version = body.is_object() ? body.value("version", uint64_t{0}) : 0;
    if (version < acknowledgedBefore || version > this->newest)
        this->journal.recordBreach({}, "read configuration " + std::to_string(version) + " after " +
                                               std::to_string(acknowledgedBefore) + " was acknowledged");
    else if (response->body() != RunnerFleet::configuration(version))
        this->journal.recordBreach({}, "configuration " + std::to_string(version) + " was read with changes");
    co_return true;
}

asio::awaitable<std::optional<Response>> OperatorClient::call(Request request)
{
    constexpr std::string_view Scheme = "http://";
    std::optional<Endpoint> endpoint =
            this->nodes.operatorEndpoint(this->random.below(this->nodes.coordinatorCount()));
    std::optional<Response> response;
    for (int redirections = 0; endpoint && redirections <= MaxRedirections; ++redirections) {
        response = co_await fetch(*endpoint, request, CallTimeout);
        if (!response || response->result() != http::status::temporary_redirect)
            co_return response;
        std::string_view location = fieldOf(*response, "Location");
        location.remove_prefix(std::min(Scheme.size(), location.size()));
        endpoint = parseEndpoint(location.substr(0, location.find('/')));
    }
    co_return response;
}

} // namespace eelgrasslift::soak
