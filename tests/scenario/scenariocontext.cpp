#include "scenariocontext.h"

#include "tokens.h"

#include "libcore/core.h"
#include "libwire/wire.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace eelgrasslift::scenario {

using nlohmann::json;

namespace {

ClientRequest toRequest(const json &arguments)
{
    ClientRequest request;
    request.address = arguments.at("address");
    request.method = arguments.value("method", "GET");
    request.path = arguments.value("path", "/");
    request.body = arguments.value("body", "");
    request.timeout = std::chrono::milliseconds{arguments.value("timeout_ms", int64_t{30'000})};
    if (arguments.contains("headers")) {
        for (const auto &[name, value] : arguments.at("headers").items())
            request.headers.emplace_back(name, value);
    }
    return request;
}

json toResult(const ClientResponse &response)
{
    json result{{"status", response.status}, {"headers", response.headers}, {"body", response.body}};
    if (!response.error.empty())
        result["error"] = response.error;
    return result;
}

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/// Writes the file in which an entry stores the rules that it accepted last, so that entries can be tested
/// without control members.
void writeAcceptedRules(const std::string &folder, const std::string &text, uint64_t version)
{
    wire::RulesDocument document;
    document.mutable_header()->set_cluster_id(std::string(16, 'c'));
    document.mutable_header()->set_version(version);
    document.set_author("scenario");
    document.set_text(text);
    const std::string payload = document.SerializeAsString();
    const Sha256 digest = sha256(payload);
    std::filesystem::create_directories(folder);
    std::ofstream(folder + "/accepted-rules", std::ios::binary)
            << std::string(digest.begin(), digest.end()) << payload;
}

} // namespace

ScenarioContext::ScenarioContext(std::string folder)
    : folder(std::move(folder))
{
    this->addProcessSteps();
    this->addLinkSteps();
    this->addCallerSteps();
    this->addUtilitySteps();
}

json ScenarioContext::spawn(const json &arguments)
{
    ProcessSpec spec;
    spec.name = arguments.at("name");
    spec.arguments = arguments.at("args").get<std::vector<std::string>>();
    if (arguments.contains("env"))
        spec.environment = arguments.at("env").get<std::map<std::string, std::string>>();
    spec.logPath = this->folder + "/" + spec.name + ".log";
    this->processes.push_back(std::make_unique<Process>(spec));
    this->links.setProcess(this->processes.back()->pid(), spec.name);
    return this->processes.size() - 1;
}

Process &ScenarioContext::processOf(const json &arguments)
{
    return *this->processes.at(arguments.at("process").get<size_t>());
}

EventStream &ScenarioContext::streamOf(const json &arguments)
{
    return *this->streams.at(arguments.at("stream").get<size_t>());
}

void ScenarioContext::addProcessSteps()
{
    this->stepsByName["spawn"] = [this](const json &arguments) { return this->spawn(arguments); };
    this->stepsByName["listening"] = [this](const json &arguments) -> json {
        const auto address = this->processOf(arguments).listeningAddress(arguments.value("port", ""));
        return address ? json(*address) : json(nullptr);
    };
    this->stepsByName["signal"] = [this](const json &arguments) -> json {
        this->processOf(arguments).signal(arguments.at("number"));
        return nullptr;
    };
    this->stepsByName["exit_code"] = [this](const json &arguments) -> json {
        const auto code = this->processOf(arguments).exitCode();
        return code ? json(*code) : json(nullptr);
    };
    this->stepsByName["output"] = [this](const json &arguments) -> json {
        return this->processOf(arguments).output();
    };
}

void ScenarioContext::addLinkSteps()
{
    this->stepsByName["relay"] = [this](const json &arguments) -> json {
        return this->relays.open(arguments.at("name"));
    };
    this->stepsByName["relay_target"] = [this](const json &arguments) -> json {
        this->relays.setTarget(arguments.at("relay"), arguments.at("target"));
        return nullptr;
    };
    this->stepsByName["cut"] = [this](const json &arguments) -> json {
        this->links.cut(arguments.at("from"), arguments.at("to"));
        return nullptr;
    };
    this->stepsByName["heal"] = [this](const json &arguments) -> json {
        this->links.heal(arguments.at("from"), arguments.at("to"));
        return nullptr;
    };
    this->stepsByName["resume_links"] = [this](const json &) -> json {
        this->relays.resume();
        return nullptr;
    };
}

void ScenarioContext::addCallerSteps()
{
    this->stepsByName["request"] = [](const json &arguments) {
        return toResult(sendRequest(toRequest(arguments)));
    };
    this->stepsByName["open_stream"] = [this](const json &arguments) -> json {
        this->streams.push_back(std::make_unique<EventStream>(toRequest(arguments)));
        return this->streams.size() - 1;
    };
    this->stepsByName["stream_state"] = [this](const json &arguments) {
        EventStream &stream = this->streamOf(arguments);
        const bool isEnded = stream.isEnded(); // read first: the count is final once this is true
        json result = toResult(stream.response());
        result["count"] = stream.eventCount();
        result["ended"] = isEnded;
        return result;
    };
    this->stepsByName["stream_events"] = [this](const json &arguments) {
        json events = json::array();
        for (const StreamEvent &event : this->streamOf(arguments).events(arguments.value("from", size_t{0})))
            events.push_back(
                    {{"id", event.id}, {"type", event.type}, {"data", event.data}, {"at", event.receivedAt}});
        return events;
    };
    this->stepsByName["close_stream"] = [this](const json &arguments) -> json {
        this->streamOf(arguments).close();
        return nullptr;
    };
}

void ScenarioContext::addUtilitySteps()
{
    this->stepsByName["encode"] = [](const json &arguments) -> json { return arguments.dump(); };
    this->stepsByName["decode"] = [](const json &arguments) {
        json value = json::parse(arguments.get<std::string>(), nullptr, false);
        return value.is_discarded() ? json(nullptr) : value;
    };
    this->stepsByName["now"] = [](const json &) -> json { return monotonicMilliseconds(); };
    this->stepsByName["unix_now"] = [](const json &) -> json {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    };
    this->stepsByName["pause"] = [](const json &arguments) -> json {
        std::this_thread::sleep_for(std::chrono::milliseconds{arguments.at("ms").get<int64_t>()});
        return nullptr;
    };
    this->stepsByName["digest"] = [](const json &arguments) -> json {
        return standins::promptDigest(arguments.get<std::string>());
    };
    this->stepsByName["sha256"] = [](const json &arguments) -> json {
        return toHex(sha256(arguments.get<std::string>()));
    };
    this->stepsByName["uuid"] = [random = std::make_shared<Random>(systemSeed())](const json &) -> json {
        const auto now = std::chrono::system_clock::now();
        return makeUuidV7(std::chrono::time_point_cast<std::chrono::milliseconds>(now), *random);
    };
    this->stepsByName["folder"] = [this](const json &) -> json { return this->folder; };
    this->stepsByName["read_file"] = [](const json &arguments) -> json { return readFile(arguments); };
    this->stepsByName["write_file"] = [](const json &arguments) -> json {
        std::ofstream(arguments.at("path").get<std::string>()) << arguments.at("text").get<std::string>();
        return nullptr;
    };
    this->stepsByName["write_accepted_rules"] = [](const json &arguments) -> json {
        writeAcceptedRules(arguments.at("folder"), arguments.at("text"), arguments.at("version"));
        return nullptr;
    };
    this->stepsByName["make_folder"] = [](const json &arguments) -> json {
        return std::filesystem::create_directories(arguments.get<std::string>());
    };
    this->stepsByName["remove_data"] = [this](const json &arguments) -> json {
        const std::string path = arguments;
        // A wrong path in a script must not remove anything else.
        if (!path.starts_with(this->folder + "/"))
            throw std::runtime_error("not inside the folder of this scenario: " + path);
        return std::filesystem::remove_all(path);
    };
}

} // namespace eelgrasslift::scenario
