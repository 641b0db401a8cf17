#include "librouting/targetgroups.h"

namespace eelgrasslift {

void TargetGroups::clear()
{
    this->models.clear();
    this->services.clear();
}

void TargetGroups::add(uint32_t index, const TargetSettings &settings, bool isOwnDomain, bool isLeaving)
{
    const auto addTo = [&](Group &group) {
        if (!isLeaving)
            (isOwnDomain ? group.local : group.remote).push_back(index);
    };
    for (const std::string &model : settings.models)
        addTo(this->models[model]);
    if (!settings.service.empty())
        addTo(this->services[settings.service]);
}

const TargetGroups::Group *TargetGroups::find(const SelectRequest &request) const
{
    const auto &groups = request.model.empty() ? this->services : this->models;
    const auto entry = groups.find(request.model.empty() ? request.service : request.model);
    return entry == groups.end() ? nullptr : &entry->second;
}

} // namespace eelgrasslift
