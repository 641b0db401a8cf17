#pragma once

#include "libserving/crashquarantine.h"

#include <set>

namespace eelgrasslift {

struct MarkBroadcastSettings
{
    /// Maximum time to wait for the confirmations. Limits how long an unresponsive entry can delay the error
    /// reply to a caller.
    Duration timeout = std::chrono::milliseconds{500};
    /// Entries that have not confirmed are sent the marks again after this time.
    Duration resendInterval = std::chrono::milliseconds{50};
};

/// Sends the marks of one target death to every live entry, before the requests that were lost in it are
/// restarted or reported to their callers. Gossip is too slow for this: a caller that resends at once could
/// reach an entry that does not have the mark of the suspect yet.
///
/// Performs no I/O: the owner sends the messages.
class MarkBroadcast
{
public:
    /// otherEntries: the live entries except this one.
    MarkBroadcast(std::vector<QuarantineMark> marks, std::set<std::string> otherEntries,
                  MarkBroadcastSettings settings);

    /// Entries to send the marks to now. To be called once to begin, which starts the timeout, and then at
    /// nextTick().
    std::vector<std::string> dueEntries(TimePoint now);
    /// The entry has merged the marks.
    void handleConfirmation(const std::string &entry) { this->unconfirmedEntries.erase(entry); }

    /// Whether all entries have confirmed or the timeout has passed: the lost requests may be restarted or
    /// reported to their callers.
    bool isDone(TimePoint now) const;
    /// Time of the next call of dueEntries().
    TimePoint nextTick() const { return this->nextSend; }
    /// The marks to send.
    const std::vector<QuarantineMark> &marks() const { return this->quarantineMarks; }

private:
    std::vector<QuarantineMark> quarantineMarks;
    std::set<std::string> unconfirmedEntries;
    MarkBroadcastSettings settings;
    std::optional<TimePoint> startedAt;
    TimePoint nextSend;
};

} // namespace eelgrasslift
