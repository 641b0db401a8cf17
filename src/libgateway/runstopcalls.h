#pragma once

#include "libcore/core.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasslift {

/// A runner has stopped the run before its end.
struct RunStopped
{
    /// Name of the copy that the runner keeps, from which the run can be continued; empty if it named none.
    std::string handle;
};

/// A runner has no run of the request: there never was one, or it has ended.
struct NoSuchRun
{
    /// Start of the runner that replies, in milliseconds since 1970, if it states that.
    std::optional<int64_t> startedAtMs{};
};

/// A runner asks for another call, since it copies the run for an earlier one.
struct CopyInProgress
{};

/// The runner could not be reached, or states that it has not executed the call.
struct CallNotExecuted
{
    bool isUnreachable = false;
};

/// There was no reply, or one that tells nothing about the run.
struct NoRunStatement
{
    /// The runner may not have read the call yet.
    bool mayTakeEffect = false;
};

/// Reply of a runner to a call that stops a run.
using RunStopReply = std::variant<NoRunStatement, RunStopped, NoSuchRun, CopyInProgress, CallNotExecuted>;

std::string_view toString(const RunStopReply &reply);

/// What a gateway has received of the response to a run when it ended.
struct ReceivedEnd
{
    std::string runnerId;
    TimePoint sentAt{};
    TimePoint endedAt{};
    /// The response had neither length nor chunks, so that only its connection has ended.
    bool isUnframed = false;
    /// Complete events of this run have arrived.
    bool hasEvent = false;
    /// The beginning of another event has arrived.
    bool hasPartialEvent = false;
    /// When the gateway began to wait for the latest event that it had to wait for.
    TimePoint lastEventAwaitedAt{};
    /// The runner had announced that it would stop by then.
    bool isStopDue = false;
    /// The runner is leaving and moves runs, so that it may have stopped this one at any time. It tells that
    /// in its reply to a call.
    bool canBeStopped = false;
};

/// How a run ended whose response has ended.
enum class RunEnd {
    Complete,
    CutShort,    ///< The response shows that more was to come.
    Stopped,     ///< On a call of the gateway.
    Pending,     ///< Complete or stopped; a reply to a call will tell.
    Unknown,     ///< Complete or stopped; no further reply will tell.
    Unconfirmed, ///< Complete, unless its leaving runner has stopped it, which no reply tells.
};

std::string_view toString(RunEnd end);

/// The calls of a gateway that stop runs of one request, and what they tell about the end of a response: a
/// runner closes the stream of a run that it stops, which without framing looks like the end of the run.
///
/// Load pattern: runners leave while responses have neither length nor chunks. Runners stop their runs on a
/// call; they close the streams, then copy the KV caches over a busy link, and only then reply.
class RunStopCalls
{
public:
    /// Records a call to the runner. Returns its number, for finish().
    size_t begin(std::string_view runnerId, TimePoint calledAt);
    void finish(size_t call, RunStopReply reply, TimePoint repliedAt);

    bool isEmpty() const { return this->calls.empty(); }

    /// How the run has ended, as far as the replies tell by now.
    RunEnd judge(const ReceivedEnd &end) const;

    /// Whether a call to the runner after the end would tell how the run has ended, and there was none.
    bool needsCheck(const ReceivedEnd &end) const;

    /// Whether the latest such call got a reply at once that tells nothing, so that another one may tell.
    bool needsRepeatedCheck(const ReceivedEnd &end) const;

    /// Replies of the runner to calls after the end.
    size_t checkCount(const ReceivedEnd &end) const;

    /// Whether the runner has not replied yet to a call that may concern the run.
    bool isPending(std::string_view runnerId, TimePoint sentAt) const;

    /// Whether the runner may still be copying the run for a call.
    bool mayBeCopying(std::string_view runnerId, TimePoint sentAt) const;

    /// Whether the runner may still work on the run after all calls so far.
    bool needsCall(std::string_view runnerId, TimePoint sentAt) const;

    /// Name of the copy that the runner keeps of the run that it has stopped; nothing if it has named none.
    std::optional<std::string> keptCopy(std::string_view runnerId, TimePoint sentAt) const;

private:
    struct Call
    {
        std::string runnerId;
        TimePoint calledAt{};
        std::optional<RunStopReply> reply{};
        TimePoint repliedAt{};

        /// Whether the call may concern a run that was sent to the runner at the time.
        bool concerns(std::string_view runner, TimePoint sentAt) const
        {
            const auto *unknown = this->reply ? std::get_if<NoRunStatement>(&*this->reply) : nullptr;
            const bool isOver = this->reply && !(unknown != nullptr && unknown->mayTakeEffect);
            return this->runnerId == runner && (!isOver || this->repliedAt >= sentAt);
        }
    };

    /// Whether the reply to a call that may concern the run is about one before it.
    static bool isAboutEarlierRun(const Call &call, const ReceivedEnd &end);

    /// In the order of the calls.
    std::vector<Call> calls;
};

} // namespace eelgrasslift
