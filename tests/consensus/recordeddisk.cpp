#include "recordeddisk.h"

#include <dlfcn.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <utility>

namespace eelgrasslift::test {

namespace {

DiskRecorder *activeRecorder = nullptr;

std::filesystem::path pathOf(int descriptor)
{
    std::error_code error;
    return std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor), error);
}

/// Name by which the active recorder knows the path; empty if it does not record it.
std::string recordedName(const std::filesystem::path &path)
{
    return activeRecorder == nullptr ? std::string{} : activeRecorder->nameOf(path);
}

template <typename Function>
Function *nextFunction(const char *name)
{
    return reinterpret_cast<Function *>(dlsym(RTLD_NEXT, name));
}

} // namespace

std::string_view toString(DiskOperation::Kind kind)
{
    static constexpr std::array<std::string_view, 9> Names{
            "create", "write", "truncate", "sync", "failed sync", "rename", "remove", "sync", "sync"};
    return Names.at(static_cast<size_t>(kind));
}

void RecordedDisk::change(std::string &content, const Change &change)
{
    if (change.setsLength) {
        content.resize(change.offset);
        return;
    }
    content.resize(std::max<size_t>(content.size(), change.offset + change.bytes.size()));
    content.replace(change.offset, change.bytes.size(), change.bytes);
}

void RecordedDisk::applyToNames(std::map<std::string, size_t> &names, const DiskOperation &operation,
                                size_t file)
{
    if (operation.kind == DiskOperation::Kind::Create) {
        names[operation.name] = file;
        return;
    }
    const auto found = names.find(operation.name);
    if (found != names.end() && found->second == file)
        names.erase(found);
    if (operation.kind == DiskOperation::Kind::Rename)
        names[operation.text] = file;
}

void RecordedDisk::apply(const DiskOperation &operation)
{
    using Kind = DiskOperation::Kind;
    this->isLost = false;
    switch (operation.kind) {
    case Kind::SyncParent:
        this->isFolderDurable = true;
        return;
    case Kind::SyncFolder:
        this->durableNames = this->visibleNames;
        this->unsyncedNames.clear();
        return;
    case Kind::Create:
        this->files.emplace_back();
        this->unsyncedNames.emplace_back(operation, this->files.size() - 1);
        applyToNames(this->visibleNames, operation, this->files.size() - 1);
        return;
    case Kind::Rename:
    case Kind::Remove: {
        const size_t renamed = this->visibleNames.at(operation.name);
        this->unsyncedNames.emplace_back(operation, renamed);
        applyToNames(this->visibleNames, operation, renamed);
        return;
    }
    default:
        break;
    }
    File &file = this->files[this->visibleNames.at(operation.name)];
    if (operation.kind == Kind::Sync) {
        for (const Change &unsynced : file.unsynced)
            change(file.durable, unsynced);
        file.unsynced.clear();
    } else if (operation.kind == Kind::FailedSync) {
        // The pages count as clean afterwards, so that a later sync does not write them either.
        file.unsynced.clear();
    } else {
        const Change added{operation.kind == Kind::SetLength, operation.offset, operation.text};
        change(file.visible, added);
        file.unsynced.push_back(added);
    }
}

std::string RecordedDisk::contentAfterPowerLoss(const File &file, UnsyncedChanges changes, Random &random)
{
    if (changes == UnsyncedChanges::Kept && !file.unsynced.empty())
        return file.visible;
    std::string content = file.durable;
    if (changes != UnsyncedChanges::Random)
        return content;
    for (const Change &unsynced : file.unsynced) {
        if (random.chance(0.3))
            continue;
        Change kept = unsynced;
        if (!kept.setsLength && !kept.bytes.empty() && random.chance(0.4)) {
            const size_t at = random.below(kept.bytes.size());
            if (random.chance(0.5)) {
                kept.bytes.resize(at);
            } else {
                kept.bytes.erase(0, at);
                kept.offset += at;
            }
        }
        change(content, kept);
    }
    return content;
}

RecordedDisk RecordedDisk::afterPowerLoss(UnsyncedChanges changes, Random &random) const
{
    RecordedDisk result;
    const auto isKept = [&] {
        return changes == UnsyncedChanges::Kept || (changes == UnsyncedChanges::Random && random.chance(0.5));
    };
    if (this->isLost || (!this->isFolderDurable && !isKept()))
        return result;
    result.isLost = false;
    result.isFolderDurable = true;
    std::map<std::string, size_t> names = this->durableNames;
    for (const auto &[operation, file] : this->unsyncedNames) {
        if (isKept())
            applyToNames(names, operation, file);
    }
    for (const auto &[name, file] : names) {
        const std::string content = contentAfterPowerLoss(this->files[file], changes, random);
        result.durableNames[name] = result.files.size();
        result.files.push_back(File{content, content, {}});
    }
    result.visibleNames = result.durableNames;
    return result;
}

void RecordedDisk::writeTo(const std::filesystem::path &folder) const
{
    if (this->isLost)
        return;
    std::filesystem::create_directory(folder);
    for (const auto &[name, file] : this->visibleNames)
        std::ofstream{folder / name, std::ios::binary} << this->files[file].visible;
}

DiskRecorder::DiskRecorder(std::filesystem::path recordedFolder, RecordedDisk disk)
    : folder(std::move(recordedFolder))
    , initial(disk)
    , current(std::move(disk))
{
    activeRecorder = this;
}

DiskRecorder::~DiskRecorder()
{
    activeRecorder = nullptr;
}

RecordedDisk DiskRecorder::diskAfter(size_t operationCount) const
{
    RecordedDisk result = this->initial;
    for (size_t i = 0; i < operationCount; ++i)
        result.apply(this->recorded[i]);
    return result;
}

std::string DiskRecorder::nameOf(const std::filesystem::path &path) const
{
    if (path == this->folder)
        return ".";
    if (path == this->folder.parent_path())
        return "..";
    return path.parent_path() == this->folder ? path.filename().string() : std::string{};
}

bool DiskRecorder::record(DiskOperation operation)
{
    using Kind = DiskOperation::Kind;
    const bool isChange = operation.kind == Kind::Write || operation.kind == Kind::SetLength ||
                          operation.kind == Kind::Sync;
    if (isChange && !this->current.hasFile(operation.name)) {
        this->recorded.push_back({Kind::Create, operation.name, {}, 0});
        this->current.apply(this->recorded.back());
    }
    const bool isRefused = this->refuses && this->refuses(operation);
    if (isRefused && operation.kind == Kind::Sync)
        operation.kind = Kind::FailedSync;
    else if (isRefused)
        return false;
    this->recorded.push_back(std::move(operation));
    this->current.apply(this->recorded.back());
    return !isRefused;
}

} // namespace eelgrasslift::test

using eelgrasslift::test::activeRecorder;
using eelgrasslift::test::DiskOperation;
using eelgrasslift::test::nextFunction;
using eelgrasslift::test::pathOf;
using eelgrasslift::test::recordedName;

// Replacements of the C library's functions in this test program. Everything that is not in the recorded
// folder is passed on.
extern "C" {

ssize_t pwrite(int descriptor, const void *bytes, size_t size, off_t offset)
{
    static auto *next = nextFunction<ssize_t(int, const void *, size_t, off_t)>("pwrite");
    const std::string name = recordedName(pathOf(descriptor));
    const DiskOperation operation{DiskOperation::Kind::Write, name,
                                  std::string(static_cast<const char *>(bytes), size),
                                  static_cast<uint64_t>(offset)};
    if (!name.empty() && !activeRecorder->record(operation)) {
        errno = ENOSPC;
        return -1;
    }
    return next(descriptor, bytes, size, offset);
}

int ftruncate(int descriptor, off_t length) noexcept
{
    static auto *next = nextFunction<int(int, off_t)>("ftruncate");
    const std::string name = recordedName(pathOf(descriptor));
    if (!name.empty())
        activeRecorder->record({DiskOperation::Kind::SetLength, name, {}, static_cast<uint64_t>(length)});
    return next(descriptor, length);
}

int fsync(int descriptor)
{
    static auto *next = nextFunction<int(int)>("fsync");
    const std::string name = recordedName(pathOf(descriptor));
    if (name.empty())
        return next(descriptor);
    const auto kind = name == "."    ? DiskOperation::Kind::SyncFolder
                      : name == ".." ? DiskOperation::Kind::SyncParent
                                     : DiskOperation::Kind::Sync;
    if (activeRecorder->record({kind, name, {}, 0}))
        return 0;
    errno = EIO;
    return -1;
}

int rename(const char *from, const char *to) noexcept
{
    static auto *next = nextFunction<int(const char *, const char *)>("rename");
    const std::string name = recordedName(from);
    if (!name.empty())
        activeRecorder->record({DiskOperation::Kind::Rename, name, recordedName(to), 0});
    return next(from, to);
}

int remove(const char *path) noexcept
{
    static auto *next = nextFunction<int(const char *)>("remove");
    const std::string name = recordedName(path);
    const int result = next(path);
    if (!name.empty() && result == 0)
        activeRecorder->record({DiskOperation::Kind::Remove, name, {}, 0});
    return result;
}

int nanosleep(const timespec *duration, timespec *remaining)
{
    static auto *next = nextFunction<int(const timespec *, timespec *)>("nanosleep");
    return activeRecorder != nullptr ? 0 : next(duration, remaining);
}

int clock_nanosleep(clockid_t clock, int flags, const timespec *duration, timespec *remaining)
{
    static auto *next = nextFunction<int(clockid_t, int, const timespec *, timespec *)>("clock_nanosleep");
    return activeRecorder != nullptr ? 0 : next(clock, flags, duration, remaining);
}

} // extern "C"
