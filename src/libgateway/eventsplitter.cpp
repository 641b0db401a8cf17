#include "libgateway/eventsplitter.h"

#include <charconv>

namespace eelgrasslift {

namespace {

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

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
        if (!this->recordEvent(text.substr(from, this->lineStart - from))) {
            this->isForeign = true;
            break;
        }
        from = this->lineStart;
    }
    this->completeEvents = this->pending.substr(0, from);
    this->pending.erase(0, from);
    this->lineStart -= from;
    return this->completeEvents;
}

bool EventSplitter::recordEvent(std::string_view event)
{
    constexpr std::string_view IdField = "id:";
    std::optional<std::string> id;
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
        id = std::string(line);
    }
    if (this->isContinuation && this->lastEventId && !this->isInOrder(id))
        return false;
    ++this->events;
    if (id)
        this->lastEventId = std::move(id);
    return true;
}

bool EventSplitter::isInOrder(const std::optional<std::string> &id) const
{
    if (!id)
        return false;
    const std::optional<uint64_t> previous = parseNumber(*this->lastEventId);
    const std::optional<uint64_t> next = parseNumber(*id);
    return previous && next ? *next > *previous : *id != *this->lastEventId;
}

} // namespace eelgrasslift
