#include "eelgrasslift/engineload.h"

#include "eelgrasslift/httpclient.h"

#include <nlohmann/json.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

/// Converts an incarnation, which may be a number or a string, to a number.
uint64_t toIncarnation(const nlohmann::json &value)
{
    if (value.is_number_unsigned())
        return value.get<uint64_t>();
    return value.is_string() ? std::hash<std::string>{}(value.get<std::string>()) : 0;
}

std::optional<LoadReport> parseLoad(std::string_view body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    const auto number = [&document](const char *key) {
        const auto field = document.find(key);
        return field != document.end() && field->is_number() ? field->get<double>() : 0.0;
    };
    LoadReport report;
    report.incarnation = toIncarnation(document.value("incarnation", nlohmann::json(0U)));
    report.reportedAtMs = static_cast<int64_t>(number("reported_at_ms"));
    report.running = static_cast<uint32_t>(number("running"));
    report.waiting = static_cast<uint32_t>(number("waiting"));
    report.memoryUsed = number("memory_used");
    report.memoryTotal = number("memory_total");
    report.preemptions = static_cast<uint64_t>(number("preemptions"));
    return report;
}

} // namespace

asio::awaitable<std::optional<LoadReport>> readEngineLoad(Endpoint endpoint, Duration timeout)
{
    const auto result = co_await exchange(endpoint, makeRequest("GET", endpoint, "/v1/load"), timeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->result_int() != 200)
        co_return std::nullopt;
    co_return parseLoad(response->body());
}

} // namespace eelgrasslift
