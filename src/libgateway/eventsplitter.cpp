#include "libgateway/eventsplitter.h"

namespace eelgrasslift {

namespace {

/// Returns the position after the empty line that ends the event at from; npos if the event is incomplete.
size_t endOfEvent(std::string_view text, size_t from)
{
    size_t line = from;
    for (;;) {
        const size_t end = text.find('\n', line);
        if (end == std::string_view::npos)
            return end;
        const size_t length = end - line;
        if (length == 0 || (length == 1 && text[line] == '\r'))
            return end + 1;
        line = end + 1;
    }
}

} // namespace

std::string_view EventSplitter::feed(std::string_view bytes)
{
    this->pending.append(bytes);
    size_t from = 0;
    for (;;) {
        const size_t end = endOfEvent(this->pending, from);
        if (end == std::string_view::npos)
            break;
        this->recordEvent(std::string_view(this->pending).substr(from, end - from));
        from = end;
    }
    this->completeEvents = this->pending.substr(0, from);
    this->pending.erase(0, from);
    return this->completeEvents;
}

void EventSplitter::recordEvent(std::string_view event)
{
    constexpr std::string_view IdField = "id:";
    ++this->events;
    while (!event.empty()) {
        const size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(IdField))
            continue;
        line.remove_prefix(IdField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        this->lastEventId = std::string(line);
    }
}

} // namespace eelgrasslift
