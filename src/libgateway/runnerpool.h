#pragma once

#include "libgateway/fleetview.h"
#include "libgateway/outputlengthdistribution.h"
#include "libgateway/servingconfig.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasslift {

/// Relative worth of a generation: it grows with its size, and ten times as fast with what it writes as with
/// what it reads, as the users' sheets have it.
inline double generationValue(const GenerationSize &size)
{
    constexpr double OutputWeight = 10;
    return size.promptTokens + OutputWeight * size.outputTokens;
}

/// A request that looks for a runner.
struct RunnerCriteria
{
    std::string_view service;
    /// Failure domain of the gateway; runners of the same one are preferred among equals.
    std::string_view domain;
    /// Set for generations.
    std::optional<GenerationSize> size;
    /// Runners that this request has already tried, or must not use.
    const std::set<std::string> *excluded = nullptr;
    double memoryLimit = 1.0;
    /// Cost in seconds of a runner in another failure domain; one crossing and back.
    double crossDomainSeconds = 0.003;
    /// Whoever chooses for all gateways takes the cheapest runner; one of many that see the same loads must
    /// not.
    bool isFromCoordinator = false;
    /// Tokens that the generation has made elsewhere.
    double generatedTokens = 0;
};

struct NoRunner
{
    enum class Reason { NoneAvailable, AllFull };
    Reason reason = Reason::NoneAvailable;
};

/// How a send to a runner went, for its health.
enum class SendHealth { Good, Failed };

/// Runners that a gateway may use, with its own work in flight, the other gateways' and the runners' reports.
///
/// Load pattern: reports are half a second old, and every gateway sees the same idle runner. Own work counts
/// at once and that of the others with the age of one exchange; the rest is decided by two random choices.
class RunnerPool
{
public:
    struct Runner
    {
        RunnerEntry entry;
        TimePoint seenAt{};
        TimePoint warmUpUntil{};
        std::optional<TimePoint> stopsAt;
        RunnerLoad ownLoad;
        RunnerLoad otherLoad;
        /// When the prompts that were placed here are read; known to whoever chooses for all gateways.
        std::optional<TimePoint> prefillUntil;
        /// Share of recent sends that failed, decaying.
        double failureRate = 0;
        /// Mean time of recent calls of a plain service in seconds, decaying.
        double meanCallSeconds = 0;
        std::optional<TimePoint> ejectedUntil;
        uint32_t consecutiveFailures = 0;

        /// Time until a leaving runner is gone; a guess if it does not say.
        Duration timeUntilStop(TimePoint now) const;
        /// A generation was placed here; its prompt is read after those before it.
        void addPrefill(double tokens, TimePoint now);
    };
    using RunnerPointer = std::shared_ptr<Runner>;

    /// Replaces the list. A runner that leaves does not come back under the same start.
    void setFleet(std::span<const RunnerEntry> entries, TimePoint now);
    void setOtherLoad(const std::map<std::string, RunnerLoad, std::less<>> &loads);

    /// The runner itself said that it is leaving.
    void markLeaving(std::string_view id);

    std::variant<RunnerPointer, NoRunner> choose(const RunnerCriteria &request, const EngineTraits *engine,
                                                 TimePoint now, Random &random) const;
    RunnerPointer find(std::string_view id) const;
    /// Share of the memory of a service's usable runners that generations and their copies are expected to
    /// hold; 1 if there is none.
    double memoryUtilization(std::string_view service, const EngineTraits &engine) const;

    static void recordSend(Runner &runner, SendHealth health, Duration duration, TimePoint now);

    const std::map<std::string, RunnerPointer, std::less<>> &runners() const { return this->pool; }
    /// The list as it is known now.
    std::vector<RunnerEntry> entries() const;

private:
    struct Candidate
    {
        RunnerPointer runner;
        double cost = 0;
    };

    /// needed is the memory of the request's generation.
    static double costOf(const Runner &runner, const RunnerCriteria &request, const MemoryForecast &needed,
                         const EngineTraits *engine, TimePoint now);

    std::map<std::string, RunnerPointer, std::less<>> pool;
};

} // namespace eelgrasslift
