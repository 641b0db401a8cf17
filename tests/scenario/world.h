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

/// Everything that one scenario started. Its destructor ends the processes by pid.
class World
{
public:
    using Step = std::function<nlohmann::json(const nlohmann::json &)>;

    explicit World(std::string folder);

    const std::map<std::string, Step> &steps() const { return this->table; }

private:
    void addProcessSteps();
    void addLinkSteps();
    void addCallerSteps();
    void addDataSteps();
    nlohmann::json spawn(const nlohmann::json &arguments);
    Process &process(const nlohmann::json &arguments);
    EventStream &stream(const nlohmann::json &arguments);

    std::string folder;
    LinkTable links;
    RelayHub relays{links};
    std::vector<std::unique_ptr<Process>> processes;
    std::vector<std::unique_ptr<EventStream>> streams;
    std::map<std::string, Step> table;
};

} // namespace eelgrasslift::scenario
