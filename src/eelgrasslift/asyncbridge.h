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

/// Suspends the coroutine until the function that start receives is called, from any thread, once.
template <typename Value, typename Start>
boost::asio::awaitable<Value> awaitCallback(Start start)
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

/// Runs function on the control thread and resumes the coroutine on its own executor with the result.
template <typename Function>
auto onControl(ControlThread &control, Function function) -> boost::asio::awaitable<decltype(function())>
{
    using Value = decltype(function());
    return awaitCallback<Value>([&control, function = std::move(function)](std::function<void(Value)> done) mutable {
        control.post([function = std::move(function), done = std::move(done)]() mutable { done(function()); });
    });
}

/// Queue between coroutines on one strand.
template <typename Event>
class EventQueue
{
public:
    explicit EventQueue(boost::asio::any_io_executor executor) : timer(std::move(executor))
    {
        this->timer.expires_at(std::chrono::steady_clock::time_point::max());
    }

    void push(Event event)
    {
        this->events.push_back(std::move(event));
        this->timer.cancel();
    }

    /// The next event, or nothing when until has passed.
    boost::asio::awaitable<std::optional<Event>> pop(std::optional<TimePoint> until)
    {
        while (this->events.empty()) {
            if (until && monotonicNow() >= *until)
                co_return std::nullopt;
            this->timer.expires_at(until ? std::chrono::steady_clock::time_point(until->time_since_epoch())
                                         : std::chrono::steady_clock::time_point::max());
            boost::system::error_code error;
            co_await this->timer.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, error));
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
