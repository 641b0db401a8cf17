#include "libserving/markbroadcast.h"

namespace eelgrasslift {

MarkBroadcast::MarkBroadcast(std::vector<QuarantineMark> marks, std::set<std::string> otherEntries,
                             MarkBroadcastSettings settings)
    : spread(std::move(marks))
    , pending(std::move(otherEntries))
    , settings(settings)
{}

std::vector<std::string> MarkBroadcast::dueEntries(TimePoint now)
{
    if (!this->startedAt)
        this->startedAt = now;
    else if (now < this->nextSend || this->isDone(now))
        return {};
    this->nextSend = now + this->settings.resendInterval;
    return {this->pending.begin(), this->pending.end()};
}

bool MarkBroadcast::isDone(TimePoint now) const
{
    return this->pending.empty() || (this->startedAt && now >= *this->startedAt + this->settings.timeout);
}

} // namespace eelgrasslift
