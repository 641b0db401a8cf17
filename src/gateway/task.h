#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <functional>
#include <string_view>
#include <utility>

namespace eelgrasslift {

/// Logs an exception that has left a task. Does nothing without one.
void logTaskFailure(std::string_view name, const std::exception_ptr &exception);

/// Runs a coroutine, or a function that returns one. An exception that leaves it is logged and ends this task
/// only.
template <typename Task>
void spawnTask(boost::asio::io_context &io, std::string_view name, Task &&task)
{
    boost::asio::co_spawn(io, std::forward<Task>(task),
                          [name](const std::exception_ptr &exception) { logTaskFailure(name, exception); });
}

/// Runs a coroutine that lasts as long as the process. After an exception it is started again; it ends when
/// it returns.
void spawnLoop(boost::asio::io_context &io, std::string_view name,
               std::function<boost::asio::awaitable<void>()> loop);

} // namespace eelgrasslift
