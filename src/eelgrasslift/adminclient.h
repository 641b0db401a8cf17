#pragma once

#include "eelgrasslift/endpoint.h"
#include "libcore/core.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace eelgrasslift {

/// A request to the admin API.
struct AdminRequest
{
    std::string method = "GET";
    /// Path and query of the URL.
    std::string target;
    std::string body = {};
    /// Value of the header X-Author; no header if empty.
    std::string author = {};
    /// Whether the request may be sent again after its response was lost.
    bool isRetryable = true;
    /// Whether only the leader can answer; otherwise the request goes to the first member given.
    bool requiresLeader = true;
};

/// A response of the admin API; the body is a discarded value if it is not JSON.
struct AdminReply
{
    unsigned status = 0;
    nlohmann::json body;
};

/// Why a request got no response before the deadline.
enum class AdminFailure {
    /// Nothing was done: no member was reachable, or none was the leader.
    Unreachable,
    /// The request may have been executed.
    OutcomeUnknown,
};

/// Settings of an AdminClient.
struct AdminClientSettings
{
    /// Operator addresses of control members.
    std::vector<Endpoint> members;
    std::string adminKey;
    /// Limit of one call with all its attempts.
    Duration deadline = std::chrono::seconds{20};
    /// Limit of one attempt. Longer than the server's own limit of 8 s, so that its reply "outcome-unknown"
    /// arrives.
    Duration attemptTimeout = std::chrono::seconds{10};
};

/// Sends requests of the operator commands to the admin API, retries them and follows redirects to the
/// leader.
class AdminClient
{
public:
    explicit AdminClient(AdminClientSettings settings);

    /// Blocks until a member replies or the deadline passes. HTTP error statuses are replies too, except
    /// those that lead to a retry.
    Result<AdminReply, AdminFailure> call(const AdminRequest &request);

private:
    enum class AttemptOutcome { Done, RetrySameMember, RetryNextMember, ResponseLost };

    AttemptOutcome attempt(const AdminRequest &request, const Endpoint &member, Duration timeout,
                           AdminReply &reply);
    void followRedirect(const AdminReply &reply);

    AdminClientSettings settings;
    Endpoint leader;
    size_t nextMember = 0;
};

} // namespace eelgrasslift
