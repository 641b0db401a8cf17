#include "gateway/streamsession.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/httpservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <cmath>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds{250};

// A resumable stream without an event for this long goes on elsewhere: several times the
// longest pause on time, and below the time after which callers leave.
constexpr Duration StallTimeout = std::chrono::milliseconds{700};

// Part of the longest pause on time after which a generation goes on from its copy; the rest is left for the
// continuation. Two prompts that are read beside a generation delay its events by less.
constexpr double StallShare = 0.65;

// A generation that found all runners full asks again after this time; coordinators hear of ended runs about
// as often.
constexpr Duration PlacementRetry = std::chrono::milliseconds{100};

// Memory that a runner's generations are expected to hold at once, as a share of all. The rest is for those
// that last longer than expected.
constexpr double MemoryLimit = 0.95;
// Copies of leaving generations may take a little more: they are lost otherwise.
constexpr double CopyMemoryLimit = 0.97;
// Standing copies take memory only while all runners together, and the holder itself, have plenty.
constexpr double FleetMemoryLimitForBackup = 0.4;
constexpr double BackupMemoryLimit = 0.7;

// A stream that crosses failure domains stalls when they part; worth the wait for two prompts, which the
// objective still bears.
constexpr double GenerationCrossingSeconds = 0.6;

// A shorter rest is made before a crash is likely; a copy takes memory and link time for as long as the
// generation lasts.
constexpr double MinimumTokensForBackup = 100;

// A copy between failure domains takes twice its time on the link; weighed as the wait for a busier runner.
constexpr double CopyCrossingSeconds = 1.0;

// The same for all generations. Runners let urgent ones pass and preempt the others for them; short urgent
// generations then push back the prompts of long ones again and again, and save no more than the wait for
// one prompt. The operator's priority orders the generations that wait for a runner.
constexpr uint32_t PriorityAtRunner = 1;

// A copy crosses the link in some hundred milliseconds; the destination may queue it behind others.
constexpr Duration MoveTimeout = std::chrono::milliseconds{2500};

// Room for a copy comes when another generation ends; asking with each event finds it no sooner.
constexpr Duration MigrationRetry = std::chrono::milliseconds{80};

// A copy whose source is gone is complete by now or never will be.
constexpr Duration PatienceForCopy = std::chrono::milliseconds{150};

// Most continuations of one generation, against endless circles between failing runners.
constexpr int MaxContinuations = 12;
constexpr uint32_t MaxRefusedContinuations = 3;
constexpr Duration PauseBeforeContinuation = std::chrono::milliseconds{40};

constexpr size_t ReadBufferBytes = 8192;
constexpr size_t MaxFailureBytes = 65536;

} // namespace

StreamSession::StreamSession(GatewayState &state, ResponseWriter &link, RequestContext requestContext)
    : RequestSession(state, link, std::move(requestContext))
    , plan(this->context.route->isIdempotent(), this->context.route->maxAttempts, this->context.deadline)
    , stall(this->context.route->pauseLimit > Duration::zero()
                    ? std::chrono::duration_cast<Duration>(this->context.route->pauseLimit * StallShare)
                    : StallTimeout)
    , migrationEnd(state.io)
{
    this->migrationEnd.expires_at(std::chrono::steady_clock::time_point::max());
    this->gateway.addStream(*this);
}

StreamSession::~StreamSession()
{
    this->gateway.removeStream(*this);
}

double StreamSession::madeTokens() const
{
    const EngineTraits *engine = this->context.engine();
    return static_cast<double>(this->splitter.eventCount()) * (engine ? engine->tokensPerEvent : 1);
}

double StreamSession::remainingTokens() const
{
    if (!this->context.caller.size)
        return 0;
    return OutputLengthDistribution(this->size()).expectedRemaining(this->madeTokens());
}

MemoryForecast StreamSession::expectedMemory() const
{
    if (!this->context.caller.size)
        return {};
    return MemoryForecast::forGeneration(this->size(), this->madeTokens());
}

RunnerLoad StreamSession::expectedLoad() const
{
    if (!this->context.caller.size)
        return RunnerLoad{1, 0, 0};
    const bool hasStarted = this->splitter.eventCount() > 0;
    return RunnerLoad{1, this->expectedMemory(), hasStarted ? 0 : this->context.caller.size->promptTokens};
}

asio::awaitable<RunnerPool::RunnerPointer> StreamSession::place()
{
    const Route &route = *this->context.route;
    // Room that comes later is for those that can still be on time.
    const Duration patience =
            std::max(route.latencyObjective - timeToFirstEvent(this->size()), Duration::zero());
    const TimePoint latest = std::min(this->context.deadline, this->context.arrived + patience);
    for (;;) {
        const RunnerCriteria request{
                this->context.service, this->gateway.settings.domain, this->context.caller.size, &this->tried,
                MemoryLimit,           GenerationCrossingSeconds};
        const bool isOwnChoice = !this->context.caller.size || this->context.engine() == nullptr;
        std::optional<PlacementAnswer> answer;
        if (!isOwnChoice) {
            PlacementWish wish{{},
                               this->context.service,
                               this->gateway.settings.domain,
                               *this->context.caller.size,
                               request.memoryLimit,
                               request.crossDomainSeconds,
                               {this->tried.begin(), this->tried.end()},
                               this->context.accountPriority.value_or(route.priority),
                               route.priority,
                               steadyNow() - this->context.arrived};
            answer = co_await this->gateway.fleetScheduler->place(std::move(wish));
        }
        RunnerPool::RunnerPointer runner = answer ? this->gateway.runners.find(answer->runnerId) : nullptr;
        if (runner && !runner->entry.isExpectedToLeave())
            co_return runner;
        bool isFull = answer && answer->runnerId.empty();
        if (!isFull) {
            auto placed = this->gateway.runners.choose(request, this->context.engine(), steadyNow(),
                                                       this->gateway.random);
            if (const auto *chosen = std::get_if<RunnerPool::RunnerPointer>(&placed))
                co_return *chosen;
            isFull = std::get<NoRunner>(placed).reason == NoRunner::Reason::AllFull;
        }
        const Duration left = latest - steadyNow();
        if (!isFull || left <= Duration::zero() || this->isAbandoned)
            co_return nullptr;
        // An answer of the coordinator has waited already.
        if (!answer)
            co_await this->gateway.waitForCapacity(std::min(left, PlacementRetry));
    }
}

asio::awaitable<void> StreamSession::run()
{
    const auto keepAlive = this->shared_from_this();
    this->gateway.budget.countRequest(this->context.service, this->context.arrived);
    std::optional<Destination> next;
    for (int continuations = 0;;) {
        if (!next) {
            RunnerPool::RunnerPointer runner = co_await this->place();
            if (this->isAbandoned) {
                this->logEnd(499, "caller-gone");
                co_return;
            }
            if (!runner) {
                co_await this->finish(this->plan.stepWithoutRunner(steadyNow()), "no-runner");
                co_return;
            }
            next = Destination{runner, {}, "placed"};
        }
        const Destination destination = *next;
        next.reset();
        const TimePoint sentAt = steadyNow();
        RelayResult result = co_await this->relay(destination);
        const bool isHealthy = result.end == RelayEnd::Complete || result.end == RelayEnd::CallerGone ||
                               destination.runner->entry.isExpectedToLeave() || this->moved ||
                               this->isMigrating;
        RunnerPool::recordSend(*destination.runner, isHealthy ? SendHealth::Good : SendHealth::Failed,
                               steadyNow() - sentAt, steadyNow());
        this->plan.recordOutcome(result.outcome);
        if (result.end == RelayEnd::Complete) {
            this->logEnd(200, "complete");
            co_return;
        }
        if (result.end == RelayEnd::CallerGone || this->isAbandoned) {
            this->logEnd(499, "caller-gone");
            this->caller.abort();
            co_return;
        }
        const bool isPossible =
                ++continuations <= MaxContinuations && this->remainingTime() > Duration::zero();
        if (isPossible)
            next = co_await this->continuation(result, destination);
        if (this->isAbandoned) {
            this->logEnd(499, "caller-gone");
            this->caller.abort();
            co_return;
        }
        if (next) {
            logInfo("generation-continues", {{"request", this->context.caller.id},
                                             {"from", destination.runner->entry.id},
                                             {"to", next->runner->entry.id},
                                             {"cause", std::string(result.cause)},
                                             {"way", std::string(next->cause)},
                                             {"events", std::to_string(this->splitter.eventCount())}});
            continue;
        }
        if (this->caller.hasBegun()) {
            this->logEnd(0, result.cause);
            this->caller.abort();
            co_return;
        }
        const NextStep step = this->plan.nextStep(result.outcome, steadyNow(), [&] {
            return isPossible && this->gateway.budget.tryAcquireRetry(this->context.service, steadyNow());
        });
        if (step == NextStep::Retry) {
            this->gateway.metrics.repeats.Increment();
            logInfo("request-repeated", {{"request", this->context.caller.id},
                                         {"runner", destination.runner->entry.id},
                                         {"cause", std::string(result.cause)}});
            continue;
        }
        if (step == NextStep::Deliver && result.response) {
            this->logEnd(result.response->result_int(), result.cause);
            co_await this->caller.send(std::move(*result.response));
            co_return;
        }
        co_await this->finish(step, result.cause);
        co_return;
    }
}

void StreamSession::chooseBackup(const RunnerPool::Runner &primary)
{
    this->backup.release();
    const EngineTraits *engine = this->context.engine();
    const bool isWorthwhile = engine != nullptr && engine->supportsBackup &&
                              !this->context.route->isResumable &&
                              this->remainingTokens() >= MinimumTokensForBackup;
    if (!isWorthwhile ||
        this->gateway.runners.memoryUtilization(this->context.service, *engine) > FleetMemoryLimitForBackup)
        return;
    // A holder beside the gateway is still in reach when the runner's failure domain is not.
    const RunnerPool::RunnerPointer runner =
            this->chooseCopyHolder(primary, this->gateway.settings.domain, BackupMemoryLimit);
    if (runner)
        this->backup = LoadTicket(runner, RunnerLoad{0, this->expectedMemory(), 0});
}

asio::awaitable<StreamSession::RelayResult> StreamSession::relay(Destination destination)
{
    const RunnerPool::Runner &runner = *destination.runner;
    const bool isContinuation = !destination.continueFrom.empty();
    this->lastRunner = runner.entry.id;
    this->load = LoadTicket(destination.runner, this->expectedLoad());
    this->runStartedAt.reset();
    this->chooseBackup(runner);
    const RunnerConnectionPointer connection = co_await this->gateway.connections.acquire(
            runner.entry.address, std::min(ConnectTimeout, this->remainingTime()));
    if (!connection || this->isAbandoned)
        co_return RelayResult{RelayEnd::Refused, SendOutcome::NotConnected, "not-connected", std::nullopt};
    ++this->sends;
    if (!this->firstSentAt)
        this->firstSentAt = steadyNow();
    this->active = connection;
    AttemptHeaders attempt;
    attempt.priority = PriorityAtRunner;
    if (this->backup.runner())
        attempt.backupAddress = this->backup.runner()->entry.address;
    attempt.continueFrom = destination.continueFrom;
    if (this->splitter.lastId())
        attempt.lastEventId = *this->splitter.lastId();
    else if (this->context.caller.lastEventId)
        attempt.lastEventId = *this->context.caller.lastEventId;
    HttpRequest request = this->requestFor(runner, attempt);
    boost::system::error_code error;
    connection->stream.expires_after(std::max(this->remainingTime(), Duration{1}));
    co_await http::async_write(connection->stream, request, asio::redirect_error(asio::use_awaitable, error));
    RelayResult result = co_await this->receive(connection, isContinuation);
    this->active.reset();
    this->load.release();
    this->gateway.capacityFreed();
    // The copy of a run that never began holds nothing.
    if (!this->runStartedAt)
        this->backup.release();
    if (result.end != RelayEnd::Complete) {
        this->splitter.discardPartialEvent();
        boost::system::error_code ignored;
        connection->stream.socket().close(ignored);
    }
    if (result.end == RelayEnd::Stalled)
        this->gateway.connections.dropIdle(runner.entry.address);
    co_return result;
}

asio::awaitable<StreamSession::RelayResult> StreamSession::receive(const RunnerConnectionPointer &connection,
                                                                   bool isContinuation)
{
    auto parser = std::make_unique<Parser>();
    parser->body_limit(boost::none);
    boost::system::error_code error;
    const Route &route = *this->context.route;
    const Duration patience =
            firstEventTimeout(route.isResumable, route.latencyObjective, this->remainingTime());
    connection->stream.expires_after(std::max(patience, Duration{1}));
    co_await http::async_read_header(connection->stream, connection->buffer, *parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error == beast::error::timeout)
        co_return RelayResult{RelayEnd::Stalled, SendOutcome::Unknown, "runner-silent", std::nullopt};
    if (error)
        co_return RelayResult{RelayEnd::Broken, SendOutcome::Unknown, "runner-broke-off", std::nullopt};
    const ResponseMetadata answer = this->gateway.format.decodeResponse(parser->get());
    if (!answer.requestId.empty() && answer.requestId != this->context.caller.id)
        co_return RelayResult{RelayEnd::Broken, SendOutcome::Unknown, "stray-answer", std::nullopt};
    const unsigned status = parser->get().result_int();
    if (status < 200 || status >= 300)
        co_return co_await this->receiveFailure(connection, *parser);
    const bool isForeign = parser->get().find(http::field::content_encoding) != parser->get().end() ||
                           (!answer.isSealed && !isContinuation);
    if (isForeign)
        co_return RelayResult{RelayEnd::Broken, SendOutcome::Unknown, "answer-not-from-runner", std::nullopt};
    if (!this->caller.hasBegun()) {
        ResponseHeader header = parser->get().base();
        for (const auto name : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length"})
            header.erase(name);
        const bool isSent = co_await this->caller.beginStream(std::move(header));
        if (!isSent)
            co_return RelayResult{RelayEnd::CallerGone, SendOutcome::Unknown, "caller-gone", std::nullopt};
    }
    RelayResult result = co_await this->forwardEvents(connection, *parser);
    if (result.end == RelayEnd::Complete) {
        ResponseMetadata end = answer;
        end.isClosing = end.isClosing || parser->need_eof() || !parser->keep_alive();
        this->gateway.connections.release(connection, end);
    }
    co_return result;
}

asio::awaitable<StreamSession::RelayResult>
StreamSession::receiveFailure(const RunnerConnectionPointer &connection, Parser &parser)
{
    const ResponseMetadata answer = this->gateway.format.decodeResponse(parser.get());
    const unsigned status = parser.get().result_int();
    std::string body;
    std::array<char, ReadBufferBytes> bytes{};
    boost::system::error_code error;
    while (!parser.is_done() && !error && body.size() < MaxFailureBytes) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        parser.get().body().more = true;
        co_await http::async_read_some(connection->stream, connection->buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        body.append(bytes.data(), bytes.size() - parser.get().body().size);
    }
    if (status == 421)
        co_return RelayResult{RelayEnd::Refused, SendOutcome::WrongRunner, "other-runner", std::nullopt};
    if (answer.isNotRun)
        co_return RelayResult{RelayEnd::Refused, SendOutcome::RefusedByRunner, "refused-by-runner",
                              std::nullopt};
    const bool mustPromise = status == 503 || status == 429 || status == 408;
    if (error || mustPromise || !parser.is_done())
        co_return RelayResult{RelayEnd::Refused, SendOutcome::Unknown, "refusal-without-promise",
                              std::nullopt};
    HttpResponse response(ResponseHeader(parser.get().base()));
    for (const auto name : {"Connection", "Keep-Alive", "Transfer-Encoding"})
        response.erase(name);
    response.body() = std::move(body);
    response.prepare_payload();
    co_return RelayResult{RelayEnd::Refused, status >= 500 ? SendOutcome::Failed : SendOutcome::Answered,
                          "runner-status", std::move(response)};
}

asio::awaitable<StreamSession::RelayResult>
StreamSession::forwardEvents(const RunnerConnectionPointer &connection, Parser &parser)
{
    std::array<char, ReadBufferBytes> bytes{};
    if (this->backup.runner())
        asio::co_spawn(this->gateway.io, this->watchForStall(connection), asio::detached);
    while (!parser.is_done()) {
        boost::system::error_code error;
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        parser.get().body().more = true;
        const bool hasEvents = this->splitter.eventCount() > 0;
        const Duration patience = this->context.route->isResumable && hasEvents
                                          ? std::min(StallTimeout, this->remainingTime())
                                          : this->remainingTime();
        connection->stream.expires_after(std::max(patience, Duration{1}));
        co_await http::async_read_some(connection->stream, connection->buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        const std::string_view read(bytes.data(), bytes.size() - parser.get().body().size);
        const uint64_t before = this->splitter.eventCount();
        const std::string_view events = this->splitter.feed(read);
        if (!events.empty()) {
            this->noteEvents(before);
            const bool isSent = co_await this->caller.sendPart(events);
            if (!isSent || this->isAbandoned)
                co_return RelayResult{RelayEnd::CallerGone, SendOutcome::Unknown, "caller-gone",
                                      std::nullopt};
        }
        if (error == beast::error::timeout)
            co_return RelayResult{RelayEnd::Stalled, SendOutcome::Unknown, "runner-silent", std::nullopt};
        if (error)
            co_return RelayResult{RelayEnd::Broken, SendOutcome::Unknown, "runner-broke-off", std::nullopt};
    }
    if (this->splitter.hasPartialEvent())
        co_return RelayResult{RelayEnd::Broken, SendOutcome::Unknown, "event-cut-short", std::nullopt};
    const bool isEnded = co_await this->caller.endStream();
    co_return RelayResult{isEnded ? RelayEnd::Complete : RelayEnd::CallerGone, SendOutcome::Answered,
                          "complete", std::nullopt};
}

void StreamSession::noteEvents(uint64_t before)
{
    const TimePoint now = steadyNow();
    if (!this->runStartedAt)
        this->runStartedAt = now;
    if (this->load.runner() && this->load.runner()->entry.isExpectedToLeave())
        this->runnerLeaves(this->load.runner()->timeUntilStop(now));
    if (before == 0) {
        this->firstEventAt = now;
        this->load.endPrefill();
        this->gateway.metrics.firstEventSeconds.Observe(toSeconds(now - this->context.arrived));
    } else if (this->lastEventAt) {
        this->longestPause = std::max<Duration>(this->longestPause, now - *this->lastEventAt);
        this->gateway.metrics.pauseSeconds.Observe(toSeconds(now - *this->lastEventAt));
    }
    this->lastEventAt = now;
    this->stall.recordProgress(now);
    this->load.setMemory(this->expectedMemory());
}

bool StreamSession::hasBackupInReach() const
{
    const RunnerPool::RunnerPointer &holder = this->backup.runner();
    return holder && !holder->entry.isExpectedToLeave() && !holder->entry.isUnresponsive;
}

asio::awaitable<void> StreamSession::watchForStall(RunnerConnectionPointer connection)
{
    const auto keepAlive = this->shared_from_this();
    asio::steady_timer timer(this->gateway.io);
    this->stall.start(steadyNow());
    for (;;) {
        boost::system::error_code ignored;
        timer.expires_after(std::max<Duration>(this->stall.nextCheck() - steadyNow(), Duration{1}));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (this->active != connection || this->isAbandoned)
            co_return;
        const bool hasUnreadBytes = connection->stream.socket().available(ignored) > 0;
        if (!this->stall.check(steadyNow(), hasUnreadBytes) || !this->runStartedAt)
            continue;
        if (!this->hasBackupInReach() || this->isMigrating)
            continue;
        logInfo("generation-stalled", {{"request", this->context.caller.id},
                                       {"runner", this->lastRunner},
                                       {"events", std::to_string(this->splitter.eventCount())},
                                       {"backup", this->backup.runner()->entry.id}});
        this->breakOff();
        co_return;
    }
}

std::vector<LogField> StreamSession::endDetails() const
{
    const auto sinceArrival = [this](const std::optional<TimePoint> &at) {
        return at ? std::to_string(toMilliseconds(*at - this->context.arrived)) : std::string("none");
    };
    const GenerationSize size = this->size();
    return {{"events", std::to_string(this->splitter.eventCount())},
            {"prompt_tokens", std::to_string(std::lround(size.promptTokens))},
            {"estimated_tokens", std::to_string(std::lround(size.outputTokens))},
            {"max_tokens", std::to_string(std::lround(size.maxOutputTokens))},
            {"sent_ms", sinceArrival(this->firstSentAt)},
            {"first_event_ms", sinceArrival(this->firstEventAt)},
            {"longest_pause_ms", std::to_string(toMilliseconds(this->longestPause))}};
}

std::optional<StreamSession::Destination> StreamSession::backupDestination()
{
    const RunnerPool::RunnerPointer runner = this->backup.runner();
    this->backup.release();
    if (!runner)
        return std::nullopt;
    // The list may name a later start of the runner, which holds no copy.
    if (this->gateway.runners.find(runner->entry.id) != runner)
        return std::nullopt;
    return Destination{runner,
                       this->gateway.format.copyReference(runner->entry.address, this->context.caller.id),
                       "backup"};
}

asio::awaitable<std::optional<StreamSession::Destination>>
StreamSession::continuation(const RelayResult &broken, Destination last)
{
    boost::system::error_code ignored;
    if (this->isMigrating) {
        this->migrationEnd.expires_after(PatienceForCopy);
        co_await this->migrationEnd.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (!last.continueFrom.empty() && broken.outcome == SendOutcome::RefusedByRunner) {
        // The copy may still be on its way, or the runner has no room for a moment.
        if (++this->refusedContinuations > MaxRefusedContinuations)
            co_return std::nullopt;
        asio::steady_timer pause(this->gateway.io, PauseBeforeContinuation);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return last;
    }
    this->refusedContinuations = 0;
    if (this->moved) {
        const std::optional<Destination> destination = std::move(this->moved);
        this->moved.reset();
        this->gateway.metrics.countContinuation("move", true);
        co_return destination;
    }
    // A runner that refused has not begun: its memory holds nothing to go on from.
    const bool hasBegun = this->caller.hasBegun();
    if (!hasBegun && isCertainlyNotRun(broken.outcome)) {
        this->tried.insert(this->lastRunner);
        co_return std::nullopt;
    }
    if (!this->context.route->isResumable) {
        auto destination = this->backupDestination();
        this->gateway.metrics.countContinuation("backup", destination.has_value());
        co_return destination;
    }
    if (!hasBegun) {
        this->tried.insert(this->lastRunner);
        co_return std::nullopt;
    }
    this->tried.insert(this->lastRunner);
    if (!this->gateway.budget.tryAcquireRetry(this->context.service, steadyNow()))
        co_return std::nullopt;
    const RunnerPool::RunnerPointer runner = co_await this->place();
    this->gateway.metrics.countContinuation("resume", runner != nullptr);
    if (!runner)
        co_return std::nullopt;
    co_return Destination{runner, {}, "resume"};
}

void StreamSession::runnerLeaves(Duration untilGone)
{
    const EngineTraits *engine = this->context.engine();
    if (this->isMigrating || this->moved || !this->load.runner() || !this->active || engine == nullptr)
        return;
    if (steadyNow() < this->nextMigration)
        return;
    const bool hasBackup = this->backup.runner() && !this->backup.runner()->entry.isExpectedToLeave();
    const Duration age = this->runStartedAt ? steadyNow() - *this->runStartedAt : Duration::zero();
    const LeavingGeneration run{this->remainingTokens(),
                                this->madeTokens(),
                                this->runStartedAt.has_value(),
                                age,
                                hasBackup,
                                engine->supportsMigration && !this->context.route->isResumable};
    const MigrationAction step = planMigration(run, untilGone);
    if (step == MigrationAction::Stay)
        return;
    logInfo("runner-leaves-under-generation",
            {{"request", this->context.caller.id},
             {"runner", this->load.runner()->entry.id},
             {"until_gone_ms", std::to_string(toMilliseconds(untilGone))},
             {"events", std::to_string(this->splitter.eventCount())},
             {"backup", hasBackup ? this->backup.runner()->entry.id : "none"}});
    if (step == MigrationAction::SwitchToBackup) {
        this->breakOff();
        return;
    }
    this->isMigrating = true;
    asio::co_spawn(this->gateway.io, this->migrate(), asio::detached);
}

asio::awaitable<void> StreamSession::migrate()
{
    const auto keepAlive = this->shared_from_this();
    const RunnerPool::RunnerPointer source = this->load.runner();
    TransferWish wish;
    wish.sourceId = source->entry.id;
    wish.service = this->context.service;
    wish.size = this->size();
    wish.madeTokens = this->madeTokens();
    wish.worth = generationValue({wish.size.promptTokens, wish.madeTokens + this->remainingTokens()});
    wish.excluded.assign(this->fullHolders.begin(), this->fullHolders.end());
    const std::optional<TransferTurn> turn = co_await this->gateway.fleetScheduler->ask(std::move(wish));
    RunnerPool::RunnerPointer destination = turn ? this->gateway.runners.find(turn->destinationId) : nullptr;
    if (!destination)
        destination = this->chooseCopyHolder(*source, source->entry.domain, CopyMemoryLimit);
    const auto isStillThere = [&] {
        return this->load.runner() == source && this->active && !this->isAbandoned;
    };
    if (destination && isStillThere()) {
        const LoadTicket reserved(destination, this->expectedLoad());
        const std::optional<std::string> reference = co_await this->copy(source, destination);
        if (reference)
            this->moved = Destination{destination, *reference, "move"};
        // What the run has made since the copy is made again at the destination, from the last event on.
        if (reference && isStillThere())
            this->breakOff();
    }
    if (turn)
        this->gateway.fleetScheduler->finish(turn->ticket);
    if (!this->moved)
        this->nextMigration = steadyNow() + MigrationRetry;
    this->isMigrating = false;
    this->migrationEnd.cancel();
}

void StreamSession::breakOff()
{
    boost::system::error_code ignored;
    this->active->stream.socket().close(ignored);
}

RunnerPool::RunnerPointer StreamSession::chooseCopyHolder(const RunnerPool::Runner &source,
                                                          std::string_view domain, double memoryLimit) const
{
    std::set<std::string> excluded = this->fullHolders;
    excluded.insert(source.entry.id);
    RunnerCriteria request{this->context.service, domain, this->context.caller.size, &excluded, memoryLimit,
                           CopyCrossingSeconds};
    request.generatedTokens = this->madeTokens();
    auto placed =
            this->gateway.runners.choose(request, this->context.engine(), steadyNow(), this->gateway.random);
    const auto *runner = std::get_if<RunnerPool::RunnerPointer>(&placed);
    return runner == nullptr ? nullptr : *runner;
}

asio::awaitable<std::optional<std::string>> StreamSession::copy(RunnerPool::RunnerPointer source,
                                                                RunnerPool::RunnerPointer destination)
{
    const WireFormat &format = this->gateway.format;
    const CopyRequest order{this->context.caller.id, destination->entry.address};
    const TimePoint started = steadyNow();
    OutgoingCall call = format.copyCall(order);
    auto result =
            co_await this->gateway.connections.call(source->entry.address, std::move(call), MoveTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    const unsigned status = response == nullptr ? 0 : response->result_int();
    logInfo("generation-copied", {{"request", this->context.caller.id},
                                  {"from", source->entry.id},
                                  {"to", destination->entry.id},
                                  {"status", std::to_string(status)},
                                  {"ms", std::to_string(toMilliseconds(steadyNow() - started))}});
    if (status == 503)
        this->fullHolders.insert(destination->entry.id);
    if (status != 200)
        co_return std::nullopt;
    const auto made = format.decodeCopyResult(response->body());
    if (std::holds_alternative<DecodeError>(made))
        co_return std::nullopt;
    co_return format.copyReference(source->entry.address, std::get<CopyResult>(made).handle);
}

} // namespace eelgrasslift
