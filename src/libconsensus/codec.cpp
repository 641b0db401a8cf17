#include "libconsensus/codec.h"

#include <boost/crc.hpp>

namespace eelgrasslift {

namespace {

template <typename Integer>
void addInteger(std::string &buffer, Integer value)
{
    for (size_t i = 0; i < sizeof(Integer); ++i)
        buffer.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
}

template <typename Integer>
Integer toInteger(std::string_view bytes)
{
    Integer value = 0;
    for (size_t i = 0; i < bytes.size(); ++i)
        value |= static_cast<Integer>(static_cast<uint8_t>(bytes[i])) << (8 * i);
    return value;
}

} // namespace

void ByteWriter::add32(uint32_t value)
{
    addInteger(this->buffer, value);
}

void ByteWriter::add64(uint64_t value)
{
    addInteger(this->buffer, value);
}

void ByteWriter::addText(std::string_view value)
{
    this->add64(value.size());
    this->buffer.append(value);
}

std::string_view ByteReader::readBytes(size_t length)
{
    if (!this->valid || length > this->remaining.size()) {
        this->valid = false;
        return {};
    }
    const std::string_view bytes = this->remaining.substr(0, length);
    this->remaining.remove_prefix(length);
    return bytes;
}

uint8_t ByteReader::read8()
{
    return toInteger<uint8_t>(this->readBytes(sizeof(uint8_t)));
}

uint32_t ByteReader::read32()
{
    return toInteger<uint32_t>(this->readBytes(sizeof(uint32_t)));
}

uint64_t ByteReader::read64()
{
    return toInteger<uint64_t>(this->readBytes(sizeof(uint64_t)));
}

std::string_view ByteReader::readText()
{
    return this->readBytes(this->read64());
}

uint32_t crc32c(std::string_view bytes)
{
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

std::string encodeMembership(const Membership &membership)
{
    ByteWriter writer;
    writer.add32(static_cast<uint32_t>(membership.size()));
    for (const auto &[id, member] : membership) {
        writer.add64(id);
        writer.add8(member.isVoter ? 1 : 0);
        writer.addText(member.address);
    }
    return writer.take();
}

std::optional<Membership> decodeMembership(std::string_view bytes)
{
    ByteReader reader{bytes};
    Membership membership;
    const uint32_t count = reader.read32();
    for (uint32_t i = 0; i < count && reader.isValid(); ++i) {
        const MemberId id = reader.read64();
        const bool isVoter = reader.read8() != 0;
        membership[id] = ClusterMember{std::string(reader.readText()), isVoter};
    }
    if (!reader.isAtEnd())
        return std::nullopt;
    return membership;
}

std::string encodeEntry(const LogEntry &entry)
{
    ByteWriter writer;
    writer.add64(entry.index);
    writer.add64(entry.term);
    writer.add8(static_cast<uint8_t>(entry.kind));
    writer.addBytes(entry.payload);
    return writer.take();
}

std::optional<LogEntry> decodeEntry(std::string_view bytes)
{
    constexpr size_t HeaderSize = 17;
    ByteReader reader{bytes};
    LogEntry entry;
    entry.index = reader.read64();
    entry.term = reader.read64();
    entry.kind = static_cast<EntryKind>(reader.read8());
    if (!reader.isValid() || entry.kind < EntryKind::Command || entry.kind > EntryKind::Membership)
        return std::nullopt;
    entry.payload = bytes.substr(HeaderSize);
    return entry;
}

std::string encodeSnapshot(const Snapshot &snapshot)
{
    ByteWriter writer;
    writer.add64(snapshot.index);
    writer.add64(snapshot.term);
    writer.add64(snapshot.membershipIndex);
    writer.addText(encodeMembership(snapshot.membership));
    writer.addText(snapshot.data);
    return writer.take();
}

std::optional<Snapshot> decodeSnapshot(std::string_view bytes)
{
    ByteReader reader{bytes};
    Snapshot snapshot;
    snapshot.index = reader.read64();
    snapshot.term = reader.read64();
    snapshot.membershipIndex = reader.read64();
    std::optional<Membership> membership = decodeMembership(reader.readText());
    snapshot.data = reader.readText();
    if (!membership || !reader.isAtEnd())
        return std::nullopt;
    snapshot.membership = std::move(*membership);
    return snapshot;
}

} // namespace eelgrasslift
