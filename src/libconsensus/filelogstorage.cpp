#include "libconsensus/filelogstorage.h"

#include "libconsensus/codec.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <iostream>

namespace eelgrasslift {

namespace {

constexpr uint32_t FormatVersion = 1;
constexpr std::string_view IdentityMagic = "eelgrasslift-identity";
constexpr size_t RecordHeaderSize = 8; // length and checksum
constexpr uint64_t SlotSize = 512;     // one disk sector, so that a torn write damages one slot only
constexpr size_t SlotContentSize = 28;

enum RecordType : uint8_t { EntryRecord = 1, HardStateRecord = 2, SnapshotRecord = 3 };

std::string encodeRecord(uint8_t type, std::string_view payload)
{
    ByteWriter body;
    body.add8(type);
    body.addBytes(payload);
    ByteWriter record;
    record.add32(static_cast<uint32_t>(body.bytes().size()));
    record.add32(crc32c(body.bytes()));
    record.addBytes(body.bytes());
    return record.take();
}

std::string encodeHardState(const HardState &state)
{
    ByteWriter writer;
    writer.add64(state.term);
    writer.add64(state.votedFor);
    return encodeRecord(HardStateRecord, writer.bytes());
}

std::string encodeEntries(std::span<const LogEntry> entries)
{
    std::string records;
    for (const LogEntry &entry : entries)
        records += encodeRecord(EntryRecord, encodeEntry(entry));
    return records;
}

/// Returns type and payload of the first record, or std::nullopt if it is incomplete or damaged.
std::optional<std::string_view> nextRecord(std::string_view bytes)
{
    ByteReader reader{bytes};
    const uint32_t length = reader.read32();
    const uint32_t checksum = reader.read32();
    const std::string_view body = reader.readBytes(length);
    if (!reader.isValid() || body.empty() || crc32c(body) != checksum)
        return std::nullopt;
    return body;
}

/// Returns the content followed by its checksum.
std::string withChecksum(std::string_view content)
{
    ByteWriter writer;
    writer.addBytes(content);
    writer.add32(crc32c(content));
    return writer.take();
}

/// Returns the content before the checksum, or std::nullopt if the checksum is wrong.
std::optional<std::string_view> verifiedContent(std::string_view bytes)
{
    if (bytes.size() < sizeof(uint32_t))
        return std::nullopt;
    const std::string_view content = bytes.substr(0, bytes.size() - sizeof(uint32_t));
    ByteReader checksum{bytes.substr(content.size())};
    if (checksum.read32() != crc32c(content))
        return std::nullopt;
    return content;
}

std::string encodeIdentity(const Identity &identity)
{
    ByteWriter writer;
    writer.addText(IdentityMagic);
    writer.add32(FormatVersion);
    for (const uint8_t byte : identity.clusterId)
        writer.add8(byte);
    writer.add64(identity.memberId);
    return withChecksum(writer.take());
}

Result<Identity, StorageError> readIdentity(const std::filesystem::path &path)
{
    const std::optional<std::string> bytes = readFile(path);
    if (!bytes)
        return StorageError{
                StorageErrorKind::NotInitialised, path,
                "no identity file: the folder is empty, the path is wrong, or the disk was replaced"};
    ByteReader reader{*bytes};
    if (reader.readText() != IdentityMagic)
        return StorageError{StorageErrorKind::Corrupted, path, "not an identity file"};
    // The version is read before the checksum is verified, since other versions may store the checksum
    // elsewhere.
    if (const uint32_t version = reader.read32(); version != FormatVersion)
        return StorageError{StorageErrorKind::UnsupportedFormat, path,
                            "format version " + std::to_string(version) + ", this program reads version " +
                                    std::to_string(FormatVersion)};
    if (!verifiedContent(*bytes))
        return StorageError{StorageErrorKind::Corrupted, path, "wrong checksum"};
    Identity identity;
    for (uint8_t &byte : identity.clusterId)
        byte = reader.read8();
    identity.memberId = reader.read64();
    return identity;
}

std::string encodeSlot(uint64_t sequence, uint64_t number, uint64_t length)
{
    ByteWriter writer;
    writer.add64(sequence);
    writer.add64(number);
    writer.add64(length);
    return withChecksum(writer.take());
}

StorageError toStorageError(const FileFailure &failure)
{
    return StorageError{StorageErrorKind::InputOutput, failure.path,
                        failure.operation + " failed: " + std::strerror(failure.errorNumber)};
}

/// With the marker, files without an identity file come from an initialisation that a crash interrupted, not
/// from a member whose identity file was lost. A crash that interrupts the creation of the marker leaves only
/// its temporary file.
bool wasInitialisationInterrupted(const std::filesystem::path &folder)
{
    std::error_code error;
    if (isInitialised(folder))
        return false;
    if (std::filesystem::exists(folder / "initialising", error))
        return true;
    const std::filesystem::directory_iterator end;
    std::filesystem::directory_iterator file{folder, error};
    return file != end && file->path().filename() == "initialising.new" && file.increment(error) == end;
}

/// Creates the folder and its missing parents and makes them durable.
std::optional<StorageError> createFolders(const std::filesystem::path &folder)
{
    std::error_code error;
    std::vector<std::filesystem::path> parents; // of the folders that are missing
    for (std::filesystem::path missing = std::filesystem::absolute(folder, error).lexically_normal();
         !std::filesystem::exists(missing, error) && missing.has_relative_path();
         missing = missing.parent_path())
        parents.push_back(missing.parent_path());
    std::filesystem::create_directories(folder, error);
    if (!std::filesystem::is_directory(folder, error))
        return StorageError{StorageErrorKind::FolderMissing, folder, "cannot be created"};
    for (const std::filesystem::path &parent : parents) {
        if (const FileOutcome failed = syncFolder(parent, syncFileDescriptor))
            return toStorageError(*failed);
    }
    return std::nullopt;
}

std::string encodeInitialMembers(std::span<const std::string> initialMembers)
{
    ByteWriter writer;
    for (const std::string &address : initialMembers)
        writer.addText(address);
    return withChecksum(writer.bytes());
}

/// Returns the initial members of a bootstrap that was interrupted, or none.
std::vector<std::string> interruptedBootstrap(const std::filesystem::path &folder)
{
    std::vector<std::string> initialMembers;
    std::optional<std::string> marker = readFile(folder / "initialising");
    if (!marker)
        marker = readFile(folder / "initialising.new");
    if (!marker || !wasInitialisationInterrupted(folder))
        return initialMembers;
    const std::optional<std::string_view> content = verifiedContent(*marker);
    if (!content)
        return initialMembers;
    for (ByteReader reader{*content}; reader.isValid() && !reader.isAtEnd();)
        initialMembers.emplace_back(reader.readText());
    return initialMembers;
}

/// initialMembers: those of a bootstrap, kept in the marker.
std::optional<StorageError> createDataFolder(const std::filesystem::path &folder, const Identity &identity,
                                             const std::string &records,
                                             std::span<const std::string> initialMembers = {})
{
    if (std::optional<StorageError> failed = createFolders(folder))
        return failed;
    std::error_code error;
    const std::filesystem::path marker = folder / "initialising";
    if (!wasInitialisationInterrupted(folder) && !std::filesystem::is_empty(folder, error))
        return StorageError{StorageErrorKind::FolderNotEmpty, folder,
                            "a new member needs an empty data folder"};
    FileOutcome failed = replaceFile(marker, encodeInitialMembers(initialMembers), syncFileDescriptor);
    if (!failed)
        failed = replaceFile(folder / "log-1", records, syncFileDescriptor);
    if (!failed)
        failed =
                replaceFile(folder / "synced", std::string(SlotSize, '\0') + encodeSlot(1, 1, records.size()),
                            syncFileDescriptor);
    if (!failed)
        failed = replaceFile(folder / "identity", encodeIdentity(identity), syncFileDescriptor);
    if (failed)
        return toStorageError(*failed);
    std::filesystem::remove(marker, error);
    return std::nullopt;
}

MemberId generateMemberId(Random &random)
{
    MemberId id = 0;
    while (id == 0)
        id = random.next();
    return id;
}

} // namespace

std::string describe(const StorageError &error)
{
    static constexpr std::array<std::string_view, 9> Names{
            "folder missing", "folder not empty", "folder in use", "not initialised",   "unsupported format",
            "wrong cluster",  "corrupted",        "lost data",     "input/output error"};
    return error.path.string() + ": " + std::string(Names.at(static_cast<size_t>(error.kind))) + ": " +
           error.detail;
}

void FileLogStorageOptions::terminateAfterStorageFailure(const StorageError &error)
{
    std::cerr << "eelgrasslift: storage failure, terminating: " << describe(error) << std::endl;
    std::_Exit(EXIT_FAILURE);
}

bool isInitialised(const std::filesystem::path &folder)
{
    std::error_code error;
    return std::filesystem::exists(folder / "identity", error);
}

Result<Identity, StorageError> initialiseCluster(const std::filesystem::path &folder,
                                                 const std::string &address, Random &random)
{
    Identity identity;
    for (uint8_t &byte : identity.clusterId)
        byte = static_cast<uint8_t>(random.below(256));
    identity.memberId = generateMemberId(random);
    const Membership membership{{identity.memberId, ClusterMember{address, true}}};
    const LogEntry first{1, 1, EntryKind::Membership, encodeMembership(membership)};
    const std::string records = encodeHardState(HardState{1, 0}) + encodeEntries({&first, 1});
    if (std::optional<StorageError> error = createDataFolder(folder, identity, records))
        return *error;
    return identity;
}

Result<Identity, StorageError> bootstrapCluster(const std::filesystem::path &folder,
                                                std::span<const std::string> initialMembers,
                                                const std::string &ownAddress)
{
    std::vector<std::string> addresses(initialMembers.begin(), initialMembers.end());
    std::sort(addresses.begin(), addresses.end());
    std::string text = "eelgrasslift cluster";
    for (const std::string &address : addresses)
        text.append(" ").append(address);
    Identity identity;
    const Sha256 clusterDigest = sha256(text);
    std::copy_n(clusterDigest.begin(), identity.clusterId.size(), identity.clusterId.begin());
    Membership membership;
    for (const std::string &address : addresses) {
        std::string name = text;
        name.append(" member ").append(address);
        const Sha256 digest = sha256(name);
        MemberId id = 0;
        std::memcpy(&id, digest.data(), sizeof id);
        membership.emplace(id, ClusterMember{address, true});
        if (address == ownAddress)
            identity.memberId = id;
    }
    const LogEntry first{1, 1, EntryKind::Membership, encodeMembership(membership)};
    const std::string records = encodeHardState(HardState{1, 0}) + encodeEntries({&first, 1});
    if (std::optional<StorageError> error = createDataFolder(folder, identity, records, addresses))
        return *error;
    return identity;
}

Result<bool, StorageError> bootstrapAtStart(const std::filesystem::path &folder,
                                            std::span<const std::string> initialMembers,
                                            const std::string &ownAddress, bool isFirstStart)
{
    if (isInitialised(folder))
        return false;
    std::vector<std::string> members = interruptedBootstrap(folder);
    if (members.empty() && isFirstStart)
        members.assign(initialMembers.begin(), initialMembers.end());
    if (std::find(members.begin(), members.end(), ownAddress) == members.end())
        return false;
    Result<Identity, StorageError> result = bootstrapCluster(folder, members, ownAddress);
    if (auto *error = std::get_if<StorageError>(&result))
        return std::move(*error);
    return true;
}

Result<Identity, StorageError> prepareJoiningMember(const std::filesystem::path &folder, Random &random)
{
    const Identity identity{{}, generateMemberId(random)};
    if (std::optional<StorageError> error = createDataFolder(folder, identity, {}))
        return *error;
    return identity;
}

FileLogStorage::FileLogStorage(std::filesystem::path dataFolder, FileLogStorageOptions storageOptions)
    : folder(std::move(dataFolder))
    , options(std::move(storageOptions))
{}

Result<std::unique_ptr<FileLogStorage>, StorageError>
FileLogStorage::open(const std::filesystem::path &folder, FileLogStorageOptions options)
{
    std::unique_ptr<FileLogStorage> storage{new FileLogStorage(folder, std::move(options))};
    if (std::optional<StorageError> error = storage->recover())
        return *error;
    return storage;
}

std::optional<StorageError> FileLogStorage::recover()
{
    std::error_code error;
    if (!std::filesystem::is_directory(this->folder, error))
        return StorageError{StorageErrorKind::FolderMissing, this->folder, "not a folder"};
    Result<Identity, StorageError> identity = readIdentity(this->folder / "identity");
    if (const auto *identityError = std::get_if<StorageError>(&identity))
        return *identityError;
    this->state.identity = std::get<Identity>(identity);
    const ClusterId &expected = this->options.expectedCluster;
    if (expected != ClusterId{} && this->state.identity.clusterId != expected)
        return StorageError{StorageErrorKind::WrongCluster, this->folder,
                            "the folder belongs to another cluster"};
    if (const FileOutcome failed = this->lockFile.open(this->folder / "lock", true))
        return toStorageError(*failed);
    if (this->lockFile.lock())
        return StorageError{StorageErrorKind::FolderInUse, this->folder, "another process has it open"};
    // An earlier process may have ended between a rename and the sync of the folder.
    if (const FileOutcome failed = syncFolder(this->folder, this->options.syncDescriptor))
        return toStorageError(*failed);
    if (std::optional<StorageError> failed = this->readSyncedSlots())
        return failed;
    if (std::optional<StorageError> failed = this->readLog())
        return failed;
    if (const FileOutcome failed = this->rewriteSyncedLength())
        return toStorageError(*failed);
    this->removeStaleFiles();
    return std::nullopt;
}

std::optional<StorageError> FileLogStorage::readSyncedSlots()
{
    const std::filesystem::path path = this->folder / "synced";
    const std::optional<std::string> bytes = readFile(path);
    if (!bytes)
        return StorageError{StorageErrorKind::LostData, path, "the file is missing"};
    for (uint64_t offset = 0; offset + SlotContentSize <= bytes->size(); offset += SlotSize) {
        const std::string_view slot = std::string_view{*bytes}.substr(offset, SlotContentSize);
        const std::optional<std::string_view> content = verifiedContent(slot);
        if (!content) {
            const bool isUnused = slot.find_first_not_of('\0') == std::string_view::npos;
            this->hasDamagedSlot = this->hasDamagedSlot || !isUnused;
            continue;
        }
        ByteReader reader{*content};
        const uint64_t sequence = reader.read64();
        if (sequence <= this->slotSequence)
            continue;
        this->slotSequence = sequence;
        this->logNumber = reader.read64();
        this->syncedLength = reader.read64();
    }
    if (this->slotSequence == 0)
        return StorageError{StorageErrorKind::Corrupted, path, "no valid slot"};
    if (const FileOutcome failed = this->syncedFile.open(path, false))
        return toStorageError(*failed);
    return std::nullopt;
}

std::optional<StorageError> FileLogStorage::readLog()
{
    const std::filesystem::path path = this->logPath(this->logNumber);
    const std::optional<std::string> bytes = readFile(path);
    if (!bytes || bytes->size() < this->syncedLength)
        return StorageError{StorageErrorKind::LostData, path, "missing or shorter than its synced length"};
    uint64_t length = 0;
    while (length < bytes->size()) {
        const std::optional<std::string_view> body = nextRecord(std::string_view{*bytes}.substr(length));
        const bool isSynced = length < this->syncedLength;
        if (!body && isSynced)
            return StorageError{StorageErrorKind::Corrupted, path, "a synced record has a wrong checksum"};
        // With one damaged slot, syncedLength may be that of the last sync but one. Complete records after it
        // are recovered, since the entries of the last sync may have been acknowledged.
        if (!body || (!isSynced && !this->hasDamagedSlot))
            break;
        if (std::optional<StorageError> failed =
                    this->replayRecord(static_cast<uint8_t>((*body)[0]), body->substr(1)))
            return failed;
        length += RecordHeaderSize + body->size();
    }
    this->syncedLength = length;
    if (const FileOutcome failed = this->logFile.open(path, false))
        return toStorageError(*failed);
    // Bytes after the synced length were never acknowledged and may be partly written.
    if (const FileOutcome failed = this->logFile.truncate(this->syncedLength))
        return toStorageError(*failed);
    this->logLength = this->syncedLength;
    if (const FileOutcome failed = this->logFile.sync(this->options.syncDescriptor))
        return toStorageError(*failed);
    return std::nullopt;
}

std::optional<StorageError> FileLogStorage::replayRecord(uint8_t type, std::string_view payload)
{
    const StorageError corrupted{StorageErrorKind::Corrupted, this->logPath(this->logNumber),
                                 "a record is malformed or out of sequence"};
    if (type == SnapshotRecord)
        return this->readSnapshot();
    if (type == HardStateRecord) {
        ByteReader reader{payload};
        this->state.hardState.term = reader.read64();
        this->state.hardState.votedFor = reader.read64();
        return reader.isAtEnd() ? std::nullopt : std::optional{corrupted};
    }
    std::optional<LogEntry> entry = decodeEntry(payload);
    const LogIndex first = (this->state.snapshot ? this->state.snapshot->index : 0) + 1;
    std::vector<LogEntry> &entries = this->state.entries;
    if (type != EntryRecord || !entry || entry->index < first || entry->index > first + entries.size())
        return corrupted;
    entries.resize(entry->index - first);
    entries.push_back(std::move(*entry));
    return std::nullopt;
}

std::optional<StorageError> FileLogStorage::readSnapshot()
{
    const std::filesystem::path path = this->snapshotPath(this->logNumber);
    const std::optional<std::string> bytes = readFile(path);
    if (!bytes)
        return StorageError{StorageErrorKind::LostData, path, "the file is missing"};
    const std::optional<std::string_view> content = verifiedContent(*bytes);
    std::optional<Snapshot> snapshot = content ? decodeSnapshot(*content) : std::nullopt;
    if (!snapshot)
        return StorageError{StorageErrorKind::Corrupted, path, "wrong checksum"};
    this->state.snapshot = std::make_shared<const Snapshot>(std::move(*snapshot));
    return std::nullopt;
}

void FileLogStorage::removeStaleFiles() const
{
    std::error_code error;
    for (const auto &file : std::filesystem::directory_iterator(this->folder, error)) {
        const std::string name = file.path().filename().string();
        const bool isLog = name.starts_with("log-") && file.path() != this->logPath(this->logNumber);
        const bool isSnapshot =
                name.starts_with("snapshot-") && file.path() != this->snapshotPath(this->logNumber);
        if (isLog || isSnapshot || name.ends_with(".new"))
            std::filesystem::remove(file.path(), error);
    }
}

void FileLogStorage::terminateOnFailure(const FileOutcome &outcome) const
{
    if (outcome)
        this->options.terminate(toStorageError(*outcome));
}

void FileLogStorage::append(std::string_view records)
{
    this->terminateOnFailure(this->logFile.writeAt(this->logLength, records));
    this->logLength += records.size();
}

void FileLogStorage::storeHardState(const HardState &hardState)
{
    this->append(encodeHardState(hardState));
}

void FileLogStorage::storeEntries(std::span<const LogEntry> entries)
{
    this->append(encodeEntries(entries));
}

void FileLogStorage::storeSnapshot(const Snapshot &snapshot, const HardState &hardState,
                                   std::span<const LogEntry> following)
{
    const uint64_t number = this->logNumber + 1;
    const std::string records =
            encodeRecord(SnapshotRecord, {}) + encodeHardState(hardState) + encodeEntries(following);
    this->terminateOnFailure(replaceFile(this->snapshotPath(number), withChecksum(encodeSnapshot(snapshot)),
                                         this->options.syncDescriptor));
    this->terminateOnFailure(replaceFile(this->logPath(number), records, this->options.syncDescriptor));
    StorageFile next;
    this->terminateOnFailure(next.open(this->logPath(number), false));
    this->logFile = std::move(next);
    this->logNumber = number;
    this->logLength = records.size();
    // The first slot makes the new log the current one; until then a restart uses the old log. The second
    // slot is written too, so that damage to one slot does not leave only a reference to the old log, which
    // is removed.
    this->sync();
    this->recordSyncedLength();
    this->removeStaleFiles();
}

void FileLogStorage::storeClusterId(const ClusterId &clusterId)
{
    this->state.identity.clusterId = clusterId;
    this->terminateOnFailure(replaceFile(this->folder / "identity", encodeIdentity(this->state.identity),
                                         this->options.syncDescriptor));
}

void FileLogStorage::sync()
{
    this->terminateOnFailure(this->logFile.sync(this->options.syncDescriptor));
    this->recordSyncedLength();
}

FileOutcome FileLogStorage::writeSlot()
{
    const uint64_t offset = (this->slotSequence % 2) * SlotSize;
    const std::string slot = encodeSlot(this->slotSequence, this->logNumber, this->logLength);
    if (FileOutcome failed = this->syncedFile.writeAt(offset, slot))
        return failed;
    return this->syncedFile.sync(this->options.syncDescriptor);
}

FileOutcome FileLogStorage::rewriteSyncedLength()
{
    // The next sequence number belongs to the slot that is damaged.
    if (this->hasDamagedSlot)
        ++this->slotSequence;
    return this->writeSlot();
}

void FileLogStorage::recordSyncedLength()
{
    ++this->slotSequence;
    this->terminateOnFailure(this->writeSlot());
    this->syncedLength = this->logLength;
}

std::filesystem::path FileLogStorage::logPath(uint64_t number) const
{
    return this->folder / ("log-" + std::to_string(number));
}

std::filesystem::path FileLogStorage::snapshotPath(uint64_t number) const
{
    return this->folder / ("snapshot-" + std::to_string(number));
}

} // namespace eelgrasslift
