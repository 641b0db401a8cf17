#pragma once

#include "workload.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift::bench {

enum class PolicyKind {
    RoundRobin,
    LeastRequests, ///< Fewest own requests in flight.
    TwoChoices,    ///< The better of two random targets by own requests in flight.
    LeastReported, ///< Fewest requests by the last load report and own sends since.
    LeastBounded,  ///< LeastReported; requests wait in the entry, first come first served, for a free slot.
    Eelgrasslift,
};

std::string_view toString(PolicyKind kind);

/// What an entry can do to the fleet.
struct EntryActions
{
    std::function<void(uint32_t request, uint32_t engine)> send;
    /// The request is answered with a refusal; nothing was sent.
    std::function<void(uint32_t request)> refuse;
};

/// One entry of the fleet under one policy. Requests are known by their index in the trace, engines by
/// their number.
class EntryModel
{
public:
    virtual ~EntryModel() = default;

    virtual void arrive(uint32_t request, TimePoint now) = 0;
    /// The run on this engine broke and may be repeated; asks for another send.
    virtual void retry(uint32_t request, uint32_t failedEngine, uint32_t attempts, TimePoint now) = 0;
    virtual void progress(uint32_t request, uint32_t tokens, TimePoint now) = 0;
    virtual void finish(uint32_t request, uint32_t engine, RunOutcome outcome, TimePoint now) = 0;
    /// The caller has given up; returns true if the request had not been sent.
    virtual bool giveUp(uint32_t request, TimePoint now) = 0;
    virtual void applyReport(uint32_t engine, const LoadReport &report, TimePoint now) = 0;
    virtual void applyCacheEvent(uint32_t engine, const CacheEvent &event) = 0;
    virtual void markLeaving(uint32_t engine, bool isLeaving, TimePoint now) = 0;
    virtual void recordStall(uint32_t engine, TimePoint now) = 0;
    virtual std::vector<TargetUsage> use(TimePoint now) = 0;
    virtual void applyPeerTargetUsage(uint32_t peer, std::span<const TargetUsage> use, TimePoint now) = 0;
    virtual void tick(TimePoint now) = 0;
    virtual size_t byteSize() const = 0;
};

struct EntrySettings
{
    uint32_t index = 0;
    PolicyKind kind = PolicyKind::Eelgrasslift;
    uint32_t stallWeight = 50;
    uint64_t seed = 1;
};

std::unique_ptr<EntryModel> makeEntry(const EntrySettings &settings, const Mix &mix,
                                      const std::vector<TraceRequest> &trace, EntryActions actions);

std::string engineName(uint32_t engine);
uint32_t engineNumber(std::string_view name);
std::string domainName(uint32_t domain);

} // namespace eelgrasslift::bench
