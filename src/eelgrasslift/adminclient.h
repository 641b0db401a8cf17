#pragma once

#include "eelgrasslift/endpoint.h"
#include "libcore/core.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace eelgrasslift {

struct AdminRequest
{
    std::string method = "GET";
    /// Path and query.
    std::string target;
    std::string body = {};
    std::string author = {};
    /// Whether the request may be sent again after its answer was lost.
    bool isRepeatable = true;
    /// Whether only the leader can answer.
    bool followsLeader = true;
};

struct AdminReply
{
    unsigned status = 0;
    nlohmann::json body;
};

enum class AdminFailure {
    /// Nothing was done: no member could be reached, or none led.
    Unreachable,
    /// The request may have been carried out.
    OutcomeUnknown,
};

struct AdminClientSettings
{
    std::vector<Endpoint> members;
    std::string adminKey;
    /// Time for one command with all its attempts.
    Duration deadline = std::chrono::seconds{20};
    /// Longer than the server's own limit, so that its answer "unknown" arrives.
    Duration attemptTimeout = std::chrono::seconds{10};
};

/// Sends requests to the admin API and follows the leader. Blocks.
class AdminClient
{
public:
    explicit AdminClient(AdminClientSettings settings);

    Result<AdminReply, AdminFailure> call(const AdminRequest &request);

private:
    enum class Step { Done, SameMember, NextMember, Lost };

    Step attempt(const AdminRequest &request, const Endpoint &member, Duration timeout, AdminReply &reply);
    void followLeader(const AdminReply &reply);

    AdminClientSettings settings;
    Endpoint leader;
    size_t nextMember = 0;
};

} // namespace eelgrasslift
