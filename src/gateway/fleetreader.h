#pragma once

#include "gateway/connectionpool.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <span>
#include <string>

namespace eelgrasslift {

/// Address of the platform and intervals of a FleetReader.
struct FleetReaderSettings
{
    /// The platform's API that lists the runners.
    Endpoint listEndpoint;
    /// Time between two reads of the list.
    Duration listInterval = std::chrono::milliseconds{400};
    /// Time between two report requests to one model runner, independent of reads of the list.
    Duration reportInterval = std::chrono::milliseconds{200};
    /// Time between two health checks of one model runner; 0: no health checks.
    Duration healthInterval{};
};

/// Polls the platform's list of runners, and the load reports and health checks of model runners, while it is
/// active. A runner that asks for a pause in its answer gets neither until the pause is over. Used by
/// coordinators that schedule, and by gateways that reach no coordinator.
class FleetReader
{
public:
    /// leavingRunners is read and added to; it must outlive the reader.
    FleetReader(boost::asio::io_context &io, const WireFormat &format, ConnectionPool &connections,
                LeavingRunners &leavingRunners, FleetReaderSettings settings);

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
    /// Records runners that have stated in an answer to a gateway that they are leaving.
    void recordLeaving(std::string_view gateway, std::span<const RunnerIncarnation> runners);

    /// Limits the report requests to the runners for which the filter returns true.
    void setReportFilter(std::function<bool(const RunnerEntry &)> filter)
    {
        this->reportFilter = std::move(filter);
    }

    /// Sets a callback for the answers of runners to report requests and health checks.
    void onResponse(std::function<void(const RunnerEntry &, const ResponseMetadata &)> callback)
    {
        this->responseCallback = std::move(callback);
    }

    /// Sets a callback that runs after a list is read, and when a runner starts to leave, begins or ceases to
    /// seem leaving, or becomes unresponsive; not after every report.
    void onUpdate(std::function<void()> callback) { this->updateCallback = std::move(callback); }

    /// The runners as last read.
    const std::vector<RunnerEntry> &entries() const { return this->knownEntries; }
    /// Whether a list was read since polling started.
    bool hasList() const { return this->listCount > 0; }

private:
    boost::asio::awaitable<void> pollLists();
    boost::asio::awaitable<void> pollReports();
    boost::asio::awaitable<void> readReport(RunnerEntry asked);
    boost::asio::awaitable<void> pollHealth();
    boost::asio::awaitable<void> checkHealth(RunnerEntry asked, std::string path);
    /// Takes note of what the header of a runner's answer states about the runner itself.
    void recordAnswer(const RunnerEntry &asked, const HttpResponse &response);
    /// Marks the runners, which are new in leavingRunners, as leaving and reports that.
    void markLeaving(std::span<const RunnerIncarnation> runners);
    /// Copies the state of the runner's LeavingDetector to the entry and reports a change.
    void updateSeemsLeaving(RunnerEntry &entry);
    /// Appends all pages of the list; returns false if one could not be read.
    boost::asio::awaitable<bool> readPages(std::vector<RunnerEntry> &entries);
    void applyList(std::vector<RunnerEntry> entries);
    /// Counts a report request without response; marks the runner as unresponsive after two in a row.
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
    LeavingRunners &leavingRunners;
    OccurrenceLimiter malformedLeavingLimiter;
    /// Pauses that runners have asked for in their answers.
    RunnerPauses pauses;
    Random random{systemSeed()};
    std::function<void()> updateCallback;
    std::function<void(const RunnerEntry &, const ResponseMetadata &)> responseCallback;
    std::function<bool(const RunnerEntry &)> reportFilter;
    boost::asio::steady_timer listTimer;
    boost::asio::steady_timer reportTimer;
    boost::asio::steady_timer healthTimer;
    /// Lists read since polling started.
    uint64_t listCount = 0;
    bool active = false;
    bool isStarted = false;
};

} // namespace eelgrasslift
