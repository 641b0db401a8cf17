#include "libcore/timerservice.h"

namespace eelgrasslift {

TimerService::Subscription TimerService::subscribeAt(TimePoint at, Callback callback)
{
    auto entry = std::make_shared<Entry>(Entry{Duration{0}, std::move(callback)});
    this->queue.emplace(at, entry);
    return Subscription{std::move(entry)};
}

TimerService::Subscription TimerService::subscribeEvery(TimePoint start, Duration interval, Callback callback)
{
    auto entry = std::make_shared<Entry>(Entry{interval, std::move(callback)});
    this->queue.emplace(start + interval, entry);
    return Subscription{std::move(entry)};
}

std::optional<TimePoint> TimerService::nextDue() const
{
    if (this->queue.empty())
        return std::nullopt;
    return this->queue.begin()->first;
}

void TimerService::advanceTo(TimePoint now)
{
    while (!this->queue.empty() && this->queue.begin()->first <= now) {
        const auto first = this->queue.begin();
        const std::shared_ptr<Entry> entry = first->second.lock();
        this->queue.erase(first);
        if (!entry)
            continue;
        if (entry->interval > Duration{0})
            this->queue.emplace(now + entry->interval, entry);
        entry->callback(now);
    }
}

} // namespace eelgrasslift
