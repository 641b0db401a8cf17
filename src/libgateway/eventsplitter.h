#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Splits a text/event-stream into complete events and tracks their ids, so that a stream whose runner stops
/// in the middle of an event can be resumed at another runner.
class EventSplitter
{
public:
    /// Appends bytes and returns the events that they complete, including the empty line that ends each of
    /// them. The view is valid until the next call.
    std::string_view feed(std::string_view bytes);

    /// Id of the last complete event that has one; nothing before the first.
    const std::optional<std::string> &lastId() const { return this->lastEventId; }
    /// Number of complete events since construction.
    uint64_t eventCount() const { return this->events; }

    /// Whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !this->pending.empty(); }

    /// Discards the incomplete event of a runner that stopped.
    void discardPartialEvent() { this->pending.clear(); }

private:
    void recordEvent(std::string_view event);

    std::string completeEvents;
    std::string pending;
    std::optional<std::string> lastEventId;
    uint64_t events = 0;
};

} // namespace eelgrasslift
