// Stand-in for the rate-limited weight store: POST /reserve {model, version} responds 200 or 429.

#include "standin.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <chrono>

using namespace eelgrasslift::standins;

namespace {

struct Settings
{
    std::string listen = "127.0.0.1:0";
    double perMinute = 2;
    double burst = 2;
};

/// Grants weight loads by a token bucket of Settings::burst loads, refilled at Settings::perMinute.
class WeightStore
{
public:
    WeightStore(boost::asio::io_context &context, const Settings &settings)
        : settings(settings)
        , availableLoads(settings.burst)
        , server(context, parseEndpoint(settings.listen),
                 withErrorReplies([this](const auto &session) { this->handle(session); }))
    {}

    boost::asio::ip::tcp::endpoint localEndpoint() const { return this->server.localEndpoint(); }

private:
    void handle(const std::shared_ptr<HttpSession> &session)
    {
        const HttpTarget target = parseTarget(std::string(session->request().target()));
        if (target.path == "/standin/runs")
            return session->respond(jsonReply(
                    200, {{"granted", this->granted}, {"refused", this->refused}, {"loads", this->loads}}));
        if (target.path == "/reserve")
            return session->respond(this->reserve(session->request()));
        session->respond(jsonReply(404, {{"error", "no such path: " + target.path}}));
    }

    HttpReply reserve(const HttpRequest &request)
    {
        const auto body = jsonBody(request);
        if (!body)
            return jsonReply(400, {{"error", "the body must be a JSON object"}});
        this->refill();
        if (this->availableLoads < 1) {
            ++this->refused;
            return jsonReply(429, {{"error", "rate limit"}}, {{"Retry-After", "1"}});
        }
        this->availableLoads -= 1;
        ++this->granted;
        this->loads.push_back(*body);
        return jsonReply(200, {{"granted", true}});
    }

    void refill()
    {
        const auto now = std::chrono::steady_clock::now();
        const double minutes =
                std::chrono::duration<double, std::ratio<60>>(now - this->lastRefillAt).count();
        this->availableLoads =
                std::min(this->settings.burst, this->availableLoads + minutes * this->settings.perMinute);
        this->lastRefillAt = now;
    }

    Settings settings;
    double availableLoads;
    std::chrono::steady_clock::time_point lastRefillAt = std::chrono::steady_clock::now();
    uint64_t granted = 0;
    uint64_t refused = 0;
    nlohmann::json loads = nlohmann::json::array();
    HttpServer server;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the weight store");
    Settings settings;
    app.add_option("--listen", settings.listen, "address, with port 0 for any free port");
    app.add_option("--per-minute", settings.perMinute, "loads per minute");
    app.add_option("--burst", settings.burst, "loads at once");
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context context;
    WeightStore store(context, settings);
    TermSignal term(context, [&] { context.stop(); });
    printListening(store.localEndpoint());
    context.run();
    return 0;
}
