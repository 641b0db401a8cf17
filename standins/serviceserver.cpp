#include "serviceserver.h"

namespace eelgrasslift::standins {

namespace {

using std::chrono::milliseconds;

// A drain ends after this time without a new request. A request that reaches an exiting process has an
// unknown outcome, so the process must keep refusing requests until its callers have noticed the drain.
constexpr milliseconds QuietPeriod{1000};

HttpReply refusal(bool isLeaving)
{
    HttpHeaders headers{{"X-Not-Run", "1"}, {"Retry-After", "1"}};
    if (isLeaving)
        headers.emplace_back("X-Leaving", "1");
    return jsonReply(503, {{"error", "refused before running"}}, std::move(headers));
}

nlohmann::json shelves()
{
    return {{"shelves", {{"optika-centre", 12}, {"apteka-maritsa", 7}, {"kiosk-kapana", 3}}}};
}

nlohmann::json freeLanes()
{
    return {{"free", {{"2026-12-05", {1, 2, 4}}, {"2026-12-06", {3}}}}};
}

} // namespace

ServiceServer::ServiceServer(boost::asio::io_context &context, ServiceSettings serviceSettings)
    : context(context)
    , settings(std::move(serviceSettings))
    , journal(this->settings.journal)
    , server(context, parseEndpoint(this->settings.listen),
             withErrorReplies([this](const SessionPtr &session) { this->handle(session); }))
{}

void ServiceServer::handle(const SessionPtr &session)
{
    const HttpTarget target = parseTarget(std::string(session->request().target()));
    if (target.path == "/standin/fault")
        return this->setFault(session);
    if (target.path == "/standin/runs")
        return session->respond(jsonReply(200, this->counts()));
    if (target.path == "/healthz")
        return session->respond(jsonReply(this->isDraining ? 503 : 200, {{"leaving", this->isDraining}}));
    this->handleWork(session, target);
}

void ServiceServer::handleWork(const SessionPtr &session, const HttpTarget &target)
{
    if (this->isDraining) {
        this->lastRefusedAt = std::chrono::steady_clock::now();
        return session->respond(refusal(true));
    }
    if (this->consumeFault("refuse"))
        return session->respond(refusal(false));
    if (this->consumeFault("close"))
        return session->abort();
    const bool closes = this->consumeFault("run-then-close");
    const bool fails = this->consumeFault("fail");
    const bool delays = this->consumeFault("delay");
    const bool changesStatus = this->consumeFault("status");
    const bool staysOpen = this->consumeFault("status-open");
    const bool isRaw = this->consumeFault("raw");
    HttpReply reply = this->run(session->request(), target);
    if (closes)
        return session->abort();
    if (isRaw)
        return session->sendRaw(this->faultBytes, this->isFaultReset);
    if (fails)
        reply = jsonReply(500, {{"error", "failed after running"}});
    if (staysOpen)
        return session->stream(this->faultStatus, reply.headers, [] { return StreamChunk{}; });
    if (changesStatus) {
        reply.status = this->faultStatus;
        if (reply.status / 100 == 1) // has no body
            reply.body.clear();
    }
    this->respondLater(session, delays ? this->faultDelay : this->settings.workTime, std::move(reply));
}

HttpReply ServiceServer::run(const HttpRequest &request, const HttpTarget &target)
{
    const std::string method(request.method_string());
    if (method == "GET" && target.path == "/shelves")
        return jsonReply(200, shelves());
    if (method == "GET" && target.path == "/free")
        return jsonReply(200, freeLanes());
    const bool isReservation = target.path == "/reservations";
    if (method != "POST" || (!isReservation && target.path != "/confirmations"))
        return jsonReply(404, {{"error", "no such path: " + target.path}});

    const std::string requestId = headerValue(request, "X-Request-Id");
    const std::string key = headerValue(request, "Idempotency-Key");
    ++this->runCount;
    ++this->runsPerBody[request.body()];
    if (!requestId.empty())
        ++this->runsPerRequestId[requestId];
    if (!key.empty())
        ++this->runsPerKey[key];
    this->journal.write({{"event", "run"},
                         {"path", target.path},
                         {"request_id", requestId},
                         {"key", key},
                         {"body", request.body()}});
    ++this->reservationCount;
    return jsonReply(201, {{isReservation ? "reservation" : "confirmation", this->reservationCount},
                           {"request_id", requestId}});
}

void ServiceServer::respondLater(const SessionPtr &session, milliseconds delay, HttpReply reply)
{
    ++this->inFlight;
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, delay);
    timer->async_wait([this, session, timer, reply = std::move(reply)](boost::system::error_code) {
        session->respond(reply);
        --this->inFlight;
    });
}

void ServiceServer::setFault(const SessionPtr &session)
{
    const auto body = jsonBody(session->request());
    if (!body)
        return session->respond(jsonReply(400, {{"error", "the body must be a JSON object"}}));
    this->faultName = body->value("fault", std::string{});
    this->faultCount = this->faultName == "none" ? 0 : body->value("count", uint64_t{1});
    this->faultDelay = milliseconds{body->value("ms", int64_t{0})};
    this->faultStatus = body->value("status", 0U);
    this->faultBytes = body->value("bytes", std::string{});
    this->isFaultReset = body->value("reset", false);
    session->respond(jsonReply(200, {{"done", true}}));
}

bool ServiceServer::consumeFault(const std::string &name)
{
    if (this->faultName != name || this->faultCount == 0)
        return false;
    --this->faultCount;
    return true;
}

void ServiceServer::drain()
{
    this->isDraining = true;
    this->journal.write({{"event", "drain"}});
    this->lastRefusedAt = std::chrono::steady_clock::now();
    this->stopWhenQuiet();
}

void ServiceServer::stopWhenQuiet()
{
    const bool isQuiet = std::chrono::steady_clock::now() - this->lastRefusedAt >= QuietPeriod;
    if (isQuiet && this->inFlight == 0)
        return this->context.stop();
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, QuietPeriod / 10);
    timer->async_wait([this, timer](boost::system::error_code) { this->stopWhenQuiet(); });
}

nlohmann::json ServiceServer::counts() const
{
    return {{"runs", this->runCount},
            {"per_request_id", this->runsPerRequestId},
            {"per_body", this->runsPerBody},
            {"per_key", this->runsPerKey}};
}

} // namespace eelgrasslift::standins
