#pragma once

#include "libcore/random.h"
#include "libcore/result.h"
#include "librouting/lengthestimator.h"
#include "librouting/outlierdetector.h"
#include "librouting/prefixindex.h"
#include "librouting/target.h"
#include "librouting/targetgroups.h"
#include "librouting/targetscorer.h"
#include "librouting/targetstate.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrasslift {

/// Settings of TargetSelector.
struct SelectorOptions
{
    /// Failure domain of this entry.
    std::string ownDomain{};
    /// FleetRule::stallWeight, 0..100: the higher, the more of a target's memory may be used before requests
    /// wait in the queue. 0 causes the fewest preemptions, 100 the fewest stalls.
    uint32_t stallWeight = 50;
    OutlierOptions outliers{};
};

/// Chooses a target for each request of one entry. It compares two random targets by their forecast memory
/// and load, adds targets that have the prompt's prefix cached, and prefers the entry's own failure domain
/// (docs/design.md, section 7).
///
/// Single-threaded; the caller passes the time and the random generator. Events about unknown targets and
/// runs are ignored, since they may arrive after the removal.
class TargetSelector
{
public:
    /// `lengths` must outlive the selector.
    TargetSelector(SelectorOptions options, const LengthEstimator &lengths);
    TargetSelector(const TargetSelector &) = delete;
    TargetSelector &operator=(const TargetSelector &) = delete;

    /// Replaces the stall weight and the own failure domain. The outlier options of the constructor stay.
    void setOptions(SelectorOptions options);

    /// Adds a target or changes its settings. A new target starts slowly: its usable slots and memory grow
    /// over 10 s. A leaving target stays leaving.
    void upsertTarget(const TargetSettings &settings, TimePoint now);
    /// Removes a target; its runs stay known until finish().
    void removeTarget(std::string_view id);

    /// Excludes the target from selection until reinstateTarget(); its runs continue.
    void markLeaving(std::string_view id);
    /// Returns a leaving target to selection with a slow start, and discards its old reports and the usage
    /// that peers advertised for it. Ignored for a target that is not leaving.
    void reinstateTarget(std::string_view id, TimePoint now);

    /// Stores a load report of a target; one that is not newer than the last is ignored.
    void applyReport(std::string_view id, const LoadReport &report, TimePoint now);
    /// Updates the prefix index. Repeated events are ignored, gaps in the sequence lower the confidence in
    /// earlier events, and a restart of the engine invalidates them.
    void applyCacheEvent(std::string_view id, const CacheEvent &event);

    /// Replaces the usage of all targets by one peer, as received by gossip. It expires after 5 s without an
    /// update.
    void applyPeerTargetUsage(std::string_view peer, std::span<const TargetUsage> usage, TimePoint now);

    /// This entry's usage per target, for gossip; includes idle targets that are reserved for a suspect.
    std::vector<TargetUsage> ownUsage(TimePoint now) const;

    /// Chooses a target for the request without starting a run. If the request requires isolation and no
    /// target is idle, reserves the least loaded target for 10 s and returns NoIdleTarget; the caller tries
    /// again later.
    Result<TargetChoice, NoTarget> select(const SelectRequest &request, TimePoint now, Random &random);

    /// Records that a request is sent to a target, right after select() has chosen it, and that the target's
    /// cache will contain the prefixes of its prompt. The first run on a target that is due for a probe is
    /// the probe. Each run must be ended by finish().
    RunId start(std::string_view id, const SelectRequest &request, TimePoint now);

    /// Records the number of tokens that the run has generated so far. The first call for a probe readmits
    /// its target.
    void recordProgress(RunId run, uint32_t tokens, TimePoint now);

    /// Ends a run and reports its outcome to the outlier detector. The caller records the output length in
    /// LengthEstimator itself.
    void finish(RunId run, RunOutcome outcome, TimePoint now);

    /// Reports a failed health check or connection attempt, outside of a run, to the outlier detector.
    void recordFailure(std::string_view id, TimePoint now) { this->outliers.recordFailure(id, now); }

    /// Reports to the outlier detector that a stream from the target made no progress within its stall limit,
    /// while the run continues.
    void recordStall(std::string_view id, TimePoint now) { this->outliers.recordStall(id, now); }

    /// Number of targets that were added and not removed, leaving ones included.
    size_t targetCount() const { return this->targetsById.size(); }
    /// Number of this entry's runs on the target; 0 for an unknown target.
    size_t inFlight(std::string_view id) const;
    /// The detector with the ejection state of each target.
    const OutlierDetector &outlierDetector() const { return this->outliers; }
    /// Approximate memory use in bytes.
    size_t byteSize() const;

private:
    struct Run
    {
        uint32_t target = 0;
        uint32_t slot = 0;
        bool isIsolated = false;
        bool isProbe = false;
    };

    TargetState *find(std::string_view id);
    void rebuildGroups();
    /// Whether the request may use the target, regardless of the target's load.
    bool isEligible(uint32_t index, const SelectRequest &request, TimePoint now) const;
    /// Draws up to two different eligible targets at random.
    std::vector<uint32_t> sampleTargets(const std::vector<uint32_t> &indices, const SelectRequest &request,
                                        TimePoint now, Random &random) const;
    /// The candidate with headroom and the lowest score among random targets and those with the cached
    /// prefix, or else the first one that a scan finds.
    std::optional<TargetScorer::Candidate> selectBest(const std::vector<uint32_t> &indices,
                                                      const SelectRequest &request,
                                                      const TargetLoad::Forecast &forecast, TimePoint now,
                                                      Random &random);
    /// Adds the targets that have cached the longest known prefix of the request.
    void addPrefixHolders(std::vector<TargetScorer::Candidate> &candidates,
                          const std::vector<uint32_t> &indices, const SelectRequest &request,
                          const TargetLoad::Forecast &forecast, TimePoint now);
    /// Scans from a random position for a target with headroom; examines at most 16.
    std::optional<TargetScorer::Candidate> firstWithHeadroom(const std::vector<uint32_t> &indices,
                                                             const SelectRequest &request,
                                                             const TargetLoad::Forecast &forecast,
                                                             TimePoint now, Random &random);
    /// Chooses an idle target for a suspect, or reserves one that is not idle yet.
    Result<TargetChoice, NoTarget> selectIsolated(const TargetGroups::Group &group,
                                                  const SelectRequest &request, TimePoint now);
    /// Determines why no target of the group can take the request.
    NoTarget diagnoseNoTarget(const TargetGroups::Group &group, const SelectRequest &request,
                              TimePoint now) const;
    TargetChoice toChoice(const TargetScorer::Candidate &candidate, const SelectRequest &request) const;

    SelectorOptions options;
    const LengthEstimator &lengths;
    OutlierDetector outliers;
    PrefixIndex prefixes;
    TargetScorer scorer;
    /// A removed target leaves a gap, which is reused after its last run has ended, so that indices stay
    /// valid.
    std::vector<TargetState> targets;
    /// Indices in `targets` of the present targets.
    std::map<std::string, uint32_t, std::less<>> targetsById;
    TargetGroups groups;
    /// Numbers of the peers for TargetLoad, by peer name.
    std::map<std::string, uint32_t, std::less<>> peerIds;
    std::unordered_map<RunId, Run> runs;
    RunId nextRun = 1;
};

} // namespace eelgrasslift
