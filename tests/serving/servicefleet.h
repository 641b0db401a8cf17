#pragma once

#include "virtualtime.h"

#include "libcore/random.h"
#include "libserving/serving.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrasslift {

/// Steps of a call at which the fault matrix injects faults.
enum class Step {
    BeforeClaim,
    ClaimSent,
    PartlyGranted,
    Granted,
    SendStarted,
    ResponseReceived,
    Resolving,
    Resolved
};
inline constexpr int StepCount = 8;

enum class Fault {
    EntryDeath,
    EntryReplaced,
    ReplicaDeath,
    ReplicaReplaced,
    TargetDeath,
    PartitionOut,
    PartitionIn,
    PartitionBoth,
    LostReplies,
    Duplicates,
    Reordering,
    Delays,
    EntryPaused,
    EntryPausedAndReplaced,
    ReplicaPausedAndReplaced,
    SecondCaller,
    RetryElsewhere,
    ClockSkew,
    TargetRefuses,
    ResponseLost
};
inline constexpr int FaultCount = 20;

const char *name(Step step);
const char *name(Fault fault);

/// Simulates entries, their network, one plain service and its callers in virtual time. The service records
/// the runs of each key. Callers record the replies and retry through other entries.
class ServiceFleet : public VirtualTime
{
public:
    enum class Topology { Domain, Fleet, Move };
    struct Options
    {
        uint64_t seed = 1;
        Topology topology = Topology::Domain;
        /// Whether the replicas have recovered, so that keys of any kind can be claimed.
        bool isRecovered = true;
        bool usesUuidKeys = true;
        /// Whether requests have an Idempotency-Key. Without keys, each retry of a caller is a separate
        /// request.
        bool hasKeys = true;
    };

    explicit ServiceFleet(Options options);

    /// Arms a fault that is injected once, when a call first reaches the step. isAfterPrevious: not before
    /// the faults that were armed earlier.
    void arm(Fault fault, Step step, bool isAfterPrevious);
    /// Injects a fault at once; entry is the one that handles the call.
    void injectFault(Fault fault, size_t entry);
    /// Sends a request with a key to an entry, as a caller that may send it this many times in all.
    void submit(int key, size_t entry, int remainingAttempts);

    /// Describes a violation of the contract that the callers or the service observed; empty if there is
    /// none.
    std::string violation() const;
    size_t entryCount() const { return this->currentProcesses.size(); }
    /// Number of armed faults that were not injected yet.
    int armedFaultCount() const { return static_cast<int>(this->armedFaults.size()); }
    /// Number of replies to callers with this outcome.
    int replyCount(ServiceOutcome outcome) const;
    Random &random() { return this->generator; }

private:
    struct Call
    {
        int key = 0;
        int request = 0;
        int remainingAttempts = 0;
        std::unique_ptr<ServiceCall> state;
        bool isReplied = false;
        bool isCallerDisconnected = false;
        TimePoint tickAt;
    };
    struct Process
    {
        size_t slot = 0;
        std::unique_ptr<IdempotencyReplica> replica;
        std::map<int, Call> calls;
        bool isAlive = true;
        TimePoint pausedUntil;
        Duration skew{0};
    };
    using ProcessPtr = std::shared_ptr<Process>;
    struct CallerReply
    {
        int key = 0;
        int request = 0;
        ServiceOutcome outcome = ServiceOutcome::Unknown;
        std::string response;
        TimePoint at;
    };
    struct Run
    {
        int key = 0;
        int request = 0;
        TimePoint at;
    };
    struct ArmedFault
    {
        Fault fault;
        Step step;
        bool waitsForPrevious = false;
    };

    Instant instant(const Process &process) const;
    SlotId slotName(size_t slot) const;
    void startProcess(size_t slot);
    void replaceProcess(size_t slot, Duration delay);
    void recover(const ProcessPtr &process, int rounds);
    void runWhenNotPaused(const ProcessPtr &process, std::function<void()> callback);
    void kill(size_t slot);
    void partitionEntry(size_t entry, bool isOut, bool isIn);
    void transmit(size_t from, size_t to, bool isReply, std::function<void()> callback);
    void reachStep(Step step, size_t entry);
    void execute(const ProcessPtr &process, int request, const std::vector<ServiceAction> &actions);
    void callReplica(const ProcessPtr &process, int request, const SlotId &slot, RecordCall call,
                     std::function<RecordReply(IdempotencyReplica &, const Instant &)> operation);
    void sendToService(const ProcessPtr &process, int request, const SendRequest &send);
    void feed(const ProcessPtr &process, int request, const ServiceCallEvent &event);
    void scheduleTick(const ProcessPtr &process, int request);
    void handleReplyToCaller(const ProcessPtr &process, Call &call, const ReplyToCaller &reply);
    void retryLater(Duration delay, int key, size_t entry, int remainingAttempts);
    void perform(const ProcessPtr &process, int request, const ServiceAction &action);
    std::shared_ptr<const AcceptedRules> rulesOf(size_t slot) const;

    Options options;
    Random generator;
    WallTime startWall{std::chrono::hours{24 * 365 * 55}};
    std::shared_ptr<const AcceptedRules> rules;
    std::shared_ptr<const AcceptedRules> previousRules;
    std::vector<ProcessPtr> currentProcesses;
    std::vector<ProcessPtr> allProcesses;
    std::map<int, std::string> keys;
    std::vector<ArmedFault> armedFaults;
    std::set<std::pair<size_t, size_t>> blocked;
    TimePoint duplicateUntil;
    TimePoint reorderUntil;
    TimePoint delayUntil;
    int repliesToLose = 0;
    bool isTargetDown = false;
    int remainingRefusals = 0;
    int responsesToLose = 0;
    uint64_t targetIncarnation = 0;
    int nextRequest = 0;
    std::vector<CallerReply> callerReplies;
    std::vector<Run> runs;
};

} // namespace eelgrasslift
