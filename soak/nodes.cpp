#include "nodes.h"

#include "gateway/clock.h"
#include "gateway/task.h"
#include "httpcall.h"

#include <algorithm>
#include <csignal>
#include <fstream>

namespace eelgrasslift::soak {

namespace {

constexpr Duration WatchInterval = std::chrono::milliseconds{20};
constexpr Duration RestartDelay = std::chrono::milliseconds{400};
// grace_s of the platform: SIGKILL follows SIGTERM after this time.
constexpr Duration GracePeriod = std::chrono::seconds{8};

/// Whether the process has logged that it serves; before that, it handles no signals.
bool hasStarted(const Node &node)
{
    return node.process->output().find("-started") != std::string::npos;
}

} // namespace

Nodes::Nodes(boost::asio::io_context &io, const AddressPlan &addressPlan, const Population &population,
             std::filesystem::path binaryPath, std::filesystem::path runFolder, Journal &runJournal)
    : io(io)
    , addresses(addressPlan)
    , binary(std::move(binaryPath))
    , folder(std::move(runFolder))
    , journal(runJournal)
    , coordinators(population.coordinators)
    , gateways(population.gateways)
{
    const auto assign = [](std::vector<Node> &nodes, Role role, const std::string &prefix) {
        for (size_t index = 0; index < nodes.size(); ++index) {
            nodes[index].id = {role, index};
            nodes[index].name = prefix + std::to_string(index);
        }
    };
    assign(this->coordinators, Role::Coordinator, "coordinator-");
    assign(this->gateways, Role::Gateway, "gateway-");
    for (Node &node : this->coordinators)
        node.ip = this->addresses.coordinator(node.id.index);
    for (Node &node : this->gateways)
        node.ip = this->addresses.gateway(node.id.index);
}

void Nodes::start()
{
    this->forEach([this](Node &node) { this->launch(node, true); });
    spawnTask(this->io, "soak-watch", [this]() -> boost::asio::awaitable<void> { return this->watch(); });
}

Node &Nodes::find(const NodeId &id)
{
    return (id.role == Role::Gateway ? this->gateways : this->coordinators).at(id.index);
}

void Nodes::writeSettings(const Node &node, bool isFirstStart) const
{
    // Truncation may wait for a busy disk, and with it all runners. The settings of later starts are not
    // shorter.
    const std::filesystem::path path = this->settingsPath(node);
    std::ofstream file(path, std::filesystem::exists(path) ? std::ios::in : std::ios::out);
    const bool isGateway = node.id.role == Role::Gateway;
    file << "node_name=" << node.name << "\nip=" << node.ip << "\nzone=zone-a\nregion=region-a\n"
         << "internal_ports=" << FirstInternalPort << "," << LastInternalPort << "\n";
    if (isGateway)
        file << "listen.front=" << node.ip << ":" << CallerPort << "\nlisten.ready=" << node.ip << ":"
             << ReadinessPort << "\n";
    else
        file << "listen.control=" << node.ip << ":" << OperatorPort
             << "\ndata_dir=" << this->dataFolder(node).string() << "\n";
    file << "seeds=";
    for (const Node &coordinator : this->coordinators)
        file << (coordinator.id.index > 0 ? "," : "") << coordinator.ip << ":" << OperatorPort;
    file << "\nbootstrap=" << (isFirstStart ? "true" : "false") << "\nfault_tolerance.machines=1\n"
         << "cloud.address=" << this->addresses.list().toString() << "\ncloud.rate_per_s=50\n"
         << "bounds.drain_ms=" << toMilliseconds(DrainTime) << "\n"
         << "bounds.grace_s=" << toSeconds(GracePeriod) << "\nbounds.retry_budget_ratio=0.2\n"
         << "bounds.budget_extra=58\nbounds.budget_window_s=10\n";
}

void Nodes::launch(Node &node, bool isFirstStart)
{
    const bool isGateway = node.id.role == Role::Gateway;
    this->writeSettings(node, isFirstStart);
    if (!isGateway)
        std::filesystem::create_directories(this->dataFolder(node));
    scenario::ProcessSpec spec;
    spec.name = node.name;
    spec.arguments = {this->binary.string(), isGateway ? "gateway" : "coordinator"};
    spec.environment = {{"EELGRASSLIFT_SETTINGS", this->settingsPath(node).string()}};
    spec.logPath = (this->folder / (node.name + ".log")).string();
    node.process = std::make_unique<scenario::Process>(spec);
    node.life = std::make_shared<ProcessLife>();
    node.life->name = node.name;
    node.isEnding = false;
    node.isFrozen = false;
    node.terminatedAt.reset();
    node.killedAt.reset();
    node.restartAt.reset();
    this->journal.note("start of " + node.name + ", pid " + std::to_string(node.process->pid()));
}

boost::asio::awaitable<void> Nodes::watch()
{
    for (;;) {
        this->forEach([this](Node &node) { this->watch(node); });
        co_await sleepFor(WatchInterval);
    }
}

void Nodes::watch(Node &node)
{
    const TimePoint now = steadyNow();
    if (!node.process) {
        if (node.restartAt && now >= *node.restartAt && !this->isStopping)
            this->launch(node, false);
        return;
    }
    if (const auto code = node.process->exitCode()) {
        this->handleEnd(node, *code);
        return;
    }
    if (node.isFrozen && now >= node.frozenUntil) {
        node.isFrozen = false;
        node.process->signal(SIGCONT);
        node.life->freezes.back().until = steadyNow();
    }
    if (node.terminatedAt && !node.killedAt && now >= *node.terminatedAt + GracePeriod) {
        this->journal.count("killed after the grace period");
        this->kill(node.id);
    }
}

void Nodes::handleEnd(Node &node, int code)
{
    this->journal.note("end of " + node.name + ", code " + std::to_string(code));
    constexpr int SignalCode = 128;
    const bool isClean = code == 0 || (code == SignalCode + SIGTERM && !hasStarted(node));
    if (!node.isEnding)
        this->journal.recordBreach({}, node.name + " ended by itself with code " + std::to_string(code));
    else if (!isClean && !node.killedAt)
        this->journal.recordBreach({}, node.name + " ended after SIGTERM with code " + std::to_string(code));
    node.process.reset();
    node.life.reset();
    if (std::exchange(node.losesData, false))
        std::filesystem::remove_all(this->dataFolder(node));
    node.restartAt = steadyNow() + RestartDelay;
}

void Nodes::terminate(const NodeId &id)
{
    Node &node = this->find(id);
    if (!node.process || node.isEnding)
        return;
    node.isEnding = true;
    node.terminatedAt = steadyNow();
    node.life->terminatedAt = node.terminatedAt;
    node.process->signal(SIGTERM);
}

void Nodes::kill(const NodeId &id)
{
    Node &node = this->find(id);
    if (!node.process)
        return;
    node.isEnding = true;
    node.killedAt = steadyNow();
    node.life->killedAt = node.killedAt;
    node.process->signal(SIGKILL);
}

void Nodes::pause(const NodeId &id, Duration duration)
{
    Node &node = this->find(id);
    if (!node.process)
        return;
    const TimePoint now = steadyNow();
    node.frozenUntil = node.isFrozen ? std::max(node.frozenUntil, now + duration) : now + duration;
    if (std::exchange(node.isFrozen, true))
        return;
    node.life->freezes.push_back({now, std::nullopt});
    node.process->signal(SIGSTOP);
}

void Nodes::reload(const NodeId &id)
{
    Node &node = this->find(id);
    if (!node.process || !hasStarted(node))
        return;
    this->writeSettings(node, false);
    node.process->signal(SIGHUP);
}

void Nodes::loseData(size_t coordinator)
{
    const NodeId id{Role::Coordinator, coordinator};
    Node &node = this->find(id);
    node.losesData = node.process != nullptr;
    this->kill(id);
}

void Nodes::terminateAll()
{
    this->isStopping = true;
    this->forEach([this](Node &node) { this->terminate(node.id); });
}

bool Nodes::areAllRunning() const
{
    const auto isRunning = [](const Node &node) { return node.process && !node.isEnding && !node.isFrozen; };
    return std::ranges::all_of(this->gateways, isRunning) &&
           std::ranges::all_of(this->coordinators, isRunning);
}

bool Nodes::areAllEnded() const
{
    const auto isEnded = [](const Node &node) { return node.process == nullptr; };
    return std::ranges::all_of(this->gateways, isEnded) && std::ranges::all_of(this->coordinators, isEnded);
}

} // namespace eelgrasslift::soak
