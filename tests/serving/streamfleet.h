#pragma once

#include "virtualtime.h"

#include "libcore/random.h"
#include "libserving/generationstream.h"

#include <memory>
#include <set>
#include <tuple>

namespace eelgrasslift {

/// Steps of a stream at which the fault matrix injects faults.
enum class StreamStep { BeforeFirstToken, Middle, End, ResumeInProgress };
inline constexpr int StreamStepCount = 4;

enum class StreamFault {
    EntryDeath,
    EntryPaused,
    TargetDeath,
    TargetDeathUnreported,
    ConnectionCut,
    LinkStall,
    LostToken,
    LostTail,
    DuplicateToken,
    ReorderedTokens,
    ForeignGeneration,
    EngineFails,
    TargetRefuses,
    GenerationEvicted,
    CallerSlow,
    CallerDisconnected
};
inline constexpr int StreamFaultCount = 16;

const char *name(StreamStep step);
const char *name(StreamFault fault);

/// Simulates one caller, two entries and two engines in virtual time. Each token contains its generation and
/// index. The caller checks the tokens that it receives, and reconnects with its position when its entry
/// dies.
class StreamFleet : public VirtualTime
{
public:
    StreamFleet(uint64_t seed, Delivery delivery);

    /// Arms a fault that is injected once, when the stream first reaches the step. isAfterPrevious: not
    /// before the faults that were armed earlier.
    void arm(StreamFault fault, StreamStep step, bool isAfterPrevious);
    /// Injects a fault at once.
    void injectFault(StreamFault fault);
    /// Describes a violation of the contract that the caller observed; empty if there is none.
    std::string violation() const;
    bool isComplete() const { return this->outcome == "complete"; }
    /// Whether an armed fault was not injected.
    bool hasArmedFaults() const { return !this->armedFaults.empty(); }

    static constexpr uint64_t TokenCount = 14;
    static constexpr uint64_t MaxBufferedTokens = 8;

private:
    struct Generation
    {
        std::string id;
        size_t engine = 0;
        uint64_t incarnation = 0;
        TimePoint start;
        bool isEvicted = false;
        bool isCancelled = false;
    };
    struct Connection
    {
        uint64_t entryIncarnation = 0;
        uint32_t number = 0;
        std::shared_ptr<Generation> generation;
        uint64_t next = 0;
        bool isClosed = false;
        bool isPaused = false;
        TimePoint stalledUntil;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct ArmedFault
    {
        StreamFault fault;
        StreamStep step;
        bool waitsForPrevious = false;
    };

    void connect();
    void reachStep(StreamStep step);
    void feed(uint64_t entryIncarnation, const StreamEvent &event);
    void perform(const StreamAction &action);
    void openAttempt(uint32_t number);
    void openResume(const OpenResume &resume);
    void sendReadyTokens(const ConnectionPtr &connection);
    void sendToken(const ConnectionPtr &connection, uint64_t index);
    void deliver(const DeliverToken &token);
    void accept();
    ConnectionPtr find(uint32_t number) const;
    bool isAlive(const Generation &generation) const;

    Random generator;
    Delivery delivery;
    std::unique_ptr<GenerationStream> stream;
    uint64_t entryIncarnation = 0;
    /// Number of generations started for the caller's earlier connections, which do not count as runs of the
    /// latest.
    size_t generationsBeforeConnect = 0;
    TimePoint entryPausedUntil;
    TimePoint tickAt;
    std::vector<ConnectionPtr> connections;
    std::vector<std::shared_ptr<Generation>> generations;
    uint64_t engineIncarnations[2] = {0, 0};
    std::vector<ArmedFault> armedFaults;
    std::set<StreamFault> pendingTokenFaults;
    int remainingRefusals = 0;
    TimePoint slowUntil;
    uint64_t unaccepted = 0;
    uint64_t maxUnaccepted = 0;
    StreamPosition received;
    bool isCallerDisconnected = false;
    bool mustReconnect = false;
    bool hasEntryDied = false;
    std::string outcome;
    std::string observedViolation;
};

} // namespace eelgrasslift
