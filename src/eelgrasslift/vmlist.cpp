#include "eelgrasslift/vmlist.h"

#include <nlohmann/json.hpp>

namespace eelgrasslift {

std::optional<VmListReceived> parseVmList(std::string_view body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("version") || !document["version"].is_number_unsigned() ||
        !document.contains("vms") || !document["vms"].is_array())
        return std::nullopt;
    VmListReceived list;
    list.version = document["version"].get<uint64_t>();
    for (const nlohmann::json &vm : document["vms"]) {
        if (!vm.is_object())
            return std::nullopt;
        const auto text = [&vm](const char *key) {
            const auto field = vm.find(key);
            return field != vm.end() && field->is_string() ? field->get<std::string>() : std::string();
        };
        list.vms.push_back({text("id"), text("address"), text("domain"), text("state") == "leaving"});
    }
    return list;
}

} // namespace eelgrasslift
