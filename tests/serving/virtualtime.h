#pragma once

#include "libcore/time.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace eelgrasslift {

/// Base of the simulations: runs callbacks in the order of their virtual time, and those of the same time in
/// the order of scheduling.
class VirtualTime
{
public:
    /// Schedules a callback after the delay, or now if it is negative.
    void schedule(Duration delay, std::function<void()> callback)
    {
        this->events.push({this->now + std::max(Duration{0}, delay), this->nextOrder++, std::move(callback)});
    }

    /// Runs all callbacks that are due within the duration and advances the virtual time by it.
    void run(Duration duration)
    {
        const TimePoint end = this->now + duration;
        while (!this->events.empty() && this->events.top().at <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.callback();
        }
        this->now = end;
    }

protected:
    TimePoint now;

private:
    struct Event
    {
        TimePoint at;
        uint64_t order = 0;
        std::function<void()> callback;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    std::priority_queue<Event> events;
    uint64_t nextOrder = 0;
};

} // namespace eelgrasslift
