#pragma once

#include "eelgrasslift/callerconnection.h"
#include "eelgrasslift/entrystate.h"

#include <boost/asio/any_io_executor.hpp>

#include <string>

namespace eelgrasslift {

/// References that all code on the traffic threads of an entry process shares.
struct EntryContext
{
    EntryState &state;
    ControlThread &control;
    EntryMetrics &metrics;
    /// Executor of the traffic threads. Each connection or other independent task uses a strand of its own.
    boost::asio::any_io_executor traffic;
};

/// An authenticated HTTP request with its connection and the rules in force when it arrived.
struct AuthenticatedRequest
{
    CallerConnection &connection;
    CallerRequest request;
    RulesSnapshot rules;
    /// The account of the request's key; refers to an element of `rules`.
    const AccountRule &account;
    std::string requestId;
    /// Whether the connection stays open after the response (HTTP keep-alive).
    bool keepAlive = true;
};

/// Sends an error response with the headers for outcome, request id and Retry-After. Returns false if the
/// caller has disconnected.
boost::asio::awaitable<bool> sendError(CallerConnection &connection, const CallerError &error,
                                       const std::string &requestId, bool keepAlive);

} // namespace eelgrasslift
