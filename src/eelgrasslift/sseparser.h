#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// One event of a text/event-stream.
struct SseEvent
{
    std::string id;
    std::string event;
    std::string data;
};

/// Splits a text/event-stream into events, fed in pieces of any size.
class SseParser
{
public:
    /// A line longer than this ends the stream with an error.
    static constexpr size_t MaxLineBytes = 1U << 20;

    /// Calls onEvent for each event that ends in bytes. Returns false once a line is too long.
    bool feed(std::string_view bytes, const std::function<void(const SseEvent &)> &onEvent);

private:
    void endLine(const std::function<void(const SseEvent &)> &onEvent);

    std::string line;
    SseEvent current;
    bool hasField = false;
};

} // namespace eelgrasslift
