#include "engineserver.h"

#include "tokens.h"

#include <cstdlib>

namespace eelgrasslift::standins {

namespace {

// After a pause of the process, ticks for at most this time are made up.
constexpr std::chrono::milliseconds MaxCatchUp{200};

TimePoint currentTime()
{
    return TimePoint{std::chrono::steady_clock::now().time_since_epoch()};
}

uint64_t queryNumber(const HttpTarget &target, const std::string &name)
{
    const auto it = target.query.find(name);
    return it == target.query.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
}

HttpReply drainingReply()
{
    return jsonReply(503, {{"error", "the engine is draining"}}, {{"Retry-After", "1"}, {"X-Leaving", "1"}});
}

std::string newIncarnation()
{
    Random random{systemSeed()};
    return "g" + std::to_string(random.below(1'000'000'000'000));
}

} // namespace

EngineServer::EngineServer(boost::asio::io_context &context, boost::asio::ip::tcp::acceptor acceptor,
                           EngineServerSettings serverSettings)
    : context(context)
    , settings(std::move(serverSettings))
    , incarnation(newIncarnation())
    , batch(this->settings.batch, this->incarnation)
    , journal(this->settings.journal)
    , tickTimer(context)
    , loaded{this->settings.model, this->settings.version, "none", "decode"}
    , server(std::move(acceptor),
             withErrorReplies([this](const SessionPtr &session) { this->handle(session); }))
{
    this->batch.setRunObserver([this](const Generation &generation) { this->onRun(generation); });
    this->batch.setTokenObserver([this](const Generation &generation) {
        const auto &prompt = generation.request.prompt;
        const bool crashes = prompt.find(this->settings.crashMarker) != std::string::npos;
        if (crashes && generation.generatedTokens > promptNumber(prompt, "crash-after").value_or(0))
            std::abort();
    });
    this->recordLoad(currentTime());
    this->tickTimer.expires_at(std::chrono::steady_clock::now());
    this->scheduleTick();
}

void EngineServer::handle(const SessionPtr &session)
{
    const HttpTarget target = parseTarget(std::string(session->request().target()));
    const std::string method(session->request().method_string());
    if (method == "POST" && target.path == "/v1/completions")
        return this->handleCompletion(session);
    if (method == "POST" && target.path == "/v1/orders")
        return this->handleOrder(session);
    if (method == "POST" && target.path == "/standin/fault")
        return this->setFault(session);
    if (this->handleGeneration(session, target))
        return;
    if (target.path == "/v1/load")
        return session->respond(jsonReply(200, this->publishedLoad().report));
    if (target.path == "/v1/cache-events")
        return session->respond(jsonReply(200, this->cacheEvents(queryNumber(target, "after"))));
    if (target.path == "/v1/engine")
        return session->respond(jsonReply(200, this->engineState()));
    if (target.path == "/standin/runs")
        return session->respond(jsonReply(200, this->runs()));
    if (target.path == "/standin/orders")
        return session->respond(jsonReply(200, {{"orders", this->orders}}));
    session->respond(jsonReply(404, {{"error", "no such path: " + target.path}}));
}

bool EngineServer::handleGeneration(const SessionPtr &session, const HttpTarget &target)
{
    static constexpr std::string_view Prefix = "/v1/generations/";
    if (!target.path.starts_with(Prefix))
        return false;
    const std::string id = target.path.substr(Prefix.size());
    const auto generation = this->batch.find(id);
    if (!generation) {
        session->respond(jsonReply(404, {{"error", "no such generation"}}));
    } else if (session->request().method_string() == "DELETE") {
        this->batch.cancel(id, currentTime());
        this->journal.write(
                {{"event", "cancel"}, {"request_id", generation->request.requestId}, {"generation", id}});
        session->respond(jsonReply(200, {{"id", id}, {"state", stateName(generation->state)}}));
    } else if (generation->state == Generation::State::Cancelled) {
        session->respond(jsonReply(410, {{"error", "the generation was cancelled"}}));
    } else {
        this->openStream(session, generation, queryNumber(target, "from"));
    }
    return true;
}

void EngineServer::handleCompletion(const SessionPtr &session)
{
    const auto body = jsonBody(session->request());
    if (!body || !body->contains("prompt"))
        return session->respond(jsonReply(400, {{"error", "the body must be a JSON object with a prompt"}}));
    if (this->isDraining)
        return session->respond(drainingReply());
    if (this->faults.refuseCount > 0) {
        --this->faults.refuseCount;
        this->journal.write({{"event", "refused"}, {"request_id", body->value("request_id", std::string{})}});
        return session->respond(drainingReply());
    }
    const auto model = body->value("model", std::string{});
    if (!this->loaded.model.empty() && model != this->loaded.model)
        return session->respond(
                jsonReply(404, {{"error", "model is not loaded: " + model}}, {{"X-Not-Run", "1"}}));
    const auto generation = this->batch.submit(
            {body->value("request_id", std::string{}), model, body->value("prompt", std::string{}),
             body->value("max_tokens", uint64_t{0}), body->value("priority", uint64_t{5})},
            currentTime());
    if (this->faults.delayCount == 0)
        return this->openStream(session, generation, 0);
    --this->faults.delayCount;
    auto timer = std::make_shared<boost::asio::steady_timer>(
            this->context, std::chrono::duration_cast<std::chrono::milliseconds>(this->faults.delay));
    timer->async_wait([this, session, generation, timer](boost::system::error_code) {
        this->openStream(session, generation, 0);
    });
}

void EngineServer::openStream(const SessionPtr &session, const std::shared_ptr<Generation> &generation,
                              uint64_t from)
{
    auto stream = std::make_shared<EngineStream>(generation, from, this->nextStreamSerial++, this->faults,
                                                 &currentTime);
    this->streams.push_back(session);
    session->stream(200,
                    {{"Content-Type", "text/event-stream"},
                     {"Cache-Control", "no-store"},
                     {"X-Generation-Id", generation->id}},
                    [stream] { return stream->nextChunk(); });
}

void EngineServer::handleOrder(const SessionPtr &session)
{
    const auto body = jsonBody(session->request());
    if (!body)
        return session->respond(jsonReply(400, {{"error", "the body must be a JSON object"}}));
    const auto fence = body->value("fence", uint64_t{0});
    const bool isStale = fence < this->greatestFence;
    const bool isRefused = isStale && this->settings.checksFence;
    nlohmann::json entry = *body;
    entry["received_at_ms"] = unixMilliseconds();
    entry["refused"] = isRefused;
    this->orders.push_back(entry);
    entry["event"] = "order";
    this->journal.write(std::move(entry));
    if (isRefused)
        return session->respond(jsonReply(409, {{"error", "stale fence"}, {"fence", this->greatestFence}}));
    this->greatestFence = std::max(this->greatestFence, fence);
    this->loading = {body->value("model", this->loaded.model), std::string{},
                     body->value("adapter", std::string{"none"}), body->value("role", std::string{"decode"})};
    const auto version = body->find("version");
    if (version != body->end())
        this->loading.version = version->is_string() ? version->get<std::string>() : version->dump();
    this->isLoading = true;
    this->loadEndsAt = currentTime() + this->settings.modelLoadTime;
    session->respond(jsonReply(200, this->engineState()));
}

void EngineServer::setFault(const SessionPtr &session)
{
    const auto body = jsonBody(session->request());
    if (body && body->value("fault", std::string{}) == "close") {
        for (const auto &weak : this->streams) {
            if (const auto stream = weak.lock())
                stream->abort();
        }
        return session->respond(jsonReply(200, {{"done", true}}));
    }
    if (!body || !this->faults.set(*body, currentTime(), this->nextStreamSerial))
        return session->respond(jsonReply(400, {{"error", "no such fault"}}));
    session->respond(jsonReply(200, {{"done", true}}));
}

nlohmann::json EngineServer::engineState() const
{
    return {{"model", this->loaded.model},     {"version", this->loaded.version},
            {"adapter", this->loaded.adapter}, {"role", this->loaded.role},
            {"loading", this->isLoading},      {"fence", this->greatestFence},
            {"leaving", this->isDraining},     {"incarnation", this->incarnation}};
}

nlohmann::json EngineServer::cacheEvents(uint64_t after)
{
    nlohmann::json events = nlohmann::json::array();
    uint64_t last = after;
    for (const CacheEvent &event : this->batch.prefixCache().events()) {
        if (event.sequence <= after || event.sequence > this->publishedLoad().cacheSequence)
            continue;
        last = event.sequence;
        if (this->settings.cacheGap > 0 && event.sequence % this->settings.cacheGap == 0)
            continue;
        events.push_back({{"seq", event.sequence},
                          {"type", event.isStored ? "stored" : "evicted"},
                          {"prefix", event.prefix},
                          {"tokens", event.tokens}});
    }
    return {{"incarnation", this->incarnation}, {"last", last}, {"events", events}};
}

nlohmann::json EngineServer::runs() const
{
    nlohmann::json runs = nlohmann::json::array();
    for (const auto &[id, generation] : this->batch.generations()) {
        runs.push_back({{"generation", id},
                        {"request_id", generation->request.requestId},
                        {"prompt", generation->request.prompt},
                        {"priority", generation->request.priority},
                        {"state", stateName(generation->state)},
                        {"ran", generation->hasRun},
                        {"produced", generation->generatedTokens},
                        {"total", generation->totalTokens},
                        {"preemptions", generation->preemptions}});
    }
    return {{"incarnation", this->incarnation},
            {"memory_peak", this->batch.memoryPeak()},
            {"preemptions", this->batch.preemptionCount()},
            {"running", this->batch.runningCount()},
            {"waiting", this->batch.waitingCount()},
            {"runs", runs}};
}

const EngineServer::LoadSnapshot &EngineServer::publishedLoad() const
{
    return this->loadSnapshots.front();
}

void EngineServer::recordLoad(TimePoint now)
{
    const auto &events = this->batch.prefixCache().events();
    this->loadSnapshots.push_back({now,
                                   {{"running", this->batch.runningCount()},
                                    {"waiting", this->batch.waitingCount()},
                                    {"memory_used", this->batch.memoryUsed()},
                                    {"memory_total", this->settings.batch.memory},
                                    {"preemptions", this->batch.preemptionCount()},
                                    {"reported_at_ms", unixMilliseconds()},
                                    {"incarnation", this->incarnation}},
                                   events.empty() ? 0 : events.back().sequence});
    // The first element stays the newest snapshot that is at least reportLag old.
    while (this->loadSnapshots.size() > 1 && this->loadSnapshots[1].at + this->settings.reportLag <= now)
        this->loadSnapshots.pop_front();
}

void EngineServer::scheduleTick()
{
    // A process that was paused must not generate all missed tokens in one burst.
    const auto earliest = std::chrono::steady_clock::now() - MaxCatchUp;
    const auto previous = std::max(this->tickTimer.expiry(), earliest);
    this->tickTimer.expires_at(previous + this->settings.batch.tokenInterval);
    this->tickTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->tick();
    });
}

void EngineServer::tick()
{
    const TimePoint now = currentTime();
    if (now >= this->faults.pauseUntil)
        this->batch.tick(now);
    if (this->loadSnapshots.back().at + this->settings.reportInterval <= now)
        this->recordLoad(now);
    if (this->isLoading && this->loadEndsAt <= now) {
        this->loaded = this->loading;
        this->isLoading = false;
    }
    std::erase_if(this->streams, [](const auto &stream) { return stream.expired(); });
    for (const auto &weak : std::vector(this->streams)) {
        if (const auto stream = weak.lock())
            stream->wake();
    }
    if (this->isDraining && this->isDrained(now))
        return this->context.stop();
    this->scheduleTick();
}

void EngineServer::onRun(const Generation &generation)
{
    this->journal.write({{"event", "run"},
                         {"request_id", generation.request.requestId},
                         {"generation", generation.id},
                         {"prompt", generation.request.prompt}});
}

void EngineServer::drain()
{
    this->isDraining = true;
    this->drainStart = currentTime();
    this->journal.write({{"event", "drain"}});
}

bool EngineServer::isDrained(TimePoint now) const
{
    for (const auto &[id, generation] : this->batch.generations()) {
        if (!generation->hasEnded() || generation->openStreams > 0)
            return false;
        const bool isUnread = generation->state == Generation::State::Complete &&
                              generation->deliveredEvents <= generation->totalTokens;
        if (isUnread && now < generation->endedAt + this->settings.drainLinger)
            return false;
    }
    return true;
}

} // namespace eelgrasslift::standins
