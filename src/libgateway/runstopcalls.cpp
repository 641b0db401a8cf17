#include "libgateway/runstopcalls.h"

#include <algorithm>
#include <utility>

namespace eelgrasslift {

namespace {

// Events that are on their way when a runner stops a run arrive within this time. Later ones show that the
// run goes on.
constexpr Duration MaxEventDelay = std::chrono::milliseconds{250};

template <typename Kind>
bool is(const std::optional<RunStopReply> &reply)
{
    return reply && std::holds_alternative<Kind>(*reply);
}

/// The runner has closed the stream by itself and does not tell why.
RunEnd endWithoutStatement(const ReceivedEnd &end)
{
    return end.isStopDue ? RunEnd::Unknown : RunEnd::Unconfirmed;
}

/// Whether the run has sent events after the reply, which therefore was not about its end.
bool hasContinued(const ReceivedEnd &end, TimePoint repliedAt)
{
    return end.lastEventAwaitedAt > repliedAt + MaxEventDelay;
}

/// Combines what earlier calls tell about the end of a run with the reply to one more call.
struct EndJudgement
{
    RunEnd earlier;
    const ReceivedEnd &end;
    /// The call was sent before the response ended, which may have been its effect.
    bool precedesEnd;
    TimePoint repliedAt;

    RunEnd operator()(const RunStopped &) const { return RunEnd::Stopped; }
    // A runner also replies this if an earlier call has stopped the run.
    RunEnd operator()(const NoSuchRun &) const { return this->earlier; }
    // A runner may stop the run before it finds that it is copied already.
    RunEnd operator()(const CopyInProgress &) const
    {
        if (!this->precedesEnd)
            return this->withoutStatement();
        return hasContinued(this->end, this->repliedAt) ? this->earlier : RunEnd::Unknown;
    }
    RunEnd operator()(const CallNotExecuted &) const { return this->earlier; }
    RunEnd operator()(const NoRunStatement &) const
    {
        return this->precedesEnd ? RunEnd::Unknown : this->withoutStatement();
    }

    RunEnd withoutStatement() const
    {
        return this->earlier == RunEnd::Complete ? endWithoutStatement(this->end) : this->earlier;
    }
};

struct ReplyName
{
    std::string_view operator()(const RunStopped &) const { return "stopped"; }
    std::string_view operator()(const NoSuchRun &) const { return "no-such-run"; }
    std::string_view operator()(const CopyInProgress &) const { return "copy-in-progress"; }
    std::string_view operator()(const CallNotExecuted &) const { return "not-executed"; }
    std::string_view operator()(const NoRunStatement &) const { return "none"; }
};

} // namespace

std::string_view toString(const RunStopReply &reply)
{
    return std::visit(ReplyName{}, reply);
}

std::string_view toString(RunEnd end)
{
    switch (end) {
    case RunEnd::Complete:
        return "complete";
    case RunEnd::CutShort:
        return "cut-short";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::Pending:
        return "pending";
    case RunEnd::Unconfirmed:
        return "unconfirmed";
    case RunEnd::Unknown:
        return "unknown";
    }
    return "unknown";
}

size_t RunStopCalls::begin(std::string_view runnerId, TimePoint calledAt)
{
    this->calls.push_back({std::string(runnerId), calledAt});
    return this->calls.size() - 1;
}

void RunStopCalls::finish(size_t call, RunStopReply reply, TimePoint repliedAt)
{
    this->calls[call].reply = std::move(reply);
    this->calls[call].repliedAt = repliedAt;
}

RunEnd RunStopCalls::judge(const ReceivedEnd &end) const
{
    if (end.hasPartialEvent || (end.isUnframed && !end.hasEvent))
        return RunEnd::CutShort;
    RunEnd result = RunEnd::Complete;
    if (!end.isUnframed)
        return result;
    // The runner has replied that it has no such run, before any call could stop it.
    bool hasEnded = false;
    bool isCheckRefused = false;
    for (const Call &call : this->calls) {
        if (!call.concerns(end.runnerId, end.sentAt) || isAboutEarlierRun(call, end))
            continue;
        // Later calls found nothing to stop, whatever became of them.
        if (hasEnded && call.reply && !is<RunStopped>(call.reply))
            continue;
        if (is<NoSuchRun>(call.reply) && result == RunEnd::Complete && !hasContinued(end, call.repliedAt))
            hasEnded = true;
        if (is<CallNotExecuted>(call.reply) && call.calledAt > end.endedAt)
            isCheckRefused = true;
        if (call.reply)
            result = std::visit(EndJudgement{result, end, call.calledAt <= end.endedAt, call.repliedAt},
                                *call.reply);
        else if (result != RunEnd::Unknown)
            result = RunEnd::Pending;
        if (result == RunEnd::Stopped)
            break;
    }
    if (result == RunEnd::Complete && !hasEnded && (end.canBeStopped || isCheckRefused))
        return endWithoutStatement(end);
    return result;
}

bool RunStopCalls::isAboutEarlierRun(const Call &call, const ReceivedEnd &end)
{
    if (is<NoSuchRun>(call.reply))
        return call.calledAt < end.sentAt;
    return is<RunStopped>(call.reply) && hasContinued(end, call.repliedAt);
}

bool RunStopCalls::needsCheck(const ReceivedEnd &end) const
{
    ReceivedEnd earlyEnd = end;
    earlyEnd.isStopDue = false;
    return end.canBeStopped && this->judge(earlyEnd) == RunEnd::Unconfirmed &&
           std::ranges::none_of(this->calls, [&](const Call &call) {
               return call.calledAt > end.endedAt && call.concerns(end.runnerId, end.sentAt);
           });
}

bool RunStopCalls::needsRepeatedCheck(const ReceivedEnd &end) const
{
    const RunEnd result = this->judge(end);
    if (!end.canBeStopped || (result != RunEnd::Unconfirmed && result != RunEnd::Unknown))
        return false;
    const auto latest = std::find_if(this->calls.rbegin(), this->calls.rend(), [&](const Call &call) {
        return call.calledAt > end.endedAt && call.concerns(end.runnerId, end.sentAt);
    });
    if (latest == this->calls.rend() || !latest->reply || is<NoSuchRun>(latest->reply))
        return false;
    // A runner that does not reply in time is not asked again.
    const auto *unknown = std::get_if<NoRunStatement>(&*latest->reply);
    return unknown == nullptr || !unknown->mayTakeEffect;
}

size_t RunStopCalls::checkCount(const ReceivedEnd &end) const
{
    return static_cast<size_t>(std::ranges::count_if(this->calls, [&](const Call &call) {
        return call.runnerId == end.runnerId && call.calledAt > end.endedAt && call.reply;
    }));
}

bool RunStopCalls::isPending(std::string_view runnerId, TimePoint sentAt) const
{
    return std::ranges::any_of(
            this->calls, [&](const Call &call) { return !call.reply && call.concerns(runnerId, sentAt); });
}

bool RunStopCalls::mayBeCopying(std::string_view runnerId, TimePoint sentAt) const
{
    return std::ranges::any_of(this->calls, [&](const Call &call) {
        const bool isSettled =
                is<RunStopped>(call.reply) || is<NoSuchRun>(call.reply) || is<CallNotExecuted>(call.reply);
        return !isSettled && call.concerns(runnerId, sentAt);
    });
}

bool RunStopCalls::needsCall(std::string_view runnerId, TimePoint sentAt) const
{
    return std::ranges::none_of(this->calls, [&](const Call &call) {
        const bool tells = !call.reply || is<RunStopped>(call.reply) ||
                           (is<NoSuchRun>(call.reply) && call.calledAt >= sentAt);
        return tells && call.concerns(runnerId, sentAt);
    });
}

std::optional<std::string> RunStopCalls::keptCopy(std::string_view runnerId, TimePoint sentAt) const
{
    for (const Call &call : this->calls) {
        const auto *stopped = call.reply ? std::get_if<RunStopped>(&*call.reply) : nullptr;
        if (stopped != nullptr && !stopped->handle.empty() && call.concerns(runnerId, sentAt))
            return stopped->handle;
    }
    return std::nullopt;
}

} // namespace eelgrasslift
