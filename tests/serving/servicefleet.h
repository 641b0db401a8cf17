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

/// Steps of a call at which the fault matrix strikes.
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
    EntryFrozen,
    EntryFrozenAndReplaced,
    ReplicaFrozenAndReplaced,
    SecondCaller,
    RetryElsewhere,
    ClockSkew,
    TargetRefuses,
    AnswerLost
};
inline constexpr int FaultCount = 20;

const char *name(Step step);
const char *name(Fault fault);

/// Entries, their network, one plain service and its callers in virtual time. The service counts runs per
/// key; callers remember what they were told and retry through other entries.
class ServiceFleet : public VirtualTime
{
public:
    enum class Topology { Domain, Fleet, Move };
    struct Options
    {
        uint64_t seed = 1;
        Topology topology = Topology::Domain;
        /// The entries have read all records of their predecessors, so that keys of any kind can be claimed.
        bool isRecovered = true;
        bool usesUuidKeys = true;
        /// Without keys each retry of a caller is a request of its own.
        bool hasKeys = true;
    };

    explicit ServiceFleet(Options options);

    /// Arms a fault that strikes once, the first time that a call reaches the step. A fault armed after
    /// another waits for it.
    void arm(Fault fault, Step step, bool isAfterPrevious);
    void strike(Fault fault, size_t entry);
    void submit(int key, size_t entry, int triesLeft);

    /// What the callers and the service saw that breaks the contract; empty if nothing.
    std::string violation() const;
    size_t entryCount() const { return this->current.size(); }
    int armedCount() const { return static_cast<int>(this->armed.size()); }
    int toldCount(ServiceOutcome outcome) const;
    Random &random() { return this->generator; }

private:
    struct Call
    {
        int key = 0;
        int request = 0;
        int triesLeft = 0;
        std::unique_ptr<ServiceCall> state;
        bool isReplied = false;
        bool isCallerGone = false;
        TimePoint tickAt;
    };
    struct Process
    {
        size_t slot = 0;
        std::unique_ptr<IdempotencyReplica> replica;
        std::map<int, Call> calls;
        bool isAlive = true;
        TimePoint frozenUntil;
        Duration skew{0};
    };
    using ProcessPtr = std::shared_ptr<Process>;
    struct Told
    {
        int key = 0;
        int request = 0;
        ServiceOutcome outcome = ServiceOutcome::Unknown;
        std::string answer;
        TimePoint at;
    };
    struct Run
    {
        int key = 0;
        int request = 0;
        TimePoint at;
    };
    struct Armed
    {
        Fault fault;
        Step step;
        bool isWaiting = false;
    };

    Instant instant(const Process &process) const;
    SlotId slotName(size_t slot) const;
    void startProcess(size_t slot);
    void replaceProcess(size_t slot, Duration delay);
    void recover(const ProcessPtr &process, int rounds);
    void whenAwake(const ProcessPtr &process, std::function<void()> callback);
    void kill(size_t slot);
    void cut(size_t entry, bool isOut, bool isIn);
    void transmit(size_t from, size_t to, bool isReply, std::function<void()> callback);
    void reach(Step step, size_t entry);
    void execute(const ProcessPtr &process, int request, const std::vector<ServiceAction> &actions);
    void askReplica(const ProcessPtr &process, int request, const SlotId &slot, RecordCall call,
                    std::function<RecordReply(IdempotencyReplica &, const Instant &)> ask);
    void sendToService(const ProcessPtr &process, int request, const SendRequest &send);
    void feed(const ProcessPtr &process, int request, const ServiceCallEvent &event);
    void scheduleTick(const ProcessPtr &process, int request);
    void told(const ProcessPtr &process, Call &call, const ReplyToCaller &reply);
    void retryLater(Duration delay, int key, size_t entry, int triesLeft);
    void perform(const ProcessPtr &process, int request, const ServiceAction &action);
    std::shared_ptr<const AcceptedRules> rulesOf(size_t slot) const;

    Options options;
    Random generator;
    WallTime startWall{std::chrono::hours{24 * 365 * 55}};
    std::shared_ptr<const AcceptedRules> rules;
    std::shared_ptr<const AcceptedRules> oldRules;
    std::vector<ProcessPtr> current;
    std::vector<ProcessPtr> all;
    std::map<int, std::string> keys;
    std::vector<Armed> armed;
    std::set<std::pair<size_t, size_t>> blocked;
    TimePoint duplicateUntil;
    TimePoint reorderUntil;
    TimePoint delayUntil;
    int repliesToLose = 0;
    bool isTargetDown = false;
    int refusals = 0;
    int answersToLose = 0;
    uint64_t targetLife = 0;
    int nextRequest = 0;
    std::vector<Told> tolds;
    std::vector<Run> runs;
};

} // namespace eelgrasslift
