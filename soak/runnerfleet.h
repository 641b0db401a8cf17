#pragma once

#include "addressplan.h"
#include "faults.h"
#include "gateway/httpservice.h"
#include "runner.h"

namespace eelgrasslift::soak {

/// Names of the services, by their index in RunnerPlace; the second one serves generations.
inline constexpr const char *ServiceNames[] = {"plain", "model"};

/// Stand-in for the platform's list of runners, with the runners on it.
class RunnerFleet
{
public:
    RunnerFleet(boost::asio::io_context &io, const AddressPlan &addressPlan, const Population &population,
                Ledger &runLedger);

    /// Lets parts of prompts end runners before the head of their response. Call before start().
    void endRunnersUnanswered() { this->areCrashesUnanswered = true; }
    /// Starts all runners and the list. Returns false if the list's address cannot be bound.
    bool start();
    /// The runner leaves, stops after the duration and is replaced. Does nothing if it already leaves.
    void retire(const RunnerPlace &place, Duration duration, LeavingNotice notice);
    /// The runner ends at once and is replaced. Does nothing if it has ended.
    void crash(const RunnerPlace &place);
    /// nullptr while the runner is being replaced.
    std::shared_ptr<Runner> find(const RunnerPlace &place) const;
    /// The configuration of the given version, as the operator sends it.
    static std::string configuration(uint64_t version);

private:
    std::shared_ptr<Runner> makeRunner(const RunnerPlace &place);
    boost::asio::awaitable<void> replace(RunnerPlace place, Duration duration);
    boost::asio::awaitable<HttpResponse> answerList(HttpRequest request) const;

    boost::asio::io_context &io;
    AddressPlan addresses;
    Ledger &ledger;
    CopyStore copies;
    HttpService list;
    std::vector<std::vector<std::shared_ptr<Runner>>> runners;
    bool areCrashesUnanswered = false;
    /// Runners started so far.
    uint64_t startCount = 0;
};

} // namespace eelgrasslift::soak
