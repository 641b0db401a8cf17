#pragma once

#include "gateway/connectionpool.h"
#include "gateway/fleetscheduler.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/nodesettings.h"
#include "libserving/serving.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace eelgrasslift {

class StreamSession;

/// What all requests of a gateway share. Runs on one thread.
class GatewayState
{
public:
    GatewayState(boost::asio::io_context &io, const NodeSettings &settings, const WireFormat &format);

    boost::asio::io_context &io;
    const NodeSettings &settings;
    const WireFormat &format;
    ConnectionPool connections;
    RunnerPool runners;
    SharedRetryBudget budget;
    GatewayMetrics metrics;
    Random random{systemSeed()};
    size_t openRequests = 0;
    bool isDraining = false;
    /// When the process ends; known once it shuts down.
    std::optional<TimePoint> endsAt;
    /// Places generations and orders copies over all gateways.
    FleetScheduler *fleetScheduler = nullptr;

    /// nullptr until a configuration is known.
    const RouteTablePointer &routes() const { return this->currentRoutes; }
    /// Whether a configuration and some runners are known.
    bool isServing() const { return this->currentRoutes != nullptr && !this->runners.runners().empty(); }
    /// Never goes back to an older version.
    bool adoptConfig(std::string_view body);

    void adoptFleet(std::span<const RunnerEntry> entries);

    /// Own work in flight, for the exchange.
    std::map<std::string, RunnerLoad, std::less<>> ownLoads() const;

    void addStream(StreamSession &session) { this->streams.insert(&session); }
    void removeStream(StreamSession &session) { this->streams.erase(&session); }

    /// Waits until a run ended or the fleet changed, at most for the duration.
    boost::asio::awaitable<void> waitForCapacity(Duration longest);
    void capacityFreed() { this->capacity.cancel(); }

private:
    void reviewStreams();

    RouteTablePointer currentRoutes;
    std::set<StreamSession *> streams;
    boost::asio::steady_timer capacity;
};

/// Counts work on a runner for as long as it lives.
class LoadTicket
{
public:
    LoadTicket() = default;
    LoadTicket(RunnerPool::RunnerPointer runner, RunnerLoad load);
    ~LoadTicket() { this->release(); }
    LoadTicket(LoadTicket &&other) noexcept;
    LoadTicket &operator=(LoadTicket &&other) noexcept;

    void release();
    /// The run has produced its first event.
    void endPrefill();
    /// The run is expected to hold other amounts of memory than before.
    void setMemory(const MemoryForecast &memory);
    const RunnerPool::RunnerPointer &runner() const { return this->target; }

private:
    RunnerPool::RunnerPointer target;
    RunnerLoad load;
};

} // namespace eelgrasslift
