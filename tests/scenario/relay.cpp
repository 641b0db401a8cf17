#include "relay.h"

#include "relayconnection.h"
#include "socketinode.h"

#include <boost/asio/post.hpp>

#include <sys/wait.h>

#include <chrono>
#include <filesystem>
#include <future>

namespace eelgrasslift::scenario {

namespace net = boost::asio;
using tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds WatchInterval{10};

bool ownsSocket(pid_t pid, const std::string &inode)
{
    const std::string wanted = "socket:[" + inode + "]";
    std::error_code error;
    const std::filesystem::path folder = "/proc/" + std::to_string(pid) + "/fd";
    for (std::filesystem::directory_iterator it(folder, error), end; !error && it != end;
         it.increment(error)) {
        std::error_code linkError;
        if (std::filesystem::read_symlink(it->path(), linkError).string() == wanted)
            return true;
    }
    return false;
}

} // namespace

void LinkTable::setProcess(pid_t pid, const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->processes, [&](const auto &entry) { return entry.second == name; });
    this->processes[pid] = name;
}

std::string LinkTable::ownerOfConnection(uint16_t localPort, uint16_t remotePort)
{
    const std::string inode = inodeOfConnection(localPort, remotePort);
    const std::lock_guard lock(this->mutex);
    for (const auto &[pid, name] : this->processes) {
        if (!inode.empty() && ownsSocket(pid, inode))
            return name;
    }
    return {};
}

void LinkTable::cut(const std::string &from, const std::string &to)
{
    const std::lock_guard lock(this->mutex);
    this->cuts.emplace(from, to);
}

void LinkTable::heal(const std::string &from, const std::string &to)
{
    const std::lock_guard lock(this->mutex);
    this->cuts.erase({from, to});
}

bool LinkTable::isCut(const std::string &from, const std::string &to)
{
    const std::lock_guard lock(this->mutex);
    return this->cuts.contains({from, to});
}

bool LinkTable::isAlive(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[pid, processName] : this->processes) {
        siginfo_t info{};
        if (processName == name)
            return waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
                   info.si_pid == 0;
    }
    return false;
}

tcp::endpoint toEndpoint(const std::string &address)
{
    const size_t colon = address.rfind(':');
    return {net::ip::make_address(address.substr(0, colon)),
            static_cast<uint16_t>(std::stoul(address.substr(colon + 1)))};
}

std::string toText(const tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

RelayHub::RelayHub(LinkTable &links)
    : links(links)
    , workGuard(this->context.get_executor())
    , watchTimer(this->context)
    , thread([this] { this->context.run(); })
{
    this->runOnThread([this] { this->watchTargets(); });
}

RelayHub::~RelayHub()
{
    this->context.stop();
    this->thread.join();
}

void RelayHub::runOnThread(const std::function<void()> &task)
{
    std::promise<void> done;
    net::post(this->context, [&] {
        try {
            task();
            done.set_value();
        } catch (...) {
            done.set_exception(std::current_exception());
        }
    });
    done.get_future().get();
}

std::string RelayHub::open(const std::string &targetName)
{
    std::string address;
    this->runOnThread([&] {
        const tcp::endpoint anyPort(net::ip::address_v4::loopback(), 0);
        auto relay = std::make_shared<Relay>(
                Relay{targetName, anyPort, {}, tcp::acceptor(this->context), tcp::socket(this->context)});
        relay->portReservation.open(tcp::v4());
        relay->portReservation.set_option(tcp::socket::reuse_address(true));
        relay->portReservation.bind(anyPort);
        relay->listen = relay->portReservation.local_endpoint();
        address = toText(relay->listen);
        this->relays[address] = relay;
        this->listen(relay);
    });
    return address;
}

void RelayHub::setTarget(const std::string &relayAddress, const std::string &targetAddress)
{
    this->runOnThread([&] {
        const auto &relay = this->relays.at(relayAddress);
        relay->target = toEndpoint(targetAddress);
        if (!relay->acceptor.is_open())
            this->listen(relay);
    });
}

void RelayHub::resume()
{
    this->runOnThread([this] { this->resumeConnections(); });
}

void RelayHub::resumeConnections()
{
    std::erase_if(this->connections, [](const auto &connection) { return connection.expired(); });
    for (const auto &weak : this->connections) {
        if (const auto connection = weak.lock())
            connection->resume();
    }
    for (const PendingConnection &pending : std::exchange(this->pendingConnections, {}))
        this->connect(pending);
}

void RelayHub::listen(const std::shared_ptr<Relay> &relay)
{
    relay->acceptor.open(relay->listen.protocol());
    relay->acceptor.set_option(tcp::acceptor::reuse_address(true));
    relay->acceptor.bind(relay->listen);
    relay->acceptor.listen();
    this->accept(relay);
}

void RelayHub::accept(const std::shared_ptr<Relay> &relay)
{
    relay->acceptor.async_accept([this, relay](error_code error, tcp::socket client) {
        if (error == net::error::operation_aborted || !relay->acceptor.is_open())
            return;
        if (!error) {
            error_code remoteError;
            const std::string owner = this->links.ownerOfConnection(
                    client.remote_endpoint(remoteError).port(), relay->listen.port());
            this->connect({relay, owner, std::make_shared<tcp::socket>(std::move(client))});
        }
        this->accept(relay);
    });
}

void RelayHub::connect(const PendingConnection &pending)
{
    const std::string &targetName = pending.relay->targetName;
    if (this->links.isCut(pending.clientName, targetName) ||
        this->links.isCut(targetName, pending.clientName)) {
        this->pendingConnections.push_back(pending);
        return;
    }
    auto target = std::make_shared<tcp::socket>(this->context);
    target->async_connect(pending.relay->target, [this, pending, target](error_code error) {
        if (error)
            return;
        const auto connection =
                std::make_shared<RelayConnection>(this->links, std::move(*pending.client), std::move(*target),
                                                  pending.clientName, pending.relay->targetName);
        connection->setTargetClosedHandler([this, relay = pending.relay] { this->closeIfRefused(relay); });
        this->connections.push_back(connection);
        connection->start();
    });
}

void RelayHub::closeIfRefused(const std::shared_ptr<Relay> &relay)
{
    error_code error;
    error_code ignored;
    tcp::socket probe(this->context);
    probe.connect(relay->target, error);
    if (error == net::error::connection_refused)
        relay->acceptor.close(ignored);
}

void RelayHub::watchTargets()
{
    for (const auto &[address, relay] : this->relays) {
        error_code ignored;
        const bool hasTarget = relay->target.port() != 0;
        if (hasTarget && relay->acceptor.is_open() && !this->links.isAlive(relay->targetName))
            relay->acceptor.close(ignored);
    }
    this->watchTimer.expires_after(WatchInterval);
    this->watchTimer.async_wait([this](error_code error) {
        if (!error)
            this->watchTargets();
    });
}

} // namespace eelgrasslift::scenario
