#pragma once

#include "libconsensus/types.h"

#include <optional>
#include <string_view>

namespace eelgrasslift {

/// Encodes stored data: little-endian integers, and strings with a 64-bit length before them.
class ByteWriter
{
public:
    void add8(uint8_t value) { this->buffer.push_back(static_cast<char>(value)); }
    void add32(uint32_t value);
    void add64(uint64_t value);

    /// Appends the length and the bytes of value.
    void addText(std::string_view value);

    /// Appends the bytes of value without a length.
    void addBytes(std::string_view value) { this->buffer.append(value); }

    /// Returns the bytes encoded so far; take() moves them out.
    const std::string &bytes() const { return this->buffer; }
    std::string take() { return std::move(this->buffer); }

private:
    std::string buffer;
};

/// Decodes what ByteWriter encoded. After a read past the end, isValid() is false and every further read
/// returns 0 or an empty view. Views refer to the bytes given to the constructor, which must outlive them.
class ByteReader
{
public:
    explicit ByteReader(std::string_view bytes)
        : remaining(bytes)
    {}

    uint8_t read8();
    uint32_t read32();
    uint64_t read64();

    /// Reads a length and as many bytes, as ByteWriter::addText() wrote them.
    std::string_view readText();
    std::string_view readBytes(size_t length);

    /// Whether no read went past the end.
    bool isValid() const { return this->valid; }

    /// Whether all bytes were read and no read went past the end.
    bool isAtEnd() const { return this->valid && this->remaining.empty(); }

private:
    std::string_view remaining;
    bool valid = true;
};

/// CRC-32C (Castagnoli) checksum.
uint32_t crc32c(std::string_view bytes);

/// Encodes a membership for the payload of its log entry.
std::string encodeMembership(const Membership &membership);

/// Decodes what encodeMembership() returned; std::nullopt if the bytes are malformed.
std::optional<Membership> decodeMembership(std::string_view bytes);

/// Encodes a log entry for a record of the log file.
std::string encodeEntry(const LogEntry &entry);

/// Decodes what encodeEntry() returned; std::nullopt if the bytes are malformed.
std::optional<LogEntry> decodeEntry(std::string_view bytes);

/// Encodes a snapshot for its file.
std::string encodeSnapshot(const Snapshot &snapshot);

/// Decodes what encodeSnapshot() returned; std::nullopt if the bytes are malformed.
std::optional<Snapshot> decodeSnapshot(std::string_view bytes);

} // namespace eelgrasslift
