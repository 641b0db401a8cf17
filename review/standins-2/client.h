#pragma once

#include "harness.h"

namespace review {

/// What a client got for a request.
struct ClientResult
{
    int status = 0;
    bool isComplete = false;
    std::string body;
    std::map<std::string, std::string> fields;
};

/// Sends a request on a new connection, or on the given one, and reads the answer.
ClientResult sendRequest(Record &record, const std::string &ip, const std::string &method,
                         const std::string &path, const std::string &id, const std::string &fields,
                         const std::string &body, Milliseconds timeout,
                         const ConnectionPointer &kept = nullptr);

/// Fields of a generation with its own last part of the prompt.
std::string generationFields(const std::string &id, int promptTokens, int outputTokens);

/// A configuration with a model service, a plain service and a route for each kind.
std::string configuration(int version, const std::string &engineExtra = {});

constexpr const char *Host = "alley.example";
constexpr const char *ApiKey = "key-one";
constexpr const char *ModelService = "writer";
constexpr const char *PlainService = "bookings";

} // namespace review
