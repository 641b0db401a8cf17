#include "libserving/generationstream.h"

#include <algorithm>
#include <utility>

namespace eelgrasslift {

namespace {

/// Base of the exponential back-off between failed resumes. The first resume after a failure is immediate.
constexpr Duration ResumeBackoff = std::chrono::milliseconds{100};

/// The stall limit doubles with each consecutive stall, at most this often, so that an engine that is merely
/// busy is not flooded with connections.
constexpr uint32_t MaxStallDoublings = 4;

/// Maximum number of open connections of a stream: a stalled one remains open beside the one that resumes.
constexpr size_t MaxOpenConnections = 2;

} // namespace

GenerationStream::GenerationStream(StreamSettings settings)
    : settings(settings)
{}

GenerationStream::GenerationStream(StreamSettings settings, StreamPosition position)
    : settings(settings)
    , state(State::Streaming)
    , target(std::move(position.target))
    , generation(std::move(position.generation))
    , nextIndex(position.nextIndex)
    , hasProgress(true)
    , isResumed(true)
    , mayHaveRun(true)
{}

std::vector<StreamAction> GenerationStream::start(TimePoint now)
{
    if (this->isResumed)
        this->openResume(now);
    else
        this->openAttempt(now);
    return this->takeActions();
}

std::vector<StreamAction> GenerationStream::handle(const StreamEvent &event, TimePoint now)
{
    if (!this->isFinished())
        std::visit([&](const auto &alternative) { this->on(alternative, now); }, event);
    return this->takeActions();
}

std::optional<TimePoint> GenerationStream::nextTick() const
{
    if (this->isFinished() || this->isPaused)
        return std::nullopt;
    if (this->hasProgress)
        return this->lastProgress +
               this->settings.stallLimit * (1 << std::min(this->consecutiveStalls, MaxStallDoublings));
    if (this->settings.firstTokenLimit == Duration{0})
        return std::nullopt;
    return this->lastProgress + this->settings.firstTokenLimit;
}

StreamPosition GenerationStream::position() const
{
    return {this->target, this->generation, this->nextIndex};
}

void GenerationStream::on(const AttemptStarted &event, TimePoint now)
{
    if (!this->isOpen(event.connection) || !this->target.empty())
        return;
    this->target = event.target;
    this->generation = event.generation;
    this->lastProgress = now;
}

void GenerationStream::on(const AttemptRefused &event, TimePoint now)
{
    if (!this->isOpen(event.connection) || this->hasProgress)
        return;
    this->connections.clear();
    this->target.clear();
    this->generation.clear();
    this->failAttempt(event.mayRetry, IncompleteCause::NotStarted, now);
}

void GenerationStream::on(const TokenReceived &event, TimePoint now)
{
    if (!this->isOpen(event.connection) || !this->adoptGeneration(event)) {
        ++this->streamCounters.foreignTokens;
        return;
    }
    this->hasProgress = true;
    if (event.index < this->nextIndex) {
        ++this->streamCounters.duplicateTokens;
        return;
    }
    if (event.index == this->nextIndex) {
        this->accept(event, now);
        return;
    }
    if (this->isPaused) {
        ++this->streamCounters.overflowTokens;
        this->mustResume = true;
        return;
    }
    ++this->streamCounters.gaps;
    if (event.connection == this->lastConnection)
        this->resumeAfterFailure(false, IncompleteCause::ConnectionLost, now);
}

void GenerationStream::on(const EngineFinished &event, TimePoint now)
{
    const bool isEmptyResponse =
            this->generation.empty() && event.tokenCount == 0 && !event.generation.empty();
    if (!this->isOpen(event.connection) || (!isEmptyResponse && event.generation != this->generation)) {
        ++this->streamCounters.foreignTokens;
        return;
    }
    if (event.tokenCount == this->nextIndex) {
        this->finishComplete();
    } else if (event.tokenCount > this->nextIndex) {
        this->connections.erase(event.connection);
        if (event.connection == this->lastConnection || this->connections.empty())
            this->resumeAfterFailure(false, IncompleteCause::ConnectionLost, now);
    } else {
        this->failAttempt(false, IncompleteCause::EngineFailed, now);
    }
}

void GenerationStream::on(const EngineFailed &event, TimePoint now)
{
    if (this->isOpen(event.connection))
        this->failAttempt(event.mayRetry, IncompleteCause::EngineFailed, now);
}

void GenerationStream::on(const StreamConnectionLost &event, TimePoint now)
{
    if (this->connections.erase(event.connection) == 0 || !this->connections.empty())
        return;
    if (this->generation.empty())
        this->failAttempt(event.mayRetry, IncompleteCause::ConnectionLost, now);
    else
        this->resumeAfterFailure(event.mayRetry, IncompleteCause::ConnectionLost, now);
}

void GenerationStream::on(const StreamTargetDied &event, TimePoint now)
{
    if (!this->target.empty() && event.target == this->target)
        this->failAttempt(event.mayRetry, IncompleteCause::TargetDied, now);
}

/// While another connection of the generation is open, the refusal need not be final: the generation may
/// still arrive on that one.
void GenerationStream::on(const ResumeRefused &event, TimePoint now)
{
    if (this->connections.erase(event.connection) == 0)
        return;
    ++this->resumeFailures;
    if (this->connections.empty() || this->resumeFailures > this->settings.maxResumeFailures)
        this->failAttempt(event.mayRetry, IncompleteCause::ResumeRefused, now);
}

void GenerationStream::on(const CallerAccepted &event, TimePoint now)
{
    this->bufferedTokens -= std::min(this->bufferedTokens, event.tokens);
    this->bufferedBytes -= std::min(this->bufferedBytes, event.bytes);
    this->updateBackpressure(now);
}

void GenerationStream::on(const StreamCallerDisconnected & /*event*/, TimePoint /*now*/)
{
    this->cancelGeneration();
    this->closeAllExcept(0);
    this->state = State::Cancelled;
}

void GenerationStream::on(const StallCheck &event, TimePoint now)
{
    const std::optional<TimePoint> due = this->nextTick();
    if (!due || now < *due)
        return;
    ++this->streamCounters.stalls;
    if (this->hasProgress) {
        ++this->consecutiveStalls;
        this->openResume(now);
    } else if (event.mayRetry && this->mayRestart()) {
        this->mayHaveRun = true;
        this->restart(now);
    } else {
        this->lastProgress = now;
    }
}

bool GenerationStream::isOverLimit() const
{
    return this->bufferedTokens >= this->settings.maxBufferedTokens ||
           this->bufferedBytes >= this->settings.maxBufferedBytes;
}

/// A new generation may only be started while the caller has no token of the current one.
bool GenerationStream::mayRestart() const
{
    const bool hasNothingDelivered = this->nextIndex == 0 || this->settings.delivery == Delivery::Whole;
    return hasNothingDelivered && !this->isResumed && this->restartsUsed < this->settings.maxRestarts;
}

bool GenerationStream::adoptGeneration(const TokenReceived &event)
{
    if (this->generation.empty() && event.index == 0)
        this->generation = event.generation;
    return !this->generation.empty() && this->generation == event.generation;
}

void GenerationStream::accept(const TokenReceived &event, TimePoint now)
{
    if (this->isOverLimit()) {
        ++this->streamCounters.overflowTokens;
        this->mustResume = true;
        return;
    }
    this->state = State::Streaming;
    ++this->nextIndex;
    this->lastProgress = now;
    this->resumeFailures = 0;
    this->consecutiveStalls = 0;
    this->closeAllExcept(event.connection);
    DeliverToken token{event.generation, event.index, event.text};
    if (this->settings.delivery == Delivery::Whole) {
        this->wholeBytes += token.text.size();
        this->wholeTokens.push_back(std::move(token));
        if (this->wholeBytes > this->settings.maxWholeBytes)
            this->failAttempt(false, IncompleteCause::TooLarge, now);
        return;
    }
    ++this->bufferedTokens;
    this->bufferedBytes += token.text.size();
    this->actions.emplace_back(std::move(token));
    this->updateBackpressure(now);
}

void GenerationStream::openAttempt(TimePoint now)
{
    this->lastProgress = now;
    this->connections.insert(++this->lastConnection);
    this->actions.emplace_back(OpenAttempt{this->lastConnection});
}

void GenerationStream::restart(TimePoint now)
{
    this->cancelGeneration();
    this->closeAllExcept(0);
    ++this->streamCounters.restarts;
    ++this->restartsUsed;
    this->state = State::Waiting;
    this->target.clear();
    this->generation.clear();
    this->nextIndex = 0;
    this->hasProgress = false;
    this->wholeTokens.clear();
    this->wholeBytes = 0;
    this->resumeFailures = 0;
    this->consecutiveStalls = 0;
    this->openAttempt(now);
}

/// While reading is paused, the resume is postponed until the caller has accepted enough tokens.
void GenerationStream::openResume(TimePoint now, Duration delay)
{
    this->lastProgress = now;
    if (this->isPaused) {
        this->mustResume = true;
        return;
    }
    while (this->connections.size() >= MaxOpenConnections) {
        this->actions.emplace_back(CloseConnection{*this->connections.begin()});
        this->connections.erase(this->connections.begin());
    }
    ++this->streamCounters.resumes;
    this->connections.insert(++this->lastConnection);
    this->actions.emplace_back(
            OpenResume{this->lastConnection, this->target, this->generation, this->nextIndex, delay});
}

void GenerationStream::resumeAfterFailure(bool mayRetry, IncompleteCause cause, TimePoint now)
{
    if (++this->resumeFailures > this->settings.maxResumeFailures) {
        this->failAttempt(mayRetry, cause, now);
        return;
    }
    const bool isFirstFailure = this->resumeFailures == 1;
    this->openResume(now, isFirstFailure ? Duration{0}
                                         : ResumeBackoff * (1 << std::min(this->resumeFailures, 6U)));
}

void GenerationStream::failAttempt(bool mayRetry, IncompleteCause cause, TimePoint now)
{
    this->mayHaveRun = this->mayHaveRun || cause != IncompleteCause::NotStarted;
    if (mayRetry && this->mayRestart())
        this->restart(now);
    else
        this->finishIncomplete(cause);
}

void GenerationStream::finishComplete()
{
    for (DeliverToken &token : this->wholeTokens)
        this->actions.emplace_back(std::move(token));
    this->wholeTokens.clear();
    this->closeAllExcept(0);
    this->state = State::Complete;
    this->actions.emplace_back(FinishComplete{this->nextIndex});
}

void GenerationStream::finishIncomplete(IncompleteCause cause)
{
    this->cancelGeneration();
    this->closeAllExcept(0);
    if (!this->mayHaveRun) {
        this->state = State::NotRun;
        this->actions.emplace_back(FailNotRun{});
        return;
    }
    this->state = State::Incomplete;
    const bool isWhole = this->settings.delivery == Delivery::Whole;
    this->actions.emplace_back(FinishIncomplete{isWhole ? 0 : this->nextIndex, cause});
}

void GenerationStream::cancelGeneration()
{
    if (!this->target.empty())
        this->actions.emplace_back(CancelGeneration{this->lastConnection, this->target, this->generation});
}

void GenerationStream::closeAllExcept(uint32_t connection)
{
    for (const uint32_t open : this->connections) {
        if (open != connection)
            this->actions.emplace_back(CloseConnection{open});
    }
    std::erase_if(this->connections, [&](uint32_t open) { return open != connection; });
}

void GenerationStream::updateBackpressure(TimePoint now)
{
    const auto isAtLeast = [&](uint64_t quarters) {
        return 4 * this->bufferedTokens >= quarters * this->settings.maxBufferedTokens ||
               4 * this->bufferedBytes >= quarters * this->settings.maxBufferedBytes;
    };
    if (!this->isPaused && isAtLeast(3)) {
        this->isPaused = true;
        for (const uint32_t connection : this->connections)
            this->actions.emplace_back(PauseReading{connection});
    } else if (this->isPaused && !isAtLeast(2)) {
        this->isPaused = false;
        this->lastProgress = now;
        for (const uint32_t connection : this->connections)
            this->actions.emplace_back(ResumeReading{connection});
        if (std::exchange(this->mustResume, false))
            this->openResume(now);
    }
}

std::vector<StreamAction> GenerationStream::takeActions()
{
    return std::exchange(this->actions, {});
}

} // namespace eelgrasslift
