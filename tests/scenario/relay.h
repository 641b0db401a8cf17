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

/// Decides which direction of which link is cut. Links are between process names.
class LinkTable
{
public:
    void setProcess(pid_t pid, const std::string &name);

    /// Name of the process that opened the connection between the ports; empty if it is not ours.
    std::string ownerOfConnection(uint16_t localPort, uint16_t remotePort);

    void cut(const std::string &from, const std::string &to);
    void heal(const std::string &from, const std::string &to);
    bool isCut(const std::string &from, const std::string &to);

    /// Whether the process with this name has been started and has not ended.
    bool isAlive(const std::string &name);

private:
    std::mutex mutex; // the script's thread changes the table, the relay's thread reads it
    std::map<pid_t, std::string> processes;
    std::set<std::pair<std::string, std::string>> cuts;
};

class RelayConnection;

/// TCP relays between processes. A cut direction forwards nothing but keeps its connections open, as a
/// network that loses packets does; after heal() the held bytes go on. While a relay's target process has
/// ended, the relay's port is closed, so that connections to it are refused.
class RelayHub
{
public:
    explicit RelayHub(LinkTable &links);
    ~RelayHub();
    RelayHub(const RelayHub &) = delete;
    RelayHub &operator=(const RelayHub &) = delete;

    /// Opens a relay in front of a process and returns its address.
    std::string open(const std::string &targetName);

    /// Sets where the relay with this address forwards to.
    void setTarget(const std::string &relayAddress, const std::string &targetAddress);

    /// Lets connections whose links were healed go on.
    void resume();

private:
    struct Relay
    {
        std::string targetName;
        boost::asio::ip::tcp::endpoint listen;
        boost::asio::ip::tcp::endpoint target;
        boost::asio::ip::tcp::acceptor acceptor;
        // Bound but never listening: keeps the port from being given to another socket while the relay is
        // closed.
        boost::asio::ip::tcp::socket reservation;
    };

    /// A connection that was opened while its link was cut.
    struct Waiting
    {
        std::shared_ptr<Relay> relay;
        std::string clientName;
        std::shared_ptr<boost::asio::ip::tcp::socket> client;
    };

    void run(const std::function<void()> &task);
    void listen(const std::shared_ptr<Relay> &relay);
    void accept(const std::shared_ptr<Relay> &relay);
    void connect(const Waiting &waiting);
    void resumeNow();
    void closeIfRefused(const std::shared_ptr<Relay> &relay);
    void watchTargets();

    LinkTable &links;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::map<std::string, std::shared_ptr<Relay>> relays; // used on the relay's thread
    std::vector<std::weak_ptr<RelayConnection>> connections;
    std::vector<Waiting> waiting;
    boost::asio::steady_timer watchTimer;
    std::thread thread;
};

boost::asio::ip::tcp::endpoint toEndpoint(const std::string &address);
std::string toText(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace eelgrasslift::scenario
