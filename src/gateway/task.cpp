#include "gateway/task.h"

#include "eelgrasslift/logging.h"
#include "libcore/core.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

// Bounds the log lines of a loop that fails each time.
constexpr Duration RestartDelay = std::chrono::milliseconds{200};

asio::awaitable<void> runLoop(std::string_view name, std::function<asio::awaitable<void>()> loop)
{
    asio::steady_timer delay(co_await asio::this_coro::executor);
    for (;;) {
        std::exception_ptr exception;
        try {
            co_await loop();
        } catch (...) {
            exception = std::current_exception();
        }
        if (!exception)
            co_return;
        logTaskFailure(name, exception);
        boost::system::error_code ignored;
        delay.expires_after(RestartDelay);
        co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace

void logTaskFailure(std::string_view name, const std::exception_ptr &exception)
{
    if (!exception)
        return;
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &error) {
        logError("task-failed", {{"task", std::string(name)}, {"cause", error.what()}});
    } catch (...) {
        logError("task-failed", {{"task", std::string(name)}, {"cause", "unknown exception"}});
    }
}

void spawnLoop(asio::io_context &io, std::string_view name, std::function<asio::awaitable<void>()> loop)
{
    spawnTask(io, name, runLoop(name, std::move(loop)));
}

} // namespace eelgrasslift
