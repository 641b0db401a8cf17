#include "libgateway/eventsplitter.h"

namespace eelgrasslift {

std::string_view EventSplitter::feed(std::string_view bytes)
{
    this->pending.append(bytes);
    const std::string_view text = this->pending;
    size_t from = 0;
    for (size_t end = text.find('\n', this->lineStart); end != std::string_view::npos;
         end = text.find('\n', this->lineStart)) {
        const std::string_view line = text.substr(this->lineStart, end - this->lineStart);
        this->lineStart = end + 1;
        if (!line.empty() && line != "\r")
            continue;
        this->recordEvent(text.substr(from, this->lineStart - from));
        from = this->lineStart;
    }
    this->completeEvents = this->pending.substr(0, from);
    this->pending.erase(0, from);
    this->lineStart -= from;
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
