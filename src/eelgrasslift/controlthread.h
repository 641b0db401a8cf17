#pragma once

#include "libcore/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <future>
#include <thread>

namespace eelgrasslift {

/// Current time of the monotonic clock. Only comparable within this process.
TimePoint monotonicNow();

/// Current wall-clock time in milliseconds since the Unix epoch.
WallTime wallNow();

/// The single thread that owns the state of an entry or a control member, with its event loop and timers.
class ControlThread
{
public:
    ControlThread() = default;
    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;
    ~ControlThread();

    boost::asio::io_context &context() { return this->ioContext; }

    /// Timers whose callbacks run on this thread. Must be used only on this thread or before start().
    TimerService &timers() { return this->timerService; }

    /// Starts the thread. Must be called once.
    void start();

    /// Ends the event loop and joins the thread. Work that is still queued does not run. Further calls have
    /// no effect.
    void stop();

    /// Queues function to run on the control thread. Can be called from any thread.
    template <typename Function>
    void post(Function &&function)
    {
        boost::asio::post(this->ioContext, std::forward<Function>(function));
    }

    /// Runs function on the control thread and blocks until its result is available. Must not be called on
    /// that thread, nor after stop().
    template <typename Function>
    auto call(Function &&function)
    {
        std::packaged_task<decltype(function())()> task(std::forward<Function>(function));
        auto result = task.get_future();
        boost::asio::post(this->ioContext, [&task] { task(); });
        return result.get();
    }

private:
    void run();

    boost::asio::io_context ioContext{1};
    TimerService timerService;
    std::atomic<bool> isStopping{false};
    std::thread thread;
};

} // namespace eelgrasslift
