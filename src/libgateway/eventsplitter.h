#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Cuts a text/event-stream into whole events and follows their ids, so that a stream whose runner stops in
/// the middle of an event can go on at another runner.
class EventSplitter
{
public:
    /// Appends bytes and returns all whole events so far, up to and with their empty line. The view is valid
    /// until the next call.
    std::string_view feed(std::string_view bytes);

    /// Id of the last whole event.
    const std::optional<std::string> &lastId() const { return this->lastEventId; }
    uint64_t eventCount() const { return this->events; }

    /// Whether bytes of an unfinished event are held.
    bool hasPartialEvent() const { return !this->rest.empty(); }

    /// Drops the unfinished event of a runner that stopped.
    void discardPartialEvent() { this->rest.clear(); }

private:
    void noteEvent(std::string_view event);

    std::string whole;
    std::string rest;
    std::optional<std::string> lastEventId;
    uint64_t events = 0;
};

} // namespace eelgrasslift
