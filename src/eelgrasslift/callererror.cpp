#include "eelgrasslift/callererror.h"

#include <nlohmann/json.hpp>

namespace eelgrasslift {

namespace {

nlohmann::ordered_json toDocument(const CallerError &error)
{
    nlohmann::ordered_json fields{{"type", error.type},
                                  {"code", error.code},
                                  {"message", error.message},
                                  {"outcome", toString(error.outcome)}};
    if (error.retryAfter)
        fields["retry_after_ms"] = toMilliseconds(*error.retryAfter);
    return fields;
}

std::string serialize(nlohmann::ordered_json fields)
{
    const nlohmann::ordered_json document{{"error", std::move(fields)}};
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Incomplete:
        return "incomplete";
    }
    return "unknown";
}

std::string toJson(const CallerError &error)
{
    return serialize(toDocument(error));
}

std::string toJson(const CallerError &error, uint64_t deliveredTokens)
{
    nlohmann::ordered_json fields = toDocument(error);
    fields["delivered"] = deliveredTokens;
    return serialize(std::move(fields));
}

} // namespace eelgrasslift
