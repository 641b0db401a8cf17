#pragma once

#include "libserving/crashquarantine.h"

#include <set>

namespace eelgrasslift {

struct MarkBroadcastSettings
{
    /// Longest delay of the callers' error by an entry that does not answer.
    Duration timeout = std::chrono::milliseconds{500};
    Duration resendInterval = std::chrono::milliseconds{50};
};

/// Brings the marks of one target death to every live entry before the victims' callers learn of it. Gossip
/// alone is too slow: a caller that resends at once would meet an entry that does not know the suspect yet.
class MarkBroadcast
{
public:
    /// otherEntries: live entries except this one.
    MarkBroadcast(std::vector<QuarantineMark> marks, std::set<std::string> otherEntries,
                  MarkBroadcastSettings settings);

    /// Entries to send the marks to now; to be called at the start and at nextTick().
    std::vector<std::string> dueEntries(TimePoint now);
    void handleConfirmation(const std::string &entry) { this->pending.erase(entry); }

    /// Whether the victims may be restarted or their callers told.
    bool isDone(TimePoint now) const;
    TimePoint nextTick() const { return this->nextSend; }
    const std::vector<QuarantineMark> &marks() const { return this->spread; }

private:
    std::vector<QuarantineMark> spread;
    std::set<std::string> pending;
    MarkBroadcastSettings settings;
    std::optional<TimePoint> startedAt;
    TimePoint nextSend;
};

} // namespace eelgrasslift
