#pragma once

#include "eelgrasslift/entrycontext.h"

#include <string>

namespace eelgrasslift {

/// Reads the platform's VM list and the engines' load periodically, and probes targets that may be back.
class TargetPoller
{
public:
    TargetPoller(EntryContext &context, Endpoint vmList, Duration interval);

    /// Runs until the executor ends.
    void start();

private:
    struct PolledTarget
    {
        std::string id;
        Endpoint endpoint;
        TargetKind kind = TargetKind::Engine;
        bool mustProbe = false;
    };

    boost::asio::awaitable<void> listLoop();
    boost::asio::awaitable<void> loadLoop();
    boost::asio::awaitable<void> poll(PolledTarget target);
    boost::asio::awaitable<void> readLoad(PolledTarget target);
    boost::asio::awaitable<bool> probe(PolledTarget target);
    std::vector<PolledTarget> targetsToPoll() const;
    void applyLoad(const std::string &target, const LoadReport &report);

    EntryContext &context;
    Endpoint vmList;
    Duration interval;
    std::map<std::string, uint64_t> incarnations;
};

} // namespace eelgrasslift
