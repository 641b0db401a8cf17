#pragma once

#include "librouting/target.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrasslift {

/// The live targets of each model and service, by index, split by failure domain.
class TargetGroups
{
public:
    struct Group
    {
        std::vector<uint32_t> own;
        std::vector<uint32_t> other;
    };

    void clear();

    /// Adds a target to the groups of its models and its service. A leaving target only makes them known.
    void add(uint32_t index, const TargetSettings &settings, bool isOwnDomain, bool isLeaving);

    /// The group of the request's model or service, or nullptr if no target lists it.
    const Group *find(const SelectRequest &request) const;

private:
    std::map<std::string, Group, std::less<>> models;
    std::map<std::string, Group, std::less<>> services;
};

} // namespace eelgrasslift
