#pragma once

#include "gateway/requestcontext.h"

#include <set>
#include <string>

namespace eelgrasslift {

/// Handles one request to a plain service: sends it to a runner, retries as the route allows, and forwards
/// the whole response.
class CallSession : public RequestSession
{
public:
    using RequestSession::RequestSession;

    /// Returns after the response was sent or the caller has disconnected.
    boost::asio::awaitable<void> run() override;

private:
    /// Result of one attempt.
    struct SendResult
    {
        SendOutcome outcome = SendOutcome::Unknown;
        /// Response to forward, if any.
        std::optional<HttpResponse> response;
        /// Reason for the outcome, for the log.
        std::string_view cause;
        /// The response had neither length nor chunks, so that its runner may have ended with it.
        bool isUnframed = false;
    };

    boost::asio::awaitable<SendResult> send(RunnerPool::Runner &runner, bool isLastAttempt);
    /// Receives the response; gives up at the end of the attempt.
    boost::asio::awaitable<SendResult> receive(const RunnerConnectionPointer &connection,
                                               RunnerPool::Runner &runner, TimePoint attemptEnd);
    /// Derives the outcome of an attempt from a complete response; see isOwnRefusal().
    static SendResult classify(HttpResponse response, const ResponseMetadata &responseMetadata,
                               bool isOwnRefusal);

    /// Addresses of the runners to which the request was sent.
    std::set<std::string> usedAddresses;
};

} // namespace eelgrasslift
