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
{};

/// A runner asks for another call, since it copies the run for an earlier one.
struct CopyInProgress
{};

/// There was no reply, or one that tells nothing about the run.
struct NoRunStatement
{};

/// Reply of a runner to a call that stops a run.
using RunStopReply = std::variant<RunStopped, NoSuchRun, CopyInProgress, NoRunStatement>;

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
};

/// How a run ended whose response has ended.
enum class RunEnd {
    Complete,
    CutShort,    ///< The response shows that more was to come.
    Stopped,     ///< On a call of the gateway.
    Pending,     ///< Complete or stopped; a reply to a call will tell.
    Unknown,     ///< Complete or stopped; no further reply will tell.
    Unconfirmed, ///< The runner has closed the stream by itself and does not tell why.
};

std::string_view toString(RunEnd end);

/// The calls of a gateway that stop runs of one request, and what they tell about the end of a response: a
/// runner closes the stream of a run that it stops, which without framing looks like the end of the run.
///
/// Load pattern: runners leave at two seconds' notice while half of the responses have neither length nor
/// chunks. Runners stop their runs on a call; they close the streams, then copy the KV caches over a busy
/// link, and only then reply.
class RunStopCalls
{
public:
    /// Records a call to the runner. Returns its number, for finish().
    size_t begin(std::string_view runnerId, TimePoint calledAt);
    void finish(size_t call, RunStopReply reply, TimePoint repliedAt);

    /// How the run has ended, as far as the replies tell by now.
    RunEnd judge(const ReceivedEnd &end) const;

    /// Whether the runner has not replied yet to a call that may concern the run.
    bool isPending(std::string_view runnerId, TimePoint sentAt) const;

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
            return this->runnerId == runner && (!this->reply || this->repliedAt >= sentAt);
        }
    };

    /// In the order of the calls.
    std::vector<Call> calls;
};

} // namespace eelgrasslift
