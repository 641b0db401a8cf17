#pragma once

#include "libcore/time.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace eelgrasslift {

/// Runs callbacks at given times. The owner advances it: an event loop in production, a test by hand.
/// Single-threaded.
class TimerService
{
    struct Entry;

public:
    using Callback = std::function<void(TimePoint now)>;

    /// Handle of one subscription; the callback no longer runs once the handle is destroyed.
    class Subscription
    {
    public:
        Subscription() = default;
        void cancel() { this->entry.reset(); }
        explicit operator bool() const { return this->entry != nullptr; }

    private:
        friend class TimerService;
        explicit Subscription(std::shared_ptr<Entry> entry)
            : entry(std::move(entry))
        {}
        std::shared_ptr<Entry> entry;
    };

    /// Runs callback once when time reaches at.
    [[nodiscard]] Subscription subscribeAt(TimePoint at, Callback callback);

    /// Runs callback every interval, first at start + interval. Missed intervals run once.
    [[nodiscard]] Subscription subscribeEvery(TimePoint start, Duration interval, Callback callback);

    /// Time of the next due callback, if any.
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
