#include "eelgrasslift/completionsession.h"

#include "eelgrasslift/engineload.h"
#include "eelgrasslift/logging.h"
#include "eelgrasslift/targetprobe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

/// Used to estimate the token count of a prompt, since only the engine has a tokenizer.
constexpr uint32_t EstimatedBytesPerToken = 4;
/// Number of delivered tokens between two progress reports to the target selector.
constexpr uint64_t ProgressInterval = 32;
/// Limits how long an unresponsive target can delay the restart of a lost request or the reply to its caller.
constexpr Duration DeathCheckLimit = std::chrono::milliseconds{500};
constexpr std::chrono::milliseconds DeathCheckInterval{20};
constexpr size_t PrefixBlockBytes = 256;
constexpr size_t MaxPrefixBlocks = 64;

/// Returns one hash per full block of the prompt, which covers the block and all blocks before it.
std::vector<PrefixHash> prefixHashes(std::string_view model, std::string_view prompt)
{
    std::vector<PrefixHash> hashes;
    PrefixHash hash = std::hash<std::string_view>{}(model);
    const size_t blocks = std::min(prompt.size() / PrefixBlockBytes, MaxPrefixBlocks);
    for (size_t block = 0; block < blocks; ++block) {
        const std::string_view text = prompt.substr(block * PrefixBlockBytes, PrefixBlockBytes);
        hash = hash * 1099511628211ULL ^ std::hash<std::string_view>{}(text);
        hashes.push_back(hash);
    }
    return hashes;
}

CallerError resumeError(ResumeTokenError error)
{
    if (error == ResumeTokenError::OtherAccount)
        return {403,
                "invalid-request",
                "resume-token-of-other-account",
                "the Last-Event-ID belongs to another account",
                Outcome::NotRun,
                {}};
    return {400,
            "invalid-request",
            "bad-resume-token",
            "the Last-Event-ID is not a resume token of this system",
            Outcome::NotRun,
            {}};
}

std::string_view toText(IncompleteCause cause)
{
    switch (cause) {
    case IncompleteCause::TargetDied:
        return "target-died";
    case IncompleteCause::EngineFailed:
        return "engine-failed";
    case IncompleteCause::ResumeRefused:
        return "resume-refused";
    case IncompleteCause::ConnectionLost:
        return "connection-lost";
    case IncompleteCause::NotStarted:
        return "not-started";
    case IncompleteCause::TooLarge:
        return "answer-too-large";
    }
    return "connection-lost";
}

std::string toJsonText(const nlohmann::ordered_json &document)
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

CompletionSession::CompletionSession(EntryContext &entryContext, AuthenticatedRequest authenticatedRequest)
    : context(entryContext)
    , call(std::move(authenticatedRequest))
    , events(this->call.connection.executor())
    , startedAt(monotonicNow())
{}

std::variant<CompletionSession::Prepared, CallerError> CompletionSession::prepare() const
{
    auto parsed = parseCompletion(this->call.request.body(), this->call.rules->rules, this->call.account);
    if (auto *error = std::get_if<CallerError>(&parsed))
        return std::move(*error);
    Prepared prepared{std::move(std::get<CompletionRequest>(parsed)), std::nullopt};
    const auto position = this->call.request.find("Last-Event-ID");
    if (position == this->call.request.end())
        return prepared;
    auto token = ResumeToken::decode({position->value().data(), position->value().size()},
                                     this->call.account.name, this->context.state.entrySettings().resumeKey);
    if (const auto *error = std::get_if<ResumeTokenError>(&token))
        return resumeError(*error);
    prepared.resume = std::get<ResumeToken>(std::move(token));
    return prepared;
}

asio::awaitable<bool> CompletionSession::run()
{
    const auto self = this->shared_from_this();
    const auto prepared = this->prepare();
    if (const auto *error = std::get_if<CallerError>(&prepared)) {
        this->context.metrics.countRequest("completion", "not-run", error->code);
        co_return co_await sendError(this->call.connection, *error, this->call.requestId,
                                     this->call.keepAlive) &&
                this->call.keepAlive;
    }
    const std::string account = this->call.account.name;
    const auto admit = [&state = this->context.state, account] { return state.admit(account); };
    const auto admitted = co_await runOnControlThread(this->context.control, admit);
    if (const auto *refused = std::get_if<LimitRefused>(&admitted)) {
        this->context.metrics.countRequest("completion", "not-run", "limit");
        const CallerError error{429,
                                "limit",
                                "account-" + std::string(toString(refused->reason)),
                                "the account's limit is reached",
                                Outcome::NotRun,
                                refused->retryAfter};
        co_return co_await sendError(this->call.connection, error, this->call.requestId,
                                     this->call.keepAlive) &&
                this->call.keepAlive;
    }
    const bool keepAlive = co_await this->serve(std::get<Prepared>(prepared));
    this->context.control.post([&state = this->context.state, account] { state.release(account); });
    co_return keepAlive;
}

asio::awaitable<bool> CompletionSession::serve(const Prepared &prepared)
{
    this->request = prepared.request;
    this->fingerprint =
            requestFingerprint(this->call.account.name, this->request.model, this->call.request.body());
    const ClassRule &rule = this->call.rules->rules.classes.find(this->request.className)->second;
    StreamSettings settings;
    settings.delivery = this->request.isStreamed ? rule.delivery : Delivery::Whole;
    settings.stallLimit = rule.stallLimit;
    settings.maxRestarts = rule.restarts;
    if (prepared.resume)
        this->stream.emplace(settings, StreamPosition{prepared.resume->target, prepared.resume->generation,
                                                      prepared.resume->nextIndex});
    else
        this->stream.emplace(settings);
    this->context.control.post(
            [&state = this->context.state, group = this->request.model] { state.recordFirstAttempt(group); });

    const auto self = this->shared_from_this();
    this->isWatching = true;
    asio::co_spawn(
            this->call.connection.executor(),
            [self]() -> asio::awaitable<void> {
                const bool isClosed = co_await self->call.connection.watchForClose();
                self->events.push(WatchFinished{isClosed});
            },
            asio::detached);
    for (const StreamAction &action : this->stream->start(monotonicNow()))
        std::visit([this](const auto &value) { this->on(value); }, action);
    co_await this->loop();
    co_return co_await this->finishResponse();
}

asio::awaitable<void> CompletionSession::loop()
{
    while (!this->finishAction && !this->stream->isFinished()) {
        const auto event = co_await this->events.pop(this->stream->nextTick());
        if (event) {
            this->handle(*event);
            continue;
        }
        const auto requestRetry = [&state = this->context.state, group = this->request.model] {
            return state.requestRetry(group, 1, true, TimePoint::max());
        };
        const RetryPermit permit = co_await runOnControlThread(this->context.control, requestRetry);
        this->process(StallCheck{permit.isGranted});
    }
}

void CompletionSession::handle(const Event &event)
{
    match(
            event, [this](const StreamEvent &streamEvent) { this->process(streamEvent); },
            [this](const PlacementFinished &finished) { this->placementFinished(finished); },
            [this](const WriteFinished &written) {
                this->isWriting = false;
                if (!written.isOk) {
                    this->isCallerDisconnected = true;
                    this->process(StreamCallerDisconnected{});
                    return;
                }
                this->process(CallerAccepted{written.tokens, written.bytes});
                this->startWrite();
            },
            [this](const WatchFinished &watch) {
                this->isWatching = false;
                if (!watch.isCallerDisconnected)
                    return;
                this->isCallerDisconnected = true;
                this->process(StreamCallerDisconnected{});
            });
}

void CompletionSession::process(const StreamEvent &event)
{
    const StreamCounters before = this->stream->counters();
    const std::vector<StreamAction> actions = this->stream->handle(event, monotonicNow());
    const StreamCounters &after = this->stream->counters();
    EntryMetrics &metrics = this->context.metrics;
    metrics.foreignTokens.Increment(static_cast<double>(after.foreignTokens - before.foreignTokens));
    metrics.duplicateTokens.Increment(static_cast<double>(after.duplicateTokens - before.duplicateTokens));
    metrics.resumes.Increment(static_cast<double>(after.resumes - before.resumes));
    metrics.restarts.Increment(static_cast<double>(after.restarts - before.restarts));
    metrics.stalls.Increment(static_cast<double>(after.stalls - before.stalls));
    for (const StreamAction &action : actions)
        std::visit([this](const auto &value) { this->on(value); }, action);
}

void CompletionSession::on(const OpenAttempt &action)
{
    ++this->attempts;
    this->finishRun(RunOutcome::Failed);
    PlacementRequest placement;
    const ModelRule &model = this->call.rules->rules.models.find(this->request.model)->second;
    placement.account = this->call.account.name;
    placement.className = this->request.className;
    placement.model = this->request.model;
    placement.promptTokens = static_cast<uint32_t>(this->request.prompt.size() / EstimatedBytesPerToken) + 1;
    placement.maxTokens = this->request.maxTokens;
    placement.memoryPerToken = model.memoryPerToken;
    placement.prefixHashes = prefixHashes(this->request.model, this->request.prompt);
    placement.excludedTargets = this->excludedTargets;
    placement.fingerprint = this->fingerprint;

    const auto self = this->shared_from_this();
    const uint32_t connection = action.connection;
    this->context.control.post([self, connection, placement = std::move(placement)]() mutable {
        EntryState &state = self->context.state;
        const auto done = [self, connection, &state](PlacementResult result) {
            asio::post(
                    self->call.connection.executor(), [self, connection, &state, result = std::move(result)] {
                        const auto *placed = std::get_if<Placed>(&result);
                        if (placed != nullptr && (self->finishAction || self->stream->isFinished())) {
                            // The caller disconnected while the request was waiting for a target.
                            self->context.control.post([&state, run = placed->run] {
                                state.placement().finishRun(run, RunOutcome::Cancelled, 0, currentInstant());
                            });
                            return;
                        }
                        self->events.push(PlacementFinished{connection, result});
                    });
        };
        const uint64_t queueTicket = state.placement().place(std::move(placement), currentInstant(), done);
        asio::post(self->call.connection.executor(), [self, queueTicket] { self->ticket = queueTicket; });
    });
}

void CompletionSession::placementFinished(const PlacementFinished &finished)
{
    if (const auto *refused = std::get_if<PlacementRefused>(&finished.result)) {
        this->placementRefused = *refused;
        this->process(AttemptRefused{finished.connection, false});
        return;
    }
    const Placed &placed = std::get<Placed>(finished.result);
    this->currentRun = placed.run;
    this->endpoints[placed.target] = placed.endpoint;
    this->process(AttemptStarted{finished.connection, placed.target});
    const ClassRule &rule = this->call.rules->rules.classes.find(this->request.className)->second;
    this->openEngine(finished.connection, placed.endpoint,
                     GenerateRequest{this->call.requestId, this->request.model, this->request.prompt,
                                     this->request.maxTokens, rule.priority},
                     placed.target);
}

void CompletionSession::openEngine(uint32_t connection, const Endpoint &endpoint, EngineRequest engineRequest,
                                   const std::string &target)
{
    auto engine = std::make_shared<EngineConnection>(this->call.connection.executor(), endpoint);
    this->engines[connection] = engine;
    engine->start(std::move(engineRequest),
                  [self = this->shared_from_this(), connection, target](const EngineEvent &engineEvent) {
                      self->handleEngineEvent(connection, target, engineEvent);
                  });
}

void CompletionSession::handleEngineEvent(uint32_t connection, const std::string &target,
                                          const EngineEvent &engineEvent)
{
    match(
            engineEvent,
            [&](const EngineToken &token) {
                this->events.push(TokenReceived{connection, token.generation, token.index, token.text});
            },
            [&](const EngineDone &done) {
                this->events.push(EngineFinished{connection, done.generation, done.tokenCount});
            },
            [&](EngineFailure engineFailure) {
                this->spawn(this->handleEngineFailure(connection, target, engineFailure));
            });
}

asio::awaitable<bool> CompletionSession::waitForRetry()
{
    const auto requestRetry = [&state = this->context.state, group = this->request.model,
                               attempt = std::max(this->attempts, 1U)] {
        return state.requestRetry(group, attempt, true, TimePoint::max());
    };
    const RetryPermit permit = co_await runOnControlThread(this->context.control, requestRetry);
    if (permit.isGranted && permit.delay > Duration{0}) {
        asio::steady_timer timer(this->call.connection.executor(),
                                 std::chrono::ceil<std::chrono::milliseconds>(permit.delay));
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    co_return permit.isGranted;
}

asio::awaitable<void> CompletionSession::handleEngineFailure(uint32_t connection, std::string target,
                                                             EngineFailure engineFailure)
{
    EntryState &state = this->context.state;
    if (engineFailure == EngineFailure::Leaving)
        this->context.control.post([&state, target] { state.handleDirectoryEvent(NewWorkRefused{target}); });
    if (engineFailure == EngineFailure::NotConnected)
        this->context.control.post(
                [&state, target] { state.handleDirectoryEvent(ConnectionFailed{target}); });
    if (engineFailure != EngineFailure::UnknownGeneration)
        this->excludedTargets.push_back(target);
    const bool isConnectionLost =
            engineFailure == EngineFailure::ConnectionBroken ||
            (engineFailure == EngineFailure::NotConnected && !this->stream->position().generation.empty());
    if (isConnectionLost && co_await this->checkTargetDeath(target)) {
        // A restart replaces load that ended with the target, so it does not use the retry budget, which the
        // death of a target with many requests would exhaust. The restart limit of the class applies.
        this->events.push(StreamTargetDied{target, true});
        co_return;
    }
    const bool mayRetry = co_await this->waitForRetry();
    if (isConnectionLost)
        this->events.push(StreamConnectionLost{connection, mayRetry});
    else if (engineFailure == EngineFailure::UnknownGeneration)
        this->events.push(ResumeRefused{connection, mayRetry});
    else if (engineFailure == EngineFailure::EngineError)
        this->events.push(EngineFailed{connection, mayRetry});
    else
        this->events.push(AttemptRefused{connection, mayRetry});
}

asio::awaitable<bool> CompletionSession::checkTargetDeath(std::string target)
{
    // A target that accepts connections may have died all the same: the kernel closes the connections of a
    // dying process before its listening socket, and a restarted process listens at the same address.
    const std::optional<RunId> run = this->currentRun;
    const Endpoint endpoint = this->endpoints[target];
    const TimePoint deadline = monotonicNow() + DeathCheckLimit;
    ProbeResult probe = ProbeResult::Reachable;
    for (TimePoint now = monotonicNow(); now < deadline; now = monotonicNow()) {
        probe = co_await probeTarget(endpoint);
        if (probe == ProbeResult::Refused)
            co_return co_await this->reportDeath(target, run);
        if (probe == ProbeResult::Unreachable || !run)
            break;
        const TimePoint askedAt = monotonicNow();
        const Duration remaining = std::max(deadline - askedAt, Duration{DeathCheckInterval});
        const auto load = co_await readEngineLoad(endpoint, remaining);
        if (load) {
            const IncarnationReport report{target, load->incarnation, askedAt};
            const ProcessFate fate = co_await this->reportIncarnation(report, *run);
            if (fate != ProcessFate::Unknown)
                co_return fate == ProcessFate::Died;
        }
        asio::steady_timer timer(this->call.connection.executor(), DeathCheckInterval);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    if (run)
        co_await this->reportConnectionLost(target, *run, probe == ProbeResult::Reachable);
    co_return false;
}

asio::awaitable<bool> CompletionSession::reportDeath(std::string target, std::optional<RunId> run)
{
    // The other entries must have the quarantine marks before a lost request is restarted or its caller can
    // send it again.
    const auto report = [&context = this->context, target, run](std::function<void(bool)> done) {
        context.control.post([&context, target, run, done = std::move(done)] {
            context.state.targetDied(target, run, [done] { done(true); });
        });
    };
    co_return co_await awaitCallback<bool>(report);
}

asio::awaitable<ProcessFate> CompletionSession::reportIncarnation(IncarnationReport report, RunId run)
{
    const auto start = [&context = this->context, report, run](std::function<void(ProcessFate)> done) {
        context.control.post([&context, report, run, done = std::move(done)] {
            context.state.reportIncarnation(report, run, done);
        });
    };
    co_return co_await awaitCallback<ProcessFate>(start);
}

asio::awaitable<bool> CompletionSession::reportConnectionLost(std::string target, RunId run, bool isAccepting)
{
    const auto report = [&context = this->context, target, run, isAccepting](std::function<void(bool)> done) {
        context.control.post([&context, target, run, isAccepting, done = std::move(done)] {
            context.state.connectionLost(target, run, isAccepting, [done] { done(true); });
        });
    };
    co_return co_await awaitCallback<bool>(report);
}

void CompletionSession::on(const OpenResume &action)
{
    this->spawn(this->resumeLater(action));
}

asio::awaitable<void> CompletionSession::resumeLater(OpenResume action)
{
    if (action.delay > Duration{0}) {
        asio::steady_timer timer(this->call.connection.executor(),
                                 std::chrono::ceil<std::chrono::milliseconds>(action.delay));
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    if (!this->endpoints.contains(action.target)) {
        const auto findEndpoint = [&state = this->context.state, target = action.target] {
            const auto entry = state.directory().targets().find(target);
            if (entry == state.directory().targets().end())
                return Endpoint{};
            return parseEndpoint(entry->second.vm.address).value_or(Endpoint{});
        };
        this->endpoints[action.target] = co_await runOnControlThread(this->context.control, findEndpoint);
    }
    const Endpoint endpoint = this->endpoints[action.target];
    if (endpoint.port == 0) {
        this->events.push(ResumeRefused{action.connection, false});
        co_return;
    }
    if (!this->finishAction && !this->stream->isFinished())
        this->openEngine(action.connection, endpoint, ResumeRequest{action.generation, action.fromIndex},
                         action.target);
}

void CompletionSession::closeEngine(uint32_t connection)
{
    const auto node = this->engines.extract(connection);
    if (!node.empty())
        node.mapped()->close();
}

void CompletionSession::on(const CancelGeneration &action)
{
    this->closeEngine(action.connection);
    const Endpoint endpoint = this->endpoints[action.target];
    if (!action.generation.empty() && endpoint.port != 0)
        asio::co_spawn(this->context.traffic, cancelGeneration(endpoint, action.generation), asio::detached);
    if (this->stream->currentState() == GenerationStream::State::Cancelled)
        this->finishRun(RunOutcome::Cancelled);
}

void CompletionSession::on(const CloseConnection &action)
{
    this->closeEngine(action.connection);
}

void CompletionSession::on(const PauseReading &action)
{
    const auto engine = this->engines.find(action.connection);
    if (engine != this->engines.end())
        engine->second->setPaused(true);
}

void CompletionSession::on(const ResumeReading &action)
{
    const auto engine = this->engines.find(action.connection);
    if (engine != this->engines.end())
        engine->second->setPaused(false);
}

void CompletionSession::observeToken()
{
    const TimePoint now = monotonicNow();
    EntryMetrics &metrics = this->context.metrics;
    if (this->lastTokenAt)
        metrics.betweenTokensSeconds.Observe(toSeconds(now - *this->lastTokenAt));
    else
        metrics.firstTokenSeconds.Observe(toSeconds(now - this->startedAt));
    metrics.tokens.Increment();
    this->lastTokenAt = now;
    ++this->deliveredTokens;
    if (this->currentRun && this->deliveredTokens % ProgressInterval == 0)
        this->context.control.post([&state = this->context.state, runId = *this->currentRun,
                                    tokens = static_cast<uint32_t>(this->deliveredTokens)] {
            state.placement().recordProgress(runId, tokens, monotonicNow());
        });
}

void CompletionSession::on(const DeliverToken &action)
{
    this->observeToken();
    if (!this->request.isStreamed) {
        this->wholeText += action.text;
        return;
    }
    const ResumeToken token{this->stream->position().target, action.generation, action.index + 1,
                            this->call.account.name};
    const nlohmann::ordered_json choice{{"index", 0}, {"text", action.text}};
    const nlohmann::ordered_json data{{"id", action.generation},
                                      {"index", action.index},
                                      {"choices", nlohmann::ordered_json::array({choice})}};
    this->writeBuffer += "id: " + token.encode(this->context.state.entrySettings().resumeKey) +
                         "\ndata: " + toJsonText(data) + "\n\n";
    ++this->writeBufferTokens;
    this->startWrite();
}

void CompletionSession::on(const FinishComplete &action)
{
    this->finishRun(RunOutcome::Completed);
    if (this->request.isStreamed)
        this->writeBuffer += "event: complete\ndata: {\"tokens\":" + std::to_string(action.tokens) +
                             "}\n\ndata: [DONE]\n\n";
    this->finishAction = action;
}

void CompletionSession::on(const FinishIncomplete &action)
{
    this->finishRun(RunOutcome::Failed);
    this->finishAction = action;
    if (this->request.isStreamed && (this->isHeaderSent || this->isWriting || !this->writeBuffer.empty()))
        this->writeBuffer += "event: error\ndata: " + toJson(this->callerError(), action.delivered) + "\n\n";
}

void CompletionSession::on(const FailNotRun &action)
{
    this->finishRun(RunOutcome::Refused);
    this->finishAction = action;
}

void CompletionSession::finishRun(RunOutcome outcome)
{
    if (!this->currentRun)
        return;
    const auto tokens = static_cast<uint32_t>(this->deliveredTokens);
    this->context.control.post([&state = this->context.state, runId = *this->currentRun, outcome, tokens] {
        state.placement().finishRun(runId, outcome, tokens, currentInstant());
    });
    this->currentRun.reset();
}

CallerError CompletionSession::callerError() const
{
    if (this->finishAction && std::holds_alternative<FinishIncomplete>(*this->finishAction)) {
        const auto &incomplete = std::get<FinishIncomplete>(*this->finishAction);
        return {502,
                "outcome",
                std::string(toText(incomplete.cause)),
                "the answer is incomplete: the generation cannot be continued",
                Outcome::Incomplete,
                {}};
    }
    if (!this->placementRefused)
        return {503,
                "overload",
                "no-target",
                "no engine accepted the request",
                Outcome::NotRun,
                std::chrono::seconds{1}};
    const PlacementRefused &refused = *this->placementRefused;
    if (refused.failure == PlacementFailure::Quarantined)
        return {422,
                "invalid-request",
                "request-quarantined",
                "engines died while they ran this request; it is refused for a time",
                Outcome::NotRun,
                refused.retryAfter};
    return {503,
            "overload",
            std::string(toString(refused.failure)),
            "no engine can take the request now",
            Outcome::NotRun,
            std::max(refused.retryAfter, Duration{std::chrono::seconds{1}})};
}

std::vector<HeaderField> CompletionSession::headerFields(Outcome outcome) const
{
    return {{"Eelgrasslift-Outcome", std::string(toString(outcome))},
            {"Eelgrasslift-Request-Id", this->call.requestId}};
}

void CompletionSession::startWrite()
{
    if (this->isWriting || this->writeBuffer.empty() || this->isCallerDisconnected)
        return;
    this->isWriting = true;
    std::string bytes;
    bytes.swap(this->writeBuffer);
    this->spawn(this->write(std::move(bytes), std::exchange(this->writeBufferTokens, 0)));
}

asio::awaitable<void> CompletionSession::write(std::string bytes, uint64_t tokens)
{
    CallerConnection &connection = this->call.connection;
    bool isOk = true;
    if (!this->isHeaderSent) {
        this->isHeaderSent = true;
        // The outcome is only known at the end of the stream. An error event reports one other than this.
        isOk = co_await connection.startStream("text/event-stream", this->headerFields(Outcome::Ran),
                                               this->call.keepAlive);
    }
    if (isOk)
        isOk = co_await connection.sendChunk(bytes);
    this->events.push(WriteFinished{isOk, tokens, bytes.size()});
}

asio::awaitable<bool> CompletionSession::finishStream()
{
    this->startWrite();
    while (this->isWriting && !this->isCallerDisconnected) {
        if (const auto event = co_await this->events.pop(std::nullopt))
            this->handle(*event);
    }
    const bool isComplete = this->finishAction && std::holds_alternative<FinishComplete>(*this->finishAction);
    // Without the last chunk, an HTTP client detects that the response is truncated.
    if (this->isCallerDisconnected || !isComplete)
        co_return false;
    co_return co_await this->call.connection.endStream();
}

asio::awaitable<bool> CompletionSession::finishResponse()
{
    for (const auto &[connection, engine] : this->engines)
        engine->close();
    this->engines.clear();
    if (this->ticket && !this->currentRun)
        this->context.control.post([&state = this->context.state, queueTicket = *this->ticket] {
            state.placement().cancel(queueTicket);
        });
    const bool isComplete = this->finishAction && std::holds_alternative<FinishComplete>(*this->finishAction);
    const CallerError error = this->callerError();
    bool isOk = !this->isCallerDisconnected;
    const bool isStream = this->isHeaderSent || this->isWriting || !this->writeBuffer.empty();
    if (isOk && isStream)
        isOk = co_await this->finishStream();
    this->call.connection.cancelWatch();
    while (this->isWatching || this->openJobs > 0) {
        if (const auto event = co_await this->events.pop(monotonicNow() + std::chrono::milliseconds{20})) {
            if (std::holds_alternative<WatchFinished>(*event))
                this->isWatching = false;
        }
    }
    if (isOk && !isStream && isComplete) {
        const nlohmann::ordered_json choice{
                {"index", 0}, {"text", this->wholeText}, {"finish_reason", "stop"}};
        const nlohmann::ordered_json document{{"id", this->stream->position().generation},
                                              {"choices", nlohmann::ordered_json::array({choice})},
                                              {"usage", {{"completion_tokens", this->deliveredTokens}}}};
        isOk = co_await this->call.connection.sendResponse(200, "application/json", toJsonText(document),
                                                           this->headerFields(Outcome::Ran),
                                                           this->call.keepAlive);
    } else if (isOk && !isStream) {
        isOk = co_await sendError(this->call.connection, error, this->call.requestId, this->call.keepAlive);
    }
    const std::string outcome = this->isCallerDisconnected ? "caller-gone"
                                : isComplete               ? "ran"
                                                           : std::string(toString(error.outcome));
    this->context.metrics.countRequest("completion", outcome, isComplete ? "ok" : error.code);
    logInfo("completion-finished", {{"request", this->call.requestId},
                                    {"account", this->call.account.name},
                                    {"class", this->request.className},
                                    {"outcome", outcome},
                                    {"code", isComplete ? "ok" : error.code},
                                    {"tokens", std::to_string(this->deliveredTokens)},
                                    {"attempts", std::to_string(this->attempts)}});
    co_return isOk &&this->call.keepAlive;
}

void CompletionSession::spawn(asio::awaitable<void> job)
{
    ++this->openJobs;
    asio::co_spawn(this->call.connection.executor(), std::move(job),
                   [self = this->shared_from_this()](const std::exception_ptr &) { --self->openJobs; });
}

} // namespace eelgrasslift
