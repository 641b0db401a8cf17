#pragma once

#include "eelgrasslift/settings.h"
#include "libserving/serving.h"

#include <string>
#include <vector>

namespace eelgrasslift {

struct EntrySettings
{
    CommonSettings common;
    Endpoint callerListen{"127.0.0.1", 8080};
    Endpoint operatorListen{"127.0.0.1", 8081};
    Endpoint peerListen{"127.0.0.1", 8082};
    /// Address that other processes use instead of peerListen; port 0: none.
    Endpoint advertisePeer;
    std::vector<Endpoint> seeds;
    Endpoint vmList;
    std::string dataFolder;
    uint32_t recordSlot = 1;
    uint32_t entriesPerDomain = DefaultEntriesPerDomain;
    Duration drainAccept = std::chrono::seconds{10};
    Duration drainLimit{0};
    uint32_t threads = 2;
    uint32_t maxConnections = 10'000;
    Duration pollInterval = std::chrono::milliseconds{500};
    /// Key that signs resume tokens; shared by all entries.
    std::string resumeKey;
};

/// Registers the flags of the subcommand "entry".
void addEntryOptions(CLI::App &app, EntrySettings &settings);

} // namespace eelgrasslift
