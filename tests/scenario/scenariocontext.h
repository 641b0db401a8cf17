#pragma once

#include "httpclient.h"
#include "process.h"
#include "relay.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrasslift::scenario {

/// Processes, links and client connections of one scenario, and the functions (steps) with which its script
/// controls them. The destructor kills the processes.
class ScenarioContext
{
public:
    using Step = std::function<nlohmann::json(const nlohmann::json &)>;

    /// Logs and data of the scenario go to the folder, which must exist.
    explicit ScenarioContext(std::string folder);

    /// Functions of the Lua table `runner` by name. docs/scenarios.md describes them.
    const std::map<std::string, Step> &steps() const { return this->stepsByName; }

private:
    void addProcessSteps();
    void addLinkSteps();
    void addCallerSteps();
    void addUtilitySteps();
    nlohmann::json spawn(const nlohmann::json &arguments);
    Process &processOf(const nlohmann::json &arguments);
    EventStream &streamOf(const nlohmann::json &arguments);

    std::string folder;
    LinkTable links;
    RelayHub relays{links};
    std::vector<std::unique_ptr<Process>> processes;
    std::vector<std::unique_ptr<EventStream>> streams;
    std::map<std::string, Step> stepsByName;
};

} // namespace eelgrasslift::scenario
