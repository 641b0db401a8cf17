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

struct SelectorOptions
{
    /// Failure domain of this entry.
    std::string ownDomain{};
    /// FleetRule::stallWeight: 0 keeps the most memory free, 100 the least.
    uint32_t stallWeight = 50;
    OutlierOptions outliers{};
};

/// Chooses the target of each request of one entry (design section 7).
///
/// Single-threaded; the caller passes the time and the random generator. Events about unknown targets and
/// unknown runs are ignored, since they can arrive after the removal.
class TargetSelector
{
public:
    /// `lengths` must outlive the selector.
    TargetSelector(SelectorOptions options, const LengthEstimator &lengths);
    TargetSelector(const TargetSelector &) = delete;
    TargetSelector &operator=(const TargetSelector &) = delete;

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
    void applyPeerTargetUsage(std::string_view peer, std::span<const TargetUsage> use, TimePoint now);

    /// Own runs per target, for gossip; includes targets that are kept free for a suspect.
    std::vector<TargetUsage> ownUsage(TimePoint now) const;

    Result<TargetChoice, NoTarget> select(const SelectRequest &request, TimePoint now, Random &random);

    /// Records that a request is sent to a target; called right after select() with its choice.
    RunId start(std::string_view id, const SelectRequest &request, TimePoint now);

    /// Tokens that the run has produced so far. The first token of a probe readmits its target.
    void recordProgress(RunId run, uint32_t tokens, TimePoint now);

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
    struct Run
    {
        uint32_t target = 0;
        uint32_t slot = 0;
        bool isAlone = false;
        bool isProbe = false;
    };

    TargetState *find(std::string_view id);
    void rebuildGroups();
    bool isUsable(uint32_t target, const SelectRequest &request, TimePoint now) const;
    std::vector<uint32_t> sample(const std::vector<uint32_t> &targets, const SelectRequest &request,
                                 TimePoint now, Random &random) const;
    std::optional<TargetScorer::Candidate> bestOf(const std::vector<uint32_t> &targets,
                                                  const SelectRequest &request,
                                                  const TargetLoad::Forecast &forecast, TimePoint now,
                                                  Random &random);
    void addHolders(std::vector<TargetScorer::Candidate> &candidates, const std::vector<uint32_t> &list,
                    const SelectRequest &request, const TargetLoad::Forecast &forecast, TimePoint now);
    std::optional<TargetScorer::Candidate> firstWithHeadroom(const std::vector<uint32_t> &list,
                                                             const SelectRequest &request,
                                                             const TargetLoad::Forecast &forecast,
                                                             TimePoint now, Random &random);
    Result<TargetChoice, NoTarget> selectAlone(const TargetGroups::Group &group, const SelectRequest &request,
                                               TimePoint now);
    NoTarget explain(const TargetGroups::Group &group, const SelectRequest &request, TimePoint now) const;
    TargetChoice toChoice(const TargetScorer::Candidate &candidate, const SelectRequest &request) const;

    SelectorOptions options;
    const LengthEstimator &lengths;
    OutlierDetector outliers;
    PrefixIndex prefixes;
    TargetScorer scorer;
    std::vector<TargetState> targets;
    std::map<std::string, uint32_t, std::less<>> targetsById;
    TargetGroups groups;
    std::map<std::string, uint32_t, std::less<>> peerIds;
    std::unordered_map<RunId, Run> runs;
    RunId nextRun = 1;
};

} // namespace eelgrasslift
