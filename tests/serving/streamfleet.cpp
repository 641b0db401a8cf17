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
            "entry-death",     "entry-frozen",         "target-death",  "target-death-late",
            "connection-cut",  "link-stall",           "lost-token",    "lost-tail",
            "duplicate-token", "reordered-tokens",     "foreign-token", "engine-fails",
            "target-refuses",  "generation-forgotten", "caller-slow",   "caller-gone"};
    return Names[static_cast<size_t>(fault)];
}

StreamFleet::StreamFleet(uint64_t seed, Delivery delivery)
    : generator(seed)
    , delivery(delivery)
{
    this->at(0ms, [this] { this->connect(); });
}

/// The caller's first request, or its return to another entry with the position that it has.
void StreamFleet::connect()
{
    if (this->isCallerGone)
        return;
    StreamSettings settings;
    settings.delivery = this->delivery;
    settings.stallLimit = 100ms;
    settings.firstTokenLimit = 1s;
    settings.maxBufferedTokens = MaxBufferedTokens;
    ++this->entryLife;
    this->tickAt = TimePoint{};
    this->generationsBefore = this->generations.size();
    this->frozenUntil = this->now;
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
    this->armed.push_back({fault, step, isAfterPrevious});
}

void StreamFleet::reach(StreamStep step)
{
    std::vector<StreamFault> due;
    for (size_t i = 0; i < this->armed.size();) {
        if (this->armed[i].step != step || (this->armed[i].isWaiting && (i > 0 || !due.empty()))) {
            ++i;
            continue;
        }
        due.push_back(this->armed[i].fault);
        this->armed.erase(this->armed.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const StreamFault fault : due)
        this->strike(fault);
}

void StreamFleet::strike(StreamFault fault)
{
    const bool isOpen = !this->connections.empty();
    switch (fault) {
    case StreamFault::EntryDeath:
        if (!this->ending.empty() || this->isCallerGone || std::exchange(this->mustReconnect, true))
            return;
        this->hasEntryDied = true;
        ++this->entryLife; // events of the dead entry's connections go nowhere
        return this->at(20ms, [this] { this->connect(); });
    case StreamFault::EntryFrozen:
        this->frozenUntil = this->now + std::chrono::milliseconds{50 + this->generator.below(2000)};
        return;
    case StreamFault::TargetDeath:
    case StreamFault::TargetDeathSeenLate:
        if (!isOpen)
            return;
        ++this->engineLife[this->connections.back()->generation->engine];
        if (fault == StreamFault::TargetDeath) {
            const std::string target = std::to_string(this->connections.back()->generation->engine);
            this->at(1ms, [this, target, life = this->entryLife] {
                this->feed(life, StreamTargetDied{target, true});
            });
        }
        return;
    case StreamFault::ConnectionCut:
        if (isOpen && !this->connections.back()->isClosed) {
            const ConnectionPtr cut = this->connections.back();
            cut->isClosed = true;
            this->at(1ms, [this, cut] {
                this->feed(cut->entryLife, StreamConnectionLost{cut->number, true});
            });
        }
        return;
    case StreamFault::LinkStall:
        if (isOpen)
            this->connections.back()->stalledUntil =
                    this->now + std::chrono::milliseconds{150 + this->generator.below(3000)};
        return;
    case StreamFault::TargetRefuses:
        ++this->refusals;
        return;
    case StreamFault::GenerationForgotten:
        for (const auto &generation : this->generations)
            generation->isForgotten = true;
        return;
    case StreamFault::CallerSlow:
        this->slowUntil = this->now + 1s;
        return;
    case StreamFault::CallerGone:
        this->isCallerGone = true;
        return this->at(0ms,
                        [this, life = this->entryLife] { this->feed(life, StreamCallerDisconnected{}); });
    default:
        this->pending.insert(fault); // strikes the next token
    }
}

void StreamFleet::feed(uint64_t life, const StreamEvent &event)
{
    if (life != this->entryLife)
        return;
    if (this->now < this->frozenUntil)
        return this->at(this->frozenUntil - this->now, [=, this] { this->feed(life, event); });
    for (const StreamAction &action : this->stream->handle(event, this->now))
        this->perform(action);
    const std::optional<TimePoint> due = this->stream->nextTick();
    if (!due || *due == this->tickAt)
        return;
    this->tickAt = *due;
    this->at(std::max(Duration{0}, *due - this->now), [=, this] {
        if (this->tickAt == *due)
            this->feed(life, StallCheck{true});
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
                // What the connection has already sent still arrives.
                if (const ConnectionPtr closed = this->find(close.connection))
                    this->at(2 * TokenInterval, [closed] { closed->isClosed = true; });
            },
            [&](const DeliverToken &token) { this->deliver(token); },
            [&](const FinishComplete &finish) {
                this->ending = "complete";
                if (this->isCallerGone)
                    return;
                if (finish.tokens != this->received.nextIndex || finish.tokens != TokenCount)
                    this->firstViolation = "complete without all tokens";
            },
            [&](const FinishIncomplete &finish) {
                this->ending = "incomplete";
                if (!this->isCallerGone && finish.delivered != this->received.nextIndex)
                    this->firstViolation = "incomplete with a wrong count";
            },
            [&](const FailNotRun &) {
                this->ending = "not-run";
                if (this->generations.size() > this->generationsBefore)
                    this->firstViolation = "told not-run but an engine ran it";
            },
            [&](const PauseReading &pause) { this->find(pause.connection)->isPaused = true; },
            [&](const ResumeReading &resume) { this->find(resume.connection)->isPaused = false; });
}

StreamFleet::ConnectionPtr StreamFleet::find(uint32_t number) const
{
    const auto found =
            std::find_if(this->connections.rbegin(), this->connections.rend(), [&](const auto &connection) {
                return connection->entryLife == this->entryLife && connection->number == number;
            });
    return found == this->connections.rend() ? nullptr : *found;
}

bool StreamFleet::isAlive(const Generation &generation) const
{
    return this->engineLife[generation.engine] == generation.life;
}

void StreamFleet::openAttempt(uint32_t number)
{
    const uint64_t life = this->entryLife;
    if (this->refusals > 0) {
        --this->refusals;
        return this->at(1ms, [=, this] { this->feed(life, AttemptRefused{number, true}); });
    }
    auto generation = std::make_shared<Generation>();
    generation->id = "g" + std::to_string(this->generations.size());
    generation->engine = this->generations.size() % 2;
    generation->life = this->engineLife[generation->engine];
    generation->start = this->now + 20ms;
    this->generations.push_back(generation);
    auto connection = std::make_shared<Connection>();
    connection->entryLife = life;
    connection->number = number;
    connection->generation = generation;
    this->connections.push_back(connection);
    this->at(1ms, [=, this] {
        this->feed(life, AttemptStarted{number, std::to_string(generation->engine), generation->id});
        this->reach(StreamStep::BeforeFirstToken);
    });
    this->at(2ms, [=, this] { this->pump(connection); });
}

void StreamFleet::openResume(const OpenResume &resume)
{
    const uint64_t life = this->entryLife;
    const auto found =
            std::find_if(this->generations.begin(), this->generations.end(), [&](const auto &generation) {
                return generation->id == resume.generation &&
                       std::to_string(generation->engine) == resume.target;
            });
    this->at(0ms, [this] { this->reach(StreamStep::ResumeInProgress); });
    if (found == this->generations.end() || !this->isAlive(**found) || (*found)->isForgotten ||
        (*found)->isCancelled)
        return this->at(resume.delay + 2ms, [=, this] {
            this->feed(life, ResumeRefused{resume.connection, true});
        });
    auto connection = std::make_shared<Connection>();
    connection->entryLife = life;
    connection->number = resume.connection;
    connection->generation = *found;
    connection->next = resume.fromIndex;
    this->connections.push_back(connection);
    this->at(resume.delay + 2ms, [=, this] { this->pump(connection); });
}

void StreamFleet::pump(const ConnectionPtr &connection)
{
    const Generation &generation = *connection->generation;
    if (connection->isClosed || connection->entryLife != this->entryLife || generation.isCancelled)
        return;
    if (!this->isAlive(generation)) {
        connection->isClosed = true;
        return this->feed(connection->entryLife, StreamConnectionLost{connection->number, true});
    }
    this->at(TokenInterval, [=, this] { this->pump(connection); });
    if (connection->isPaused || this->now < connection->stalledUntil || this->now < generation.start)
        return;
    const uint64_t ready = std::min<uint64_t>(TokenCount, 1 + (this->now - generation.start) / TokenInterval);
    // Tokens that are ready come in bursts, as they do from a socket buffer.
    for (int burst = 0; burst < 4 && connection->next < ready; ++burst) {
        this->sendToken(connection, connection->next++);
        if (connection->next == 4)
            this->reach(StreamStep::Middle);
    }
    if (connection->next < TokenCount)
        return;
    this->reach(StreamStep::End);
    if (connection->isClosed || !this->isAlive(generation) || this->now < connection->stalledUntil)
        return;
    this->feed(connection->entryLife, EngineFinished{connection->number, generation.id, TokenCount});
    connection->isClosed = true;
    this->at(TokenInterval, [=, this] {
        this->feed(connection->entryLife, StreamConnectionLost{connection->number, true});
    });
}

void StreamFleet::sendToken(const ConnectionPtr &connection, uint64_t index)
{
    const auto token = [&](uint64_t number) {
        const std::string &id = connection->generation->id;
        return TokenReceived{connection->number, id, number, id + ":" + std::to_string(number)};
    };
    const auto takes = [this](StreamFault fault) { return this->pending.erase(fault) > 0; };
    if (takes(StreamFault::EngineFails))
        return this->feed(connection->entryLife, EngineFailed{connection->number, true});
    if (takes(StreamFault::LostToken))
        return;
    if (takes(StreamFault::LostTail)) {
        connection->next = TokenCount;
        return;
    }
    if (takes(StreamFault::ForeignGeneration))
        this->feed(connection->entryLife,
                   TokenReceived{connection->number, "other", index, "other caller's text"});
    if (takes(StreamFault::ReorderedTokens) && index + 1 < TokenCount)
        this->feed(connection->entryLife, token(index + 1));
    this->feed(connection->entryLife, token(index));
    if (takes(StreamFault::DuplicateToken))
        this->feed(connection->entryLife, token(index));
}

void StreamFleet::deliver(const DeliverToken &token)
{
    if (this->isCallerGone)
        return;
    const bool isFirst = this->received.generation.empty();
    const std::string expected = token.generation + ":" + std::to_string(this->received.nextIndex);
    if ((!isFirst && token.generation != this->received.generation) ||
        token.index != this->received.nextIndex || token.text != expected)
        this->firstViolation = "token " + token.text + " delivered instead of " + expected;
    this->received = this->stream->position();
    this->received.generation = token.generation;
    this->received.nextIndex = token.index + 1;
    if (this->delivery == Delivery::Whole)
        return;
    this->mostUnaccepted = std::max(this->mostUnaccepted, ++this->unaccepted);
    this->at(std::max(Duration{1ms}, this->slowUntil - this->now), [this, life = this->entryLife] {
        if (life == this->entryLife)
            this->unaccepted -= std::min<uint64_t>(1, this->unaccepted);
        this->feed(life, CallerAccepted{1, 1});
    });
}

std::string StreamFleet::violation() const
{
    if (!this->firstViolation.empty())
        return this->firstViolation;
    if (this->mostUnaccepted > MaxBufferedTokens)
        return "more tokens buffered than allowed";
    if (!this->isCallerGone)
        return this->ending.empty() ? "the caller was left without an ending" : "";
    if (this->hasEntryDied)
        return {}; // nobody is left who could cancel
    const bool isRunning =
            std::any_of(this->generations.begin(), this->generations.end(), [&](const auto &generation) {
                return this->ending.empty() && this->isAlive(*generation) && !generation->isCancelled &&
                       generation->id == this->stream->position().generation;
            });
    return isRunning ? "the caller is gone but its generation was not cancelled" : "";
}

} // namespace eelgrasslift
