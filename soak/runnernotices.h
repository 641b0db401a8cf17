#pragma once

#include "journal.h"
#include "processlife.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace eelgrasslift::soak {

/// drain_ms of the platform: longest time until requests stop after a runner has stated that it is leaving.
/// Runners serve for longer, so that a late request is seen.
inline constexpr Duration DrainTime = std::chrono::seconds{1};

/// What runners have told gateways about further requests, and whether the gateways comply. Belongs to a
/// process: a restarted gateway starts without this knowledge.
class RunnerNotices
{
public:
    using Gateway = std::shared_ptr<const ProcessLife>;

    explicit RunnerNotices(Journal &runJournal)
        : journal(runJournal)
    {}

    /// The gateway has passed on an answer in which the runner states that it is leaving.
    void recordLeaving(const std::string &runner, const Gateway &gateway);
    /// The runner has refused a request of the gateway, and wants no more for the duration.
    void recordPause(const std::string &runner, const Gateway &gateway, Duration duration);
    /// Checks a request of the gateway that has reached the runner. sentAt is when its caller has sent it.
    void checkArrival(const std::string &requestId, const std::string &runner, const Gateway &gateway,
                      TimePoint sentAt);

private:
    struct Pause
    {
        std::string runner;
        Gateway gateway;
        TimePoint answeredAt;
        TimePoint until;
        /// Requests since the gateway must have reacted.
        uint32_t arrivals = 0;
    };

    void checkLeaving(const std::string &requestId, const std::string &runner, const Gateway &gateway,
                      TimePoint sentAt);
    void checkPauses(const std::string &requestId, const std::string &runner, const Gateway &gateway);

    Journal &journal;
    /// When the gateway first passed the notice on, by runner and gateway.
    std::map<std::pair<std::string, Gateway>, TimePoint> leavingSince;
    std::vector<Pause> pauses;
};

} // namespace eelgrasslift::soak
