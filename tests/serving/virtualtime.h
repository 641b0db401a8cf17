#pragma once

#include "libcore/time.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace eelgrasslift {

/// Runs callbacks in the order of their virtual time; callbacks of the same time in the order of scheduling.
class VirtualTime
{
public:
    void at(Duration delay, std::function<void()> callback)
    {
        this->events.push({this->now + std::max(Duration{0}, delay), this->nextOrder++, std::move(callback)});
    }

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
