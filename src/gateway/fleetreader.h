#pragma once

#include "gateway/connectionpool.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>

namespace eelgrasslift {

struct FleetReaderSettings
{
    /// The platform's API that lists the runners.
    Endpoint listEndpoint;
    /// Between two reads of the list.
    Duration listInterval = std::chrono::milliseconds{400};
    /// Between two report requests to one model runner, independent of reads of the list.
    Duration reportInterval = std::chrono::milliseconds{200};
    /// Between two health checks of one model runner; 0: no health checks.
    Duration healthInterval{};
};

/// Polls the platform's list of runners, and the load reports and health checks of model runners, while it is
/// active. Used by the leading coordinator, and by gateways without contact with one.
class FleetReader
{
public:
    FleetReader(boost::asio::io_context &io, const WireFormat &format, ConnectionPool &connections,
                FleetReaderSettings settings);

    /// Names of the services of model runners, with the path of their health checks; an empty path disables
    /// the checks.
    using EngineServices = std::map<std::string, std::string, std::less<>>;
    void setEngineServices(EngineServices services) { this->engineServices = std::move(services); }
    void setListInterval(Duration interval) { this->settings.listInterval = interval; }
    /// Starts or pauses polling. Inactive at first.
    void setActive(bool isActive);
    /// Replaces the runners by those known from another source, until the next list is read.
    void setKnownRunners(std::vector<RunnerEntry> entries);
    bool isActive() const { return this->active; }

    /// Sets a callback that runs after a list is read or the state of a runner changes. isUrgent is set if
    /// runners were added or removed or are leaving.
    void onUpdate(std::function<void(bool isUrgent)> callback) { this->updateCallback = std::move(callback); }

    /// The runners as last read.
    const std::vector<RunnerEntry> &entries() const { return this->knownEntries; }
    /// Whether a list was read since polling started.
    bool hasList() const { return this->listCount > 0; }

private:
    boost::asio::awaitable<void> pollLists();
    boost::asio::awaitable<void> pollReports();
    boost::asio::awaitable<void> readReport(std::string id, std::string address);
    boost::asio::awaitable<void> pollHealth();
    boost::asio::awaitable<void> checkHealth(std::string id, std::string address, std::string path);
    /// Copies the state of the runner's LeavingDetector to the entry and reports a change.
    void updateSeemsLeaving(RunnerEntry &entry);
    /// Appends all pages of the list; returns false if one could not be read.
    boost::asio::awaitable<bool> readPages(std::vector<RunnerEntry> &entries);
    void applyList(std::vector<RunnerEntry> entries);
    /// Counts a report request without response; marks the runner as unresponsive after several in a row.
    void recordMissedReport(RunnerEntry &entry);
    /// nullptr if the runner is not listed.
    RunnerEntry *find(std::string_view id);

    boost::asio::io_context &io;
    const WireFormat &format;
    ConnectionPool &connections;
    FleetReaderSettings settings;
    EngineServices engineServices;
    std::vector<RunnerEntry> knownEntries;
    /// Consecutive report requests without response, by runner id.
    std::map<std::string, uint32_t, std::less<>> missedReports;
    /// By runner id.
    std::map<std::string, LeavingDetector, std::less<>> detectors;
    std::function<void(bool)> updateCallback;
    boost::asio::steady_timer listTimer;
    boost::asio::steady_timer reportTimer;
    boost::asio::steady_timer healthTimer;
    /// Lists read since polling started.
    uint64_t listCount = 0;
    bool active = false;
    bool isStarted = false;
};

} // namespace eelgrasslift
