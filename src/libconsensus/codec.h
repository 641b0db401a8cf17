#pragma once

#include "libconsensus/types.h"

#include <optional>
#include <string_view>

namespace eelgrasslift {

/// Appends little-endian integers and length-prefixed texts to a string.
class ByteWriter
{
public:
    void add8(uint8_t value) { this->text.push_back(static_cast<char>(value)); }
    void add32(uint32_t value);
    void add64(uint64_t value);
    void addText(std::string_view value);
    void addBytes(std::string_view value) { this->text.append(value); }

    const std::string &bytes() const { return this->text; }
    std::string take() { return std::move(this->text); }

private:
    std::string text;
};

/// Reads what ByteWriter wrote. After a read past the end, isValid() is false and all values are 0.
class ByteReader
{
public:
    explicit ByteReader(std::string_view bytes)
        : rest(bytes)
    {}

    uint8_t read8();
    uint32_t read32();
    uint64_t read64();
    std::string_view readText();
    std::string_view readBytes(size_t length);

    bool isValid() const { return this->valid; }
    bool isAtEnd() const { return this->valid && this->rest.empty(); }

private:
    std::string_view rest;
    bool valid = true;
};

uint32_t crc32c(std::string_view bytes);

std::string encodeMembership(const Membership &membership);
std::optional<Membership> decodeMembership(std::string_view bytes);

std::string encodeEntry(const LogEntry &entry);
std::optional<LogEntry> decodeEntry(std::string_view bytes);

std::string encodeSnapshot(const Snapshot &snapshot);
std::optional<Snapshot> decodeSnapshot(std::string_view bytes);

} // namespace eelgrasslift
