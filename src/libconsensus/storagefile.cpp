#include "libconsensus/storagefile.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <fstream>
#include <iterator>
#include <thread>
#include <utility>

namespace eelgrasslift {

int syncFileDescriptor(int descriptor)
{
    return ::fsync(descriptor);
}

StorageFile::StorageFile(StorageFile &&other) noexcept
    : path(std::move(other.path))
    , descriptor(std::exchange(other.descriptor, -1))
{}

StorageFile &StorageFile::operator=(StorageFile &&other) noexcept
{
    std::swap(this->path, other.path);
    std::swap(this->descriptor, other.descriptor);
    return *this;
}

StorageFile::~StorageFile()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
}

FileOutcome StorageFile::failure(std::string_view operation) const
{
    return FileFailure{this->path, std::string(operation), errno};
}

FileOutcome StorageFile::open(const std::filesystem::path &filePath, bool create)
{
    constexpr mode_t OwnerOnly = 0600;
    this->path = filePath;
    this->descriptor = ::open(filePath.c_str(), O_RDWR | O_CLOEXEC | (create ? O_CREAT : 0), OwnerOnly);
    return this->descriptor < 0 ? this->failure("open") : std::nullopt;
}

FileOutcome StorageFile::lock()
{
    return ::flock(this->descriptor, LOCK_EX | LOCK_NB) != 0 ? this->failure("lock") : std::nullopt;
}

bool DiskSpaceWait::operator()()
{
    // Shorter than an election timeout, so that the member resumes soon after space becomes available.
    constexpr std::chrono::milliseconds Pause{50};
    constexpr int WaitsPerMinute = 1200;
    std::this_thread::sleep_for(Pause);
    return ++this->waits < WaitsPerMinute;
}

FileOutcome StorageFile::writeAt(uint64_t offset, std::string_view bytes,
                                 const std::function<bool()> &waitForSpace)
{
    while (!bytes.empty()) {
        const ssize_t written =
                ::pwrite(this->descriptor, bytes.data(), bytes.size(), static_cast<off_t>(offset));
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0 && errno == ENOSPC && waitForSpace())
            continue;
        if (written <= 0)
            return this->failure("write");
        bytes.remove_prefix(static_cast<size_t>(written));
        offset += static_cast<uint64_t>(written);
    }
    return std::nullopt;
}

FileOutcome StorageFile::truncate(uint64_t length)
{
    return ::ftruncate(this->descriptor, static_cast<off_t>(length)) != 0 ? this->failure("truncate")
                                                                          : std::nullopt;
}

FileOutcome StorageFile::sync(const std::function<int(int)> &syncDescriptor)
{
    return syncDescriptor(this->descriptor) != 0 ? this->failure("sync") : std::nullopt;
}

std::optional<std::string> readFile(const std::filesystem::path &path)
{
    std::ifstream stream{path, std::ios::binary};
    if (!stream)
        return std::nullopt;
    std::string content{std::istreambuf_iterator<char>{stream}, {}};
    if (stream.bad())
        return std::nullopt;
    return content;
}

FileOutcome replaceFile(const std::filesystem::path &path, std::string_view content,
                        const std::function<int(int)> &syncDescriptor)
{
    std::filesystem::path temporary = path;
    temporary += ".new";
    StorageFile file;
    if (FileOutcome failed = file.open(temporary, true))
        return failed;
    if (FileOutcome failed = file.truncate(0))
        return failed;
    if (FileOutcome failed = file.writeAt(0, content))
        return failed;
    if (FileOutcome failed = file.sync(syncDescriptor))
        return failed;
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return FileFailure{path, "rename", errno};
    return syncFolder(path.parent_path(), syncDescriptor);
}

FileOutcome syncFolder(const std::filesystem::path &folder, const std::function<int(int)> &syncDescriptor)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return FileFailure{folder, "open", errno};
    FileOutcome outcome;
    if (syncDescriptor(descriptor) != 0)
        outcome = FileFailure{folder, "sync", errno};
    ::close(descriptor);
    return outcome;
}

} // namespace eelgrasslift
