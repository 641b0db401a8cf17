#include "harness.h"

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr size_t ReadBytes = 16384;

sockaddr_in socketAddress(const std::string &ip, uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

int remaining(Time limit)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(limit - Clock::now()).count();
    return static_cast<int>(std::max<int64_t>(left, 0));
}

} // namespace

void sleepFor(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void Record::add(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    this->file << this->millisecondsOf(Clock::now()) << " ms  " << text << std::endl;
}

int64_t Record::millisecondsOf(Time time) const
{
    return std::chrono::duration_cast<Milliseconds>(time - this->start).count();
}

Addresses::Addresses()
{
    constexpr int Block = 250;
    const int pid = getpid();
    this->prefix =
            "127." + std::to_string(1 + pid / Block % Block) + "." + std::to_string(1 + pid % Block) + ".";
}

std::string Message::target() const
{
    const size_t begin = this->firstLine.find(' ') + 1;
    return this->firstLine.substr(begin, this->firstLine.find(' ', begin) - begin);
}

int Message::status() const
{
    const size_t begin = this->firstLine.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(this->firstLine.c_str() + begin);
}

std::string Message::field(const std::string &name) const
{
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string{} : found->second;
}

Connection::~Connection()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
}

ConnectionPointer Connection::connect(const std::string &ip, uint16_t port, Milliseconds timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto connection = std::make_shared<Connection>(descriptor);
    const sockaddr_in address = socketAddress(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS)
        return nullptr;
    pollfd waiting{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&waiting, 1, static_cast<int>(timeout.count())) != 1 ||
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        return nullptr;
    const int yes = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return connection;
}

bool Connection::send(std::string_view bytes)
{
    constexpr int MaxWaitMs = 5000;
    while (!bytes.empty()) {
        const ssize_t sent =
                ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            pollfd waiting{this->descriptor, POLLOUT, 0};
            if (::poll(&waiting, 1, MaxWaitMs) == 1)
                continue;
            return false;
        }
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

bool Connection::fill(Time limit)
{
    pollfd waiting{this->descriptor, POLLIN, 0};
    if (::poll(&waiting, 1, remaining(limit)) != 1)
        return false;
    char bytes[ReadBytes];
    const ssize_t received = ::recv(this->descriptor, bytes, sizeof bytes, 0);
    if (received <= 0)
        return false;
    this->buffer.append(bytes, static_cast<size_t>(received));
    return true;
}

std::optional<std::string> Connection::readLine(Time limit)
{
    size_t end = std::string::npos;
    while ((end = this->buffer.find('\n')) == std::string::npos) {
        if (!this->fill(limit))
            return std::nullopt;
    }
    std::string line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 1);
    if (line.ends_with('\r'))
        line.pop_back();
    return line;
}

bool Connection::readBytes(size_t count, Time limit, std::string &body,
                           const std::function<void(std::string_view)> &onBody)
{
    while (count > 0) {
        if (this->buffer.empty() && !this->fill(limit))
            return false;
        const size_t size = std::min(count, this->buffer.size());
        if (onBody)
            onBody(std::string_view(this->buffer).substr(0, size));
        body.append(this->buffer, 0, size);
        this->buffer.erase(0, size);
        count -= size;
    }
    return true;
}

std::optional<Message> Connection::receive(bool isResponse, Milliseconds timeout,
                                           const std::function<void(std::string_view)> &onBody)
{
    const Time limit = Clock::now() + timeout;
    Message message;
    const auto firstLine = this->readLine(limit);
    if (!firstLine)
        return std::nullopt;
    message.firstLine = *firstLine;
    for (;;) {
        const auto line = this->readLine(limit);
        if (!line)
            return std::nullopt;
        if (line->empty())
            break;
        const size_t colon = line->find(':');
        if (colon == std::string::npos)
            return std::nullopt;
        const size_t value = line->find_first_not_of(' ', colon + 1);
        message.fields[lowerCase(line->substr(0, colon))] =
                value == std::string::npos ? std::string{} : line->substr(value);
    }
    if (lowerCase(message.field("transfer-encoding")) == "chunked") {
        for (;;) {
            const auto line = this->readLine(limit);
            if (!line)
                return message;
            const size_t size = std::strtoul(line->c_str(), nullptr, 16);
            if (size > 0 && !this->readBytes(size, limit, message.body, onBody))
                return message;
            if (!this->readLine(limit))
                return message;
            if (size == 0)
                break;
        }
        message.isComplete = true;
    } else if (message.has("content-length")) {
        const size_t size = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        message.isComplete = this->readBytes(size, limit, message.body, onBody);
    } else if (isResponse) {
        while (this->fill(limit)) {
        }
        message.body = std::exchange(this->buffer, {});
        message.isComplete = true;
    } else {
        message.isComplete = true;
    }
    return message;
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t received = ::recv(this->descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::reset()
{
    const linger immediate{1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
    ::close(this->descriptor.exchange(-1));
}

void Connection::shutdownSend()
{
    ::shutdown(this->descriptor, SHUT_WR);
}

Server::Server(const std::string &ip, uint16_t port, Handler connectionHandler)
    : handler(std::move(connectionHandler))
{
    constexpr int Backlog = 512;
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = socketAddress(ip, port);
    if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 ||
        ::listen(this->listener, Backlog) != 0) {
        std::cerr << "cannot listen at " << ip << ":" << port << ": " << std::strerror(errno) << "\n";
        std::_Exit(ExitNotRun);
    }
    std::thread([this] { this->accept(); }).detach();
}

void Server::accept()
{
    for (;;) {
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const int yes = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const auto connection = std::make_shared<Connection>(descriptor);
        if (this->isResetting && this->isResetting()) {
            connection->reset();
            continue;
        }
        std::thread([this, connection] { this->handler(connection); }).detach();
    }
}

std::string response(int status, const std::string &fields, const std::string &body, const std::string &type)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields + "Content-Type: " + type +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Deployment::Deployment(const Addresses &addressPlan, int coordinatorCount, int gatewayCount,
                       Record &runRecord)
    : addresses(addressPlan)
    , record(runRecord)
{
    const char *base = std::getenv("TMPDIR");
    std::string pattern = std::string(base != nullptr ? base : "/tmp") + "/review-2-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr)
        std::_Exit(ExitNotRun);
    this->folder = pattern;
    for (int i = 0; i < coordinatorCount; ++i)
        this->coordinators.push_back(
                {"core-" + std::to_string(i), "coordinator", this->addresses.coordinator(i)});
    for (int i = 0; i < gatewayCount; ++i)
        this->gateways.push_back({"front-" + std::to_string(i), "gateway", this->addresses.gateway(i)});
}

Deployment::~Deployment()
{
    for (std::vector<Node> *nodes : {&this->gateways, &this->coordinators}) {
        for (Node &node : *nodes) {
            if (node.pid <= 0)
                continue;
            ::kill(node.pid, SIGKILL);
            ::waitpid(node.pid, nullptr, 0);
        }
    }
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(this->folder, ignored);
    else
        std::cerr << "logs: " << this->folder << "\n";
}

std::string Deployment::settings(const Node &node, bool isFirstStart) const
{
    std::string text = "node_name=" + node.name + "\nip=" + node.ip +
                       "\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\n"
                       "internal_ports=7200,7215\n";
    if (node.role == "gateway")
        text += "listen.front=" + node.ip + ":" + std::to_string(CallerPort) + "\nlisten.ready=" + node.ip +
                ":" + std::to_string(ReadinessPort) + "\n";
    else
        text += "listen.control=" + node.ip + ":" + std::to_string(OperatorPort) +
                "\ndata_dir=" + this->folder + "/data-" + node.name + "\n";
    text += "seeds=";
    for (size_t i = 0; i < this->coordinators.size(); ++i)
        text += (i > 0 ? "," : "") + this->coordinators[i].ip + ":" + std::to_string(OperatorPort);
    text += std::string("\nbootstrap=") + (isFirstStart ? "true" : "false") +
            "\nfault_tolerance.machines=1\ncloud.address=" + this->addresses.list() + ":" +
            std::to_string(ListPort) +
            "\ncloud.rate_per_s=47.0\nbounds.contact_ms=3000\nbounds.drain_ms=3000\nbounds.grace_s=8\n"
            "bounds.config_apply_ms=2000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
            "bounds.budget_extra=58\n";
    return text;
}

void Deployment::start()
{
    for (Node &node : this->coordinators)
        this->launch(node, true);
    for (Node &node : this->gateways)
        this->launch(node, true);
}

void Deployment::launch(Node &node, bool isFirstStart)
{
    const std::string settingsPath = this->folder + "/" + node.name + ".conf";
    std::ofstream(settingsPath) << this->settings(node, isFirstStart);
    if (node.role == "coordinator")
        std::filesystem::create_directories(this->folder + "/data-" + node.name);
    const std::string logPath = this->folder + "/" + node.name + ".log";
    const pid_t parent = getpid();
    node.pid = ::fork();
    if (node.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            std::_Exit(ExitNotRun);
        const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("EELGRASSLIFT_SETTINGS", settingsPath.c_str(), 1);
        ::execl("target/eelgrasslift", "target/eelgrasslift", node.role.c_str(), nullptr);
        std::_Exit(ExitNotRun);
    }
    this->record.add("start of " + node.name);
}

void Deployment::signal(Node &node, int number)
{
    this->record.add("signal " + std::to_string(number) + " to " + node.name);
    ::kill(node.pid, number);
}

std::optional<int> Deployment::waitForEnd(Node &node, Milliseconds timeout)
{
    constexpr Milliseconds Interval{10};
    const Time limit = Clock::now() + timeout;
    for (;;) {
        int status = 0;
        if (::waitpid(node.pid, &status, WNOHANG) == node.pid) {
            this->record.add("end of " + node.name + ", status " + std::to_string(status));
            node.pid = -1;
            return status;
        }
        if (Clock::now() >= limit)
            return std::nullopt;
        sleepFor(Interval);
    }
}

int Deployment::put(const std::string &body, Node &coordinator)
{
    constexpr Milliseconds Timeout{1000};
    std::string ip = coordinator.ip;
    for (int redirects = 0; redirects <= 2; ++redirects) {
        const auto connection = Connection::connect(ip, OperatorPort, Timeout);
        if (!connection)
            return 0;
        connection->send("PUT /v1/config HTTP/1.1\r\nHost: " + ip +
                         "\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
        const auto answer = connection->receive(true, Timeout);
        if (!answer || !answer->isComplete)
            return 0;
        if (answer->status() != 307)
            return answer->status();
        const std::string location = answer->field("location");
        const size_t begin = location.find("//") + 2;
        ip = location.substr(begin, location.find(':', begin) - begin);
    }
    return 307;
}

bool Deployment::configure(const std::string &body, Milliseconds timeout)
{
    constexpr Milliseconds Interval{100};
    const Time limit = Clock::now() + timeout;
    for (size_t i = 0; Clock::now() < limit; ++i) {
        const int status = this->put(body, this->coordinators[i % this->coordinators.size()]);
        if (status == 200) {
            this->record.add("configuration acknowledged");
            return true;
        }
        sleepFor(Interval);
    }
    return false;
}

bool Deployment::isReady(const Node &gateway) const
{
    constexpr Milliseconds Timeout{500};
    const auto connection = Connection::connect(gateway.ip, ReadinessPort, Timeout);
    if (!connection)
        return false;
    connection->send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    const auto answer = connection->receive(true, Timeout);
    return answer && answer->status() == 200;
}

bool Deployment::waitUntilReady(Milliseconds timeout)
{
    constexpr Milliseconds Interval{100};
    const Time limit = Clock::now() + timeout;
    while (Clock::now() < limit) {
        if (std::ranges::all_of(this->gateways, [this](const Node &node) { return this->isReady(node); })) {
            this->record.add("all gateways are ready");
            return true;
        }
        sleepFor(Interval);
    }
    return false;
}

std::vector<std::string> Deployment::endedByThemselves()
{
    std::vector<std::string> names;
    for (std::vector<Node> *nodes : {&this->gateways, &this->coordinators}) {
        for (Node &node : *nodes) {
            int status = 0;
            if (node.pid > 0 && ::waitpid(node.pid, &status, WNOHANG) == node.pid) {
                node.pid = -1;
                names.push_back(node.name + " with status " + std::to_string(status));
            }
        }
    }
    return names;
}

} // namespace review
