#pragma once

#include "libcore/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <future>
#include <thread>

namespace eelgrasslift {

/// Current time on the monotonic time line of this process.
TimePoint monotonicNow();

/// Current wall clock time.
WallTime wallNow();

/// The single thread that owns a process's control state, with its event loop and timers.
class ControlThread
{
public:
    ControlThread() = default;
    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;
    ~ControlThread();

    boost::asio::io_context &context() { return this->ioContext; }

    /// Timers whose callbacks run on this thread. To be used on this thread only, or before start().
    TimerService &timers() { return this->timerService; }

    void start();

    /// Ends the loop and joins the thread. Work that is still queued does not run.
    void stop();

    template <typename Function>
    void post(Function &&function)
    {
        boost::asio::post(this->ioContext, std::forward<Function>(function));
    }

    /// Runs function on the control thread and waits for its result. Must not be called on that thread.
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
