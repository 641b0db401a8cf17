#pragma once

#include "eelgrasslift/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace eelgrasslift {

struct ControlSettings
{
    CommonSettings common;
    std::string dataFolder;
    Endpoint operatorListen{"127.0.0.1", 8091};
    Endpoint peerListen{"127.0.0.1", 8092};
    /// Addresses that other processes use instead of the ones listened on; port 0: none.
    Endpoint advertisePeer;
    Endpoint advertiseOperator;
    /// Peer addresses of members of the cluster that a new member joins.
    std::vector<Endpoint> join;
    /// Peer addresses for gossip, in addition to the members.
    std::vector<Endpoint> seeds;
    /// Without it, no orders are given.
    Endpoint vmList;
    /// Without it, only the budget in the rule file limits loads.
    Endpoint weightStore;
    /// Time between two reads of the VM list.
    Duration pollInterval = std::chrono::seconds{1};
    /// Key of the admin API.
    std::string adminKey;
};

struct ControlInitSettings
{
    std::string dataFolder;
    /// Peer address of the first member.
    Endpoint peerListen;
};

void addControlOptions(CLI::App &app, ControlSettings &settings);
void addControlInitOptions(CLI::App &app, ControlInitSettings &settings);

} // namespace eelgrasslift
