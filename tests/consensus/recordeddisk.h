#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift::test {

/// Change or sync of a file in a data folder, or sync of the folder itself.
struct DiskOperation
{
    enum class Kind { Create, Write, SetLength, Sync, FailedSync, Rename, Remove, SyncFolder, SyncParent };

    Kind kind = Kind::Create;
    std::string name;
    std::string text;    // Write: the bytes; Rename: the new name
    uint64_t offset = 0; // Write: position; SetLength: the length
};

/// Returns the name used in the failures of tests, such as "sync".
std::string_view toString(DiskOperation::Kind kind);

/// What a power loss does to the changes that were not synced.
enum class UnsyncedChanges {
    Kept,
    Lost,
    Random // each change independently kept, lost or, if it is a write, torn
};

/// Content of one data folder, as processes see it and as it is after a power loss. A created, renamed or
/// removed name is durable once the folder has been synced, a new folder once its parent has been synced.
class RecordedDisk
{
public:
    void apply(const DiskOperation &operation);

    bool hasFile(const std::string &name) const { return this->visibleNames.contains(name); }

    /// The disk after a power loss; everything on it is durable.
    RecordedDisk afterPowerLoss(UnsyncedChanges changes, Random &random) const;

    /// Creates the folder with the files that processes see; does nothing if the folder was lost.
    void writeTo(const std::filesystem::path &folder) const;

private:
    struct Change
    {
        bool setsLength = false;
        uint64_t offset = 0;
        std::string bytes;
    };
    struct File
    {
        std::string durable;
        std::string visible;
        std::vector<Change> unsynced;
    };

    static void change(std::string &content, const Change &change);
    static std::string contentAfterPowerLoss(const File &file, UnsyncedChanges changes, Random &random);
    static void applyToNames(std::map<std::string, size_t> &names, const DiskOperation &operation,
                             size_t file);

    std::vector<File> files;
    std::map<std::string, size_t> visibleNames;
    std::map<std::string, size_t> durableNames;
    std::vector<std::pair<DiskOperation, size_t>> unsyncedNames;
    bool isFolderDurable = false;
    bool isLost = true;
};

/// Records the file operations of this process in a folder while it exists, at most one at a time. They are
/// executed, except that nothing is synced and no sleep takes time.
class DiskRecorder
{
public:
    /// disk: what the folder contains.
    DiskRecorder(std::filesystem::path folder, RecordedDisk disk);
    ~DiskRecorder();
    DiskRecorder(const DiskRecorder &) = delete;
    DiskRecorder &operator=(const DiskRecorder &) = delete;

    /// Operations so far.
    const std::vector<DiskOperation> &operations() const { return this->recorded; }

    /// The disk after the first operations.
    RecordedDisk diskAfter(size_t operationCount) const;

    /// If set, a write for which it returns true fails with ENOSPC and a sync with EIO.
    std::function<bool(const DiskOperation &)> refuses;

    /// Called by the replaced functions of the C library. Returns false if the operation is refused.
    bool record(DiskOperation operation);
    /// Name of the file in the folder, "." for the folder, ".." for its parent, empty for other paths.
    std::string nameOf(const std::filesystem::path &path) const;

private:
    std::filesystem::path folder;
    RecordedDisk initial;
    RecordedDisk current;
    std::vector<DiskOperation> recorded;
};

} // namespace eelgrasslift::test
