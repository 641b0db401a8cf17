#include "eelgrasslift/controlsettings.h"

namespace eelgrasslift {

namespace {

constexpr Duration MinPollInterval = std::chrono::milliseconds{50};
constexpr Duration MaxPollInterval = std::chrono::seconds{10};

void addDataOption(CLI::App &app, std::string &folder)
{
    app.add_option("--data", folder, "Folder for the replicated state of this member")
            ->required()
            ->envname("EELGRASSLIFT_DATA");
}

} // namespace

void addControlOptions(CLI::App &app, ControlSettings &settings)
{
    addCommonOptions(app, settings.common);
    addDataOption(app, settings.dataFolder);
    addEndpointOption(app, "--peer-listen", settings.peerListen, "Address for other processes of the system")
            ->required();
    addEndpointOption(app, "--operator-listen", settings.operatorListen,
                      "Address for health, metrics, state and the admin API")
            ->required();
    addEndpointOption(app, "--advertise-peer", settings.advertisePeer,
                      "Address under which other processes reach --peer-listen, if it differs");
    addEndpointOption(app, "--advertise-operator", settings.advertiseOperator,
                      "Address under which operators reach --operator-listen, if it differs");
    addEndpointsOption(app, "--join", settings.join, "Peer addresses of the cluster that a new member joins");
    addEndpointsOption(app, "--seeds", settings.seeds, "Peer addresses of some entry processes");
    addUrlOption(app, "--vm-list", settings.vmList,
                 "The platform's list of live and leaving VMs; without it, no orders are given");
    addUrlOption(app, "--weight-store", settings.weightStore, "The weight store that grants loads");
    addDurationOption(app, "--poll-interval", settings.pollInterval, MinPollInterval, MaxPollInterval,
                      "Time between two reads of the VM list");
}

void addControlInitOptions(CLI::App &app, ControlInitSettings &settings)
{
    addDataOption(app, settings.dataFolder);
    addEndpointOption(app, "--peer-listen", settings.peerListen, "Peer address of the first member")
            ->required();
}

} // namespace eelgrasslift
