#pragma once

#include "libcore/core.h"
#include "libgateway/leavingrunners.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace eelgrasslift {

/// A part of prompts, and the runners that have ended as they began to respond to requests with it.
struct SuspectPromptPart
{
    Sha256 fingerprint{};
    std::set<RunnerIncarnation> runners;
    /// Different requests under which they have ended.
    size_t requestCount = 0;
    /// When a request with the part was last served; absent if that is not known.
    std::optional<TimePoint> completedAt;
    /// Place of the part in the prompt, from 0 on.
    uint32_t position = 0;
    /// The requests with the part that were lost at each of these runners; none if they are not known.
    std::map<RunnerIncarnation, std::set<uint64_t>> requestsByRunner{};
    /// Whether there is enough evidence to refuse the part. The others only explain crashes.
    bool isRefusable = true;
};

/// The parts of prompts that end runners, and the runners that have ended because of them.
struct CrashBlame
{
    /// Parts that have ended the same runners, so that it is not known which of them does. A request is
    /// refused if its prompt has all parts of a group.
    std::vector<std::set<Sha256>> groups;
    std::set<RunnerIncarnation> runners;

    /// Whether the part is in a group, alone or beside others.
    bool suspects(const Sha256 &part) const;
    /// Whether requests with these parts, among others, are refused.
    bool refuses(std::span<const Sha256> parts) const;
};

/// Finds the parts of prompts that explain the crashes. Parts that explain the same ones are refused only
/// together: requests with some of them show which one is sound, as they are served, or end another runner.
/// What a group explains is held against no other part. Parts explain the crashes of each other only if the
/// same requests had them: requests that wait at a runner which another one ends have nothing to do with it.
///
/// Load pattern: requests with one part in common end runner after runner, four within a second, at all
/// gateways. Sound requests share their other parts, and some of those begin at the same runners. For some
/// seconds all requests with a sound part may have the part that ends runners as well.
CrashBlame attributeCrashes(std::vector<SuspectPromptPart> suspects);

/// Runners that may end under a part of prompts before requests with it are refused. One less than the users
/// specify, since a gateway may end with what it knows.
constexpr size_t PromptPartCrashLimit = 4;

/// A single request that is repeated proves nothing about its parts.
constexpr size_t MinCrashingRequests = 2;

/// Runners that one of two parts alone may have ended while both count as explanations of the same crashes.
/// A runner also ends by itself now and then, under parts that have no fault.
constexpr size_t MaxCrashDifference = 1;

} // namespace eelgrasslift
