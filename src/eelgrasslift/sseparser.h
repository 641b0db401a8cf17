#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// One server-sent event of a text/event-stream.
struct SseEvent
{
    /// Empty if the event has no such field.
    std::string id;
    /// Event type; empty if the event has no such field.
    std::string event;
    /// The data lines, joined by line feeds.
    std::string data;
};

/// Incremental parser of a text/event-stream.
class SseParser
{
public:
    /// Maximum length of a line.
    static constexpr size_t MaxLineBytes = 1U << 20;

    /// Parses the next bytes of the stream, which may end anywhere in a line, and calls onEvent for each
    /// event that they complete. Returns false if a line is longer than MaxLineBytes.
    bool feed(std::string_view bytes, const std::function<void(const SseEvent &)> &onEvent);

private:
    void endLine(const std::function<void(const SseEvent &)> &onEvent);

    std::string line;
    SseEvent current;
    bool hasField = false;
};

} // namespace eelgrasslift
