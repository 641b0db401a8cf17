#include "eelgrasslift/entrysettings.h"

namespace eelgrasslift {

namespace {

constexpr Duration MaxDrainAccept = std::chrono::minutes{10};
constexpr Duration MaxDrainLimit = std::chrono::hours{24};
constexpr Duration MinPollInterval = std::chrono::milliseconds{50};
constexpr Duration MaxPollInterval = std::chrono::seconds{10};
constexpr uint32_t MaxEntriesPerDomain = 15;
constexpr uint32_t MaxThreads = 64;
constexpr uint32_t MaxConnections = 1'000'000;

void addAddressOptions(CLI::App &app, EntrySettings &settings)
{
    addEndpointOption(app, "--caller-listen", settings.callerListen,
                      "Address for callers; port 0: any free port")
            ->required();
    addEndpointOption(app, "--operator-listen", settings.operatorListen,
                      "Address for health, metrics and state")
            ->required();
    addEndpointOption(app, "--peer-listen", settings.peerListen, "Address for other processes of the system")
            ->required();
    addEndpointOption(app, "--advertise-peer", settings.advertisePeer,
                      "Address under which other processes reach --peer-listen, if it differs");
    addEndpointsOption(app, "--seeds", settings.seeds, "Peer addresses of some control or entry processes")
            ->required();
    addUrlOption(app, "--vm-list", settings.vmList, "The platform's list of live and leaving VMs")
            ->required();
}

} // namespace

void addEntryOptions(CLI::App &app, EntrySettings &settings)
{
    addCommonOptions(app, settings.common);
    addAddressOptions(app, settings);
    app.add_option("--data", settings.dataFolder, "Folder that keeps the last accepted rules; empty: none")
            ->envname("EELGRASSLIFT_DATA");
    app.add_option(
               "--record-slot", settings.recordSlot,
               "Number of this entry among the entries of its failure domain that keep idempotency records")
            ->check(CLI::Range(1U, MaxEntriesPerDomain))
            ->capture_default_str()
            ->envname("EELGRASSLIFT_RECORD_SLOT");
    app.add_option("--entries-per-domain", settings.entriesPerDomain,
                   "Entries of each failure domain that keep idempotency records; the same at all entries")
            ->check(CLI::Range(1U, MaxEntriesPerDomain))
            ->capture_default_str()
            ->envname("EELGRASSLIFT_ENTRIES_PER_DOMAIN");
    addDurationOption(app, "--drain-accept", settings.drainAccept, Duration{0}, MaxDrainAccept,
                      "Time after SIGTERM in which new requests are still accepted");
    addDurationOption(app, "--drain-limit", settings.drainLimit, Duration{0}, MaxDrainLimit,
                      "Time after SIGTERM after which open requests are cut off; 0s: never");
    addDurationOption(app, "--poll-interval", settings.pollInterval, MinPollInterval, MaxPollInterval,
                      "Time between two reads of the VM list and of each engine's load");
    app.add_option("--threads", settings.threads, "Traffic threads")
            ->check(CLI::Range(1U, MaxThreads))
            ->capture_default_str()
            ->envname("EELGRASSLIFT_THREADS");
    app.add_option("--max-connections", settings.maxConnections, "Most open caller connections")
            ->check(CLI::Range(1U, MaxConnections))
            ->capture_default_str()
            ->envname("EELGRASSLIFT_MAX_CONNECTIONS");
}

} // namespace eelgrasslift
