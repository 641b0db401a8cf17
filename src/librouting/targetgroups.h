#pragma once

#include "librouting/target.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrasslift {

/// Targets that may get new requests, by model and service. Targets are identified by their index in
/// TargetSelector.
class TargetGroups
{
public:
    /// Targets in the failure domain of this entry and in the other ones.
    struct Group
    {
        std::vector<uint32_t> local;
        std::vector<uint32_t> remote;
    };

    /// Removes all groups.
    void clear();

    /// Adds a target to the groups of its models and its service. For a leaving target the groups are
    /// created, so that find() returns them, but the target is not added to them.
    void add(uint32_t index, const TargetSettings &settings, bool isOwnDomain, bool isLeaving);

    /// Returns the group of the request's model or service, or nullptr if no target lists it.
    const Group *find(const SelectRequest &request) const;

private:
    std::map<std::string, Group, std::less<>> models;
    std::map<std::string, Group, std::less<>> services;
};

} // namespace eelgrasslift
