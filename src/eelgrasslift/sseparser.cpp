#include "eelgrasslift/sseparser.h"

namespace eelgrasslift {

bool SseParser::feed(std::string_view bytes, const std::function<void(const SseEvent &)> &onEvent)
{
    while (!bytes.empty()) {
        const size_t newline = bytes.find('\n');
        this->line.append(bytes.substr(0, newline));
        if (this->line.size() > MaxLineBytes)
            return false;
        if (newline == std::string_view::npos)
            return true;
        bytes.remove_prefix(newline + 1);
        this->endLine(onEvent);
    }
    return true;
}

void SseParser::endLine(const std::function<void(const SseEvent &)> &onEvent)
{
    std::string finished;
    finished.swap(this->line);
    if (!finished.empty() && finished.back() == '\r')
        finished.pop_back();
    if (finished.empty()) {
        if (this->hasField)
            onEvent(this->current);
        this->current = {};
        this->hasField = false;
        return;
    }
    const size_t colon = finished.find(':');
    const std::string_view name = std::string_view(finished).substr(0, colon);
    std::string_view value = colon == std::string::npos ? std::string_view() : std::string_view(finished).substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "id")
        this->current.id = value;
    else if (name == "event")
        this->current.event = value;
    else if (name == "data")
        this->current.data.append(this->current.data.empty() ? "" : "\n").append(value);
    else
        return;
    this->hasField = true;
}

} // namespace eelgrasslift
