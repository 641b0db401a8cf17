#include "runnerfleet.h"

#include "gateway/task.h"

#include <boost/system/system_error.hpp>

namespace eelgrasslift::soak {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

// The first runner of each service is often full.
constexpr uint32_t FewSlots = 2;
constexpr uint32_t ManySlots = 12;
constexpr Duration ListedAfterStop = std::chrono::milliseconds{700};
constexpr Duration ReplacementDelay = std::chrono::milliseconds{500};

Json route(const std::string &name, const std::string &prefix, const char *kind, const char *service)
{
    return {{"name", name},
            {"host", "soak.example"},
            {"path_prefix", prefix},
            {"kind", kind},
            {"timeout_ms", toMilliseconds(RouteTimeout)},
            {"slo_ms", 1500},
            {"gap_slo_ms", 400},
            {"priority", 0},
            {"service", service},
            {"max_attempts", SafeAttempts},
            {"public", true}};
}

} // namespace

RunnerFleet::RunnerFleet(asio::io_context &io, const AddressPlan &addressPlan, const Population &population,
                         Ledger &runLedger)
    : io(io)
    , addresses(addressPlan)
    , ledger(runLedger)
    , list(io, [this](HttpRequest request) { return this->answerList(std::move(request)); })
    , runners(population.services, std::vector<std::shared_ptr<Runner>>(population.runnersPerService))
{}

bool RunnerFleet::start()
{
    for (size_t service = 0; service < this->runners.size(); ++service) {
        for (size_t index = 0; index < this->runners[service].size(); ++index)
            this->runners[service][index] = this->makeRunner({service, index});
    }
    return this->list.listen(this->addresses.list());
}

std::shared_ptr<Runner> RunnerFleet::makeRunner(const RunnerPlace &place)
{
    const uint64_t number = this->startCount++;
    RunnerSpec spec;
    spec.id = "i-" + std::to_string(number);
    spec.service = ServiceNames[place.service];
    spec.endpoint = this->addresses.runner(number);
    spec.slots = place.index == 0 ? FewSlots : ManySlots;
    spec.endsUnanswered = this->areCrashesUnanswered;
    auto runner = std::make_shared<Runner>(this->io, std::move(spec), this->ledger, this->copies);
    runner->onCrash([this, place] { this->crash(place); });
    runner->start();
    return runner;
}

void RunnerFleet::retire(const RunnerPlace &place, Duration duration, LeavingNotice notice)
{
    const auto runner = this->find(place);
    if (!runner || runner->isLeaving())
        return;
    runner->leave(duration, notice);
    spawnTask(this->io, "soak-replace", this->replace(place, duration));
}

void RunnerFleet::crash(const RunnerPlace &place)
{
    const auto runner = this->find(place);
    if (!runner || runner->hasEnded())
        return;
    runner->stop();
    spawnTask(this->io, "soak-replace", this->replace(place, Duration::zero()));
}

asio::awaitable<void> RunnerFleet::replace(RunnerPlace place, Duration duration)
{
    co_await sleepFor(duration);
    std::shared_ptr<Runner> &runner = this->runners[place.service][place.index];
    runner->stop();
    co_await sleepFor(ListedAfterStop);
    runner.reset();
    co_await sleepFor(ReplacementDelay);
    runner = this->makeRunner(place);
}

std::shared_ptr<Runner> RunnerFleet::find(const RunnerPlace &place) const
{
    return this->runners.at(place.service).at(place.index);
}

asio::awaitable<HttpResponse> RunnerFleet::answerList(HttpRequest request) const
{
    if (!request.target().starts_with("/instances"))
        co_return makeResponse(404);
    Json instances = Json::array();
    for (const auto &service : this->runners) {
        for (const auto &runner : service) {
            if (runner)
                instances.push_back(runner->listEntry());
        }
    }
    co_return makeResponse(200, Json{{"instances", std::move(instances)}, {"next", nullptr}}.dump());
}

std::string RunnerFleet::configuration(uint64_t version)
{
    const char *plain = ServiceNames[0];
    const char *model = ServiceNames[1];
    Json resumable = route("resumable", "/events/resumable/", "streaming", plain);
    resumable["stream_resume"] = true;
    Json generation = route("generation", "/events/generation/", "streaming", model);
    generation["session_affinity"] = true;
    const std::string added = "v" + std::to_string(version);
    const Json routes{route("safe", "/safe/", "safe", plain),
                      route("unsafe", "/unsafe/", "unsafe", plain),
                      route("stream", "/events/stream/", "streaming", plain),
                      std::move(resumable),
                      std::move(generation),
                      route(added, "/" + added + "/", "safe", plain)};
    const Json engine{{"slots", ManySlots},
                      {"kv_capacity_tokens", 40000},
                      {"kv_token_bytes", 1024},
                      {"link_mbps", 1000.0},
                      {"moves", true},
                      {"backups", true},
                      {"stride", 4},
                      {"handle_s", 5.0},
                      {"models", Json::array({Json{{"name", "m"}}})}};
    const Json services{
            {{"name", plain}, {"health_path", "/health"}, {"max_conns", 200}},
            {{"name", model}, {"health_path", "/health"}, {"max_conns", 200}, {"engine", engine}}};
    return Json{{"version", version},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 4194304},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000}}}}
            .dump();
}

} // namespace eelgrasslift::soak
