#include "kit.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>
#include <utility>

namespace review {

namespace {

const auto started = std::chrono::steady_clock::now();

// Of the users' engines.
constexpr double PromptTokensPerSecond = 14000;
constexpr double TokensPerEvent = 4;

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

timeval timeOf(double seconds)
{
    timeval result{};
    result.tv_sec = static_cast<time_t>(seconds);
    result.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(result.tv_sec)) * 1e6);
    return result;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const size_t begin = text.find_first_not_of(" \t\r");
    return begin == std::string::npos ? std::string{}
                                      : text.substr(begin, text.find_last_not_of(" \t\r") + 1 - begin);
}

std::string streamHead(const std::string &requestId, const std::string &runnerId)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + requestId +
           "\r\nX-Server-Seal: " + runnerId +
           "\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
}

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
}

void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

Record::Record(const std::string &path)
    : file(path)
{}

void Record::note(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", now());
    this->file << time << line << std::endl;
}

std::string loopback(int number)
{
    const int block = getpid() % 60000;
    return "127." + std::to_string(10 + block / 250) + "." + std::to_string(1 + block % 250) + "." +
           std::to_string(number);
}

uint16_t freePorts(const std::vector<std::string> &ips)
{
    const auto isFree = [](const Address &candidate) {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = socketAddress(candidate);
        const bool isBound =
                bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        close(descriptor);
        return isBound;
    };
    for (int base = 20000 + getpid() % 10000; base + PortCount < 32768; base += PortCount) {
        bool areFree = true;
        for (const std::string &ip : ips) {
            for (int offset = 0; offset < PortCount; ++offset)
                areFree = areFree && isFree({ip, static_cast<uint16_t>(base + offset)});
        }
        if (areFree)
            return static_cast<uint16_t>(base);
    }
    std::exit(2);
}

Connection::~Connection()
{
    if (this->descriptor >= 0)
        close(this->descriptor);
}

std::unique_ptr<Connection> Connection::open(const Address &address, double timeout)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto connection = std::make_unique<Connection>(descriptor);
    const timeval time = timeOf(timeout);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    const int isOn = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
    const sockaddr_in peer = socketAddress(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0)
        return nullptr;
    return connection;
}

void Connection::setReadTimeout(double seconds) const
{
    const timeval time = timeOf(seconds);
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

bool Connection::write(const std::string &bytes) const
{
    size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count =
                send(this->descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        written += static_cast<size_t>(count);
    }
    return true;
}

bool Connection::fill()
{
    char bytes[16384];
    const ssize_t count = recv(this->descriptor, bytes, sizeof bytes, 0);
    this->failed = count < 0;
    if (count <= 0)
        return false;
    this->buffer.append(bytes, static_cast<size_t>(count));
    return true;
}

std::optional<std::string> Connection::readLine()
{
    size_t end = this->buffer.find('\n');
    while (end == std::string::npos) {
        if (!this->fill())
            return std::nullopt;
        end = this->buffer.find('\n');
    }
    std::string line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 1);
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    return line;
}

std::string Connection::readBytes(size_t count)
{
    while (this->buffer.size() < count && this->fill()) {
    }
    std::string bytes = this->buffer.substr(0, count);
    this->buffer.erase(0, bytes.size());
    return bytes;
}

std::string Connection::readToEnd()
{
    while (this->fill()) {
    }
    return std::exchange(this->buffer, {});
}

void Connection::end() const
{
    shutdown(this->descriptor, SHUT_RDWR);
}

std::string Message::field(const std::string &name) const
{
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string{} : found->second;
}

std::string Message::target() const
{
    const size_t begin = this->start.find(' ');
    return begin == std::string::npos ? std::string{}
                                      : this->start.substr(begin + 1, this->start.rfind(' ') - begin - 1);
}

int Message::status() const
{
    return this->start.starts_with("HTTP/1.") && this->start.size() > 11
                   ? std::atoi(this->start.substr(9, 3).c_str())
                   : 0;
}

std::optional<Message> readHead(Connection &connection)
{
    Message message;
    auto line = connection.readLine();
    if (!line)
        return std::nullopt;
    message.start = *line;
    for (line = connection.readLine(); line && !line->empty(); line = connection.readLine()) {
        const size_t colon = line->find(':');
        if (colon != std::string::npos)
            message.fields[lowerCase(line->substr(0, colon))] = trimmed(line->substr(colon + 1));
    }
    if (!line)
        return std::nullopt;
    return message;
}

void readBody(Connection &connection, Message &message, bool mayEndWithConnection)
{
    if (const std::string length = message.field("content-length"); !length.empty()) {
        const size_t size = std::stoul(length);
        message.body = connection.readBytes(size);
        message.isWhole = message.body.size() == size;
    } else if (message.field("transfer-encoding") == "chunked") {
        for (auto line = connection.readLine(); line; line = connection.readLine()) {
            const size_t size = std::strtoul(line->c_str(), nullptr, 16);
            const std::string chunk = connection.readBytes(size);
            message.body += chunk;
            if (chunk.size() < size || !connection.readLine())
                return;
            if (size == 0) {
                message.isWhole = true;
                return;
            }
        }
    } else if (mayEndWithConnection) {
        message.body = connection.readToEnd();
        message.isWhole = !connection.hasFailed();
    } else {
        message.isWhole = true;
    }
}

Message call(const Address &address, const std::string &method, const std::string &target,
             const std::map<std::string, std::string> &fields, const std::string &body, double timeout)
{
    const auto connection = Connection::open(address, timeout);
    if (!connection)
        return {};
    std::string request = method + " " + target + " HTTP/1.1\r\n";
    if (!fields.contains("Host"))
        request += "Host: " + address.text() + "\r\n";
    for (const auto &[name, value] : fields)
        request += name + ": " + value + "\r\n";
    request += "Connection: close\r\n";
    if (!body.empty() || method != "GET")
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!connection->write(request + "\r\n" + body))
        return {};
    auto answer = readHead(*connection);
    if (!answer)
        return {};
    readBody(*connection, *answer, true);
    return std::move(*answer);
}

std::string response(int status, const std::map<std::string, std::string> &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Server::Server(const std::string &ip, Handler handler)
    : served{ip, 0}
    , state(std::make_shared<State>())
{
    this->state->handler = std::move(handler);
    this->listen();
}

void Server::listen()
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int isOn = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof isOn);
    sockaddr_in address = socketAddress(this->served);
    socklen_t size = sizeof address;
    if (bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 ||
        ::listen(listener, 512) != 0) {
        std::cerr << "cannot listen at " << this->served.text() << "\n";
        std::exit(2);
    }
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    this->served.port = ntohs(address.sin_port);
    this->state->listener = listener;
    std::thread([listener, shared = this->state] {
        for (;;) {
            const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            const int isOn = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
            auto connection = std::make_shared<Connection>(accepted);
            {
                const std::lock_guard lock(shared->mutex);
                std::erase_if(shared->connections, [](const auto &known) { return known.expired(); });
                shared->connections.push_back(connection);
            }
            std::thread([connection, shared] {
                for (bool isOpen = true; isOpen;) {
                    auto request = readHead(*connection);
                    if (!request)
                        return;
                    readBody(*connection, *request, false);
                    if (!request->isWhole)
                        return;
                    isOpen = shared->handler(*connection, *request);
                }
            }).detach();
        }
    }).detach();
}

void Server::goDown(double seconds, std::function<void()> beforeReturn)
{
    {
        const std::lock_guard lock(this->state->mutex);
        shutdown(this->state->listener, SHUT_RDWR);
        close(this->state->listener);
        for (const auto &known : this->state->connections) {
            if (const auto connection = known.lock())
                connection->end();
        }
    }
    std::thread([this, seconds, beforeReturn = std::move(beforeReturn)] {
        sleepFor(seconds);
        beforeReturn();
        this->listen();
    }).detach();
}

Deployment::Deployment(Record &runRecord, std::string programPath, int gatewayCount, const Address &list)
    : record(runRecord)
    , program(std::move(programPath))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    constexpr int FirstCoordinator = 11;
    constexpr int FirstGateway = 21;
    constexpr int CoordinatorCount = 3;
    // All processes use the same ports, as on the users' platform.
    std::vector<std::string> ips;
    for (int i = 0; i < CoordinatorCount; ++i)
        ips.push_back(loopback(FirstCoordinator + i));
    for (int i = 0; i < gatewayCount; ++i)
        ips.push_back(loopback(FirstGateway + i));
    const uint16_t base = freePorts(ips);
    const auto port = [base](int offset) { return static_cast<uint16_t>(base + offset); };
    std::string seeds;
    for (int i = 0; i < CoordinatorCount; ++i) {
        const std::string ip = loopback(FirstCoordinator + i);
        this->coordinators.push_back({"core-" + std::to_string(i), {ip, port(20)}, {}, -1});
        seeds += (i > 0 ? "," : "") + this->coordinators.back().service.text();
    }
    for (int i = 0; i < gatewayCount; ++i) {
        const std::string ip = loopback(FirstGateway + i);
        this->gateways.push_back({"front-" + std::to_string(i), {ip, port(21)}, {ip, port(22)}, -1});
    }
    const auto settings = [&](const Process &process) {
        return "node_name=" + process.name + "\nip=" + process.service.ip +
               "\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\nzones.zone-b=region-a\n" +
               "internal_ports=" + std::to_string(port(0)) + "," + std::to_string(port(15)) +
               "\nseeds=" + seeds +
               "\nbootstrap=true\nfault_tolerance.machines=1\nfault_tolerance.zones=1\ncloud.address=" +
               list.text() +
               "\ncloud.rate_per_s=47\ncloud.lag_ms=800\nbounds.contact_ms=3000\nbounds.drain_ms=3000\n"
               "bounds.grace_s=8\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
               "bounds.budget_extra=58\n";
    };
    for (Process &process : this->coordinators) {
        const std::string data = this->folder + "/" + process.name;
        std::filesystem::create_directories(data);
        this->start(process, "coordinator",
                    settings(process) + "role=coordinator\nserves=control\nlisten.control=" +
                            process.service.text() + "\ndata_dir=" + data + "\n");
    }
    for (Process &process : this->gateways)
        this->start(process, "gateway",
                    settings(process) + "role=gateway\nserves=front\nlisten.front=" + process.service.text() +
                            "\nlisten.ready=" + process.readiness.text() + "\n");
}

void Deployment::start(Process &process, const std::string &role, const std::string &settings)
{
    const std::string path = this->folder + "/" + process.name + ".conf";
    std::ofstream(path) << settings;
    const std::string log = this->folder + "/" + process.name + ".log";
    process.pid = fork();
    if (process.pid == 0) {
        // Also if this program is ended before it can end its processes.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        setenv("EELGRASSLIFT_SETTINGS", path.c_str(), 1);
        execl(this->program.c_str(), this->program.c_str(), role.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }
    this->record.note("started " + process.name + " at " + process.service.text());
}

Deployment::~Deployment()
{
    for (auto *processes : {&this->gateways, &this->coordinators}) {
        for (const Process &process : *processes) {
            if (process.pid > 0) {
                kill(process.pid, SIGKILL);
                waitpid(process.pid, nullptr, 0);
            }
        }
    }
    if (std::getenv("KEEP_LOGS") != nullptr)
        std::cerr << "logs in " << this->folder << "\n";
    else
        std::filesystem::remove_all(this->folder);
}

bool Deployment::configure(const std::string &body)
{
    for (const double limit = now() + 20; now() < limit; sleepFor(0.1)) {
        for (const Process &process : this->coordinators) {
            if (call(process.service, "PUT", "/v1/config", {{"Content-Type", "application/json"}}, body, 2)
                        .status() == 200)
                return true;
        }
    }
    return false;
}

bool Deployment::waitUntilReady()
{
    for (const double limit = now() + 20; now() < limit; sleepFor(0.1)) {
        const bool isReady =
                std::all_of(this->gateways.begin(), this->gateways.end(), [](const Process &process) {
                    return call(process.readiness, "GET", "/v1/ready", {}, {}, 1).status() == 200;
                });
        if (isReady)
            return true;
    }
    return false;
}

bool Deployment::isGatewayRunning(size_t index)
{
    Process &process = this->gateways.at(index);
    if (process.pid > 0 && waitpid(process.pid, nullptr, WNOHANG) == process.pid)
        process.pid = -1;
    return process.pid > 0;
}

double Deployment::gatewayMemory(size_t index) const
{
    std::ifstream status("/proc/" + std::to_string(this->gateways.at(index).pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:"))
            return std::atof(line.c_str() + 6) / 1024;
    }
    return 0;
}

void Deployment::killGateway(size_t index)
{
    kill(this->gateways.at(index).pid, SIGKILL);
}

ModelRunner::ModelRunner(Record &runRecord, Traits runnerTraits)
    : record(runRecord)
    , traits(std::move(runnerTraits))
    , bornMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
{
    this->server = std::make_unique<Server>(loopback(this->traits.number),
                                            [this](Connection &connection, const Message &request) {
                                                return this->handle(connection, request);
                                            });
}

std::string ModelRunner::listEntry()
{
    const std::lock_guard lock(this->mutex);
    return R"({"service":")" + this->traits.service + R"(","address":")" + this->server->address().text() +
           R"(","zone":")" + this->traits.zone + R"(","version":"v1","slots":)" +
           std::to_string(this->traits.slots) +
           R"(,"state":"ready","cold_left_ms":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"id":")" +
           this->traits.id + R"(","born":)" + std::to_string(this->bornMs) + "}";
}

std::vector<ModelRunner::Run> ModelRunner::runs()
{
    const std::lock_guard lock(this->mutex);
    return this->allRuns;
}

std::vector<double> ModelRunner::crashes()
{
    const std::lock_guard lock(this->mutex);
    return this->crashTimes;
}

void ModelRunner::crash(const std::string &requestId)
{
    {
        const std::lock_guard lock(this->mutex);
        ++this->incarnation;
        this->running = 0;
        this->queued = 0;
        this->active.clear();
        this->crashTimes.push_back(now());
    }
    this->record.note(this->traits.id + ": ends under " + requestId);
    this->server->goDown(this->traits.downSeconds, [this] {
        const std::lock_guard lock(this->mutex);
        this->bornMs += static_cast<int64_t>(this->traits.downSeconds * 1000);
        this->record.note(this->traits.id + ": is back");
    });
}

int ModelRunner::askedPause()
{
    const std::lock_guard lock(this->mutex);
    return this->retryAfter;
}

bool ModelRunner::hasLostAnswer(const std::string &requestId)
{
    const std::lock_guard lock(this->mutex);
    return this->lostAnswers.contains(requestId);
}

std::string ModelRunner::report()
{
    const std::lock_guard lock(this->mutex);
    return R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queue_depth":)" +
           std::to_string(this->queued) + R"(,"running":)" + std::to_string(this->running) +
           R"(,"kv_used":)" + std::to_string(this->running * 500) +
           R"(,"kv_total":34364,"handles":0,"state":"ready","born":)" + std::to_string(this->bornMs) + "}";
}

bool ModelRunner::answer(Connection &connection, int status, const std::string &requestId,
                         const std::string &body, bool isNotRun)
{
    std::map<std::string, std::string> fields{{"Content-Type", "application/json"},
                                              {"X-Instance-Id", this->traits.id}};
    if (!requestId.empty())
        fields["X-Attempt-Id"] = requestId;
    if (isNotRun)
        fields["X-Not-Executed"] = "1";
    return connection.write(response(status, fields, body));
}

void ModelRunner::fallSilent(double seconds)
{
    const std::lock_guard lock(this->mutex);
    this->silentUntil = now() + seconds;
    this->record.note(this->traits.id + ": is silent for " + std::to_string(seconds) + " s");
}

void ModelRunner::turnAway(int retryAfterSeconds)
{
    const std::lock_guard lock(this->mutex);
    this->retryAfter = retryAfterSeconds;
}

void ModelRunner::loseAnswer(const std::string &requestId)
{
    const std::lock_guard lock(this->mutex);
    this->lostAnswers.insert(requestId);
    this->record.note(this->traits.id + ": loses its answer to " + requestId);
}

void ModelRunner::waitWhileSilent()
{
    const auto isSilent = [this] {
        const std::lock_guard lock(this->mutex);
        return now() < this->silentUntil;
    };
    while (isSilent())
        sleepFor(0.002);
}

bool ModelRunner::handle(Connection &connection, const Message &request)
{
    this->waitWhileSilent();
    const std::string target = request.target();
    if (target == "/v1/report")
        return this->answer(connection, 200, {}, this->report());
    if (target == "/health") {
        bool isFull = false;
        {
            const std::lock_guard lock(this->mutex);
            isFull = this->running >= this->traits.slots;
        }
        return this->answer(connection, isFull ? 503 : 200, {}, {}, isFull);
    }
    if (target == "/v1/kv-move")
        return this->move(connection, request);
    if (target.starts_with("/v1/kv-handle/"))
        return this->answer(connection, 200, {}, "{}");
    return this->generate(connection, request);
}

bool ModelRunner::move(Connection &connection, const Message &request)
{
    const std::string id = jsonField(request.body, "id");
    const bool isLast = request.body.find("\"last\":true") != std::string::npos;
    std::string handle;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->active.find(id);
        if (found != this->active.end()) {
            handle = this->traits.id + "-" + std::to_string(++this->handles);
            found->second = found->second || isLast;
        }
    }
    this->record.note(this->traits.id + ": call to " + (isLast ? "end" : "copy") + " the run of " + id +
                      (handle.empty() ? ", no such run: 404" : ", 200"));
    const std::string born = R"("born":)" + std::to_string(this->bornMs);
    if (handle.empty())
        return this->answer(connection, 404, {}, "{" + born + "}");
    return this->answer(connection, 200, {}, R"({"handle":")" + handle + R"(","made":0,)" + born + "}");
}

bool ModelRunner::generate(Connection &connection, const Message &request)
{
    const std::string id = request.field("x-attempt-id");
    const std::string expected = request.field("x-expect-instance");
    if (!expected.empty() && expected != this->traits.id)
        return this->answer(connection, 421, id, {}, true);
    // No copy is kept here.
    if (!request.field("kv-from").empty())
        return this->answer(connection, 503, id, {}, true);
    if (const int seconds = this->askedPause(); seconds > 0) {
        this->record.note(this->traits.id + ": turns " + id + " away, Retry-After " +
                          std::to_string(seconds));
        return connection.write(response(
                503,
                {{"X-Attempt-Id", id}, {"X-Not-Executed", "1"}, {"Retry-After", std::to_string(seconds)}},
                {}));
    }
    const double deadline = now() + std::atof(request.field("x-request-deadline").c_str()) / 1000;
    const std::string usage = request.field("x-token-usage");
    const double prompt = std::atof(usage.c_str());
    const auto events =
            static_cast<int>(std::atof(usage.substr(usage.find(',') + 1).c_str()) / TokensPerEvent);
    const int first = std::atoi(request.field("last-event-id").c_str()) + 1;
    int ownIncarnation = 0;
    {
        std::unique_lock lock(this->mutex);
        const bool mustWait = this->running >= this->traits.slots;
        this->record.note(this->traits.id + ": received " + id + (mustWait ? ", queued" : ""));
        ownIncarnation = this->incarnation;
        ++this->queued;
        while (this->running >= this->traits.slots && now() < deadline && ownIncarnation == this->incarnation)
            this->slotFreed.wait_for(lock, std::chrono::milliseconds(5));
        if (ownIncarnation != this->incarnation)
            return false;
        --this->queued;
        if (this->running >= this->traits.slots) {
            lock.unlock();
            return this->answer(connection, 503, id, {}, true);
        }
        ++this->running;
        this->active[id] = false;
    }
    sleepFor(prompt / PromptTokensPerSecond);
    const double begin = now();
    const auto hasEnded = [&] {
        const std::lock_guard lock(this->mutex);
        return this->incarnation != ownIncarnation;
    };
    if (hasEnded())
        return false;
    const std::string &part = this->traits.crashingPart;
    if (!part.empty() && request.field("x-prompt-prefix").find(part + ":") != std::string::npos) {
        // It begins to write the answer, and ends.
        connection.write(streamHead(id, this->traits.id));
        sleepFor(0.002);
        this->crash(id);
        return false;
    }
    this->record.note(this->traits.id + ": begins to run " + id);
    const auto isEndedByCall = [&] {
        const std::lock_guard lock(this->mutex);
        return this->incarnation != ownIncarnation || this->active[id];
    };
    bool isConnected = connection.write(streamHead(id, this->traits.id));
    bool isAnswerLost = false;
    int event = first;
    for (; event <= events && now() < deadline && !isEndedByCall(); ++event) {
        this->waitWhileSilent();
        if (isEndedByCall())
            break;
        const std::string text =
                "id: " + std::to_string(event) + "\ndata: " + id + " " + std::to_string(event) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        if (!isAnswerLost && this->hasLostAnswer(id)) {
            isAnswerLost = true;
            connection.end();
        }
        isConnected = connection.write(size + text + "\r\n") && isConnected;
        if (!isConnected && this->traits.dropsClosed && !isAnswerLost)
            break;
        sleepFor(this->traits.eventSeconds);
    }
    const bool isComplete = event > events;
    if (isComplete)
        isConnected = connection.write("0\r\n\r\n") && isConnected;
    {
        const std::lock_guard lock(this->mutex);
        if (this->incarnation == ownIncarnation) {
            --this->running;
            this->active.erase(id);
        }
        this->allRuns.push_back({id, begin, now(), std::max(begin, this->silentUntil), isComplete});
    }
    this->slotFreed.notify_all();
    this->record.note(this->traits.id + ": ended the run of " + id + (isComplete ? ", complete" : ""));
    return isComplete && isConnected;
}

std::string listResponse(const std::vector<std::string> &entries)
{
    std::string body = R"({"instances":[)";
    for (size_t i = 0; i < entries.size(); ++i)
        body += (i > 0 ? "," : "") + entries[i];
    return response(200, {{"Content-Type", "application/json"}}, body + R"(],"next":null})");
}

std::string jsonField(const std::string &json, const std::string &name)
{
    const size_t at = json.find("\"" + name + "\":");
    if (at == std::string::npos)
        return {};
    size_t begin = at + name.size() + 3;
    if (json[begin] == '"') {
        ++begin;
        return json.substr(begin, json.find('"', begin) - begin);
    }
    return json.substr(begin, json.find_first_not_of("0123456789.-", begin) - begin);
}

} // namespace review
