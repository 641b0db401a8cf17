#pragma once

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Stand-ins and helpers for the cases of the review: processes of the project, the platform's list, runners,
/// clients and the operator. Threads and blocking sockets, all on loopback addresses.
namespace casekit {

// Result of a case, as its script returns it.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Milliseconds of the monotonic clock since the start of the case.
int64_t nowMs();
void sleepMs(int64_t milliseconds);
/// Whether the disruption is wanted; TROUBLE=0 leaves it out.
bool hasTrouble();
/// Random number below the limit.
uint64_t randomBelow(uint64_t limit);
double randomUniform();

/// Lines of record.txt in the folder of the case. Can be used by any thread.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;
    void line(const std::string &text);
    /// Also printed.
    void say(const std::string &text);

private:
    std::mutex mutex;
    std::FILE *file;
};

struct Address
{
    std::string ip;
    uint16_t port = 0;
    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

/// Loopback addresses of a run; the process id selects the block.
std::string loopbackIp(unsigned number);
/// A port that nothing listens on at the address.
uint16_t freePort(const std::string &ip);

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isComplete = false;

    std::string header(std::string_view name) const;
    bool hasHeader(std::string_view name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

/// A connected socket with a buffer. Closed with the object.
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const Address &to, int timeoutMs);
    bool send(std::string_view bytes);
    /// Reads a message whole; an incomplete one has isComplete == false. No message: nothing arrived.
    std::optional<Message> read(int timeoutMs, bool isRequest);
    /// Reads the head only, then parts of the body with readBody().
    std::optional<Message> readHead(int timeoutMs);
    /// Next bytes of a chunked body; an empty text at its end; nothing if the body ends early.
    std::optional<std::string> readChunk(int timeoutMs);
    /// Whether the peer has closed or reset the connection.
    bool isClosedByPeer();
    /// Closes at once with a reset.
    void reset();
    int descriptor() const { return this->fd; }

private:
    bool fill(int64_t deadline);
    bool fillTo(size_t size, int64_t deadline);

    int fd;
    std::string buffer;
};

/// Accepts connections and calls the handler in a thread for each.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;
    Server(Address address, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    /// Closes the listener and, with a reset, all connections.
    void stop(bool withReset = true);
    const Address &address() const { return this->own; }
    size_t connectionCount() const;

private:
    struct State;
    void accept();

    Address own;
    std::shared_ptr<State> state;
    std::thread acceptor;
};

/// A process of the project.
class Process
{
public:
    Process(std::string name, std::vector<std::string> arguments, std::string settingsPath, std::string log,
            unsigned maxDescriptors = 0);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    void signal(int number) const;
    bool isRunning();
    /// Resident memory in bytes.
    uint64_t residentBytes() const;
    size_t openDescriptors() const;
    const std::string &processName() const { return this->name; }
    /// Processor time used so far, in ms.
    int64_t cpuMs() const;

private:
    std::string name;
    pid_t pid = -1;
};

struct RunnerEntry
{
    std::string id;
    std::string service;
    Address address;
    unsigned slots = 6;
    bool isDraining = false;
};

struct DeploymentOptions
{
    unsigned coordinators = 3;
    unsigned gateways = 1;
    unsigned maxDescriptors = 4100;
    unsigned listLagMs = 800;
};

/// Coordinators, gateways, the platform's list and the operator.
class Deployment
{
public:
    Deployment(std::string caseFolder, DeploymentOptions options);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Sends the configuration until it is acknowledged and all gateways are ready. False: could not run.
    bool start(const std::string &config);
    bool configure(const std::string &config, int timeoutMs);
    /// The list shows it after the lag.
    void setRunners(std::vector<RunnerEntry> entries);
    Address gateway(unsigned index) const;
    Address readiness(unsigned index) const;
    Address operatorAddress(unsigned index) const;
    Process &gatewayProcess(unsigned index) { return *this->gatewayProcesses.at(index); }
    Process &coordinatorProcess(unsigned index) { return *this->coordinatorProcesses.at(index); }
    void startGateway(unsigned index);
    /// Status of a readiness check on a new connection; 0 without a response.
    int checkReadiness(unsigned index) const;
    const std::string &folder() const { return this->runFolder; }

private:
    void writeSettings(const std::string &name, const std::string &ip, bool isGateway,
                       bool isFirstStart) const;
    std::string listText(const std::string &target);

    std::string caseFolder;
    std::string runFolder;
    DeploymentOptions options;
    uint16_t frontPort = 0;
    uint16_t readyPort = 0;
    uint16_t controlPort = 0;
    uint16_t firstInternalPort = 0;
    std::unique_ptr<Server> list;
    std::mutex runnersMutex;
    std::vector<std::pair<int64_t, std::vector<RunnerEntry>>> runnerVersions;
    std::vector<std::unique_ptr<Process>> coordinatorProcesses;
    std::vector<std::unique_ptr<Process>> gatewayProcesses;
};

std::string hexId();

/// Ends the process at once, without waiting for threads of stand-ins.
[[noreturn]] void endWith(int code);

} // namespace casekit
