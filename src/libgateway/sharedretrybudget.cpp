#include "libgateway/sharedretrybudget.h"

namespace eelgrasslift {

namespace {

void removeBefore(std::deque<TimePoint> &times, TimePoint limit)
{
    while (!times.empty() && times.front() < limit)
        times.pop_front();
}

} // namespace

SharedRetryBudget::Window &SharedRetryBudget::windowOf(std::string_view service, TimePoint now)
{
    auto found = this->windows.find(service);
    if (found == this->windows.end())
        found = this->windows.emplace(std::string(service), Window{}).first;
    removeBefore(found->second.requests, now - this->settings.window);
    removeBefore(found->second.retries, now - this->settings.window);
    return found->second;
}

void SharedRetryBudget::countRequest(std::string_view service, TimePoint now)
{
    this->windowOf(service, now).requests.push_back(now);
}

bool SharedRetryBudget::tryAcquireRetry(std::string_view service, TimePoint now)
{
    Window &window = this->windowOf(service, now);
    const double allowed = this->settings.ratio * static_cast<double>(window.requests.size()) +
                           this->settings.sharedRetries / this->gatewayCount;
    if (static_cast<double>(window.retries.size() + 1) > allowed * this->settings.usableShare)
        return false;
    window.retries.push_back(now);
    return true;
}

} // namespace eelgrasslift
