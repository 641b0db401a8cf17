#include "gateway/requestcontext.h"

#include "gateway/clock.h"
#include "gateway/httpservice.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

bool isClosedByPeer(const boost::system::error_code &error)
{
    return error == asio::error::eof || error == asio::error::connection_reset ||
           error == asio::error::broken_pipe || error == asio::error::timed_out ||
           error == http::error::end_of_stream || error == http::error::partial_message;
}

// Within this time a failed runner is usually replaced or removed from the list, so that a retry can succeed.
constexpr double RetryAfterSeconds = 0.6;

// Callers that are refused until the end of the runners' pauses are told times that differ by up to this
// much, so that they do not come back in the same instant.
constexpr double RetryAfterSpreadSeconds = 0.2;

/// Decimal number with three places.
std::string secondsText(double seconds)
{
    std::array<char, 32> text{};
    const auto [end, status] =
            std::to_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed, 3);
    return {text.data(), end};
}

} // namespace

void RequestSession::abandon()
{
    this->isAbandoned = true;
    this->disconnect();
}

void RequestSession::expire()
{
    this->isExpired = true;
    this->context.deadline = steadyNow();
    this->disconnect();
}

void RequestSession::disconnect()
{
    if (!this->activeConnection)
        return;
    boost::system::error_code ignored;
    this->activeConnection->stream.socket().close(ignored);
}

Duration RequestSession::remainingTime() const
{
    return this->context.deadline - steadyNow();
}

RequestSession::RunnerRequest RequestSession::makeRunnerRequest(const RunnerPool::Runner &runner,
                                                                const AttemptHeaders &extra) const
{
    const std::string &body = this->context.request.body();
    RunnerRequest request(this->context.request.base(),
                          boost::beast::span<const char>(body.data(), body.size()));
    AttemptHeaders attempt = extra;
    attempt.remainingTime = this->remainingTime();
    attempt.runnerId = runner.entry.id;
    attempt.account = this->context.account;
    this->gateway.format.encodeAttempt(request, attempt);
    request.keep_alive(true);
    request.prepare_payload();
    return request;
}

asio::awaitable<void> RequestSession::sendError(unsigned status, std::string_view cause)
{
    this->recordEnd(status, cause);
    if (this->isAbandoned)
        co_return;
    HttpResponse response = makeResponse(status, R"({"error":")" + std::string(cause) + "\"}");
    if (status == 503)
        response.set(http::field::retry_after, secondsText(this->retryAfterSeconds()));
    co_await this->writer.send(std::move(response));
}

double RequestSession::retryAfterSeconds() const
{
    const TimePoint now = steadyNow();
    if (const auto quarantine = this->quarantine())
        return toSeconds(quarantine->until - now);
    const RunnerCriteria anyRunner{this->context.service, this->gateway.settings.domain, std::nullopt};
    const auto nextSend = this->gateway.runners.nextSendToPaused(anyRunner, now);
    if (!nextSend)
        return RetryAfterSeconds;
    return toSeconds(*nextSend - now) + RetryAfterSpreadSeconds * this->gateway.random.uniform();
}

const Sha256 &RequestSession::fingerprint() const
{
    if (!this->knownFingerprint) {
        const auto target = this->context.request.target();
        this->knownFingerprint = requestFingerprint(this->context.account, {target.data(), target.size()},
                                                    this->context.request.body());
    }
    return *this->knownFingerprint;
}

const std::vector<Sha256> &RequestSession::promptParts() const
{
    if (!this->knownPromptParts) {
        this->knownPromptParts.emplace();
        for (const std::string &id : this->context.metadata.sharedPromptParts)
            this->knownPromptParts->push_back(promptPartFingerprint(id));
    }
    return *this->knownPromptParts;
}

std::optional<CrashRecords::Quarantine> RequestSession::quarantine() const
{
    const CrashRecords &crashes = this->gateway.crashRecords;
    // Without records there is no need for the digest of the request.
    if (crashes.isEmpty())
        return std::nullopt;
    const TimePoint now = steadyNow();
    this->gateway.settleCrashRecords();
    if (const auto until = crashes.quarantinedUntil(this->fingerprint(), now))
        return CrashRecords::Quarantine{this->fingerprint(), *until};
    return crashes.quarantineOf(this->promptParts(), now);
}

bool RequestSession::isQuarantined()
{
    const std::optional<CrashRecords::Quarantine> quarantine = this->quarantine();
    if (!quarantine || this->isQuarantineLogged)
        return quarantine.has_value();
    this->isQuarantineLogged = true;
    this->gateway.metrics.quarantineRefusals.Increment();
    logInfo("request-withheld",
            {{"request", this->context.metadata.id},
             {"fingerprint", fingerprintText(quarantine->subject)},
             {"runners", this->gateway.crashRecords.crashedRunners(quarantine->subject)},
             {"remaining_ms", std::to_string(toMilliseconds(quarantine->until - steadyNow()))}});
    return true;
}

bool RequestSession::mayRepeatAfterLoss() const
{
    return this->gateway.possibleCrashes(this->fingerprint()) < CrashRecords::CrashLimit &&
           std::ranges::all_of(this->promptParts(), [this](const Sha256 &part) {
               return this->gateway.crashRecords.crashCount(part, steadyNow()) < PromptPartCrashLimit;
           });
}

void RequestSession::recordLostRun(const RunnerEntry &runner, RunStage stage, RunLoss loss)
{
    this->gateway.recordLostRun(runner, {this->context.metadata.id, this->fingerprint(),
                                         RunnerIncarnation::of(runner), steadyNow(), stage,
                                         this->promptParts(), loss});
}

void RequestSession::recordFailedReceive(const RunnerEntry &runner, const boost::system::error_code &error,
                                         RunStage stage)
{
    const bool isOwnEnd = this->isAbandoned || this->isExpired;
    const bool isSilent = error == beast::error::timeout || error == asio::error::timed_out;
    if (!isOwnEnd && (isSilent || isClosedByPeer(error)))
        this->recordLostRun(runner, stage, isSilent ? RunLoss::Silent : RunLoss::BrokenOff);
}

bool RequestSession::hasInvalidStatus(const ResponseHeader &header, const RunnerEntry &runner)
{
    const unsigned status = header.result_int();
    if (statusClass(status) != StatusClass::Invalid)
        return false;
    logWarning("invalid-status", {{"request", this->context.metadata.id},
                                  {"runner", runner.id},
                                  {"status", std::to_string(status)}});
    this->recordLostRun(runner, RunStage::Beginning);
    return true;
}

std::string_view RequestSession::failureCause(std::string_view cause) const
{
    return this->isExpired ? "grace-period-over" : cause;
}

asio::awaitable<void> RequestSession::sendErrorFor(NextStep step, std::string_view cause)
{
    const std::string_view reported = this->failureCause(cause);
    switch (step) {
    case NextStep::RefuseNotRun:
        co_await this->sendError(503, reported);
        break;
    case NextStep::FailTimeout:
        co_await this->sendError(504, reported);
        break;
    default:
        co_await this->sendError(502, reported);
        break;
    }
}

void RequestSession::recordEnd(unsigned status, std::string_view cause)
{
    const TimePoint now = steadyNow();
    this->gateway.metrics.countRequest(this->context.route->name, status);
    std::vector<LogField> fields{{"request", this->context.metadata.id},
                                 {"route", this->context.route->name},
                                 {"status", std::to_string(status)},
                                 {"cause", std::string(cause)},
                                 {"runner", this->lastRunnerId},
                                 {"sends", std::to_string(this->sendCount)},
                                 {"config", std::to_string(this->context.table->version())},
                                 {"ms", std::to_string(toMilliseconds(now - this->context.arrived))},
                                 {"draining", this->gateway.isDraining ? "yes" : "no"}};
    std::ranges::move(this->endLogFields(), std::back_inserter(fields));
    logInfo("request-ended", fields);
}

} // namespace eelgrasslift
