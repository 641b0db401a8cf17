#include "gateway/streamsession.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

// Stalls of a stream whose runner sends nothing, or no whole event, for too long.

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

// A resumable stream without an event for this long continues on another runner. Several times the pause
// limit of routes, and shorter than the time after which callers disconnect.
constexpr Duration StallTimeout = std::chrono::milliseconds{700};

// A resumable stream that sends bytes but completes no event for this long continues on another runner too. A
// runner may take a while between the first and the last byte of an event, so it is longer.
constexpr Duration TrickleTimeout = 2 * StallTimeout;

// Share of the route's pause limit after which a generation continues from its backup; the remainder is for
// the continuation itself. Prefill of two other prompts on the same runner delays events by less.
constexpr double StallTimeoutShare = 0.65;

// Shortest wait of the stall watch for its next check.
constexpr Duration MinStallCheckDelay = std::chrono::milliseconds{1};

} // namespace

Duration StreamSession::stallTimeout(const Route &route)
{
    if (route.isResumable || route.pauseLimit <= Duration::zero())
        return StallTimeout;
    return std::chrono::duration_cast<Duration>(route.pauseLimit * StallTimeoutShare);
}

bool StreamSession::isTrickling() const
{
    return this->context.route->isResumable && this->runFirstEventAt && this->lastEventAt &&
           steadyNow() - *this->lastEventAt > TrickleTimeout;
}

void StreamSession::startStallWatch()
{
    if (std::exchange(this->isStallWatched, true))
        return;
    this->stallDetector.start(steadyNow());
    spawnTask(this->gateway.io, "stall-watch",
              watchForStall(this->weak_from_this(), this->forwardedConnection));
}

asio::awaitable<void> StreamSession::watchForStall(std::weak_ptr<StreamSession> stream,
                                                   RunnerConnectionPointer connection)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (auto session = stream.lock(); session && session->isForwarding(connection);
         session = stream.lock()) {
        boost::system::error_code ignored;
        timer.expires_after(
                std::max<Duration>(session->stallDetector.nextCheck() - steadyNow(), MinStallCheckDelay));
        session.reset();
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        session = stream.lock();
        if (session && session->isForwarding(connection))
            session->checkForStall();
    }
}

void StreamSession::checkForStall()
{
    if (!this->stallDetector.check(steadyNow(), this->forwardedConnection->hasUnreadBytes()))
        return;
    this->stallDetector.postpone(steadyNow());
    const bool canSwitch =
            this->context.route->isResumable
                    ? this->splitter.eventCount() > 0
                    : this->runFirstEventAt && (this->isBackupReachable() || this->isCopyUsable());
    if (!canSwitch || (this->isCopying && !this->isCopyUsable()) || this->isSwitching)
        return;
    logInfo("generation-stalled",
            {{"request", this->context.metadata.id},
             {"runner", this->lastRunnerId},
             {"events", std::to_string(this->splitter.eventCount())},
             {"backup", this->backup.runner() ? this->backup.runner()->entry.id : "none"}});
    this->requestSwitch(SwitchReason::Stall);
}

} // namespace eelgrasslift
