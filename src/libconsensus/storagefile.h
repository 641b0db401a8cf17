#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

struct FileFailure
{
    std::filesystem::path path;
    std::string operation;
    int errorNumber = 0;
};

/// Nothing on success.
using FileOutcome = std::optional<FileFailure>;

int syncFileDescriptor(int descriptor);

/// Pauses before a write to a full disk is tried again; false after a minute without space.
bool waitForDiskSpace();

/// Owner of one file descriptor.
class StorageFile
{
public:
    StorageFile() = default;
    StorageFile(StorageFile &&other) noexcept;
    StorageFile &operator=(StorageFile &&other) noexcept;
    ~StorageFile();

    FileOutcome open(const std::filesystem::path &path, bool create);

    /// Takes an exclusive lock that the kernel releases when the process ends.
    FileOutcome lock();
    /// A full disk is waited for: bytes that were refused are not on it, so writing them again is safe,
    /// unlike a second sync. waitForSpace is called before each further try; false gives up.
    FileOutcome writeAt(uint64_t offset, std::string_view bytes,
                        const std::function<bool()> &waitForSpace = waitForDiskSpace);
    FileOutcome truncate(uint64_t length);
    FileOutcome sync(const std::function<int(int)> &syncDescriptor);

private:
    FileOutcome failure(std::string_view operation) const;

    std::filesystem::path path;
    int descriptor = -1;
};

/// Content of the file, or nothing if it cannot be read.
std::optional<std::string> readFile(const std::filesystem::path &path);

/// Writes, syncs and renames, so that a crash leaves either the old or the new content.
FileOutcome replaceFile(const std::filesystem::path &path, std::string_view content,
                        const std::function<int(int)> &syncDescriptor);

FileOutcome syncFolder(const std::filesystem::path &folder, const std::function<int(int)> &syncDescriptor);

} // namespace eelgrasslift
