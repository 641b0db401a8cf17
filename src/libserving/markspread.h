#pragma once

#include "libserving/crashquarantine.h"

#include <set>

namespace eelgrasslift {

struct MarkSpreadSettings
{
    /// Longest delay of the callers' error by an entry that does not answer.
    Duration timeout = std::chrono::milliseconds{500};
    Duration resendInterval = std::chrono::milliseconds{50};
};

/// Brings the marks of one target death to every live entry before the victims' callers learn of it. Gossip
/// alone is too slow: a caller that resends at once would meet an entry that does not know the suspect yet.
class MarkSpread
{
public:
    /// otherEntries: live entries except this one.
    MarkSpread(std::vector<QuarantineMark> marks, std::set<std::string> otherEntries,
               MarkSpreadSettings settings);

    /// Entries to send the marks to now; to be called at the start and at nextTick().
    std::vector<std::string> due(TimePoint now);
    void confirmed(const std::string &entry) { this->pending.erase(entry); }

    /// Whether the victims may be restarted or their callers told.
    bool isDone(TimePoint now) const;
    TimePoint nextTick() const { return this->nextSend; }
    const std::vector<QuarantineMark> &marks() const { return this->spread; }

private:
    std::vector<QuarantineMark> spread;
    std::set<std::string> pending;
    MarkSpreadSettings settings;
    std::optional<TimePoint> startedAt;
    TimePoint nextSend;
};

} // namespace eelgrasslift
