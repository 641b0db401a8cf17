#pragma once

#include "caller.h"
#include "operatorclient.h"
#include "runnerfleet.h"

#include <functional>

namespace eelgrasslift::soak {

struct SoakOptions
{
    uint64_t seed = 1;
    Duration length = std::chrono::seconds{30};
    /// Callers send requests that end their runners; there are no other faults.
    bool hasCrashingRequests = false;
    /// The same with requests that have only a part of their prompts in common.
    bool hasCrashingPromptParts = false;
    /// The runners end before the head of their response.
    bool areCrashesUnanswered = false;
    std::filesystem::path binary;
    /// Of logs, settings and data; must exist.
    std::filesystem::path folder;
};

/// The soak could not be carried out, so that it says nothing about the promises.
struct SetupError
{
    std::string cause;
};

/// A run of all processes and stand-ins under the faults of one seed.
class SoakRun
{
public:
    explicit SoakRun(SoakOptions runOptions);

    /// Returns the number of broken promises.
    Result<size_t, SetupError> play();

private:
    boost::asio::awaitable<void> playPhases();
    boost::asio::awaitable<void> injectFaults();
    /// Starts callers whose requests end their runners, one after the other.
    boost::asio::awaitable<void> sendCrashingRequests();
    /// The same with parts of prompts.
    boost::asio::awaitable<void> sendCrashingPromptParts();
    /// Adds a caller that has not begun.
    Caller &addCaller();
    /// Waits for all processes to run again, and for all gateways to report that they are ready.
    boost::asio::awaitable<bool> waitForRecovery();
    /// Kills all coordinators, empties one data folder and reads the configuration back.
    boost::asio::awaitable<void> checkFinalRead();
    boost::asio::awaitable<bool> areGatewaysReady();
    /// Waits until the condition holds. Returns false after RecoveryLimit.
    boost::asio::awaitable<bool> waitFor(std::function<boost::asio::awaitable<bool>()> condition);
    void checkCoverage();
    void printSummary();

    SoakOptions options;
    Population population;
    boost::asio::io_context io;
    AddressPlan addresses;
    Journal journal;
    Ledger ledger;
    RunnerFleet fleet;
    Nodes nodes;
    OperatorClient operatorClient;
    std::vector<std::unique_ptr<Caller>> callers;
    std::optional<SetupError> setupError;
};

} // namespace eelgrasslift::soak
