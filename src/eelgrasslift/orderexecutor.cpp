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

std::optional<EngineReport> parseEngineReport(std::string_view body)
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
    const Duration remaining = order.deadline - now;
    const WallTime deadline = wallNow() + std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
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

OrderExecutor::OrderExecutor(ControlThread &controlThread, ControlMember &member,
                             const ControlSettings &controlSettings)
    : control(controlThread)
    , controlMember(member)
    , settings(controlSettings)
{}

void OrderExecutor::start()
{
    if (this->settings.vmList.port == 0)
        return;
    this->timer = this->control.timers().subscribeEvery(monotonicNow(), TickInterval,
                                                        [this](TimePoint) { this->process(OrderTick{}); });
    asio::co_spawn(this->control.context(), this->pollVmList(), asio::detached);
}

void OrderExecutor::rulesChanged(const ControlState::RulesPointer &rules)
{
    this->process(ReconcileRules{rules});
}

void OrderExecutor::leadershipGained(TimePoint earlierLeaseEnd)
{
    this->grantedLoads.clear();
    this->process(LeadershipGained{earlierLeaseEnd});
}

void OrderExecutor::leadershipLost()
{
    this->process(LeadershipLost{});
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

void OrderExecutor::process(const OrderEvent &event)
{
    for (const OrderAction &action : this->reconciler.handle(event, monotonicNow()))
        std::visit([this](const auto &value) { this->execute(value); }, action);
}

std::optional<Endpoint> OrderExecutor::endpointOf(std::string_view target) const
{
    const auto found = this->endpoints.find(target);
    return found == this->endpoints.end() ? std::nullopt : std::optional(found->second);
}

void OrderExecutor::execute(const ReadEngine &action)
{
    if (const auto endpoint = this->endpointOf(action.target))
        asio::co_spawn(this->control.context(), this->readEngine(action.target, *endpoint), asio::detached);
}

void OrderExecutor::execute(const RequestReservation &action)
{
    const ReserveLoad load = action.command;
    this->controlMember.submit(load, [this, load](const Result<ControlAnswer, ProposalError> &result) {
        const auto *answer = std::get_if<ControlAnswer>(&result);
        if (answer == nullptr)
            this->process(StepFailed{load.target});
        else if (const auto *refused = std::get_if<LoadRefused>(answer))
            this->process(ReservationRefused{load.target, refused->retryAfter});
        else
            asio::co_spawn(this->control.context(), this->reserveAtWeightStore(load), asio::detached);
    });
}

void OrderExecutor::execute(const RequestFence &action)
{
    const std::string target = action.command.target;
    this->controlMember.submit(
            action.command, [this, target](const Result<ControlAnswer, ProposalError> &result) {
                const auto *answer = std::get_if<ControlAnswer>(&result);
                const auto *fenceGranted = answer == nullptr ? nullptr : std::get_if<FenceGranted>(answer);
                if (fenceGranted == nullptr)
                    this->process(StepFailed{target});
                else
                    this->process(FenceReceived{target, fenceGranted->fence});
            });
}

void OrderExecutor::execute(const SendOrder &action)
{
    const auto endpoint = this->endpointOf(action.order.target);
    if (endpoint)
        asio::co_spawn(this->control.context(), this->send(action.order, *endpoint), asio::detached);
    else
        this->process(OrderAnswered{action.order.target, action.order.fence, OrderOutcome::NotSent});
}

void OrderExecutor::execute(const RequestConfirmation &action)
{
    this->grantedLoads.erase(action.command.target);
    this->controlMember.submit(action.command, [](const auto &) {});
}

void OrderExecutor::execute(const RequestForget &action)
{
    this->controlMember.submit(action.command, [](const auto &) {});
}

asio::awaitable<void> OrderExecutor::pollVmList()
{
    asio::steady_timer pollTimer(this->control.context());
    while (true) {
        const auto result = co_await exchange(
                this->settings.vmList, makeRequest("GET", this->settings.vmList, "/vms"), RequestTimeout);
        const auto *response = std::get_if<HttpResponse>(&result);
        if (response != nullptr && response->result_int() == 200)
            this->handleVmList(response->body());
        pollTimer.expires_after(this->settings.pollInterval);
        co_await pollTimer.async_wait(asio::use_awaitable);
    }
}

void OrderExecutor::handleVmList(std::string_view body)
{
    const auto list = parseVmList(body);
    if (!list || list->version < this->listVersion)
        return;
    this->listVersion = list->version;
    LiveTargets liveTargets;
    this->endpoints.clear();
    for (const ListedVm &vm : list->vms) {
        const auto endpoint = parseEndpoint(vm.address);
        if (!endpoint || vm.isLeaving)
            continue;
        this->endpoints[vm.id] = *endpoint;
        liveTargets.targets.insert(vm.id);
    }
    this->process(liveTargets);
}

asio::awaitable<void> OrderExecutor::readEngine(std::string target, Endpoint endpoint)
{
    const auto result =
            co_await exchange(endpoint, makeRequest("GET", endpoint, "/v1/engine"), RequestTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    const auto report = response != nullptr && response->result_int() == 200
                                ? parseEngineReport(response->body())
                                : std::nullopt;
    if (report)
        this->process(EngineReportReceived{target, *report});
    else
        this->process(StepFailed{target});
}

/// The replicated budget counts loads across leader changes, but only the weight store can grant one. A load
/// that the store has already granted to this process is not requested again.
asio::awaitable<void> OrderExecutor::reserveAtWeightStore(ReserveLoad load)
{
    const auto earlierGrant = this->grantedLoads.find(load.target);
    const bool isGranted = earlierGrant != this->grantedLoads.end() &&
                           earlierGrant->second.incarnation == load.incarnation &&
                           earlierGrant->second.desired == load.desired;
    if (this->settings.weightStore.port == 0 || isGranted) {
        this->process(ReservationGranted{load.target});
        co_return;
    }
    const std::string body =
            nlohmann::json{{"model", load.desired.model}, {"version", load.desired.version}}.dump();
    const auto result = co_await exchange(this->settings.weightStore,
                                          makeRequest("POST", this->settings.weightStore, "/reserve", body),
                                          RequestTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response != nullptr && response->result_int() == 200) {
        this->grantedLoads[load.target] = load;
        this->process(ReservationGranted{load.target});
    } else if (response != nullptr && response->result_int() == 429) {
        this->process(ReservationRefused{load.target, retryAfter(*response)});
    } else {
        this->process(StepFailed{load.target});
    }
}

asio::awaitable<void> OrderExecutor::send(LoadOrder order, Endpoint endpoint)
{
    const OrderOutcome outcome = co_await this->transmit(order, endpoint);
    logInfo("order-sent", {{"target", order.target},
                           {"fence", std::to_string(order.fence)},
                           {"version", order.desired.version},
                           {"outcome", std::string(toString(outcome))}});
    this->process(OrderAnswered{order.target, order.fence, outcome});
}

asio::awaitable<OrderOutcome> OrderExecutor::transmit(const LoadOrder &order, const Endpoint &endpoint)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    if (!co_await connectTo(stream, endpoint, RequestTimeout))
        co_return OrderOutcome::NotSent;
    auto request = makeRequest("POST", endpoint, "/v1/orders", orderBody(order, monotonicNow()));
    // Last check before the first byte is sent: connecting can take long enough for the lease or the deadline
    // to end.
    if (!this->reconciler.authorize(order, this->controlMember.hasLease(), monotonicNow()))
        co_return OrderOutcome::NotSent;
    boost::system::error_code error;
    stream.expires_at(std::chrono::steady_clock::time_point(order.deadline.time_since_epoch()));
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    boost::beast::flat_buffer buffer{MaxParseBufferBytes};
    HttpResponse response;
    if (!error)
        co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    co_return error ? OrderOutcome::Lost : outcomeOf(response.result_int());
}

} // namespace eelgrasslift
