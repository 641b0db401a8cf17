#include "casekit.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace casekit {

namespace {

constexpr int ConnectTimeoutMs = 1000;
constexpr int ReadyTimeoutMs = 20000;
constexpr size_t ReadBytes = 65536;
constexpr uint16_t InternalPorts = 16;

// Processes to end if the case itself is ended.
constexpr size_t MaxChildren = 64;
std::array<std::atomic<pid_t>, MaxChildren> children{};

void endChildren(int)
{
    for (const std::atomic<pid_t> &child : children) {
        if (child > 0)
            kill(child, SIGKILL);
    }
    _exit(CouldNotRun);
}

void replaceChild(pid_t from, pid_t to)
{
    for (std::atomic<pid_t> &child : children) {
        pid_t expected = from;
        if (child.compare_exchange_strong(expected, to))
            return;
    }
}

std::mt19937_64 &generator()
{
    thread_local std::mt19937_64 numbers{std::random_device{}()};
    return numbers;
}

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
               return std::tolower(static_cast<unsigned char>(a)) ==
                      std::tolower(static_cast<unsigned char>(b));
           });
}

bool isPortFree(const Address &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = toSocketAddress(address);
    const bool isFree = bind(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0;
    close(fd);
    return isFree;
}

/// The first of so many ports in a row that are free at all addresses, below the usual range of ephemeral
/// ports.
uint16_t freePortRange(const std::vector<std::string> &ips, uint16_t count)
{
    constexpr uint16_t Lowest = 12000;
    constexpr uint16_t Starts = 1000;
    for (;;) {
        const auto first = static_cast<uint16_t>(Lowest + randomBelow(Starts) * count);
        uint16_t port = first;
        const auto isFreeAt = [&](const std::string &ip) { return isPortFree({ip, port}); };
        while (port < first + count && std::all_of(ips.begin(), ips.end(), isFreeAt))
            ++port;
        if (port == first + count)
            return first;
    }
}

std::optional<Message> parseHead(const std::string &head)
{
    Message message;
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (message.startLine.empty()) {
            message.startLine = line;
            continue;
        }
        const size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.emplace_back(line.substr(0, colon), value);
    }
    if (message.startLine.empty())
        return std::nullopt;
    return message;
}

} // namespace

int64_t nowMs()
{
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration_cast<milliseconds>(steady_clock::now() - start).count();
}

void sleepMs(int64_t milliseconds)
{
    if (milliseconds > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

uint64_t randomBelow(uint64_t limit)
{
    return std::uniform_int_distribution<uint64_t>(0, limit - 1)(generator());
}

double randomUniform()
{
    return std::uniform_real_distribution<double>(0, 1)(generator());
}

std::string hexId()
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(generator()()));
    return text;
}

void endWith(int code)
{
    std::fflush(nullptr);
    std::_Exit(code);
}

Record::Record(const std::string &path)
    : file(std::fopen(path.c_str(), "w"))
{
    if (this->file == nullptr)
        std::exit(CouldNotRun);
}

Record::~Record()
{
    std::fclose(this->file);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    std::fprintf(this->file, "%8.3f %s\n", static_cast<double>(nowMs()) / 1000, text.c_str());
    std::fflush(this->file);
}

void Record::say(const std::string &text)
{
    this->line(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
}

std::string loopbackIp(unsigned number)
{
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + pid / 200 % 250) + "." + std::to_string(pid % 200 + number / 200) +
           "." + std::to_string(1 + number % 200);
}

uint16_t freePort(const std::string &ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = toSocketAddress({ip, 0});
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0)
        std::exit(CouldNotRun);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
}

std::string Message::header(std::string_view name) const
{
    for (const auto &[key, value] : this->headers) {
        if (equalsIgnoringCase(key, name))
            return value;
    }
    return {};
}

bool Message::hasHeader(std::string_view name) const
{
    return std::any_of(this->headers.begin(), this->headers.end(),
                       [&](const auto &item) { return equalsIgnoringCase(item.first, name); });
}

int Message::status() const
{
    const size_t space = this->startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(this->startLine.c_str() + space);
}

std::string Message::method() const
{
    return this->startLine.substr(0, this->startLine.find(' '));
}

std::string Message::target() const
{
    const size_t from = this->startLine.find(' ') + 1;
    return this->startLine.substr(from, this->startLine.find(' ', from) - from);
}

Connection::Connection(int descriptor)
    : fd(descriptor)
{
    const int on = 1;
    setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    if (this->fd >= 0)
        close(this->fd);
}

std::unique_ptr<Connection> Connection::open(const Address &to, int timeoutMs)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0)
        return nullptr;
    const sockaddr_in address = toSocketAddress(to);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int error = errno;
        socklen_t size = sizeof error;
        if (error != EINPROGRESS || poll(&waiting, 1, timeoutMs) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return nullptr;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Connection>(fd);
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

bool Connection::fill(int64_t deadline)
{
    pollfd waiting{this->fd, POLLIN, 0};
    const int64_t remaining = std::max<int64_t>(deadline - nowMs(), 0);
    if (poll(&waiting, 1, static_cast<int>(remaining)) != 1)
        return false;
    char bytes[ReadBytes];
    const ssize_t received = recv(this->fd, bytes, sizeof bytes, 0);
    if (received <= 0)
        return false;
    this->buffer.append(bytes, static_cast<size_t>(received));
    return true;
}

bool Connection::fillTo(size_t size, int64_t deadline)
{
    while (this->buffer.size() < size) {
        if (!this->fill(deadline))
            return false;
    }
    return true;
}

std::optional<Message> Connection::readHead(int timeoutMs)
{
    const int64_t deadline = nowMs() + timeoutMs;
    size_t end = this->buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!this->fill(deadline))
            return std::nullopt;
        end = this->buffer.find("\r\n\r\n");
    }
    std::optional<Message> message = parseHead(this->buffer.substr(0, end + 2));
    this->buffer.erase(0, end + 4);
    return message;
}

std::optional<std::string> Connection::readChunk(int timeoutMs)
{
    const int64_t deadline = nowMs() + timeoutMs;
    size_t end = this->buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!this->fill(deadline))
            return std::nullopt;
        end = this->buffer.find("\r\n");
    }
    const size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
    if (!this->fillTo(end + 2 + size + 2, deadline))
        return std::nullopt;
    std::string chunk = this->buffer.substr(end + 2, size);
    this->buffer.erase(0, end + 2 + size + 2);
    return chunk;
}

std::optional<Message> Connection::read(int timeoutMs, bool isRequest)
{
    const int64_t deadline = nowMs() + timeoutMs;
    std::optional<Message> message = this->readHead(timeoutMs);
    if (!message)
        return std::nullopt;
    const auto remaining = [&] { return static_cast<int>(std::max<int64_t>(deadline - nowMs(), 0)); };
    if (equalsIgnoringCase(message->header("Transfer-Encoding"), "chunked")) {
        for (;;) {
            const std::optional<std::string> chunk = this->readChunk(remaining());
            if (!chunk)
                return message;
            if (chunk->empty())
                break;
            message->body += *chunk;
        }
    } else if (message->hasHeader("Content-Length")) {
        const size_t size = std::strtoul(message->header("Content-Length").c_str(), nullptr, 10);
        const bool isWhole = this->fillTo(size, deadline);
        message->body = this->buffer.substr(0, size);
        this->buffer.erase(0, std::min(size, this->buffer.size()));
        if (!isWhole)
            return message;
    } else if (!isRequest) {
        while (this->fill(deadline)) {
        }
        message->body = std::move(this->buffer);
        this->buffer.clear();
    }
    message->isComplete = true;
    return message;
}

bool Connection::isClosedByPeer()
{
    char byte = 0;
    const ssize_t received = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::reset()
{
    const linger now{1, 0};
    setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(this->fd);
    this->fd = -1;
}

struct Server::State
{
    std::mutex mutex;
    std::set<int> connections;
    int listener = -1;
    Handler handler;
    std::atomic<bool> isStopped = false;
};

Server::Server(Address address, Handler handler)
    : own(std::move(address))
    , state(std::make_shared<State>())
{
    this->state->handler = std::move(handler);
    this->state->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->state->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in target = toSocketAddress(this->own);
    socklen_t size = sizeof target;
    if (bind(this->state->listener, reinterpret_cast<sockaddr *>(&target), size) != 0 ||
        listen(this->state->listener, 1024) != 0) {
        std::perror("cannot listen");
        std::exit(CouldNotRun);
    }
    getsockname(this->state->listener, reinterpret_cast<sockaddr *>(&target), &size);
    this->own.port = ntohs(target.sin_port);
    this->acceptor = std::thread([this] { this->accept(); });
}

Server::~Server()
{
    this->stop();
}

void Server::accept()
{
    const std::shared_ptr<State> shared = this->state;
    for (;;) {
        const int fd = accept4(shared->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (shared->isStopped) {
            if (fd >= 0)
                close(fd);
            return;
        }
        if (fd < 0) {
            sleepMs(1);
            continue;
        }
        {
            const std::lock_guard lock(shared->mutex);
            shared->connections.insert(fd);
        }
        std::thread([shared, fd] {
            auto connection = std::make_unique<Connection>(fd);
            shared->handler(*connection);
            const std::lock_guard lock(shared->mutex);
            shared->connections.erase(fd);
            connection.reset();
        }).detach();
    }
}

void Server::stop(bool withReset)
{
    if (this->state->isStopped.exchange(true))
        return;
    shutdown(this->state->listener, SHUT_RDWR);
    this->acceptor.join();
    close(this->state->listener);
    const std::lock_guard lock(this->state->mutex);
    for (const int fd : this->state->connections) {
        if (withReset) {
            const linger now{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        shutdown(fd, SHUT_RDWR);
    }
}

size_t Server::connectionCount() const
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->connections.size();
}

Process::Process(std::string processName, std::vector<std::string> arguments, std::string settingsPath,
                 std::string log, unsigned maxDescriptors)
    : name(std::move(processName))
{
    std::vector<char *> words;
    for (std::string &argument : arguments)
        words.push_back(argument.data());
    words.push_back(nullptr);
    const std::string setting = "EELGRASSLIFT_SETTINGS=" + settingsPath;
    std::vector<std::string> variables{setting, "PATH=/usr/bin:/bin", "LANG=C"};
    std::vector<char *> environment;
    for (std::string &variable : variables)
        environment.push_back(variable.data());
    environment.push_back(nullptr);
    std::signal(SIGTERM, endChildren);
    std::signal(SIGINT, endChildren);
    this->pid = fork();
    if (this->pid != 0) {
        replaceChild(0, this->pid);
        return;
    }
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (maxDescriptors > 0) {
        const rlimit limit{maxDescriptors, maxDescriptors};
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    execve(words[0], words.data(), environment.data());
    _exit(127);
}

Process::~Process()
{
    if (this->pid <= 0)
        return;
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    replaceChild(this->pid, 0);
}

void Process::signal(int number) const
{
    if (this->pid > 0)
        kill(this->pid, number);
}

bool Process::isRunning()
{
    if (this->pid <= 0)
        return false;
    if (waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
        replaceChild(this->pid, 0);
        this->pid = -1;
    }
    return this->pid > 0;
}

uint64_t Process::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
    uint64_t total = 0;
    uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

size_t Process::openDescriptors() const
{
    std::error_code error;
    size_t count = 0;
    for (const auto &entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(this->pid) + "/fd", error))
        count += entry.path().empty() ? 0 : 1;
    return count;
}

int64_t Process::cpuMs() const
{
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string word;
    int64_t user = 0;
    int64_t system = 0;
    for (int i = 0; i < 11; ++i)
        fields >> word;
    fields >> user >> system;
    return (user + system) * 1000 / sysconf(_SC_CLK_TCK);
}

Deployment::Deployment(std::string ownFolder, DeploymentOptions deploymentOptions)
    : caseFolder(std::move(ownFolder))
    , options(deploymentOptions)
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
        std::exit(CouldNotRun);
    this->runFolder = name;
    this->frontPort = freePort(loopbackIp(10));
    this->readyPort = freePort(loopbackIp(10));
    this->controlPort = freePort(loopbackIp(0));
    std::vector<std::string> ips;
    for (unsigned index = 0; index < this->options.coordinators; ++index)
        ips.push_back(loopbackIp(index));
    for (unsigned index = 0; index < this->options.gateways; ++index)
        ips.push_back(loopbackIp(10 + index));
    this->firstInternalPort = freePortRange(ips, InternalPorts);
    this->list = std::make_unique<Server>(Address{loopbackIp(30), 0}, [this](Connection &connection) {
        while (const auto request = connection.read(60000, true)) {
            const std::string body = this->listText(request->target());
            if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    });
}

Deployment::~Deployment()
{
    this->gatewayProcesses.clear();
    this->coordinatorProcesses.clear();
    this->list->stop();
    std::error_code ignored;
    if (std::getenv("KEEP") != nullptr)
        std::printf("kept %s\n", this->runFolder.c_str());
    else
        std::filesystem::remove_all(this->runFolder, ignored);
}

Address Deployment::gateway(unsigned index) const
{
    return {loopbackIp(10 + index), this->frontPort};
}

Address Deployment::readiness(unsigned index) const
{
    return {loopbackIp(10 + index), this->readyPort};
}

Address Deployment::operatorAddress(unsigned index) const
{
    return {loopbackIp(index), this->controlPort};
}

void Deployment::writeSettings(const std::string &name, const std::string &ip, bool isGateway,
                               bool isFirstStart) const
{
    std::ofstream file(this->runFolder + "/" + name + ".conf");
    file << "node_name=" << name << "\nrole=" << (isGateway ? "gateway" : "coordinator")
         << "\nmachine_class=" << (isGateway ? "front" : "core")
         << "\nserves=" << (isGateway ? "front" : "control") << "\nip=" << ip
         << "\nzone=trakiya\nregion=plovdiv\nzones.trakiya=plovdiv\n"
         << "internal_ports=" << this->firstInternalPort << "," << this->firstInternalPort + InternalPorts - 1
         << "\n";
    if (isGateway)
        file << "listen.front=" << ip << ":" << this->frontPort << "\nlisten.ready=" << ip << ":"
             << this->readyPort << "\n";
    else
        file << "listen.control=" << ip << ":" << this->controlPort << "\ndata_dir=" << this->runFolder
             << "/data-" << name << "\n";
    file << "seeds=";
    for (unsigned index = 0; index < this->options.coordinators; ++index)
        file << (index > 0 ? "," : "") << this->operatorAddress(index).text();
    file << "\nbootstrap=" << (isFirstStart ? "true" : "false")
         << "\nfault_counted=" << (isGateway ? "false" : "true")
         << "\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=110\nlimits.max_fds=4100\n"
         << "limits.link_mbps=1000.0\nlimits.disk_mb=" << (isGateway ? 0 : 128)
         << "\ndiscovery=cloud_api\nentry=vip\nheartbeat_ms=1200\n"
         << "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants\nfault_tolerance.machines="
            "1\n"
         << "fault_tolerance.zones=1\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\nbounds.reuse_after_s="
            "2\n"
         << "bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\n"
         << "bounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
         << "bounds.downgrade_slack_ms=250\nbounds.max_stretch_ms=5000\nbounds.revoke_strict=false\n"
         << "bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
         << "bounds.budget_extra=58\nbounds.recovery_s=12\nbounds.pass_ms=120\nbounds.reuse_window_s=4\n"
         << "config_mode=highest\ncloud.address=" << this->list->address().text()
         << "\ncloud.rate_per_s=47.0\ncloud.duties=\ncloud.lag_ms=" << this->options.listLagMs << "\n";
}

void Deployment::startGateway(unsigned index)
{
    const std::string name = "front-" + std::to_string(index);
    this->writeSettings(name, loopbackIp(10 + index), true, false);
    if (this->gatewayProcesses.size() <= index)
        this->gatewayProcesses.resize(index + 1);
    this->gatewayProcesses[index] =
            std::make_unique<Process>(name, std::vector<std::string>{"target/eelgrasslift", "gateway"},
                                      this->runFolder + "/" + name + ".conf",
                                      this->runFolder + "/" + name + ".log", this->options.maxDescriptors);
}

bool Deployment::start(const std::string &config)
{
    for (unsigned index = 0; index < this->options.coordinators; ++index) {
        const std::string name = "core-" + std::to_string(index);
        std::filesystem::create_directories(this->runFolder + "/data-" + name);
        this->writeSettings(name, loopbackIp(index), false, true);
        this->coordinatorProcesses.push_back(std::make_unique<Process>(
                name, std::vector<std::string>{"target/eelgrasslift", "coordinator"},
                this->runFolder + "/" + name + ".conf", this->runFolder + "/" + name + ".log",
                this->options.maxDescriptors));
    }
    for (unsigned index = 0; index < this->options.gateways; ++index)
        this->startGateway(index);
    if (!this->configure(config, ReadyTimeoutMs))
        return false;
    const int64_t deadline = nowMs() + ReadyTimeoutMs;
    for (unsigned index = 0; index < this->options.gateways; ++index) {
        while (this->checkReadiness(index) != 200) {
            if (nowMs() > deadline)
                return false;
            sleepMs(50);
        }
    }
    return true;
}

bool Deployment::configure(const std::string &config, int timeoutMs)
{
    const int64_t deadline = nowMs() + timeoutMs;
    for (unsigned attempt = 0; nowMs() < deadline; ++attempt) {
        Address to = this->operatorAddress(attempt % this->options.coordinators);
        for (int redirects = 0; redirects <= 2; ++redirects) {
            const auto connection = Connection::open(to, ConnectTimeoutMs);
            if (!connection)
                break;
            connection->send("PUT /v1/config HTTP/1.1\r\nHost: " + to.text() +
                             "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
                             std::to_string(config.size()) + "\r\n\r\n" + config);
            const auto response = connection->read(2000, false);
            if (response && response->status() == 200)
                return true;
            if (response && response->status() == 400)
                return false;
            if (!response || response->status() != 307)
                break;
            const std::string location = response->header("Location").substr(std::strlen("http://"));
            const size_t colon = location.find(':');
            to = {location.substr(0, colon), static_cast<uint16_t>(std::atoi(location.c_str() + colon + 1))};
        }
        sleepMs(std::min<int64_t>(100 * (attempt + 1), 1000));
    }
    return false;
}

void Deployment::setRunners(std::vector<RunnerEntry> entries)
{
    const std::lock_guard lock(this->runnersMutex);
    this->runnerVersions.emplace_back(nowMs(), std::move(entries));
}

std::string Deployment::listText(const std::string &target)
{
    constexpr size_t PageSize = 50;
    size_t from = 0;
    if (const size_t token = target.find("page_token=p-"); token != std::string::npos)
        from = std::strtoul(target.c_str() + token + std::strlen("page_token=p-"), nullptr, 10);
    const std::lock_guard lock(this->runnersMutex);
    const std::vector<RunnerEntry> none;
    const std::vector<RunnerEntry> *shown =
            this->runnerVersions.empty() ? &none : &this->runnerVersions.front().second;
    for (const auto &[since, entries] : this->runnerVersions) {
        if (since + this->options.listLagMs <= nowMs())
            shown = &entries;
    }
    std::string text = R"({"instances":[)";
    for (size_t index = from; index < std::min(from + PageSize, shown->size()); ++index) {
        const RunnerEntry &entry = (*shown)[index];
        text += std::string(index > from ? "," : "") + R"({"id":")" + entry.id + R"(","service":")" +
                entry.service + R"(","address":")" + entry.address.text() +
                R"(","zone":"trakiya","version":"v1","slots":)" + std::to_string(entry.slots) +
                R"(,"state":")" + (entry.isDraining ? "draining" : "ready") +
                R"(","cold_left_ms":0,"stage":"both","models":[]})";
    }
    text += "],\"next\":";
    text += from + PageSize < shown->size() ? "\"p-" + std::to_string(from + PageSize) + "\"" : "null";
    return text + "}";
}

int Deployment::checkReadiness(unsigned index) const
{
    const auto connection = Connection::open(this->readiness(index), ConnectTimeoutMs);
    if (!connection)
        return 0;
    connection->send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    const auto response = connection->read(ConnectTimeoutMs, false);
    return response ? response->status() : 0;
}

} // namespace casekit
