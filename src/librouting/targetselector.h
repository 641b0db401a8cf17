#pragma once

#include "libcore/random.h"
#include "libcore/result.h"
#include "librouting/lengthestimator.h"
#include "librouting/outlierdetector.h"
#include "librouting/prefixindex.h"
#include "librouting/target.h"
#include "librouting/targetload.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrasslift {

struct SelectorOptions
{
    /// Failure domain of this entry.
    std::string ownDomain{};
    /// FleetRule::stallWeight: 0 keeps the most memory free, 100 the least.
    uint32_t stallWeight = 50;
    /// Entries of the whole fleet, this one included; scales the guess of what peers start unseen.
    uint32_t entryCount = 9;
    OutlierOptions outliers{};
};

/// Chooses the target of each request of one entry (design section 7).
///
/// Single-threaded; the caller passes the time and the random generator. Events about unknown targets and
/// unknown runs are ignored, since they can arrive after the removal.
class TargetSelector
{
public:
    TargetSelector(SelectorOptions options, const LengthEstimator &lengths);

    void setOptions(SelectorOptions options);

    /// Adds a target or changes its settings. A new target, and one that was gone, ramps up over 10 s.
    void upsertTarget(const TargetSettings &settings, TimePoint now);
    void removeTarget(std::string_view id);

    /// The target gets no new requests; runs continue. Only reinstateTarget() ends this.
    void markLeaving(std::string_view id);
    void reinstateTarget(std::string_view id, TimePoint now);

    void applyReport(std::string_view id, const LoadReport &report, TimePoint now);
    void applyCacheEvent(std::string_view id, const CacheEvent &event);

    /// Replaces what is known about one peer's runs. Counts that are not renewed for 5 s are dropped.
    void applyPeerUse(std::string_view peer, std::span<const TargetUse> use, TimePoint now);

    /// Own runs per target, for gossip; includes targets that are kept free for a suspect.
    std::vector<TargetUse> ownUse(TimePoint now) const;

    Result<Choice, NoTarget> select(const SelectRequest &request, TimePoint now, Random &random);

    /// Records that a request is sent to a target; called right after select() with its choice.
    RunId start(std::string_view id, const SelectRequest &request, TimePoint now);

    /// Tokens that the run has produced so far. The first token of a probe readmits its target.
    void progress(RunId run, uint32_t tokens, TimePoint now);

    /// Ends a run. Feeds the outlier detector; the caller feeds LengthEstimator itself.
    void finish(RunId run, RunOutcome outcome, TimePoint now);

    /// A failed probe or connection attempt without a run.
    void recordFailure(std::string_view id, TimePoint now) { this->outliers.recordFailure(id, now); }

    /// A stream from the target made no progress within its stall limit, though the run goes on.
    void recordStall(std::string_view id, TimePoint now) { this->outliers.recordStall(id, now); }

    size_t targetCount() const { return this->targetsById.size(); }
    size_t inFlight(std::string_view id) const;
    const OutlierDetector &outlierDetector() const { return this->outliers; }
    size_t byteSize() const;

private:
    struct Target
    {
        TargetSettings settings;
        TargetLoad load;
        /// This target's part of ownTotal.
        TargetLoad::Forecast counted{};
        bool isPresent = false;
        bool isLeaving = false;
        TimePoint since{};
        /// End of the time for which the target is kept free for a suspect.
        std::optional<TimePoint> reservedUntil;
        uint64_t cacheIncarnation = 0;
        uint64_t cacheSequence = 0;
    };

    struct Run
    {
        uint32_t target = 0;
        uint32_t slot = 0;
        bool isAlone = false;
        bool isProbe = false;
    };

    /// Live targets of one model or service: those of the own failure domain first.
    struct Group
    {
        std::vector<uint32_t> own;
        std::vector<uint32_t> other;
        size_t listed = 0;
    };

    struct Candidate
    {
        uint32_t target = 0;
        double load = 0;
        double score = 0;
        double cachedShare = 0;
        bool hasHeadroom = false;
    };

    Target *find(std::string_view id);
    void rebuildGroups();
    const Group *groupOf(const SelectRequest &request) const;
    bool isUsable(uint32_t target, const SelectRequest &request, TimePoint now) const;
    std::vector<uint32_t> sample(const std::vector<uint32_t> &targets, const SelectRequest &request,
                                 TimePoint now, Random &random) const;
    std::optional<Candidate> bestOf(const std::vector<uint32_t> &targets, const SelectRequest &request,
                                    const TargetLoad::Forecast &forecast, TimePoint now, Random &random);
    void addHolders(std::vector<Candidate> &candidates, const std::vector<uint32_t> &list,
                    const SelectRequest &request, const TargetLoad::Forecast &forecast, TimePoint now);
    std::optional<Candidate> firstWithHeadroom(const std::vector<uint32_t> &list,
                                               const SelectRequest &request,
                                               const TargetLoad::Forecast &forecast, TimePoint now,
                                               Random &random);
    double countLoad(const Target &target, TimePoint now) const;
    double ramp(const Target &target, TimePoint now) const;
    Candidate evaluate(uint32_t target, const SelectRequest &request, const TargetLoad::Forecast &forecast,
                       TimePoint now);
    double memoryPeak(Target &target, const TargetLoad::Forecast &request, TimePoint now);
    double headroomLimit(const SelectRequest &request) const;
    double growthOfOthers(size_t horizon) const;
    Result<Choice, NoTarget> selectAlone(const Group &group, const SelectRequest &request, TimePoint now);
    NoTarget explain(const Group &group, const SelectRequest &request, TimePoint now) const;
    Choice toChoice(const Candidate &candidate, const SelectRequest &request) const;

    SelectorOptions options;
    const LengthEstimator &lengths;
    OutlierDetector outliers;
    PrefixIndex prefixes;
    std::vector<Target> targets;
    std::map<std::string, uint32_t, std::less<>> targetsById;
    std::map<std::string, Group, std::less<>> modelGroups;
    std::map<std::string, Group, std::less<>> serviceGroups;
    std::map<std::string, uint32_t, std::less<>> peerIds;
    std::unordered_map<RunId, Run> runs;
    /// Forecast of all own runs together; its growth stands for that of other entries' runs.
    TargetLoad::Forecast ownTotal{};
    RunId nextRun = 1;
};

} // namespace eelgrasslift
