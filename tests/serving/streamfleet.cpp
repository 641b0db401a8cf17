#include "streamfleet.h"

#include "libcore/core.h"

#include <algorithm>
#include <array>
#include <utility>

namespace eelgrasslift {

using namespace std::chrono_literals;

namespace {

constexpr Duration TokenInterval = 5ms;

} // namespace

const char *name(StreamStep step)
{
    static constexpr std::array<const char *, StreamStepCount> Names{"before-first-token", "middle", "end",
                                                                     "resume-in-progress"};
    return Names[static_cast<size_t>(step)];
}

const char *name(StreamFault fault)
{
    static constexpr std::array<const char *, StreamFaultCount> Names{
            "entry-death",     "entry-paused",       "target-death",  "target-death-unreported",
            "connection-cut",  "link-stall",         "lost-token",    "lost-tail",
            "duplicate-token", "reordered-tokens",   "foreign-token", "engine-fails",
            "target-refuses",  "generation-evicted", "caller-slow",   "caller-disconnected"};
    return Names[static_cast<size_t>(fault)];
}

StreamFleet::StreamFleet(uint64_t seed, Delivery delivery)
    : generator(seed)
    , delivery(delivery)
{
    this->schedule(0ms, [this] { this->connect(); });
}

/// Sends the caller's first request, or reconnects it to another entry with its position.
void StreamFleet::connect()
{
    if (this->isCallerDisconnected)
        return;
    StreamSettings settings;
    settings.delivery = this->delivery;
    settings.stallLimit = 100ms;
    settings.firstTokenLimit = 1s;
    settings.maxBufferedTokens = MaxBufferedTokens;
    ++this->entryIncarnation;
    this->tickAt = TimePoint{};
    this->generationsBeforeConnect = this->generations.size();
    this->entryPausedUntil = this->now;
    this->mustReconnect = false;
    this->unaccepted = 0;
    this->stream = this->received.generation.empty()
                           ? std::make_unique<GenerationStream>(settings)
                           : std::make_unique<GenerationStream>(settings, this->received);
    for (const StreamAction &action : this->stream->start(this->now))
        this->perform(action);
}

void StreamFleet::arm(StreamFault fault, StreamStep step, bool isAfterPrevious)
{
    this->armedFaults.push_back({fault, step, isAfterPrevious});
}

void StreamFleet::reachStep(StreamStep step)
{
    std::vector<StreamFault> dueFaults;
    for (size_t i = 0; i < this->armedFaults.size();) {
        if (this->armedFaults[i].step != step ||
            (this->armedFaults[i].waitsForPrevious && (i > 0 || !dueFaults.empty()))) {
            ++i;
            continue;
        }
        dueFaults.push_back(this->armedFaults[i].fault);
        this->armedFaults.erase(this->armedFaults.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const StreamFault fault : dueFaults)
        this->injectFault(fault);
}

void StreamFleet::injectFault(StreamFault fault)
{
    const bool isOpen = !this->connections.empty();
    switch (fault) {
    case StreamFault::EntryDeath:
        if (!this->outcome.empty() || this->isCallerDisconnected || std::exchange(this->mustReconnect, true))
            return;
        this->hasEntryDied = true;
        ++this->entryIncarnation; // discards the events of the dead entry's connections
        return this->schedule(20ms, [this] { this->connect(); });
    case StreamFault::EntryPaused:
        this->entryPausedUntil = this->now + std::chrono::milliseconds{50 + this->generator.below(2000)};
        return;
    case StreamFault::TargetDeath:
    case StreamFault::TargetDeathUnreported:
        if (!isOpen)
            return;
        ++this->engineIncarnations[this->connections.back()->generation->engine];
        if (fault == StreamFault::TargetDeath) {
            const std::string target = std::to_string(this->connections.back()->generation->engine);
            this->schedule(1ms, [this, target, incarnation = this->entryIncarnation] {
                this->feed(incarnation, StreamTargetDied{target, true});
            });
        }
        return;
    case StreamFault::ConnectionCut:
        if (isOpen && !this->connections.back()->isClosed) {
            const ConnectionPtr lostConnection = this->connections.back();
            lostConnection->isClosed = true;
            this->schedule(1ms, [this, lostConnection] {
                this->feed(lostConnection->entryIncarnation,
                           StreamConnectionLost{lostConnection->number, true});
            });
        }
        return;
    case StreamFault::LinkStall:
        if (isOpen)
            this->connections.back()->stalledUntil =
                    this->now + std::chrono::milliseconds{150 + this->generator.below(3000)};
        return;
    case StreamFault::TargetRefuses:
        ++this->remainingRefusals;
        return;
    case StreamFault::GenerationEvicted:
        for (const auto &generation : this->generations)
            generation->isEvicted = true;
        return;
    case StreamFault::CallerSlow:
        this->slowUntil = this->now + 1s;
        return;
    case StreamFault::CallerDisconnected:
        this->isCallerDisconnected = true;
        return this->schedule(0ms, [this, incarnation = this->entryIncarnation] {
            this->feed(incarnation, StreamCallerDisconnected{});
        });
    default:
        this->pendingTokenFaults.insert(fault); // affects the next token
    }
}

void StreamFleet::feed(uint64_t incarnation, const StreamEvent &event)
{
    if (incarnation != this->entryIncarnation)
        return;
    if (this->now < this->entryPausedUntil)
        return this->schedule(this->entryPausedUntil - this->now,
                              [=, this] { this->feed(incarnation, event); });
    for (const StreamAction &action : this->stream->handle(event, this->now))
        this->perform(action);
    const std::optional<TimePoint> tickTime = this->stream->nextTick();
    if (!tickTime || *tickTime == this->tickAt)
        return;
    this->tickAt = *tickTime;
    this->schedule(std::max(Duration{0}, *tickTime - this->now), [=, this] {
        if (this->tickAt == *tickTime)
            this->feed(incarnation, StallCheck{true});
    });
}

void StreamFleet::perform(const StreamAction &action)
{
    match(
            action, [&](const OpenAttempt &open) { this->openAttempt(open.connection); },
            [&](const OpenResume &open) { this->openResume(open); },
            [&](const CancelGeneration &cancel) {
                for (const auto &generation : this->generations) {
                    const ConnectionPtr own = this->find(cancel.connection);
                    generation->isCancelled = generation->isCancelled ||
                                              generation->id == cancel.generation ||
                                              (own && own->generation == generation);
                }
            },
            [&](const CloseConnection &close) {
                // Tokens already in transit on the connection still arrive.
                if (const ConnectionPtr closed = this->find(close.connection))
                    this->schedule(2 * TokenInterval, [closed] { closed->isClosed = true; });
            },
            [&](const DeliverToken &token) { this->deliver(token); },
            [&](const FinishComplete &finish) {
                this->outcome = "complete";
                if (this->isCallerDisconnected)
                    return;
                if (finish.tokens != this->received.nextIndex || finish.tokens != TokenCount)
                    this->observedViolation = "complete without all tokens";
            },
            [&](const FinishIncomplete &finish) {
                this->outcome = "incomplete";
                if (!this->isCallerDisconnected && finish.delivered != this->received.nextIndex)
                    this->observedViolation = "incomplete with a wrong count";
            },
            [&](const FailNotRun &) {
                this->outcome = "not-run";
                if (this->generations.size() > this->generationsBeforeConnect)
                    this->observedViolation = "reported as not-run but an engine ran it";
            },
            [&](const PauseReading &pause) { this->find(pause.connection)->isPaused = true; },
            [&](const ResumeReading &resume) { this->find(resume.connection)->isPaused = false; });
}

StreamFleet::ConnectionPtr StreamFleet::find(uint32_t number) const
{
    const auto found =
            std::find_if(this->connections.rbegin(), this->connections.rend(), [&](const auto &connection) {
                return connection->entryIncarnation == this->entryIncarnation && connection->number == number;
            });
    return found == this->connections.rend() ? nullptr : *found;
}

bool StreamFleet::isAlive(const Generation &generation) const
{
    return this->engineIncarnations[generation.engine] == generation.incarnation;
}

void StreamFleet::openAttempt(uint32_t number)
{
    const uint64_t incarnation = this->entryIncarnation;
    if (this->remainingRefusals > 0) {
        --this->remainingRefusals;
        return this->schedule(1ms, [=, this] { this->feed(incarnation, AttemptRefused{number, true}); });
    }
    auto generation = std::make_shared<Generation>();
    generation->id = "g" + std::to_string(this->generations.size());
    generation->engine = this->generations.size() % 2;
    generation->incarnation = this->engineIncarnations[generation->engine];
    generation->start = this->now + 20ms;
    this->generations.push_back(generation);
    auto connection = std::make_shared<Connection>();
    connection->entryIncarnation = incarnation;
    connection->number = number;
    connection->generation = generation;
    this->connections.push_back(connection);
    this->schedule(1ms, [=, this] {
        this->feed(incarnation, AttemptStarted{number, std::to_string(generation->engine), generation->id});
        this->reachStep(StreamStep::BeforeFirstToken);
    });
    this->schedule(2ms, [=, this] { this->sendReadyTokens(connection); });
}

void StreamFleet::openResume(const OpenResume &resume)
{
    const uint64_t incarnation = this->entryIncarnation;
    const auto found =
            std::find_if(this->generations.begin(), this->generations.end(), [&](const auto &generation) {
                return generation->id == resume.generation &&
                       std::to_string(generation->engine) == resume.target;
            });
    this->schedule(0ms, [this] { this->reachStep(StreamStep::ResumeInProgress); });
    if (found == this->generations.end() || !this->isAlive(**found) || (*found)->isEvicted ||
        (*found)->isCancelled)
        return this->schedule(resume.delay + 2ms, [=, this] {
            this->feed(incarnation, ResumeRefused{resume.connection, true});
        });
    auto connection = std::make_shared<Connection>();
    connection->entryIncarnation = incarnation;
    connection->number = resume.connection;
    connection->generation = *found;
    connection->next = resume.fromIndex;
    this->connections.push_back(connection);
    this->schedule(resume.delay + 2ms, [=, this] { this->sendReadyTokens(connection); });
}

void StreamFleet::sendReadyTokens(const ConnectionPtr &connection)
{
    const Generation &generation = *connection->generation;
    if (connection->isClosed || connection->entryIncarnation != this->entryIncarnation ||
        generation.isCancelled)
        return;
    if (!this->isAlive(generation)) {
        connection->isClosed = true;
        return this->feed(connection->entryIncarnation, StreamConnectionLost{connection->number, true});
    }
    this->schedule(TokenInterval, [=, this] { this->sendReadyTokens(connection); });
    if (connection->isPaused || this->now < connection->stalledUntil || this->now < generation.start)
        return;
    const uint64_t ready = std::min<uint64_t>(TokenCount, 1 + (this->now - generation.start) / TokenInterval);
    // Available tokens arrive in bursts, as from a socket buffer.
    for (int burst = 0; burst < 4 && connection->next < ready; ++burst) {
        this->sendToken(connection, connection->next++);
        if (connection->next == 4)
            this->reachStep(StreamStep::Middle);
    }
    if (connection->next < TokenCount)
        return;
    this->reachStep(StreamStep::End);
    if (connection->isClosed || !this->isAlive(generation) || this->now < connection->stalledUntil)
        return;
    this->feed(connection->entryIncarnation, EngineFinished{connection->number, generation.id, TokenCount});
    connection->isClosed = true;
    this->schedule(TokenInterval, [=, this] {
        this->feed(connection->entryIncarnation, StreamConnectionLost{connection->number, true});
    });
}

void StreamFleet::sendToken(const ConnectionPtr &connection, uint64_t index)
{
    const auto token = [&](uint64_t number) {
        const std::string &id = connection->generation->id;
        return TokenReceived{connection->number, id, number, id + ":" + std::to_string(number)};
    };
    const auto consumePendingFault = [this](StreamFault fault) {
        return this->pendingTokenFaults.erase(fault) > 0;
    };
    if (consumePendingFault(StreamFault::EngineFails))
        return this->feed(connection->entryIncarnation, EngineFailed{connection->number, true});
    if (consumePendingFault(StreamFault::LostToken))
        return;
    if (consumePendingFault(StreamFault::LostTail)) {
        connection->next = TokenCount;
        return;
    }
    if (consumePendingFault(StreamFault::ForeignGeneration))
        this->feed(connection->entryIncarnation,
                   TokenReceived{connection->number, "other", index, "other caller's text"});
    if (consumePendingFault(StreamFault::ReorderedTokens) && index + 1 < TokenCount)
        this->feed(connection->entryIncarnation, token(index + 1));
    this->feed(connection->entryIncarnation, token(index));
    if (consumePendingFault(StreamFault::DuplicateToken))
        this->feed(connection->entryIncarnation, token(index));
}

void StreamFleet::deliver(const DeliverToken &token)
{
    if (this->isCallerDisconnected)
        return;
    const bool isFirst = this->received.generation.empty();
    const std::string expected = token.generation + ":" + std::to_string(this->received.nextIndex);
    if ((!isFirst && token.generation != this->received.generation) ||
        token.index != this->received.nextIndex || token.text != expected)
        this->observedViolation = "token " + token.text + " delivered instead of " + expected;
    this->received = this->stream->position();
    this->received.generation = token.generation;
    this->received.nextIndex = token.index + 1;
    if (this->delivery == Delivery::Whole)
        return;
    this->maxUnaccepted = std::max(this->maxUnaccepted, ++this->unaccepted);
    this->schedule(std::max(Duration{1ms}, this->slowUntil - this->now),
                   [this, incarnation = this->entryIncarnation] {
                       if (incarnation == this->entryIncarnation)
                           this->unaccepted -= std::min<uint64_t>(1, this->unaccepted);
                       this->feed(incarnation, CallerAccepted{1, 1});
                   });
}

std::string StreamFleet::violation() const
{
    if (!this->observedViolation.empty())
        return this->observedViolation;
    if (this->maxUnaccepted > MaxBufferedTokens)
        return "more tokens buffered than allowed";
    if (!this->isCallerDisconnected)
        return this->outcome.empty() ? "the caller got no final reply" : "";
    if (this->hasEntryDied)
        return {}; // the entry that would have cancelled it is dead
    const bool isRunning =
            std::any_of(this->generations.begin(), this->generations.end(), [&](const auto &generation) {
                return this->outcome.empty() && this->isAlive(*generation) && !generation->isCancelled &&
                       generation->id == this->stream->position().generation;
            });
    return isRunning ? "the caller disconnected but its generation was not cancelled" : "";
}

} // namespace eelgrasslift
