#include "ledger.h"

#include "gateway/clock.h"

#include <algorithm>

namespace eelgrasslift::soak {

namespace {

// A gateway may cut what still runs when its grace period of 8 s ends; it needs the rest to exit.
constexpr Duration GraceWithoutCuts = std::chrono::seconds{7};
// A connection that is closed as idle may cross with a request on it. On loopback a gateway has the bytes of
// a request as soon as they are sent; a request whose connection ends later than this was read.
constexpr Duration UnreadWindow = std::chrono::seconds{2};
// A gateway may send on a pooled connection before it notices that the runner has closed it.
constexpr Duration BreakWindow = std::chrono::seconds{2};
// A request may be worked on by two runners for this long.
constexpr Duration MaxOverlap = std::chrono::milliseconds{400};
constexpr unsigned GatewayTimeout = 504;
constexpr unsigned BadGateway = 502;

} // namespace

std::string_view toString(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Safe:
        return "safe";
    case RequestKind::Unsafe:
        return "unsafe";
    case RequestKind::Stream:
        return "stream";
    case RequestKind::ResumableStream:
        return "resumable";
    case RequestKind::Generation:
        return "generation";
    }
    return "unknown";
}

/// Judges the outcome of a request that has ended.
class Ledger::Verdict
{
public:
    Verdict(Ledger &owner, const std::string &requestId, Request &ended)
        : ledger(owner)
        , id(requestId)
        , request(ended)
    {}

    void operator()(const WholeResponse &) const
    {
        this->count("whole");
        if (this->request.runs == 0)
            this->breach("answered without a run");
    }

    void operator()(const Refusal &refusal) const
    {
        this->count("refused");
        this->request.isRefused = true;
        if (this->request.runs > 0)
            this->breach("status " + std::to_string(refusal.status) + " although it has run");
    }

    void operator()(const FailureResponse &failure) const
    {
        this->count("failed");
        const bool isUnsentPossible = this->request.runs == 0 && this->isNearBreak();
        const bool isTimeout = failure.status == GatewayTimeout && this->age() >= RouteTimeout / 2;
        const bool isKnown = failure.status == GatewayTimeout || failure.status == BadGateway;
        if (!isKnown || (!this->isExcused() && !isUnsentPossible && !isTimeout))
            this->breach("status " + std::to_string(failure.status) + " although its runner went on");
    }

    void operator()(const Cut &cut) const
    {
        if (this->isExcused() || this->age() >= RouteTimeout) {
            this->count("cut, excused");
            return;
        }
        if (this->request.runs == 0 && !cut.isHeaderReceived && this->age() < UnreadWindow) {
            this->count("closed unread");
            return;
        }
        this->count("cut");
        this->breach(cut.isHeaderReceived ? "response cut off although its runner went on"
                                          : "connection closed without a response");
    }

    void operator()(const NoResponse &) const
    {
        this->count("no response");
        if (!this->isExcused())
            this->breach("no response");
    }

    void operator()(const WrongResponse &response) const
    {
        this->count("wrong");
        this->breach(response.detail);
    }

private:
    Duration age() const { return this->request.endedAt - this->request.sentAt; }

    void count(std::string_view outcome) const
    {
        this->ledger.journal.count(std::string(toString(this->request.kind)) + " " + std::string(outcome));
    }

    void breach(const std::string &text) const
    {
        const ProcessLife &life = *this->request.gateway;
        std::string context = " (" + std::string(toString(this->request.kind)) + " at " + life.name +
                              ", sent " + std::to_string(toMilliseconds(this->age())) + " ms before, " +
                              std::to_string(this->request.runs) + " runs";
        if (life.terminatedAt)
            context += ", SIGTERM " +
                       std::to_string(toMilliseconds(this->request.endedAt - *life.terminatedAt)) +
                       " ms before";
        this->ledger.journal.recordBreach(this->id, text + context + ")");
    }

    bool isNearBreak() const
    {
        return std::ranges::any_of(this->ledger.breaks, [&](TimePoint time) {
            return time + BreakWindow >= this->request.sentAt && time <= this->request.endedAt;
        });
    }

    /// Whether the gateway or the runner was disturbed in a way that allows any end of a request.
    bool isExcused() const
    {
        const ProcessLife &life = *this->request.gateway;
        const TimePoint end = this->request.endedAt;
        return this->request.isDisturbed || (life.killedAt && *life.killedAt <= end) ||
               (life.terminatedAt && end - *life.terminatedAt >= GraceWithoutCuts) ||
               life.wasFrozenWithin(this->request.sentAt, end);
    }

    Ledger &ledger;
    const std::string &id;
    Request &request;
};

void Ledger::send(const std::string &id, RequestKind kind, std::shared_ptr<const ProcessLife> gateway)
{
    this->journal.count("requests");
    Request &request = this->requests[id];
    request.kind = kind;
    request.gateway = std::move(gateway);
    request.sentAt = steadyNow();
}

void Ledger::reach(const std::string &id, const std::string &runner)
{
    if (const auto found = this->requests.find(id); found != this->requests.end())
        this->notices.checkArrival(id, runner, found->second.gateway, found->second.sentAt);
}

void Ledger::askForPause(const std::string &id, const std::string &runner, Duration duration)
{
    if (const auto found = this->requests.find(id); found != this->requests.end())
        this->notices.recordPause(runner, found->second.gateway, duration);
}

void Ledger::noteLeaving(const std::string &id, const std::string &runner)
{
    this->notices.recordLeaving(runner, this->requests.at(id).gateway);
}

void Ledger::beginRun(const std::string &id, const std::string &runner, bool isContinuation)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
        this->journal.recordBreach(id, "a runner got a request that no caller sent");
        return;
    }
    Request &request = found->second;
    const std::string kind(toString(request.kind));
    if (request.isRefused)
        this->journal.recordBreach(id, kind + " request ran after it was refused");
    for (auto &[worker, takenOverAt] : request.workers)
        takenOverAt = takenOverAt.value_or(steadyNow());
    request.workers[runner] = std::nullopt;
    if (isContinuation)
        return;
    ++request.runs;
    const bool mayRepeat = request.kind == RequestKind::ResumableStream ||
                           (request.kind == RequestKind::Safe && request.runs <= SafeAttempts);
    if (request.runs > 1 && !mayRepeat)
        this->journal.recordBreach(id, kind + " request ran " + std::to_string(request.runs) + " times");
}

void Ledger::endRun(const std::string &id, const std::string &runner)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    Request &request = found->second;
    const auto worker = request.workers.find(runner);
    if (worker == request.workers.end())
        return;
    const std::optional<TimePoint> takenOverAt = worker->second;
    request.workers.erase(worker);
    const TimePoint now = steadyNow();
    // A gateway that stands still or ends calls no runner.
    const ProcessLife &life = *request.gateway;
    const bool isExcused = request.isDisturbed || life.killedAt || life.terminatedAt ||
                           life.wasFrozenWithin(request.sentAt, now);
    if (takenOverAt && now - *takenOverAt > MaxOverlap && !isExcused)
        this->journal.recordBreach(id, runner + " worked on it for " +
                                               std::to_string(toMilliseconds(now - *takenOverAt)) +
                                               " ms beside another runner");
}

void Ledger::disturb(const std::string &id)
{
    if (const auto found = this->requests.find(id); found != this->requests.end())
        found->second.isDisturbed = true;
}

void Ledger::noteBreak()
{
    this->breaks.push_back(steadyNow());
}

void Ledger::finish(const std::string &id, const Outcome &outcome)
{
    Request &request = this->requests.at(id);
    request.endedAt = steadyNow();
    std::visit(Verdict(*this, id, request), outcome);
}

} // namespace eelgrasslift::soak
