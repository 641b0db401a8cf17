// Stand-in for the platform's list of VMs. POST /vms sets a new version, which GET /vms returns after a lag.
// POST /standin/fault: {"fault":"older","back":k} returns the version k before the current one,
// {"fault":"unavailable"} responds 503, {"fault":"none"} clears both faults.

#include "standin.h"

#include <CLI/CLI.hpp>

#include <chrono>

using namespace eelgrasslift::standins;

namespace {

using Clock = std::chrono::steady_clock;

/// Keeps all versions of the VM list and serves them over HTTP.
class VmList
{
public:
    VmList(boost::asio::io_context &context, const std::string &listen, std::chrono::milliseconds lag)
        : lag(lag)
        , server(context, parseEndpoint(listen),
                 withErrorReplies([this](const auto &session) { this->handle(session); }))
    {
        this->addVersion(nlohmann::json::array());
    }

    boost::asio::ip::tcp::endpoint localEndpoint() const { return this->server.localEndpoint(); }

private:
    struct Version
    {
        nlohmann::json document;
        Clock::time_point publishedAt;
    };

    void handle(const std::shared_ptr<HttpSession> &session)
    {
        const HttpTarget target = parseTarget(std::string(session->request().target()));
        const bool isPost = session->request().method_string() == "POST";
        if (target.path == "/standin/fault")
            return this->setFault(session);
        if (target.path != "/vms")
            return session->respond(jsonReply(404, {{"error", "no such path: " + target.path}}));
        if (!isPost && this->isUnavailable)
            return session->respond(jsonReply(503, {{"error", "unavailable"}}));
        if (!isPost)
            return session->respond(jsonReply(200, this->published()));
        const auto body = jsonBody(session->request());
        if (!body || !body->contains("vms"))
            return session->respond(jsonReply(400, {{"error", "the body must be {\"vms\": [...]}"}}));
        this->addVersion(body->at("vms"));
        session->respond(jsonReply(200, {{"version", this->versions.back().document.at("version")}}));
    }

    void setFault(const std::shared_ptr<HttpSession> &session)
    {
        const auto body = jsonBody(session->request());
        const auto fault = body ? body->value("fault", std::string{}) : std::string{};
        if (fault != "older" && fault != "unavailable" && fault != "none")
            return session->respond(jsonReply(400, {{"error", "no such fault"}}));
        this->isUnavailable = fault == "unavailable";
        this->stepsBack = fault == "older" ? body->value("back", size_t{1}) : 0;
        session->respond(jsonReply(200, {{"done", true}}));
    }

    void addVersion(const nlohmann::json &vms)
    {
        const size_t version = this->versions.size();
        this->versions.push_back({{{"version", version}, {"vms", vms}}, Clock::now() + this->lag});
    }

    const nlohmann::json &published() const
    {
        size_t newest = 0;
        const auto now = Clock::now();
        for (size_t i = 0; i < this->versions.size(); ++i) {
            if (this->versions[i].publishedAt <= now)
                newest = i;
        }
        return this->versions[newest - std::min(newest, this->stepsBack)].document;
    }

    std::chrono::milliseconds lag;
    std::vector<Version> versions; // the index is the version number; 0 is empty
    bool isUnavailable = false;
    size_t stepsBack = 0;
    HttpServer server;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the platform's list of VMs");
    std::string listen = "127.0.0.1:0";
    int64_t lagMilliseconds = 0;
    app.add_option("--listen", listen, "address, with port 0 for any free port");
    app.add_option("--lag-ms", lagMilliseconds, "age at which a list is published");
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context context;
    VmList list(context, listen, std::chrono::milliseconds{lagMilliseconds});
    TermSignal term(context, [&] { context.stop(); });
    printListening(list.localEndpoint());
    context.run();
    return 0;
}
