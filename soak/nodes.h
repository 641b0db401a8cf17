#pragma once

#include "addressplan.h"
#include "faults.h"
#include "ledger.h"
#include "process.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <filesystem>

namespace eelgrasslift::soak {

/// A gateway or coordinator that is started again after it has been ended from outside.
struct Node
{
    NodeId id;
    std::string name;
    std::string ip;
    std::unique_ptr<scenario::Process> process;
    /// Of the running process; nullptr if there is none.
    std::shared_ptr<ProcessLife> life;
    /// The process has been told to end.
    bool isEnding = false;
    std::optional<TimePoint> terminatedAt;
    std::optional<TimePoint> killedAt;
    std::optional<TimePoint> restartAt;
    bool losesData = false;
    /// Overlapping freezes end with the last one.
    TimePoint frozenUntil;
    bool isFrozen = false;
};

/// Starts the processes, sends them signals and restarts them. A process that ends by itself, or ends with an
/// error after SIGTERM, is a broken promise.
class Nodes
{
public:
    Nodes(boost::asio::io_context &io, const AddressPlan &addressPlan, const Population &population,
          std::filesystem::path binaryPath, std::filesystem::path runFolder, Journal &runJournal);

    void start();
    // A signal to a process that is not running is skipped.
    void terminate(const NodeId &id);
    void kill(const NodeId &id);
    void pause(const NodeId &id, Duration duration);
    void reload(const NodeId &id);
    void loseData(size_t coordinator);
    /// Ends all processes with SIGTERM, without a restart.
    void terminateAll();

    /// Whether all processes run and none is being ended or paused.
    bool areAllRunning() const;
    bool areAllEnded() const;
    size_t gatewayCount() const { return this->gateways.size(); }
    size_t coordinatorCount() const { return this->coordinators.size(); }
    /// The life of the running gateway process; nullptr if there is none.
    std::shared_ptr<const ProcessLife> life(size_t gateway) const { return this->gateways[gateway].life; }
    Endpoint callerEndpoint(size_t gateway) const { return {this->gateways[gateway].ip, CallerPort}; }
    Endpoint readinessEndpoint(size_t gateway) const { return {this->gateways[gateway].ip, ReadinessPort}; }
    Endpoint operatorEndpoint(size_t coordinator) const
    {
        return {this->coordinators[coordinator].ip, OperatorPort};
    }

private:
    boost::asio::awaitable<void> watch();
    void watch(Node &node);
    void handleEnd(Node &node, int code);
    void launch(Node &node, bool isFirstStart);
    void writeSettings(const Node &node, bool isFirstStart) const;
    std::filesystem::path dataFolder(const Node &node) const { return this->folder / (node.name + ".data"); }
    std::filesystem::path settingsPath(const Node &node) const
    {
        return this->folder / (node.name + ".conf");
    }
    Node &find(const NodeId &id);
    template <typename Action>
    void forEach(Action action)
    {
        for (Node &node : this->coordinators)
            action(node);
        for (Node &node : this->gateways)
            action(node);
    }

    boost::asio::io_context &io;
    AddressPlan addresses;
    std::filesystem::path binary;
    std::filesystem::path folder;
    Journal &journal;
    std::vector<Node> coordinators;
    std::vector<Node> gateways;
    bool isStopping = false;
};

} // namespace eelgrasslift::soak
