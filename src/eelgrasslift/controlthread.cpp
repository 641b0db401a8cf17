#include "eelgrasslift/controlthread.h"

#include <boost/asio/executor_work_guard.hpp>

#include <chrono>

namespace eelgrasslift {

namespace {

// Longest wait for an event, so that the loop checks isStopping even if nothing wakes it up.
constexpr Duration MaxWait = std::chrono::milliseconds{200};

} // namespace

TimePoint monotonicNow()
{
    return TimePoint{std::chrono::steady_clock::now().time_since_epoch()};
}

WallTime wallNow()
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

ControlThread::~ControlThread()
{
    this->stop();
}

void ControlThread::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void ControlThread::stop()
{
    this->isStopping = true;
    this->ioContext.stop();
    if (this->thread.joinable())
        this->thread.join();
}

void ControlThread::run()
{
    const auto guard = boost::asio::make_work_guard(this->ioContext);
    while (!this->isStopping) {
        const TimePoint now = monotonicNow();
        this->timerService.advanceTo(now);
        Duration wait = MaxWait;
        if (const auto due = this->timerService.nextDue())
            wait = std::clamp(*due - now, Duration{0}, MaxWait);
        this->ioContext.run_one_for(wait);
        // Runs the handlers that are already due before the timers are checked again.
        this->ioContext.poll();
    }
}

} // namespace eelgrasslift
