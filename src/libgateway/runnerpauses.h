#pragma once

#include "libcore/core.h"
#include "libgateway/leavingrunners.h"

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace eelgrasslift {

/// Longest pause that a runner may ask for; longer ones count as this long. It covers every overload that a
/// runner recovers from by itself, and a runner that states an absurd time is not lost for good.
constexpr Duration MaxRunnerPause = std::chrono::hours{1};

/// What determines how fast the requests of one gateway may come back to a runner after its pause.
struct ReturnRate
{
    /// Gateways that may come back at the same time.
    uint32_t gatewayCount = 1;
    /// Mean duration of a request at the runner, in seconds.
    double requestSeconds = 0;
    /// Requests that the runner processes at the same time.
    uint32_t slots = 1;

    /// Time between two requests of one gateway if all gateways together use the runner's slots; at most one
    /// second.
    Duration interval() const;
};

/// Calls reserved by RunnerPauses::reserveCalls(). Unused ones return to the pause with the object.
class PauseCalls
{
public:
    PauseCalls() = default;
    /// Reserves all calls that are left.
    explicit PauseCalls(std::shared_ptr<uint32_t> left)
        : left(std::move(left))
        , count(std::exchange(*this->left, 0))
    {}
    PauseCalls(PauseCalls &&other) noexcept
        : left(std::move(other.left))
        , count(std::exchange(other.count, 0))
    {}
    PauseCalls &operator=(PauseCalls &&other) noexcept
    {
        std::swap(this->left, other.left);
        std::swap(this->count, other.count);
        other.release();
        return *this;
    }
    ~PauseCalls() { this->release(); }

    /// Uses one of the calls if they are of the pause with this counter; returns whether it did.
    bool use(const std::shared_ptr<uint32_t> &counter)
    {
        if (this->left != counter || this->count == 0)
            return false;
        --this->count;
        return true;
    }

private:
    void release()
    {
        if (this->left)
            *this->left += std::exchange(this->count, 0);
        this->left.reset();
    }

    /// Calls of the pause that are neither sent nor reserved.
    std::shared_ptr<uint32_t> left;
    uint32_t count = 0;
};

/// The runners that have asked a gateway for a pause, and how requests come back to them afterwards. A pause
/// belongs to one incarnation of a runner (id, address and start time): it also holds while the runner is
/// missing from the list, and never for its successor.
///
/// Load pattern: an overloaded runner refuses the requests of 75 gateways within some milliseconds, and asks
/// all of them for the same pause. Requests that wait for its end, and those of callers that come again,
/// would arrive in the same instant and overload it again. So each gateway begins at a random time within one
/// ReturnRate::interval() after the end, then sends a request per interval, each interval a tenth shorter,
/// and only while the runner has a free slot. A gateway that leaves an interval unused has no backlog: its
/// requests are not paced any longer.
///
/// A runner goes on with its runs during its pause. It takes two calls from the gateway meanwhile, as
/// specified by the users, to end runs that would go on beside their continuations.
class RunnerPauses
{
public:
    /// Effect of record().
    enum class Change {
        None,     ///< The pause is not positive, or ends before the one in force.
        Extended, ///< The pause in force ends later.
        Begun     ///< The runner did not pause before.
    };

    /// A pause that was in force when its runner was replaced by another incarnation.
    struct Cut
    {
        std::string runnerId;
        Duration remaining{};
    };

    /// Records that the runner wants no requests for a time; one above MaxRunnerPause counts as that. The
    /// longest of overlapping pauses holds.
    Change record(const RunnerEntry &runner, Duration pause, const ReturnRate &rate, TimePoint now,
                  Random &random);

    /// Whether the runner pauses; false from the end of the pause on, though requests are paced then.
    bool isPaused(const RunnerEntry &runner, TimePoint now) const;
    /// Returns when the next request may be sent to a runner with that many requests in flight; nothing if at
    /// once.
    std::optional<TimePoint> nextSend(const RunnerEntry &runner, uint32_t activeRequests,
                                      TimePoint now) const;
    /// When the runner's pause ends; nothing if it does not pause.
    std::optional<TimePoint> pausedUntil(const RunnerEntry &runner, TimePoint now) const;

    /// Reserves the calls that end a run which is about to go on elsewhere; they are empty if the runner does
    /// not pause. Nothing if it takes fewer calls than that needs, one and its repetition.
    std::optional<PauseCalls> reserveCalls(const RunnerEntry &runner, TimePoint now);
    /// Whether a call that ends a run may be sent to the runner. During its pause this uses one of the
    /// reserved calls, or else one that nobody has reserved.
    bool useCall(const RunnerEntry &runner, PauseCalls &reserved, TimePoint now);
    /// Counts a request that is sent to the runner after its pause.
    void recordSend(const RunnerEntry &runner, TimePoint now);

    /// Removes the pauses of runners for which isReplaced returns true, and those that have no effect any
    /// more. Returns the former.
    std::vector<Cut> removeReplaced(
            const std::function<bool(const std::string &id, const std::string &address, int64_t startedAtMs)>
                    &isReplaced,
            TimePoint now);
    bool isEmpty() const { return this->pauses.empty(); }

private:
    /// Compares incarnations with entries of the list.
    struct IncarnationLess
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming)
        template <typename Left, typename Right>
        bool operator()(const Left &left, const Right &right) const
        {
            return std::tie(left.id, left.address, left.startedAtMs) <
                   std::tie(right.id, right.address, right.startedAtMs);
        }
    };
    struct Pause
    {
        TimePoint until{};
        TimePoint nextSendAt{};
        /// Time between two requests after the pause.
        Duration interval{};
        TimePoint begunAt{};
        /// See PauseCalls.
        std::shared_ptr<uint32_t> callsLeft;

        /// Whether requests are neither held back nor paced any longer.
        bool isOver(TimePoint now) const;
    };

    std::map<RunnerIncarnation, Pause, IncarnationLess> pauses;
};

} // namespace eelgrasslift
