#include "memorydisk.h"
#include "recordeddisk.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <iostream>

using namespace eelgrasslift;
using namespace eelgrasslift::test;

namespace {

enum class Founding { Bootstrap, Join };

const std::vector<std::string> InitialMembers{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"};

/// Thrown instead of terminating the process.
struct Terminated
{};

class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        // In memory where possible: the test creates some 10,000 folders, and their durability is simulated.
        std::error_code error;
        const std::filesystem::path memory{"/dev/shm"};
        const bool hasMemory = std::filesystem::is_directory(memory, error);
        std::string pattern =
                ((hasMemory ? memory : std::filesystem::temp_directory_path()) / "eelgrasslift-XXXXXX")
                        .string();
        this->path = mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(this->path); }

    std::filesystem::path path;
};

bool isSame(const RecoveredState &left, const RecoveredState &right)
{
    const bool hasSameSnapshot = left.snapshot && right.snapshot
                                         ? left.snapshot->index == right.snapshot->index &&
                                                   left.snapshot->data == right.snapshot->data
                                         : left.snapshot == right.snapshot;
    return hasSameSnapshot && left.identity == right.identity && left.hardState == right.hardState &&
           left.entries == right.entries;
}

std::string describeState(const RecoveredState &state)
{
    return (state.identity.hasCluster() ? "member" : "joining") + std::string(", term ") +
           std::to_string(state.hardState.term) + ", snapshot at " +
           std::to_string(state.snapshot ? state.snapshot->index : 0) + ", entries " +
           std::to_string(state.entries.size());
}

/// Starts a member as a process does: initialises the folder if that has not been done, and opens it.
Result<std::unique_ptr<FileLogStorage>, StorageError> startMember(const std::filesystem::path &folder,
                                                                  Founding founding)
{
    if (!isInitialised(folder)) {
        Random random{7};
        const auto result = founding == Founding::Bootstrap
                                    ? bootstrapCluster(folder, InitialMembers, InitialMembers[0])
                                    : prepareJoiningMember(folder, random);
        if (const auto *error = std::get_if<StorageError>(&result))
            return *error;
    }
    FileLogStorageOptions options;
    options.terminate = [](const StorageError &) { throw Terminated{}; };
    return FileLogStorage::open(folder, options);
}

/// States that a restart may recover: from the last one that was confirmed to the last one that was begun.
struct Candidates
{
    std::vector<RecoveredState> states; // empty: the folder may not be initialised yet
    bool isInitialised = false;

    bool contains(const RecoveredState &state) const
    {
        return this->states.empty() ||
               std::any_of(this->states.begin(), this->states.end(),
                           [&](const RecoveredState &candidate) { return isSame(candidate, state); });
    }
};

/// One run of a member's process from its start on, with random changes of its storage.
class ProcessRun
{
public:
    ProcessRun(RecordedDisk disk, Candidates candidates, Founding memberFounding, uint64_t seed)
        : before(std::move(candidates))
        , founding(memberFounding)
        , random(seed)
    {
        disk.writeTo(this->path());
        this->recorder.emplace(this->path(), std::move(disk));
    }

    /// Starts the member and executes random steps until a write or sync fails. Returns what went wrong.
    std::string run(size_t steps)
    {
        std::string failure;
        try {
            failure = this->start();
            for (size_t i = 0; i < steps && this->storage; ++i)
                this->step();
        } catch (const Terminated &) {
        }
        this->storage.reset();
        this->refuse({});
        return failure;
    }

    void refuse(std::function<bool(const DiskOperation &)> refuses)
    {
        this->recorder->refuses = std::move(refuses);
    }

    size_t operationCount() const { return this->recorder->operations().size(); }
    const std::vector<DiskOperation> &operations() const { return this->recorder->operations(); }
    RecordedDisk diskAfter(size_t operations) const { return this->recorder->diskAfter(operations); }

    /// What may be recovered if the process or the power fails after the first operations.
    Candidates candidatesAfter(size_t operations) const
    {
        if (this->confirmations.empty() || this->confirmations.front().operations > operations)
            return this->before;
        Candidates result;
        result.isInitialised = true;
        size_t first = 0;
        for (const Confirmation &confirmation : this->confirmations) {
            if (confirmation.operations <= operations)
                first = confirmation.state;
        }
        for (size_t i = first; i < this->states.size(); ++i) {
            if (i == first || this->states[i].begunAfter <= operations)
                result.states.push_back(this->states[i].content);
        }
        return result;
    }

private:
    struct State
    {
        size_t begunAfter = 0; // number of operations
        RecoveredState content;
    };
    struct Confirmation
    {
        size_t operations = 0;
        size_t state = 0;
    };

    std::filesystem::path path() const { return this->folder.path / "data"; }

    std::string start()
    {
        if (this->before.isInitialised && !isInitialised(this->path()))
            return "the identity is lost";
        auto result = startMember(this->path(), this->founding);
        if (const auto *error = std::get_if<StorageError>(&result))
            return this->recorder->refuses ? std::string{} : describe(*error);
        this->storage = std::move(std::get<std::unique_ptr<FileLogStorage>>(result));
        const RecoveredState &recovered = this->storage->recovered();
        if (!this->before.contains(recovered))
            return "recovered " + describeState(recovered) + " instead of " +
                   describeState(this->before.states.front()) + " to " +
                   describeState(this->before.states.back());
        this->reference.durable = recovered;
        this->states.push_back({this->operationCount(), recovered});
        this->confirm();
        return {};
    }

    /// Adds the state after a change that begins now.
    void begin()
    {
        this->reference.sync();
        this->states.push_back({this->operationCount(), this->reference.durable});
    }

    void confirm() { this->confirmations.push_back({this->operationCount(), this->states.size() - 1}); }

    void step()
    {
        const RecoveredState &state = this->reference.durable;
        const LogIndex base = state.snapshot ? state.snapshot->index : 0;
        const LogIndex last = base + state.entries.size();
        if (!state.identity.hasCluster()) {
            this->reference.storeClusterId(ClusterId{9});
            this->begin();
            this->storage->storeClusterId(ClusterId{9});
            this->confirm();
            return;
        }
        const uint64_t kind = this->random.below(8);
        if (kind < 3) {
            this->storage->sync();
            this->confirm();
        } else if (kind == 3) {
            const HardState hardState{state.hardState.term + 1, this->random.below(4)};
            this->reference.storeHardState(hardState);
            this->begin();
            this->storage->storeHardState(hardState);
        } else if (kind < 7 || state.entries.empty()) {
            const LogIndex overwritten = state.entries.empty() ? 0 : this->random.below(2);
            this->storeEntries(last + 1 - overwritten, 1 + this->random.below(3));
        } else {
            this->storeSnapshot(base + 1 + this->random.below(state.entries.size()), last);
        }
    }

    void storeEntries(LogIndex first, size_t count)
    {
        std::vector<LogEntry> entries;
        for (size_t i = 0; i < count; ++i) {
            const std::string payload(this->random.below(40),
                                      static_cast<char>('a' + this->random.below(26)));
            entries.push_back(
                    {first + i, this->reference.durable.hardState.term + 1, EntryKind::Command, payload});
            this->reference.storeEntries({&entries.back(), 1});
            this->begin();
        }
        this->storage->storeEntries(entries);
    }

    void storeSnapshot(LogIndex index, LogIndex last)
    {
        const RecoveredState state = this->reference.durable;
        const auto following = state.entries.end() - static_cast<std::ptrdiff_t>(last - index);
        const std::vector<LogEntry> entries{following, state.entries.end()};
        const Snapshot snapshot{index, 1, 1, {}, "state at " + std::to_string(index)};
        this->reference.storeSnapshot(snapshot, state.hardState, entries);
        this->begin();
        this->storage->storeSnapshot(snapshot, state.hardState, entries);
        this->confirm();
    }

    TemporaryFolder folder;
    Candidates before;
    Founding founding;
    Random random;
    std::optional<DiskRecorder> recorder;
    std::unique_ptr<FileLogStorage> storage;
    MemoryDisk reference;
    std::vector<State> states;
    std::vector<Confirmation> confirmations;
};

/// Opens the disk after a power loss and returns what went wrong.
std::string checkRestart(const RecordedDisk &disk, const Candidates &candidates, Founding founding)
{
    return ProcessRun(disk, candidates, founding, 1).run(0);
}

std::string describeEnd(const ProcessRun &run, size_t operations)
{
    constexpr size_t Described = 6;
    std::string text = " after operation " + std::to_string(operations) + ":";
    for (size_t i = operations - std::min(operations, Described); i < operations; ++i)
        text += " " + std::string(toString(run.operations()[i].kind)) + " " + run.operations()[i].name;
    return text;
}

/// Checks a power loss after each operation of the run.
std::string checkPowerLosses(const ProcessRun &run, Founding founding, Random &random)
{
    for (size_t count = 0; count <= run.operationCount(); ++count) {
        const RecordedDisk disk = run.diskAfter(count);
        for (const auto changes : {UnsyncedChanges::Lost, UnsyncedChanges::Kept, UnsyncedChanges::Random}) {
            const std::string failure =
                    checkRestart(disk.afterPowerLoss(changes, random), run.candidatesAfter(count), founding);
            if (!failure.empty())
                return failure + "; power loss" + describeEnd(run, count);
        }
    }
    return {};
}

/// Checks that after the end of the process at each operation of the run, and a restart, a power loss loses
/// nothing that the restart has recovered.
std::string checkKills(const ProcessRun &run, Founding founding, Random &random)
{
    for (size_t count = 0; count <= run.operationCount(); ++count) {
        ProcessRun restarted(run.diskAfter(count), run.candidatesAfter(count), founding, 1);
        std::string failure = restarted.run(0);
        const size_t end = restarted.operationCount();
        if (failure.empty())
            failure = checkRestart(restarted.diskAfter(end).afterPowerLoss(UnsyncedChanges::Lost, random),
                                   restarted.candidatesAfter(end), founding);
        if (!failure.empty())
            return failure + "; restart" + describeEnd(run, count);
    }
    return {};
}

/// Repeats a run with each of its operations of the kind refused, from there on, and checks that after a
/// restart and a power loss everything is there that the run had confirmed or the restart has recovered.
std::string checkRefusals(const RecordedDisk &disk, const Candidates &candidates, Founding founding,
                          bool (*isRefused)(DiskOperation::Kind), size_t steps, uint64_t seed)
{
    Random random{seed};
    ProcessRun complete(disk, candidates, founding, seed);
    complete.run(steps);
    for (size_t first = 0; first < complete.operationCount(); ++first) {
        if (!isRefused(complete.operations()[first].kind))
            continue;
        ProcessRun refused(disk, candidates, founding, seed);
        refused.refuse([&](const DiskOperation &operation) {
            return refused.operationCount() >= first && isRefused(operation.kind);
        });
        std::string failure = refused.run(steps);
        const size_t end = refused.operationCount();
        for (const auto changes : {UnsyncedChanges::Lost, UnsyncedChanges::Kept, UnsyncedChanges::Random}) {
            if (failure.empty())
                failure = checkRestart(refused.diskAfter(end).afterPowerLoss(changes, random),
                                       refused.candidatesAfter(end), founding);
        }
        if (failure.empty()) {
            ProcessRun restarted(refused.diskAfter(end), refused.candidatesAfter(end), founding, seed);
            failure = restarted.run(0);
            const size_t restart = restarted.operationCount();
            if (failure.empty())
                failure = checkRestart(
                        restarted.diskAfter(restart).afterPowerLoss(UnsyncedChanges::Lost, random),
                        restarted.candidatesAfter(restart), founding);
        }
        if (!failure.empty())
            return failure + "; refused" + describeEnd(refused, end);
    }
    return {};
}

bool isWrite(DiskOperation::Kind kind)
{
    return kind == DiskOperation::Kind::Write;
}

bool isSync(DiskOperation::Kind kind)
{
    return kind == DiskOperation::Kind::Sync || kind == DiskOperation::Kind::SyncFolder;
}

constexpr uint64_t Seeds = 6;
constexpr size_t RunsPerSeed = 3;
constexpr size_t Steps = 10;

/// Runs check for each seed with the disks of successive runs, each of which ends with the process or the
/// power, and returns the number of seeds that failed.
template <typename Check>
size_t countFailures(Founding founding, Check check)
{
    size_t failures = 0;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        Random random{seed};
        RecordedDisk disk;
        Candidates candidates;
        std::string failure;
        for (size_t i = 0; i < RunsPerSeed && failure.empty(); ++i) {
            const uint64_t runSeed = random.next();
            failure = check(disk, candidates, runSeed);
            ProcessRun run(disk, candidates, founding, runSeed);
            if (failure.empty())
                failure = run.run(Steps);
            const size_t end = random.below(run.operationCount() + 1);
            candidates = run.candidatesAfter(end);
            disk = run.diskAfter(end);
            if (random.chance(0.3))
                disk = disk.afterPowerLoss(UnsyncedChanges::Random, random);
        }
        if (!failure.empty() && ++failures <= 10)
            std::cout << "seed " << seed << ": " << failure << '\n';
    }
    return failures;
}

} // namespace

// Guards against a member whose new data folder is gone after a power loss although it was initialised.
TEST_CASE("A new data folder is durable once it is initialised", "[powerloss]")
{
    const auto founding = GENERATE(Founding::Bootstrap, Founding::Join);
    Random random{1};
    ProcessRun run({}, {}, founding, 1);
    CHECK(run.run(0).empty());
    const size_t end = run.operationCount();
    CHECK(checkRestart(run.diskAfter(end).afterPowerLoss(UnsyncedChanges::Lost, random),
                       run.candidatesAfter(end), founding)
                  .empty());
}

// Guards against a member that can never start because a power loss interrupted its first start.
TEST_CASE("A first start that a power loss interrupts at any file operation is repeated", "[powerloss]")
{
    const auto founding = GENERATE(Founding::Bootstrap, Founding::Join);
    Random random{1};
    ProcessRun run({}, {}, founding, 1);
    CHECK(run.run(0).empty());
    CHECK(checkPowerLosses(run, founding, random).empty());
}

// Guards against a cluster that never starts since power failed during its first start and its initial
// members then try to join instead.
TEST_CASE("An interrupted bootstrap is completed at a later start", "[powerloss]")
{
    Random random{1};
    ProcessRun run({}, {}, Founding::Bootstrap, 1);
    REQUIRE(run.run(0).empty());
    size_t interruptions = 0;
    for (size_t count = 0; count <= run.operationCount(); ++count) {
        const RecordedDisk disk = run.diskAfter(count);
        for (const auto changes : {UnsyncedChanges::Lost, UnsyncedChanges::Kept, UnsyncedChanges::Random}) {
            const TemporaryFolder folder;
            const std::filesystem::path data = folder.path / "data";
            disk.afterPowerLoss(changes, random).writeTo(data);
            if (isInitialised(data) || !std::filesystem::exists(data / "initialising"))
                continue;
            ++interruptions;
            const std::vector<std::string> otherSeeds{"10.0.0.8:1", "10.0.0.9:1"};
            const auto result = bootstrapAtStart(data, otherSeeds, InitialMembers[0], false);
            REQUIRE(std::holds_alternative<bool>(result));
            CHECK(std::get<bool>(result));
            auto opened = FileLogStorage::open(data);
            REQUIRE(std::holds_alternative<std::unique_ptr<FileLogStorage>>(opened));
            const TemporaryFolder other;
            const auto expected = bootstrapCluster(other.path / "data", InitialMembers, InitialMembers[0]);
            CHECK(std::get<std::unique_ptr<FileLogStorage>>(opened)->recovered().identity ==
                  std::get<Identity>(expected));
        }
    }
    CHECK(interruptions > 0);
}

// Guards against a member that votes and acknowledges under an identity that a later power loss removes.
TEST_CASE("A first start that is killed at any file operation is completed durably", "[powerloss]")
{
    const auto founding = GENERATE(Founding::Bootstrap, Founding::Join);
    Random random{1};
    ProcessRun run({}, {}, founding, 1);
    CHECK(run.run(0).empty());
    CHECK(checkKills(run, founding, random).empty());
}

// Guards against synced state that is lost, or other state that is recovered, after a power loss at any file
// operation, also while a member recovers its folder.
TEST_CASE("A power loss at any file operation loses nothing that was synced", "[powerloss]")
{
    const auto founding = GENERATE(Founding::Bootstrap, Founding::Join);
    CHECK(countFailures(founding, [&](const RecordedDisk &disk, const Candidates &candidates, uint64_t seed) {
              Random random{seed};
              ProcessRun run(disk, candidates, founding, seed);
              const std::string failure = run.run(Steps);
              return failure.empty() ? checkPowerLosses(run, founding, random) : failure;
          }) == 0);
}

// Guards against entries that a restarted member acknowledges again and a later power loss removes.
TEST_CASE("What a member recovers after it was killed at any file operation is durable", "[powerloss]")
{
    const auto founding = GENERATE(Founding::Bootstrap, Founding::Join);
    CHECK(countFailures(founding, [&](const RecordedDisk &disk, const Candidates &candidates, uint64_t seed) {
              Random random{seed};
              ProcessRun run(disk, candidates, founding, seed);
              const std::string failure = run.run(Steps);
              return failure.empty() ? checkKills(run, founding, random) : failure;
          }) == 0);
}

// Guards against confirmed state that is lost because an error of a write or sync was ignored, or because a
// restart trusts what a failed sync has left in memory.
TEST_CASE("A full disk or a failed sync at any operation loses nothing that was synced", "[powerloss]")
{
    const auto founding = GENERATE(Founding::Bootstrap, Founding::Join);
    const auto isRefused = GENERATE(isWrite, isSync);
    CHECK(countFailures(founding, [&](const RecordedDisk &disk, const Candidates &candidates, uint64_t seed) {
              return checkRefusals(disk, candidates, founding, isRefused, Steps, seed);
          }) == 0);
}
