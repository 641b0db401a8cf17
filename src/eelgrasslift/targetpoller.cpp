#include "eelgrasslift/targetpoller.h"

#include "eelgrasslift/asyncbridge.h"
#include "eelgrasslift/engineload.h"
#include "eelgrasslift/httpclient.h"
#include "eelgrasslift/logging.h"
#include "eelgrasslift/targetprobe.h"
#include "eelgrasslift/vmlist.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

constexpr Duration PollTimeout = std::chrono::seconds{2};
/// Limits how long an unresponsive engine can delay an isolated run.
constexpr Duration IncarnationTimeout = std::chrono::milliseconds{500};

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

} // namespace

TargetPoller::TargetPoller(EntryContext &entryContext, Endpoint listEndpoint, Duration pollInterval)
    : context(entryContext)
    , vmList(std::move(listEndpoint))
    , interval(pollInterval)
{}

void TargetPoller::start()
{
    asio::co_spawn(asio::make_strand(this->context.traffic), this->vmListLoop(), asio::detached);
    asio::co_spawn(asio::make_strand(this->context.traffic), this->loadLoop(), asio::detached);
}

asio::awaitable<void> TargetPoller::vmListLoop()
{
    bool wasReachable = true;
    while (true) {
        const auto result =
                co_await exchange(this->vmList, makeRequest("GET", this->vmList, "/vms"), PollTimeout);
        const auto *response = std::get_if<HttpResponse>(&result);
        const auto list = response != nullptr && response->result_int() == 200 ? parseVmList(response->body())
                                                                               : std::nullopt;
        if (list)
            this->context.control.post(
                    [&state = this->context.state, list = *list] { state.handleDirectoryEvent(list); });
        if (!list && wasReachable)
            logWarning("vm-list-unreachable", {{"address", this->vmList.toString()}});
        wasReachable = list.has_value();
        co_await sleepFor(this->interval);
    }
}

std::vector<TargetPoller::PolledTarget> TargetPoller::targetsToPoll() const
{
    const RulesSnapshot rules = this->context.state.rules();
    std::vector<PolledTarget> targets;
    if (!rules)
        return targets;
    std::set<std::string> probed;
    for (const TargetEntry &entry : this->context.state.directory().targetsToProbe())
        probed.insert(entry.vm.id);
    for (const auto &[id, entry] : this->context.state.directory().targets()) {
        const TargetsRule *rule = rules->rules.targetsFor(id);
        const auto endpoint = parseEndpoint(entry.vm.address);
        if (rule != nullptr && endpoint)
            targets.push_back({id, *endpoint, rule->kind, probed.contains(id)});
    }
    return targets;
}

asio::awaitable<void> TargetPoller::loadLoop()
{
    const auto listTargets = [this] { return this->targetsToPoll(); };
    while (true) {
        const auto targets = co_await runOnControlThread(this->context.control, listTargets);
        for (const PolledTarget &target : targets)
            asio::co_spawn(co_await asio::this_coro::executor, this->poll(target), asio::detached);
        co_await sleepFor(this->interval);
    }
}

asio::awaitable<void> TargetPoller::poll(PolledTarget target)
{
    if (target.mustProbe && co_await this->probe(target))
        this->context.control.post([&state = this->context.state, id = target.id] {
            state.handleDirectoryEvent(ProbeSucceeded{id});
        });
    if (target.kind == TargetKind::Engine)
        co_await this->readLoad(target.id, target.endpoint, PollTimeout);
}

asio::awaitable<bool> TargetPoller::probe(PolledTarget target)
{
    if (target.kind == TargetKind::Service)
        co_return co_await probeTarget(target.endpoint) == ProbeResult::Reachable;
    const auto result = co_await exchange(target.endpoint, makeRequest("GET", target.endpoint, "/v1/engine"),
                                          PollTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->result_int() != 200)
        co_return false;
    const nlohmann::json state = nlohmann::json::parse(response->body(), nullptr, false);
    const auto leaving = state.is_object() ? state.find("leaving") : state.end();
    co_return leaving == state.end() || !leaving->is_boolean() || !leaving->get<bool>();
}

asio::awaitable<void> TargetPoller::readLoad(std::string target, Endpoint endpoint, Duration timeout)
{
    const TimePoint askedAt = monotonicNow();
    const auto report = co_await readEngineLoad(endpoint, timeout);
    if (report)
        this->context.control.post(
                [this, target, report = *report, askedAt] { this->applyLoad(target, report, askedAt); });
}

void TargetPoller::readIncarnation(const std::string &target, const Endpoint &endpoint,
                                   std::function<void()> done)
{
    asio::co_spawn(this->context.traffic, this->readLoad(target, endpoint, IncarnationTimeout),
                   [this, done = std::move(done)](const std::exception_ptr &) {
                       // Runs after the report, which has been posted before.
                       this->context.control.post(done);
                   });
}

void TargetPoller::applyLoad(const std::string &target, const LoadReport &report, TimePoint askedAt)
{
    // A new incarnation means that the engine was restarted between two polls.
    this->context.state.reportIncarnation({target, report.incarnation, askedAt}, std::nullopt,
                                          [](ProcessFate) {});
    this->context.state.placement().selector().applyReport(target, report, monotonicNow());
    this->context.state.placement().dispatch(currentInstant());
}

} // namespace eelgrasslift
