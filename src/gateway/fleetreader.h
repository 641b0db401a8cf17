#pragma once

#include "gateway/connectionpool.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>

namespace eelgrasslift {

struct FleetReaderSettings
{
    Endpoint list;
    Duration listInterval = std::chrono::milliseconds{400};
    /// Between two reports of one runner; also asked while a list call is on its way.
    Duration reportInterval = std::chrono::milliseconds{200};
    /// Between two health checks of one model runner; 0: none.
    Duration healthInterval{};
};

/// Reads the platform's list of runners and the reports of model runners while it is active.
class FleetReader
{
public:
    FleetReader(boost::asio::io_context &io, const WireFormat &format, ConnectionPool &connections,
                FleetReaderSettings settings);

    /// Services whose runners give reports, with the path of their health checks.
    using EngineServices = std::map<std::string, std::string, std::less<>>;
    void setEngineServices(EngineServices services) { this->engineServices = std::move(services); }
    void setListInterval(Duration interval) { this->settings.listInterval = interval; }
    void setActive(bool isActive);
    /// Begins with runners that are known from elsewhere, until a list is read.
    void useKnown(std::vector<RunnerEntry> entries);
    bool isActive() const { return this->active; }

    /// Called after a list or a round of reports arrived; isUrgent tells that runners came, left or are
    /// leaving.
    void onUpdate(std::function<void(bool isUrgent)> callback) { this->updated = std::move(callback); }

    const std::vector<RunnerEntry> &entries() const { return this->current; }
    bool hasList() const { return this->listCount > 0; }

private:
    boost::asio::awaitable<void> readLists();
    boost::asio::awaitable<void> readReports();
    boost::asio::awaitable<void> readReport(std::string id, std::string address);
    boost::asio::awaitable<void> checkHealths();
    boost::asio::awaitable<void> checkHealth(std::string id, std::string address, std::string path);
    /// Updates what the detector believes of the runner.
    void followDetector(RunnerEntry &entry);
    boost::asio::awaitable<bool> readPages(std::vector<RunnerEntry> &entries);
    void adopt(std::vector<RunnerEntry> entries);
    void noteSilence(RunnerEntry &entry);
    RunnerEntry *find(std::string_view id);

    boost::asio::io_context &io;
    const WireFormat &format;
    ConnectionPool &connections;
    FleetReaderSettings settings;
    EngineServices engineServices;
    std::vector<RunnerEntry> current;
    /// Questions for a report in a row that got no answer, by runner.
    std::map<std::string, uint32_t, std::less<>> unanswered;
    std::map<std::string, LeavingDetector, std::less<>> detectors;
    std::function<void(bool)> updated;
    boost::asio::steady_timer listTimer;
    boost::asio::steady_timer reportTimer;
    boost::asio::steady_timer healthTimer;
    uint64_t listCount = 0;
    bool active = false;
    bool isStarted = false;
};

} // namespace eelgrasslift
