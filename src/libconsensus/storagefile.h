#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Failed file operation with its errno value.
struct FileFailure
{
    std::filesystem::path path;
    std::string operation; // "open", "write", "sync" ...
    int errorNumber = 0;
};

/// Result of a file operation: std::nullopt on success.
using FileOutcome = std::optional<FileFailure>;

/// Calls fsync() and returns its result.
int syncFileDescriptor(int descriptor);

/// Waits of one write for space on a full disk.
class DiskSpaceWait
{
public:
    /// Sleeps for 50 ms. Returns false after a minute of waiting, so that the write fails.
    bool operator()();

private:
    int waits = 0;
};

/// Owns the descriptor of one open file; FileLogStorage reads and writes through it.
class StorageFile
{
public:
    StorageFile() = default;
    StorageFile(StorageFile &&other) noexcept;
    StorageFile &operator=(StorageFile &&other) noexcept;
    ~StorageFile();

    /// Opens the file for reading and writing. If create is set, a missing file is created, accessible to its
    /// owner only.
    FileOutcome open(const std::filesystem::path &path, bool create);

    /// Takes an exclusive lock, which is released when the file is closed or the process ends. Fails at once
    /// if the lock is held, also by this process through another descriptor.
    FileOutcome lock();

    /// Writes all bytes at the offset. On a full disk it calls waitForSpace and retries while that returns
    /// true. A retry is safe, unlike that of a failed sync, because a write that failed with ENOSPC has
    /// written nothing.
    FileOutcome writeAt(uint64_t offset, std::string_view bytes,
                        const std::function<bool()> &waitForSpace = DiskSpaceWait{});

    /// Sets the length of the file in bytes.
    FileOutcome truncate(uint64_t length);

    /// Makes all writes durable by calling syncDescriptor, which returns 0 on success and otherwise sets
    /// errno.
    FileOutcome sync(const std::function<int(int)> &syncDescriptor);

private:
    FileOutcome failure(std::string_view operation) const;

    std::filesystem::path path;
    int descriptor = -1;
};

/// Returns the content of the file, or std::nullopt if it cannot be read.
std::optional<std::string> readFile(const std::filesystem::path &path);

/// Replaces the file atomically: writes a temporary file, syncs it, renames it and syncs the folder. A crash
/// leaves either the old or the new content.
FileOutcome replaceFile(const std::filesystem::path &path, std::string_view content,
                        const std::function<int(int)> &syncDescriptor);

/// Makes the creation, renaming and removal of files in the folder durable.
FileOutcome syncFolder(const std::filesystem::path &folder, const std::function<int(int)> &syncDescriptor);

} // namespace eelgrasslift
