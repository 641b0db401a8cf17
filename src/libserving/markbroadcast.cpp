#include "libserving/markbroadcast.h"

namespace eelgrasslift {

MarkBroadcast::MarkBroadcast(std::vector<QuarantineMark> marks, std::set<std::string> otherEntries,
                             MarkBroadcastSettings settings)
    : quarantineMarks(std::move(marks))
    , unconfirmedEntries(std::move(otherEntries))
    , settings(settings)
{}

std::vector<std::string> MarkBroadcast::dueEntries(TimePoint now)
{
    if (!this->startedAt)
        this->startedAt = now;
    else if (now < this->nextSend || this->isDone(now))
        return {};
    this->nextSend = now + this->settings.resendInterval;
    return {this->unconfirmedEntries.begin(), this->unconfirmedEntries.end()};
}

bool MarkBroadcast::isDone(TimePoint now) const
{
    return this->unconfirmedEntries.empty() ||
           (this->startedAt && now >= *this->startedAt + this->settings.timeout);
}

} // namespace eelgrasslift
