#include "soakrun.h"

#include "gateway/clock.h"
#include "gateway/task.h"

#include <iostream>
#include <unistd.h>

namespace eelgrasslift::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr size_t CallerCount = 40;
constexpr Duration PollInterval = std::chrono::milliseconds{100};
// Far above the recovery time of 12 s that the platform allows.
constexpr Duration RecoveryLimit = std::chrono::seconds{90};
constexpr Duration ReadinessTimeout = std::chrono::seconds{1};

/// Carries out a fault.
class FaultInjector
{
public:
    FaultInjector(Nodes &allNodes, RunnerFleet &runnerFleet, size_t coordinators)
        : nodes(allNodes)
        , fleet(runnerFleet)
        , coordinatorCount(coordinators)
    {}

    void operator()(const Terminate &fault) const { this->nodes.terminate(fault.node); }
    void operator()(const Kill &fault) const { this->nodes.kill(fault.node); }
    void operator()(const Pause &fault) const { this->nodes.pause(fault.node, fault.duration); }
    void operator()(const Reload &fault) const { this->nodes.reload(fault.node); }
    void operator()(const KillAllCoordinators &) const
    {
        for (size_t index = 0; index < this->coordinatorCount; ++index)
            this->nodes.kill({Role::Coordinator, index});
    }
    void operator()(const LoseData &fault) const { this->nodes.loseData(fault.coordinator); }
    void operator()(const RetireRunner &fault) const
    {
        this->fleet.retire(fault.runner, fault.duration, fault.notice);
    }
    void operator()(const SlowRunner &fault) const
    {
        if (const auto runner = this->fleet.find(fault.runner))
            runner->slowDown(fault.duration);
    }
    void operator()(const OverloadRunner &fault) const
    {
        if (const auto runner = this->fleet.find(fault.runner))
            runner->overload(fault.duration);
    }
    void operator()(const SilenceRunner &fault) const
    {
        if (const auto runner = this->fleet.find(fault.runner))
            runner->fallSilent(fault.duration);
    }
    void operator()(const ResetRunner &fault) const
    {
        if (const auto runner = this->fleet.find(fault.runner))
            runner->resetConnections();
    }

private:
    Nodes &nodes;
    RunnerFleet &fleet;
    size_t coordinatorCount;
};

} // namespace

SoakRun::SoakRun(SoakOptions runOptions)
    : options(std::move(runOptions))
    , addresses(static_cast<uint32_t>(::getpid()))
    , journal(this->options.seed, this->options.folder)
    , ledger(this->journal)
    , fleet(this->io, this->addresses, this->population, this->ledger)
    , nodes(this->io, this->addresses, this->population, this->options.binary, this->options.folder,
            this->journal)
    , operatorClient(this->options.seed, this->nodes, this->journal)
{}

Result<size_t, SetupError> SoakRun::play()
{
    try {
        if (this->options.areCrashesUnanswered)
            this->fleet.endRunnersUnanswered();
        if (!this->fleet.start())
            return SetupError{"cannot bind the address of the list of runners"};
        this->nodes.start();
    } catch (const std::exception &error) {
        return SetupError{error.what()};
    }
    asio::co_spawn(this->io, this->playPhases(), [this](const std::exception_ptr &exception) {
        logTaskFailure("soak", exception);
        if (exception)
            this->setupError = SetupError{"the run ended with an exception"};
        this->io.stop();
    });
    this->io.run();
    if (this->setupError)
        return *this->setupError;
    this->printSummary();
    return this->journal.breachCount();
}

asio::awaitable<void> SoakRun::playPhases()
{
    spawnTask(this->io, "soak-operator", this->operatorClient.run());
    if (!co_await this->waitForRecovery()) {
        this->setupError = SetupError{"the processes did not become ready"};
        co_return;
    }
    for (size_t number = 0; number < CallerCount; ++number)
        spawnTask(this->io, "soak-caller", this->addCaller().run());
    if (this->options.hasCrashingRequests)
        co_await this->sendCrashingRequests();
    else if (this->options.hasCrashingPromptParts)
        co_await this->sendCrashingPromptParts();
    else
        co_await this->injectFaults();
    for (const auto &caller : this->callers)
        caller->stop();
    const bool areCallersDone = co_await this->waitFor([this]() -> asio::awaitable<bool> {
        co_return std::ranges::all_of(this->callers, [](const auto &caller) { return caller->hasEnded(); });
    });
    if (!areCallersDone)
        this->journal.recordBreach({}, "callers still wait for responses");
    this->checkCoverage();
    if (!co_await this->waitForRecovery())
        this->journal.recordBreach({}, "not all gateways became ready after the last fault");
    co_await this->checkFinalRead();
    this->nodes.terminateAll();
    co_await this->waitFor([this]() -> asio::awaitable<bool> { co_return this->nodes.areAllEnded(); });
}

asio::awaitable<void> SoakRun::injectFaults()
{
    const TimePoint startedAt = steadyNow();
    for (const ScheduledFault &scheduled :
         drawFaults(this->options.seed, this->options.length, this->population)) {
        co_await sleepFor(startedAt + scheduled.time - steadyNow());
        this->journal.note(describe(scheduled.fault));
        this->journal.count("faults");
        std::visit(FaultInjector(this->nodes, this->fleet, this->population.coordinators), scheduled.fault);
    }
    co_await sleepFor(startedAt + this->options.length - steadyNow());
}

asio::awaitable<void> SoakRun::sendCrashingRequests()
{
    const TimePoint startedAt = steadyNow();
    for (size_t index = 0; index < std::size(AllKinds); ++index) {
        // The seed selects contents, and with them when their runners end.
        const std::string content =
                std::string(CrashContentPrefix) + std::to_string(this->options.seed) + "-" +
                std::string(toString(AllKinds[(CallerCount + index) % std::size(AllKinds)]));
        this->journal.note(content + " begins");
        Caller &caller = this->addCaller();
        caller.repeat(content);
        spawnTask(this->io, "soak-caller", caller.run());
        co_await sleepFor(this->options.length / static_cast<int>(2 * std::size(AllKinds)));
    }
    co_await sleepFor(startedAt + this->options.length - steadyNow());
}

asio::awaitable<void> SoakRun::sendCrashingPromptParts()
{
    constexpr int PartCount = 3;
    constexpr int CallersOfPart = 2;
    const TimePoint startedAt = steadyNow();
    for (int index = 0; index < PartCount; ++index) {
        const std::string part = std::string(CrashPartPrefix) + std::to_string(this->options.seed) + "-" +
                                 std::to_string(index);
        this->journal.note(part + " begins");
        for (int count = 0; count < CallersOfPart; ++count) {
            Caller &caller = this->addCaller();
            caller.usePromptPart(part);
            spawnTask(this->io, "soak-caller", caller.run());
        }
        co_await sleepFor(this->options.length / (2 * PartCount));
    }
    co_await sleepFor(startedAt + this->options.length - steadyNow());
}

Caller &SoakRun::addCaller()
{
    this->callers.push_back(std::make_unique<Caller>(this->io, this->callers.size(), this->options.seed,
                                                     this->nodes, this->ledger));
    return *this->callers.back();
}

asio::awaitable<bool> SoakRun::waitFor(std::function<asio::awaitable<bool>()> condition)
{
    const TimePoint deadline = steadyNow() + RecoveryLimit;
    while (!co_await condition()) {
        if (steadyNow() >= deadline)
            co_return false;
        co_await sleepFor(PollInterval);
    }
    co_return true;
}

asio::awaitable<bool> SoakRun::areGatewaysReady()
{
    if (!this->nodes.areAllRunning())
        co_return false;
    for (size_t index = 0; index < this->nodes.gatewayCount(); ++index) {
        constexpr unsigned Http11 = 11;
        Request request(http::verb::get, "/v1/ready", Http11);
        const auto response =
                co_await fetch(this->nodes.readinessEndpoint(index), std::move(request), ReadinessTimeout);
        if (!response || response->result() != http::status::ok)
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> SoakRun::waitForRecovery()
{
    return this->waitFor([this] { return this->areGatewaysReady(); });
}

asio::awaitable<void> SoakRun::checkFinalRead()
{
    this->operatorClient.stop();
    const bool isAcknowledged = co_await this->waitFor(
            [this]() -> asio::awaitable<bool> { co_return this->operatorClient.hasEnded(); });
    if (!isAcknowledged)
        this->journal.recordBreach({}, "the last configuration was not acknowledged after the last fault");
    const size_t emptied = coordinatorThatLosesData(this->options.seed, this->population);
    for (size_t index = 0; index < this->population.coordinators; ++index) {
        if (index == emptied)
            this->nodes.loseData(index);
        else
            this->nodes.kill({Role::Coordinator, index});
    }
    this->journal.note("all coordinators killed, data of coordinator-" + std::to_string(emptied) +
                       " lost; version " + std::to_string(this->operatorClient.acknowledgedVersion()) +
                       " is acknowledged");
    const bool isRestarted = co_await this->waitFor(
            [this]() -> asio::awaitable<bool> { co_return this->nodes.areAllRunning(); });
    const bool isRead = isRestarted && co_await this->waitFor([this] { return this->operatorClient.read(); });
    if (!isRead)
        this->journal.recordBreach({}, "the configuration could not be read after the last restart");
}

void SoakRun::checkCoverage()
{
    for (const RequestKind kind : AllKinds) {
        const std::string name = std::string(toString(kind)) + " whole";
        if (!this->journal.counts().contains(name))
            this->journal.recordBreach({}, "no request of this kind was answered: " + name);
    }
}

void SoakRun::printSummary()
{
    std::string line = "seed " + std::to_string(this->options.seed) + ": " +
                       std::to_string(this->journal.breachCount()) + " broken promises";
    for (const auto &[name, count] : this->journal.counts())
        line += "; " + name + " " + std::to_string(count);
    std::cout << line << std::endl;
    this->journal.note(line);
}

} // namespace eelgrasslift::soak
