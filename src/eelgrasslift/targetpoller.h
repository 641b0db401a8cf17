#pragma once

#include "eelgrasslift/entrycontext.h"

#include <functional>
#include <string>

namespace eelgrasslift {

/// Periodically reads the platform's VM list and the load of each engine, and probes unreachable targets and
/// leaving targets that a newer list shows as live. Passes the results to the EntryState. A changed
/// incarnation of an engine counts as the death of its previous process.
class TargetPoller
{
public:
    TargetPoller(EntryContext &context, Endpoint vmList, Duration interval);

    /// Starts the polling, which continues until the traffic threads stop.
    void start();

    /// Asks an engine which process serves it, reports the answer to the EntryState, and calls done on the
    /// control thread, also without an answer.
    void readIncarnation(const std::string &target, const Endpoint &endpoint, std::function<void()> done);

private:
    struct PolledTarget
    {
        std::string id;
        Endpoint endpoint;
        TargetKind kind = TargetKind::Engine;
        bool mustProbe = false;
    };

    boost::asio::awaitable<void> vmListLoop();
    boost::asio::awaitable<void> loadLoop();
    boost::asio::awaitable<void> poll(PolledTarget target);
    boost::asio::awaitable<void> readLoad(std::string target, Endpoint endpoint, Duration timeout);
    /// Returns whether the target accepts new work.
    boost::asio::awaitable<bool> probe(PolledTarget target);
    std::vector<PolledTarget> targetsToPoll() const;
    void applyLoad(const std::string &target, const LoadReport &report, TimePoint askedAt);

    EntryContext &context;
    Endpoint vmList;
    Duration interval;
};

} // namespace eelgrasslift
