#pragma once

#include "libconsensus/logstorage.h"
#include "libconsensus/storagefile.h"

#include <filesystem>
#include <functional>
#include <span>

namespace eelgrasslift {

/// Reason why a data folder could not be created, opened or written.
enum class StorageErrorKind {
    FolderMissing,     // the folder does not exist or cannot be created
    FolderNotEmpty,    // a new member needs an empty folder
    FolderInUse,       // another process has the folder open
    NotInitialised,    // no identity file: an empty or lost disk, or the wrong folder
    UnsupportedFormat, // written by another format version
    WrongCluster,      // the folder belongs to another cluster
    Corrupted,         // stored bytes have changed: a checksum or the format is wrong
    LostData,          // synced files are missing or shorter than recorded
    InputOutput        // a file operation failed
};

/// Failed storage operation, with the file or folder concerned and a text for operators.
struct StorageError
{
    StorageErrorKind kind = StorageErrorKind::InputOutput;
    std::filesystem::path path;
    std::string detail;
};

/// Returns path, kind and detail as one line for logs.
std::string describe(const StorageError &error);

/// Options of FileLogStorage::open().
struct FileLogStorageOptions
{
    /// Syncs a file descriptor; tests replace it to make a sync fail.
    std::function<int(int)> syncDescriptor = syncFileDescriptor;
    /// Called when a write or sync fails; must not return. A failed fsync is never retried, since the state
    /// of unsynced pages is unknown afterwards: the default writes a line to standard error and terminates
    /// the process.
    std::function<void(const StorageError &)> terminate = terminateAfterStorageFailure;
    /// If not all zeros, open() fails with WrongCluster for a folder of another cluster.
    ClusterId expectedCluster{};

    /// Default of terminate. Does not return.
    static void terminateAfterStorageFailure(const StorageError &error);
};

/// Stores the state of one member in a data folder, which one process at a time can have open. Files:
///   identity      format version, cluster id, member id
///   log-N         records "length | crc32c | type | payload"; replaced by log-N+1 with every snapshot
///   snapshot-N    snapshot that log-N starts from
///   synced        number and synced length of the current log, in two alternating checksummed slots
///   lock          locked while the folder is open
///   initialising  initial members of a bootstrap; exists until all files of a new member are written
/// Bytes of the log after the synced length may be partly written and are truncated; damage before it is an
/// error. Files named *.new are incomplete.
class FileLogStorage : public LogStorage
{
public:
    /// Opens an initialised data folder, locks it, and recovers the state that was synced.
    static Result<std::unique_ptr<FileLogStorage>, StorageError> open(const std::filesystem::path &folder,
                                                                      FileLogStorageOptions options = {});

    /// State that was read from the folder when it was opened.
    const RecoveredState &recovered() const { return this->state; }

    /// Frees the memory of the recovered state except the identity, once the caller has copied it.
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
    std::optional<StorageError> replayRecord(uint8_t type, std::string_view payload);
    std::optional<StorageError> readSnapshot();
    void removeStaleFiles() const;
    void append(std::string_view records);
    void recordSyncedLength();
    /// Makes the slot that was read durable: an earlier process may have ended before it had synced it. It is
    /// written again, since a sync alone does not repeat a failed one.
    FileOutcome rewriteSyncedLength();
    FileOutcome writeSlot();
    void terminateOnFailure(const FileOutcome &outcome) const;

    std::filesystem::path logPath(uint64_t number) const;
    std::filesystem::path snapshotPath(uint64_t number) const;

    std::filesystem::path folder;
    FileLogStorageOptions options;
    RecoveredState state;
    StorageFile lockFile;
    StorageFile logFile;
    StorageFile syncedFile;
    uint64_t logNumber = 0;
    uint64_t logLength = 0;
    uint64_t syncedLength = 0;
    uint64_t slotSequence = 0;
    bool hasDamagedSlot = false;
};

/// Initialises an empty or missing folder as the data folder of the only member of a new cluster, with random
/// ids. address is the one at which other members will reach it. Errors: FolderMissing (it cannot be
/// created), FolderNotEmpty, InputOutput.
Result<Identity, StorageError> initialiseCluster(const std::filesystem::path &folder,
                                                 const std::string &address, Random &random);

/// Initialises an empty or missing folder as the data folder of one of several initial members of a new
/// cluster. Each initial member calls it with all their addresses, in any order, and derives the same cluster
/// id, member ids and membership from them. ownAddress must be one of the addresses. Errors: as for
/// initialiseCluster().
Result<Identity, StorageError> bootstrapCluster(const std::filesystem::path &folder,
                                                std::span<const std::string> initialMembers,
                                                const std::string &ownAddress);

/// Calls bootstrapCluster() if this is the first start of the cluster, the folder is not initialised and
/// ownAddress is one of initialMembers, and returns whether it has. A bootstrap that was interrupted is
/// completed with its own initial members at a later start too: if several initial members joined instead,
/// the rest would wait for them and they for a cluster.
Result<bool, StorageError> bootstrapAtStart(const std::filesystem::path &folder,
                                            std::span<const std::string> initialMembers,
                                            const std::string &ownAddress, bool isFirstStart);

/// Initialises an empty or missing folder as the data folder of a member that will join an existing cluster,
/// with a random member id and no cluster id. Errors: as for initialiseCluster().
Result<Identity, StorageError> prepareJoiningMember(const std::filesystem::path &folder, Random &random);

/// Whether the folder exists and contains an identity file.
bool isInitialised(const std::filesystem::path &folder);

} // namespace eelgrasslift
