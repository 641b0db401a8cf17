#pragma once

#include "libconsensus/logstorage.h"
#include "libconsensus/storagefile.h"

#include <filesystem>
#include <functional>
#include <span>

namespace eelgrasslift {

enum class StorageErrorKind {
    FolderMissing,
    FolderNotEmpty,    // a new member needs an empty folder
    FolderInUse,       // another process has the folder open
    NotInitialised,    // no identity file: an empty or lost disk, or the wrong folder
    UnsupportedFormat, // written by another format version
    WrongCluster,      // the folder belongs to another cluster
    Corrupted,         // synced bytes changed
    LostData,          // synced files are missing or shorter than recorded
    InputOutput
};

struct StorageError
{
    StorageErrorKind kind = StorageErrorKind::InputOutput;
    std::filesystem::path path;
    std::string detail;
};

std::string describe(const StorageError &error);

struct FileLogStorageOptions
{
    /// Replaced in tests to make a sync fail.
    std::function<int(int)> syncDescriptor = syncFileDescriptor;
    /// Called when a write or sync fails. The state of unsynced pages is unknown after a failed fsync, so
    /// it is never retried: the default writes a line to standard error and ends the process.
    std::function<void(const StorageError &)> terminate = terminateAfterStorageFailure;
    /// If set, open() fails with WrongCluster for a folder of another cluster.
    ClusterId expectedCluster{};

    static void terminateAfterStorageFailure(const StorageError &error);
};

/// Log storage in one data folder:
///   identity    format version, cluster id, member id
///   log-N       records "length | crc32c | type | payload"; replaced by log-N+1 with every snapshot
///   snapshot-N  snapshot that log-N starts from
///   synced      number and synced length of the current log, in two alternating checksummed slots
/// Bytes of the log after the synced length may be torn and are truncated; damage before it is an error.
class FileLogStorage : public LogStorage
{
public:
    static Result<std::unique_ptr<FileLogStorage>, StorageError> open(const std::filesystem::path &folder,
                                                                      FileLogStorageOptions options = {});

    /// What the folder held when it was opened.
    const RecoveredState &recovered() const { return this->state; }

    /// Drops the recovered entries from memory once their owner has copied them.
    void releaseRecovered() { this->state = RecoveredState{this->state.identity, {}, {}, {}}; }

    void storeHardState(const HardState &hardState) override;
    void storeEntries(std::span<const LogEntry> entries) override;
    void storeSnapshot(const Snapshot &snapshot, const HardState &hardState,
                       std::span<const LogEntry> following) override;
    void storeClusterId(const ClusterId &clusterId) override;
    void sync() override;

private:
    FileLogStorage(std::filesystem::path folder, FileLogStorageOptions options);

    std::optional<StorageError> recover();
    std::optional<StorageError> readSyncedSlots();
    std::optional<StorageError> readLog();
    std::optional<StorageError> replay(uint8_t type, std::string_view payload);
    std::optional<StorageError> readSnapshot();
    void removeStaleFiles() const;
    void append(std::string_view records);
    void recordSyncedLength();
    void check(const FileOutcome &outcome) const;

    std::filesystem::path logPath(uint64_t number) const;
    std::filesystem::path snapshotPath(uint64_t number) const;

    std::filesystem::path folder;
    FileLogStorageOptions options;
    RecoveredState state;
    StorageFile lockFile;
    StorageFile log;
    StorageFile synced;
    uint64_t logNumber = 0;
    uint64_t logLength = 0;
    uint64_t syncedLength = 0;
    uint64_t slotSequence = 0;
    bool hasDamagedSlot = false;
};

/// Makes an empty folder the data folder of the only member of a new cluster.
Result<Identity, StorageError> initialiseCluster(const std::filesystem::path &folder,
                                                 const std::string &address, Random &random);

/// Makes an empty folder the data folder of one of several founders of a new cluster. All founders derive the
/// same cluster id, member ids and first membership from their addresses, in any order.
Result<Identity, StorageError> bootstrapCluster(const std::filesystem::path &folder,
                                                std::span<const std::string> founders,
                                                const std::string &ownAddress);

/// Makes an empty folder the data folder of a member that will join a cluster: it draws a new member id.
Result<Identity, StorageError> prepareJoiningMember(const std::filesystem::path &folder, Random &random);

/// Whether the folder exists and holds an identity file.
bool isInitialised(const std::filesystem::path &folder);

} // namespace eelgrasslift
