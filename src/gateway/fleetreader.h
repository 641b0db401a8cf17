#pragma once

#include "gateway/connectionpool.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <set>

namespace eelgrasslift {

struct FleetReaderSettings
{
    Endpoint list;
    Duration listInterval = std::chrono::milliseconds{400};
    /// Between two reports of one runner; also asked while a list call is on its way.
    Duration reportInterval = std::chrono::milliseconds{200};
};

/// Reads the platform's list of runners and the reports of model runners while it is active.
class FleetReader
{
public:
    FleetReader(boost::asio::io_context &io, const WireFormat &format, ConnectionPool &connections,
                FleetReaderSettings settings);

    /// Services whose runners give reports.
    void setEngineServices(std::set<std::string> names) { this->engineServices = std::move(names); }
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
    boost::asio::awaitable<bool> readPages(std::vector<RunnerEntry> &entries);
    void adopt(std::vector<RunnerEntry> entries);
    void noteSilence(RunnerEntry &entry);
    RunnerEntry *find(std::string_view id);

    boost::asio::io_context &io;
    const WireFormat &format;
    ConnectionPool &connections;
    FleetReaderSettings settings;
    std::set<std::string> engineServices;
    std::vector<RunnerEntry> current;
    /// Questions for a report in a row that got no answer, by runner.
    std::map<std::string, uint32_t, std::less<>> unanswered;
    std::function<void(bool)> updated;
    boost::asio::steady_timer listTimer;
    boost::asio::steady_timer reportTimer;
    uint64_t listCount = 0;
    bool active = false;
    bool isStarted = false;
};

} // namespace eelgrasslift
