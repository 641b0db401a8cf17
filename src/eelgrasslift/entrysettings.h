#pragma once

#include "eelgrasslift/settings.h"
#include "libserving/serving.h"

#include <string>
#include <vector>

namespace eelgrasslift {

/// Settings of an entry process, from the command line and the environment.
struct EntrySettings
{
    CommonSettings common;
    Endpoint callerListen{"127.0.0.1", 8080};
    Endpoint operatorListen{"127.0.0.1", 8081};
    Endpoint peerListen{"127.0.0.1", 8082};
    /// Address under which other processes reach peerListen, if it differs; port 0 if not set.
    Endpoint advertisePeer;
    /// Peer addresses that gossip contacts first.
    std::vector<Endpoint> seeds;
    /// Server of the platform's VM list.
    Endpoint vmList;
    /// Folder that stores the last accepted rules; empty if they are not stored.
    std::string dataFolder;
    /// Number of this entry among the idempotency replicas of its failure domain, from 1.
    uint32_t recordSlot = 1;
    /// Number of idempotency replicas in each failure domain; must be the same for all entries.
    uint32_t entriesPerDomain = DefaultEntriesPerDomain;
    /// Time after SIGTERM in which new requests are still accepted.
    Duration drainAccept = std::chrono::seconds{10};
    /// Time after SIGTERM at which the remaining requests are aborted; 0: no limit.
    Duration drainLimit{0};
    /// Number of threads that serve callers and connect to targets.
    uint32_t threads = 2;
    uint32_t maxConnections = 10'000;
    /// Interval between reads of the VM list and of each engine's load.
    Duration pollInterval = std::chrono::milliseconds{500};
    /// Secret key that signs resume tokens; must be the same for all entries. Not a flag: read from
    /// EELGRASSLIFT_RESUME_KEY or the file that EELGRASSLIFT_RESUME_KEY_FILE names.
    std::string resumeKey;
};

/// Registers the flags of the subcommand "entry".
void addEntryOptions(CLI::App &app, EntrySettings &settings);

} // namespace eelgrasslift
