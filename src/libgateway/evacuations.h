#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// An operator's request to take the runners of a failure domain out of use, or back into use.
struct EvacuationChange
{
    std::string domain;
    /// Whether the domain is evacuated; false: its evacuation ends.
    bool isEvacuated = true;
};

/// The failure domains whose runners get no new requests, as the operators have asked for.
///
/// Load pattern: an operator evacuates a domain whose runners have become cold, and each gateway must know it
/// within seconds. A gateway hears of it from several coordinators, some of which are behind.
struct Evacuations
{
    /// Number of changes so far; a greater one is newer. 0: there was none.
    uint64_t sequence = 0;
    std::set<std::string, std::less<>> domains;

    bool contains(std::string_view domain) const { return this->domains.find(domain) != this->domains.end(); }
    /// Makes the change. Returns false if it has no effect.
    bool apply(const EvacuationChange &change);
    /// Replaces the state by that of a coordinator unless it is older. Returns whether anything changed.
    bool update(const Evacuations &other);
    /// Names of the domains, separated by commas, for the log; "none" if there are none.
    std::string describe() const;

    bool operator==(const Evacuations &) const = default;
};

} // namespace eelgrasslift
