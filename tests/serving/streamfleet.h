#pragma once

#include "virtualtime.h"

#include "libcore/random.h"
#include "libserving/generationstream.h"

#include <memory>
#include <set>
#include <tuple>

namespace eelgrasslift {

enum class StreamStep { BeforeFirstToken, Middle, End, ResumeInProgress };
inline constexpr int StreamStepCount = 4;

enum class StreamFault {
    EntryDeath,
    EntryFrozen,
    TargetDeath,
    TargetDeathSeenLate,
    ConnectionCut,
    LinkStall,
    LostToken,
    LostTail,
    DuplicateToken,
    ReorderedTokens,
    ForeignGeneration,
    EngineFails,
    TargetRefuses,
    GenerationForgotten,
    CallerSlow,
    CallerGone
};
inline constexpr int StreamFaultCount = 16;

const char *name(StreamStep step);
const char *name(StreamFault fault);

/// One caller, two entries, two engines in virtual time. Engines name and number their tokens; the caller
/// checks what it receives and reconnects with its position when its entry dies.
class StreamFleet : public VirtualTime
{
public:
    StreamFleet(uint64_t seed, Delivery delivery);

    void arm(StreamFault fault, StreamStep step, bool isAfterPrevious);
    void strike(StreamFault fault);
    std::string violation() const;
    bool isComplete() const { return this->ending == "complete"; }
    bool isUnreached() const { return !this->armed.empty(); }

    static constexpr uint64_t TokenCount = 14;
    static constexpr uint64_t MaxBufferedTokens = 8;

private:
    struct Generation
    {
        std::string id;
        size_t engine = 0;
        uint64_t life = 0;
        TimePoint start;
        bool isForgotten = false;
        bool isCancelled = false;
    };
    struct Connection
    {
        uint64_t entryLife = 0;
        uint32_t number = 0;
        std::shared_ptr<Generation> generation;
        uint64_t next = 0;
        bool isClosed = false;
        bool isPaused = false;
        TimePoint stalledUntil;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Armed
    {
        StreamFault fault;
        StreamStep step;
        bool isWaiting = false;
    };

    void connect();
    void reach(StreamStep step);
    void feed(uint64_t entryLife, const StreamEvent &event);
    void perform(const StreamAction &action);
    void openAttempt(uint32_t number);
    void openResume(const OpenResume &resume);
    void pump(const ConnectionPtr &connection);
    void sendToken(const ConnectionPtr &connection, uint64_t index);
    void deliver(const DeliverToken &token);
    void accept();
    ConnectionPtr find(uint32_t number) const;
    bool isAlive(const Generation &generation) const;

    Random generator;
    Delivery delivery;
    std::unique_ptr<GenerationStream> stream;
    uint64_t entryLife = 0;
    /// Generations of the caller's earlier requests; a later request may truly not have run.
    size_t generationsBefore = 0;
    TimePoint frozenUntil;
    TimePoint tickAt;
    std::vector<ConnectionPtr> connections;
    std::vector<std::shared_ptr<Generation>> generations;
    uint64_t engineLife[2] = {0, 0};
    std::vector<Armed> armed;
    std::set<StreamFault> pending;
    int refusals = 0;
    TimePoint slowUntil;
    uint64_t unaccepted = 0;
    uint64_t mostUnaccepted = 0;
    StreamPosition received;
    bool isCallerGone = false;
    bool mustReconnect = false;
    bool hasEntryDied = false;
    std::string ending;
    std::string firstViolation;
};

} // namespace eelgrasslift
