#pragma once

#include "eelgrasslift/controlthread.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace eelgrasslift {

namespace detail {

/// Implements awaitCallback(). The callback posts the result to the executor of the awaiting coroutine.
template <typename Value, typename Start>
boost::asio::awaitable<Value> awaitStart(Start start)
{
    auto initiate = [start = std::move(start)](auto handler) mutable {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        start(std::function<void(Value)>([shared](Value value) {
            auto executor = boost::asio::get_associated_executor(*shared);
            boost::asio::post(executor,
                              [shared, value = std::move(value)]() mutable { (*shared)(std::move(value)); });
        }));
    };
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<> &, void(Value)>(
            std::move(initiate), boost::asio::use_awaitable);
}

} // namespace detail

// The functions below take an lvalue function object: g++ 12 destroys the captures of a closure twice if the
// closure is created inside a co_await expression.

/// Calls start(callback) and suspends the coroutine until the callback is called with the result. The
/// callback may be called on any thread, and must be called exactly once.
template <typename Value, typename Start>
boost::asio::awaitable<Value> awaitCallback(Start &start)
{
    return detail::awaitStart<Value, std::remove_const_t<Start>>(start);
}

/// Runs function, which must return a value, on the control thread. The coroutine resumes on its own executor
/// with the result, or never if the control thread stops first.
template <typename Function>
auto runOnControlThread(ControlThread &control, Function &function)
        -> boost::asio::awaitable<std::decay_t<decltype(function())>>
{
    using Value = std::decay_t<decltype(function())>;
    const auto start = [&control, job = function](std::function<void(Value)> done) {
        control.post([job, done = std::move(done)]() mutable { done(job()); });
    };
    return awaitCallback<Value>(start);
}

/// Unbounded event queue for coroutines that share one strand. Not thread-safe.
template <typename Event>
class EventQueue
{
public:
    explicit EventQueue(const boost::asio::any_io_executor &executor)
        : timer(executor)
    {
        this->timer.expires_at(std::chrono::steady_clock::time_point::max());
    }

    /// Appends an event and wakes the coroutine that waits in pop().
    void push(Event event)
    {
        this->events.push_back(std::move(event));
        this->timer.cancel();
    }

    /// Waits for the next event and removes it. Returns nothing if none has arrived by `until`; waits without
    /// limit if `until` is not set.
    boost::asio::awaitable<std::optional<Event>> pop(std::optional<TimePoint> until)
    {
        while (this->events.empty()) {
            if (until && monotonicNow() >= *until)
                co_return std::nullopt;
            this->timer.expires_at(until ? std::chrono::steady_clock::time_point(until->time_since_epoch())
                                         : std::chrono::steady_clock::time_point::max());
            boost::system::error_code error;
            co_await this->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
        Event event = std::move(this->events.front());
        this->events.pop_front();
        co_return event;
    }

private:
    boost::asio::steady_timer timer;
    std::deque<Event> events;
};

} // namespace eelgrasslift
