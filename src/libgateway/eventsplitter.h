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
    /// Appends bytes and returns the events that they complete, unchanged and with the empty line after each
    /// event. Of a continuation that has a foreign event only the events before it. The view is valid until
    /// the next call.
    std::string_view feed(std::string_view bytes);

    /// Another runner continues the stream. If the events so far have ids, each further one must have a
    /// greater id; what has none is the text of an error.
    void beginContinuation() { this->isContinuation = true; }
    /// Whether the continuation has an event that does not belong to the stream.
    bool hasForeignEvent() const { return this->isForeign; }

    /// Id of the last complete event that has one; nothing before the first.
    const std::optional<std::string> &lastId() const { return this->lastEventId; }
    /// Number of complete events since construction. Each block that ends with an empty line counts, also one
    /// without data.
    uint64_t eventCount() const { return this->events; }

    /// Whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !this->pending.empty(); }

    /// Whether the incomplete event is larger than any event may be: the bytes are no event stream, and the
    /// rest is not worth reading.
    bool isTooLarge() const { return this->pending.size() > MaxEventBytes; }
    /// Bytes of the event that has begun and is not complete.
    size_t pendingBytes() const { return this->pending.size(); }

    /// Discards the incomplete event of a runner that stopped.
    void discardPartialEvent()
    {
        this->pending.clear();
        this->lineStart = 0;
    }

    /// Some hundred times the size of an event with a few tokens; a hundred streams with an event of this
    /// size fit into the memory of a small VM.
    static constexpr size_t MaxEventBytes = size_t{256} << 10;

private:
    /// Returns false if the event does not belong to the stream.
    bool recordEvent(std::string_view event);
    bool isInOrder(const std::optional<std::string> &id) const;

    std::string completeEvents;
    std::string pending;
    /// Start of the last line of pending, which may continue; earlier lines are not empty.
    size_t lineStart = 0;
    std::optional<std::string> lastEventId;
    uint64_t events = 0;
    bool isContinuation = false;
    bool isForeign = false;
};

} // namespace eelgrasslift
