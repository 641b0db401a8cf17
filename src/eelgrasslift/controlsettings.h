#pragma once

#include "eelgrasslift/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace eelgrasslift {

/// Settings of the subcommand `control`.
struct ControlSettings
{
    CommonSettings common;
    /// Folder of the replicated log and snapshots.
    std::string dataFolder;
    Endpoint operatorListen{"127.0.0.1", 8091};
    Endpoint peerListen{"127.0.0.1", 8092};
    /// Addresses at which other processes and operators reach this member, if they differ from the addresses
    /// listened on; port 0 if they do not.
    Endpoint advertisePeer;
    Endpoint advertiseOperator;
    /// Peer addresses of the members of the cluster that a new member joins.
    std::vector<Endpoint> join;
    /// Peer addresses of further processes for gossip, besides those in join.
    std::vector<Endpoint> seeds;
    /// The platform's list of VMs. Without it (port 0), this member sends no orders.
    Endpoint vmList;
    /// The weight store that grants loads. Without it (port 0), only the budget in the rule file limits
    /// loads.
    Endpoint weightStore;
    /// Time between two reads of the VM list.
    Duration pollInterval = std::chrono::seconds{1};
    /// Key that requests to the admin API must contain.
    std::string adminKey;
};

/// Settings of the subcommand `control-init`.
struct ControlInitSettings
{
    /// Empty folder to initialise.
    std::string dataFolder;
    /// Peer address of the first member.
    Endpoint peerListen;
};

/// Adds the flags of `control`.
void addControlOptions(CLI::App &app, ControlSettings &settings);
/// Adds the flags of `control-init`.
void addControlInitOptions(CLI::App &app, ControlInitSettings &settings);

} // namespace eelgrasslift
