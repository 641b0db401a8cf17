#include "eelgrasslift/orderexecutor.h"

#include "eelgrasslift/httpclient.h"
#include "eelgrasslift/logging.h"
#include "eelgrasslift/vmlist.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds{250};
constexpr Duration RequestTimeout = std::chrono::seconds{2};
constexpr Duration DefaultRetryAfter = std::chrono::seconds{5};

std::string textField(const nlohmann::json &document, const char *key)
{
    const auto field = document.find(key);
    return field != document.end() && field->is_string() ? field->get<std::string>() : std::string{};
}

uint64_t numberOrHash(const nlohmann::json &document, const char *key)
{
    const auto field = document.find(key);
    if (field == document.end())
        return 0;
    if (field->is_number_unsigned())
        return field->get<uint64_t>();
    return field->is_string() ? std::hash<std::string>{}(field->get<std::string>()) : 0;
}

std::optional<EngineReport> parseEngine(std::string_view body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("model"))
        return std::nullopt;
    EngineReport report;
    report.loaded = {textField(document, "model"), textField(document, "version"),
                     textField(document, "adapter"), textField(document, "role")};
    report.incarnation = numberOrHash(document, "incarnation");
    const auto loading = document.find("loading");
    report.isLoading = loading != document.end() && loading->is_boolean() && loading->get<bool>();
    return report;
}

Duration retryAfter(const HttpResponse &response)
{
    const std::string text(response[http::field::retry_after]);
    const auto seconds = parseDuration(text + "s");
    return seconds.value_or(DefaultRetryAfter);
}

std::string orderBody(const LoadOrder &order, TimePoint now)
{
    const Duration left = order.deadline - now;
    const WallTime deadline = wallNow() + std::chrono::duration_cast<std::chrono::milliseconds>(left);
    return nlohmann::json{{"fence", order.fence},
                          {"deadline_ms", deadline.time_since_epoch().count()},
                          {"model", order.desired.model},
                          {"version", order.desired.version},
                          {"adapter", order.desired.adapter},
                          {"role", order.desired.role}}
            .dump();
}

OrderOutcome outcomeOf(unsigned status)
{
    if (status == 200)
        return OrderOutcome::Done;
    return status == 409 ? OrderOutcome::Stale : OrderOutcome::Refused;
}

std::string_view toString(OrderOutcome outcome)
{
    constexpr std::array<std::string_view, 5> Names{"done", "stale", "refused", "lost", "not-sent"};
    return Names.at(static_cast<size_t>(outcome));
}

} // namespace

OrderExecutor::OrderExecutor(ControlThread &controlThread, ControlCore &controlCore,
                             const ControlSettings &controlSettings)
    : control(controlThread)
    , core(controlCore)
    , settings(controlSettings)
{}

void OrderExecutor::start()
{
    if (this->settings.vmList.port == 0)
        return;
    this->timer = this->control.timers().subscribeEvery(monotonicNow(), TickInterval,
                                                        [this](TimePoint) { this->feed(OrderTick{}); });
    asio::co_spawn(this->control.context(), this->pollVmList(), asio::detached);
}

void OrderExecutor::rulesChanged(const ControlState::RulesPointer &rules)
{
    this->feed(ReconcileRules{rules});
}

void OrderExecutor::leadershipGained(TimePoint earlierLeaseEnd)
{
    this->granted.clear();
    this->feed(LeadershipGained{earlierLeaseEnd});
}

void OrderExecutor::leadershipLost()
{
    this->feed(LeadershipLost{});
}

nlohmann::json OrderExecutor::dump() const
{
    constexpr std::array<std::string_view, 5> Phases{"waiting", "reading", "reserving", "fencing", "sending"};
    nlohmann::json targets = nlohmann::json::array();
    for (const auto &[id, target] : this->reconciler.targets()) {
        targets.push_back({{"target", id},
                           {"live", target.isLive},
                           {"phase", Phases.at(static_cast<size_t>(target.phase))},
                           {"settled", target.isSettled},
                           {"model", target.report.loaded.model},
                           {"version", target.report.loaded.version}});
    }
    return {{"vm_list_version", this->listVersion}, {"targets", targets}};
}

void OrderExecutor::feed(const OrderEvent &event)
{
    for (const OrderAction &action : this->reconciler.handle(event, monotonicNow()))
        std::visit([this](const auto &value) { this->carryOut(value); }, action);
}

std::optional<Endpoint> OrderExecutor::endpointOf(std::string_view target) const
{
    const auto found = this->endpoints.find(target);
    return found == this->endpoints.end() ? std::nullopt : std::optional(found->second);
}

void OrderExecutor::carryOut(const ReadEngine &action)
{
    if (const auto endpoint = this->endpointOf(action.target))
        asio::co_spawn(this->control.context(), this->readEngine(action.target, *endpoint), asio::detached);
}

void OrderExecutor::carryOut(const RequestReservation &action)
{
    const ReserveLoad load = action.command;
    this->core.submit(load, [this, load](const Result<ControlAnswer, ProposalError> &result) {
        const auto *answer = std::get_if<ControlAnswer>(&result);
        if (answer == nullptr)
            this->feed(StepFailed{load.target});
        else if (const auto *refused = std::get_if<LoadRefused>(answer))
            this->feed(ReservationRefused{load.target, refused->retryAfter});
        else
            asio::co_spawn(this->control.context(), this->askWeightStore(load), asio::detached);
    });
}

void OrderExecutor::carryOut(const RequestFence &action)
{
    const std::string target = action.command.target;
    this->core.submit(action.command, [this, target](const Result<ControlAnswer, ProposalError> &result) {
        const auto *answer = std::get_if<ControlAnswer>(&result);
        const auto *granted = answer == nullptr ? nullptr : std::get_if<FenceGranted>(answer);
        if (granted == nullptr)
            this->feed(StepFailed{target});
        else
            this->feed(FenceReceived{target, granted->fence});
    });
}

void OrderExecutor::carryOut(const SendOrder &action)
{
    const auto endpoint = this->endpointOf(action.order.target);
    if (endpoint)
        asio::co_spawn(this->control.context(), this->send(action.order, *endpoint), asio::detached);
    else
        this->feed(OrderAnswered{action.order.target, action.order.fence, OrderOutcome::NotSent});
}

void OrderExecutor::carryOut(const RequestConfirmation &action)
{
    this->granted.erase(action.command.target);
    this->core.submit(action.command, [](const auto &) {});
}

void OrderExecutor::carryOut(const RequestForget &action)
{
    this->core.submit(action.command, [](const auto &) {});
}

asio::awaitable<void> OrderExecutor::pollVmList()
{
    asio::steady_timer sleep(this->control.context());
    while (true) {
        const auto result = co_await exchange(
                this->settings.vmList, makeRequest("GET", this->settings.vmList, "/vms"), RequestTimeout);
        const auto *answer = std::get_if<HttpResponse>(&result);
        if (answer != nullptr && answer->result_int() == 200)
            this->listReceived(answer->body());
        sleep.expires_after(this->settings.pollInterval);
        co_await sleep.async_wait(asio::use_awaitable);
    }
}

void OrderExecutor::listReceived(std::string_view body)
{
    const auto list = parseVmList(body);
    if (!list || list->version < this->listVersion)
        return;
    this->listVersion = list->version;
    LiveTargets live;
    this->endpoints.clear();
    for (const ListedVm &vm : list->vms) {
        const auto endpoint = parseEndpoint(vm.address);
        if (!endpoint || vm.isLeaving)
            continue;
        this->endpoints[vm.id] = *endpoint;
        live.targets.insert(vm.id);
    }
    this->feed(live);
}

asio::awaitable<void> OrderExecutor::readEngine(std::string target, Endpoint endpoint)
{
    const auto result =
            co_await exchange(endpoint, makeRequest("GET", endpoint, "/v1/engine"), RequestTimeout);
    const auto *answer = std::get_if<HttpResponse>(&result);
    const auto report =
            answer != nullptr && answer->result_int() == 200 ? parseEngine(answer->body()) : std::nullopt;
    if (report)
        this->feed(EngineReportReceived{target, *report});
    else
        this->feed(StepFailed{target});
}

/// The replicated budget counts loads over leader changes; the store itself has the last word. A load that
/// this process got from the store is not asked for again.
asio::awaitable<void> OrderExecutor::askWeightStore(ReserveLoad load)
{
    const auto known = this->granted.find(load.target);
    const bool isGranted = known != this->granted.end() && known->second.incarnation == load.incarnation &&
                           known->second.desired == load.desired;
    if (this->settings.weightStore.port == 0 || isGranted) {
        this->feed(ReservationGranted{load.target});
        co_return;
    }
    const std::string body =
            nlohmann::json{{"model", load.desired.model}, {"version", load.desired.version}}.dump();
    const auto result = co_await exchange(this->settings.weightStore,
                                          makeRequest("POST", this->settings.weightStore, "/reserve", body),
                                          RequestTimeout);
    const auto *answer = std::get_if<HttpResponse>(&result);
    if (answer != nullptr && answer->result_int() == 200) {
        this->granted[load.target] = load;
        this->feed(ReservationGranted{load.target});
    } else if (answer != nullptr && answer->result_int() == 429) {
        this->feed(ReservationRefused{load.target, retryAfter(*answer)});
    } else {
        this->feed(StepFailed{load.target});
    }
}

asio::awaitable<void> OrderExecutor::send(LoadOrder order, Endpoint endpoint)
{
    const OrderOutcome outcome = co_await this->transmit(order, endpoint);
    logInfo("order-sent", {{"target", order.target},
                           {"fence", std::to_string(order.fence)},
                           {"version", order.desired.version},
                           {"outcome", std::string(toString(outcome))}});
    this->feed(OrderAnswered{order.target, order.fence, outcome});
}

asio::awaitable<OrderOutcome> OrderExecutor::transmit(const LoadOrder &order, const Endpoint &endpoint)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    if (!co_await connectTo(stream, endpoint, RequestTimeout))
        co_return OrderOutcome::NotSent;
    auto request = makeRequest("POST", endpoint, "/v1/orders", orderBody(order, monotonicNow()));
    // The connection is open and the order is ready: nothing but this check stands before the first byte.
    if (!this->reconciler.authorize(order, this->core.hasLease(), monotonicNow()))
        co_return OrderOutcome::NotSent;
    boost::system::error_code error;
    stream.expires_at(std::chrono::steady_clock::time_point(order.deadline.time_since_epoch()));
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    boost::beast::flat_buffer buffer;
    HttpResponse response;
    if (!error)
        co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    co_return error ? OrderOutcome::Lost : outcomeOf(response.result_int());
}

} // namespace eelgrasslift
