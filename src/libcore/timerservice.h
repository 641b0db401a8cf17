#pragma once

#include "libcore/time.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace eelgrasslift {

/// Runs callbacks at given times. It reads no clock: its owner, an event loop or a test, calls advanceTo().
/// Not thread-safe.
class TimerService
{
    struct Entry;

public:
    using Callback = std::function<void(TimePoint now)>;

    /// Handle of one scheduled callback. The callback is cancelled when the last copy of the handle is
    /// destroyed.
    class Subscription
    {
    public:
        Subscription() = default;
        void cancel() { this->entry.reset(); }
        /// False if default-constructed or cancelled; stays true after a callback that runs once has run.
        explicit operator bool() const { return this->entry != nullptr; }

    private:
        friend class TimerService;
        explicit Subscription(std::shared_ptr<Entry> entry)
            : entry(std::move(entry))
        {}
        std::shared_ptr<Entry> entry;
    };

    /// Runs callback once, in the first advanceTo() call at or after this time.
    [[nodiscard]] Subscription subscribeAt(TimePoint at, Callback callback);

    /// Runs callback every interval, first at start + interval. If several intervals have passed at once, it
    /// runs once.
    [[nodiscard]] Subscription subscribeEvery(TimePoint start, Duration interval, Callback callback);

    /// Earliest due time, possibly of a cancelled callback; std::nullopt if nothing is scheduled.
    std::optional<TimePoint> nextDue() const;

    /// Runs every callback due at or before now, in time order.
    void advanceTo(TimePoint now);

private:
    struct Entry
    {
        Duration interval{0}; // 0: runs once
        Callback callback;
    };

    std::multimap<TimePoint, std::weak_ptr<Entry>> queue;
};

} // namespace eelgrasslift
