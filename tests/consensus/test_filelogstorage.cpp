#include "libconsensus/consensus.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <fstream>
#include <iterator>

using namespace eelgrasslift;

namespace {

class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "eelgrasslift-XXXXXX").string();
        this->path = mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(this->path); }

    std::filesystem::path path;
};

std::unique_ptr<FileLogStorage> openStorage(const std::filesystem::path &folder,
                                            FileLogStorageOptions options = {})
{
    auto result = FileLogStorage::open(folder, std::move(options));
    if (const auto *error = std::get_if<StorageError>(&result))
        FAIL(describe(*error));
    return std::move(std::get<std::unique_ptr<FileLogStorage>>(result));
}

StorageErrorKind openError(const std::filesystem::path &folder, FileLogStorageOptions options = {})
{
    auto result = FileLogStorage::open(folder, std::move(options));
    REQUIRE(std::holds_alternative<StorageError>(result));
    return std::get<StorageError>(result).kind;
}

LogEntry command(LogIndex index, Term term = 2)
{
    return LogEntry{index, term, EntryKind::Command, "payload " + std::to_string(index)};
}

Identity initialise(const std::filesystem::path &folder, uint64_t seed = 1)
{
    Random random{seed};
    return std::get<Identity>(initialiseCluster(folder, "127.0.0.1:7000", random));
}

/// Initialises a cluster and stores and syncs commands from index 2 to last.
Identity fill(const std::filesystem::path &folder, LogIndex last)
{
    const Identity identity = initialise(folder);
    const auto storage = openStorage(folder);
    storage->storeHardState(HardState{2, identity.memberId});
    for (LogIndex i = 2; i <= last; ++i) {
        const LogEntry entry = command(i);
        storage->storeEntries({&entry, 1});
        storage->sync();
    }
    return identity;
}

void appendBytes(const std::filesystem::path &path, std::string_view bytes)
{
    std::ofstream{path, std::ios::binary | std::ios::app} << bytes;
}

void flipByte(const std::filesystem::path &path, std::streamoff offset)
{
    std::fstream file{path, std::ios::binary | std::ios::in | std::ios::out};
    file.seekg(offset);
    const char byte = static_cast<char>(file.get() ^ 0x40);
    file.seekp(offset);
    file.put(byte);
}

} // namespace

// Guards against a restart that loses or changes entries, the term or the vote.
TEST_CASE("A restart after 1,000 entries recovers all of them")
{
    const TemporaryFolder folder;
    const Identity identity = fill(folder.path, 1000);
    const auto storage = openStorage(folder.path);
    CHECK(storage->recovered().identity == identity);
    CHECK(storage->recovered().hardState == HardState{2, identity.memberId});
    REQUIRE(storage->recovered().entries.size() == 1000);
    CHECK(storage->recovered().entries.back() == command(1000));
}

// Guards against unsynced, possibly partly written bytes that are read as entries or reported as corruption.
TEST_CASE("Bytes after the synced length are truncated and later entries can be stored")
{
    const TemporaryFolder folder;
    fill(folder.path, 5);
    const std::string bytes = *readFile(folder.path / "log-1");
    const auto tail = GENERATE_COPY(as<std::string>{}, "x", std::string(3, '\0'), std::string(5000, 'z'),
                                    bytes.substr(bytes.size() - 30, 20));
    appendBytes(folder.path / "log-1", tail);
    {
        const auto storage = openStorage(folder.path);
        CHECK(storage->recovered().entries.size() == 5);
        const LogEntry entry = command(6);
        storage->storeEntries({&entry, 1});
        storage->sync();
    }
    CHECK(openStorage(folder.path)->recovered().entries.back() == command(6));
}

// Guards against a restart of the process that recovers entries which were stored but not synced.
TEST_CASE("An entry without a sync is not recovered")
{
    const TemporaryFolder folder;
    fill(folder.path, 5);
    {
        const auto storage = openStorage(folder.path);
        const LogEntry entry = command(6);
        storage->storeEntries({&entry, 1});
    }
    CHECK(openStorage(folder.path)->recovered().entries.size() == 5);
}

// Guards against undetected damage: synced data must be complete, or opening the folder must fail.
TEST_CASE("Damage to synced files is reported with its kind")
{
    struct Case
    {
        std::string name;
        std::function<void(const std::filesystem::path &)> damage;
        StorageErrorKind expected;
    };
    namespace fs = std::filesystem;
    const auto damage = GENERATE(values<Case>(
            {{"first record", [](const fs::path &folder) { flipByte(folder / "log-1", 12); },
              StorageErrorKind::Corrupted},
             {"last byte",
              [](const fs::path &folder) {
                  flipByte(folder / "log-1",
                           static_cast<std::streamoff>(fs::file_size(folder / "log-1")) - 1);
              },
              StorageErrorKind::Corrupted},
             {"truncated log", [](const fs::path &folder) { fs::resize_file(folder / "log-1", 50); },
              StorageErrorKind::LostData},
             {"no log", [](const fs::path &folder) { fs::remove(folder / "log-1"); },
              StorageErrorKind::LostData},
             {"no synced length", [](const fs::path &folder) { fs::remove(folder / "synced"); },
              StorageErrorKind::LostData},
             {"both slots",
              [](const fs::path &folder) {
                  flipByte(folder / "synced", 3);
                  flipByte(folder / "synced", 515);
              },
              StorageErrorKind::Corrupted},
             {"empty disk",
              [](const fs::path &folder) {
                  for (const auto &file : fs::directory_iterator(folder))
                      fs::remove(file.path());
              },
              StorageErrorKind::NotInitialised},
             {"no folder", [](const fs::path &folder) { fs::remove_all(folder); },
              StorageErrorKind::FolderMissing},
             {"other format", [](const fs::path &folder) { flipByte(folder / "identity", 29); },
              StorageErrorKind::UnsupportedFormat},
             {"identity", [](const fs::path &folder) { flipByte(folder / "identity", 40); },
              StorageErrorKind::Corrupted}}));
    CAPTURE(damage.name);
    const TemporaryFolder folder;
    fill(folder.path, 5);
    damage.damage(folder.path);
    CHECK(openError(folder.path) == damage.expected);
}

// Guards against a damaged slot that hides entries of the last sync, which may have been acknowledged.
TEST_CASE("One damaged slot loses no synced entry")
{
    const TemporaryFolder folder;
    fill(folder.path, 5); // four syncs after the initial slot: the latest slot is at offset 512
    const auto offset = GENERATE(3, 515);
    flipByte(folder.path / "synced", offset);
    CHECK(openStorage(folder.path)->recovered().entries.size() == 5);
}

// Guards against a data folder that is opened for another cluster, opened by two processes, or overwritten.
TEST_CASE("Wrong folders are refused")
{
    const TemporaryFolder folder;
    const Identity identity = initialise(folder.path);
    FileLogStorageOptions options;
    options.expectedCluster = identity.clusterId;
    const auto storage = openStorage(folder.path, options);
    CHECK(openError(folder.path) == StorageErrorKind::FolderInUse);
    options.expectedCluster[0] ^= 1;
    CHECK(openError(folder.path, options) == StorageErrorKind::WrongCluster);
    Random random{2};
    const auto second = initialiseCluster(folder.path, "127.0.0.1:7000", random);
    REQUIRE(std::holds_alternative<StorageError>(second));
    CHECK(std::get<StorageError>(second).kind == StorageErrorKind::FolderNotEmpty);
}

// Guards against a member that can never start because a crash interrupted the initialisation of its folder.
TEST_CASE("An interrupted initialisation is repeated and files without its marker are left alone")
{
    const TemporaryFolder folder;
    appendBytes(folder.path / "log-1", "torn");
    Random random{4};
    CHECK(std::holds_alternative<StorageError>(prepareJoiningMember(folder.path, random)));
    appendBytes(folder.path / "initialising", "");
    CHECK(std::holds_alternative<Identity>(prepareJoiningMember(folder.path, random)));
    CHECK(openStorage(folder.path)->recovered().entries.empty());
    CHECK(std::holds_alternative<StorageError>(prepareJoiningMember(folder.path, random)));
}

// Guards against clusters or members that get the same ids although they are initialised independently.
TEST_CASE("Every initialisation generates new ids and a joining member stores its cluster id")
{
    const TemporaryFolder folder;
    const Identity first = initialise(folder.path / "a", 1);
    const Identity second = initialise(folder.path / "b", 2);
    CHECK(first.clusterId != second.clusterId);
    CHECK(first.memberId != second.memberId);
    Random random{3};
    const auto joining = std::get<Identity>(prepareJoiningMember(folder.path / "c", random));
    CHECK_FALSE(joining.hasCluster());
    openStorage(folder.path / "c")->storeClusterId(first.clusterId);
    CHECK(openStorage(folder.path / "c")->recovered().identity ==
          Identity{first.clusterId, joining.memberId});
}

// Guards against a log compaction that loses the snapshot, the hard state or the entries after the snapshot.
TEST_CASE("A snapshot replaces the log and files of an interrupted snapshot are ignored")
{
    const TemporaryFolder folder;
    const Identity identity = fill(folder.path, 10);
    const Snapshot snapshot{8, 2, 1, {{identity.memberId, {"127.0.0.1:7000", true}}}, "state at 8"};
    {
        const auto storage = openStorage(folder.path);
        const std::vector<LogEntry> following{command(9), command(10)};
        storage->storeSnapshot(snapshot, HardState{3, 0}, following);
        const LogEntry replaced = command(10, 3);
        storage->storeEntries({&replaced, 1});
        storage->sync();
    }
    CHECK_FALSE(std::filesystem::exists(folder.path / "log-1"));
    // Files of a later snapshot that a crash interrupted.
    appendBytes(folder.path / "log-3", "torn");
    appendBytes(folder.path / "snapshot-3.new", "torn");
    {
        const auto storage = openStorage(folder.path);
        REQUIRE(storage->recovered().snapshot);
        CHECK(storage->recovered().snapshot->data == "state at 8");
        CHECK(storage->recovered().snapshot->membership == snapshot.membership);
        CHECK(storage->recovered().hardState == HardState{3, 0});
        CHECK(storage->recovered().entries == std::vector<LogEntry>{command(9), command(10, 3)});
    }
    CHECK_FALSE(std::filesystem::exists(folder.path / "log-3"));
    flipByte(folder.path / "synced", GENERATE(3, 515));
    CHECK(openStorage(folder.path)->recovered().entries.size() == 2);
    flipByte(folder.path / "snapshot-2", 20);
    CHECK(openError(folder.path) == StorageErrorKind::Corrupted);
}

// Guards against a retried fsync, which can succeed although the kernel has dropped the unsynced pages.
TEST_CASE("A failed sync terminates the process and is not retried")
{
    struct Terminated
    {};
    const TemporaryFolder folder;
    initialise(folder.path);
    int syncs = 0;
    bool isFailing = false; // open() syncs what it recovered
    FileLogStorageOptions options;
    options.syncDescriptor = [&](int) {
        if (!isFailing)
            return 0;
        ++syncs;
        errno = EIO;
        return -1;
    };
    options.terminate = [](const StorageError &error) {
        CHECK(error.kind == StorageErrorKind::InputOutput);
        throw Terminated{};
    };
    const auto storage = openStorage(folder.path, options);
    isFailing = true;
    const LogEntry entry = command(2);
    storage->storeEntries({&entry, 1});
    CHECK_THROWS_AS(storage->sync(), Terminated);
    CHECK(syncs == 1);
}
