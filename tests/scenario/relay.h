#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace eelgrasslift::scenario {

/// Records which links between processes are cut, separately for each direction. Processes are identified by
/// name, which stays the same over restarts. Thread-safe.
class LinkTable
{
public:
    /// Records the pid of a started process, instead of an earlier process with the same name.
    void setProcess(pid_t pid, const std::string &name);

    /// Name of the process that opened the connection between the two loopback ports; empty if the scenario
    /// did not start it.
    std::string ownerOfConnection(uint16_t localPort, uint16_t remotePort);

    /// Cuts the direction from one process to another.
    void cut(const std::string &from, const std::string &to);

    /// Restores a direction. RelayHub::resume() must be called to forward what was retained.
    void heal(const std::string &from, const std::string &to);

    /// Whether the direction from one process to another is cut.
    bool isCut(const std::string &from, const std::string &to);

    /// Whether the process with this name has been started and has not ended.
    bool isAlive(const std::string &name);

private:
    std::mutex mutex; // the script's thread changes the table, the relay's thread reads it
    std::map<pid_t, std::string> processes;
    std::set<std::pair<std::string, std::string>> cuts;
};

class RelayConnection;

/// TCP relays between processes, all on one thread. A direction that is cut in the LinkTable forwards nothing
/// but keeps its connections open, like a network that loses packets; resume() forwards the retained bytes
/// after LinkTable::heal(). After a relay's target process has ended, the relay's port is closed, so that
/// connections to it are refused.
class RelayHub
{
public:
    explicit RelayHub(LinkTable &links);
    ~RelayHub();
    RelayHub(const RelayHub &) = delete;
    RelayHub &operator=(const RelayHub &) = delete;

    /// Opens a relay for connections to a process and returns the relay's address.
    std::string open(const std::string &targetName);

    /// Sets the address to which a relay forwards, and opens its port again if it was closed.
    void setTarget(const std::string &relayAddress, const std::string &targetAddress);

    /// Continues forwarding on links that are no longer cut.
    void resume();

private:
    struct Relay
    {
        std::string targetName;
        boost::asio::ip::tcp::endpoint listen;
        boost::asio::ip::tcp::endpoint target;
        boost::asio::ip::tcp::acceptor acceptor;
        // Bound but never listening, so that no other socket gets the port while the relay is closed.
        boost::asio::ip::tcp::socket portReservation;
    };

    /// Connection that was accepted while its link was cut; it is connected to the target by resume().
    struct PendingConnection
    {
        std::shared_ptr<Relay> relay;
        std::string clientName;
        std::shared_ptr<boost::asio::ip::tcp::socket> client;
    };

    /// Runs the task on the relay's thread and waits for it; rethrows its exception.
    void runOnThread(const std::function<void()> &task);

    void listen(const std::shared_ptr<Relay> &relay);
    void accept(const std::shared_ptr<Relay> &relay);
    void connect(const PendingConnection &pending);
    void resumeConnections();

    /// Closes the relay's port if its target refuses connections. Called before a client is told that the
    /// target has closed a connection: when the client reconnects, the port must refuse, as it would without
    /// a relay.
    void closeIfRefused(const std::shared_ptr<Relay> &relay);

    /// Closes the ports of relays whose target process has ended, now and at regular intervals.
    void watchTargets();

    LinkTable &links;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard;
    std::map<std::string, std::shared_ptr<Relay>> relays; // used on the relay's thread
    std::vector<std::weak_ptr<RelayConnection>> connections;
    std::vector<PendingConnection> pendingConnections;
    boost::asio::steady_timer watchTimer;
    std::thread thread;
};

/// Parses `ip:port`; throws if the text has another form.
boost::asio::ip::tcp::endpoint toEndpoint(const std::string &address);

/// Formats an endpoint as `ip:port`.
std::string toText(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace eelgrasslift::scenario
