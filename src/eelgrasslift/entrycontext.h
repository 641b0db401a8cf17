#pragma once

#include "eelgrasslift/callerconnection.h"
#include "eelgrasslift/entrystate.h"

#include <boost/asio/any_io_executor.hpp>

#include <string>

namespace eelgrasslift {

/// What the traffic side of an entry shares.
struct EntryContext
{
    EntryState &state;
    ControlThread &control;
    EntryMetrics &metrics;
    /// Executor of the traffic threads; a strand is made of it for each independent job.
    boost::asio::any_io_executor traffic;
};

/// One authenticated request of a caller.
struct CallerCall
{
    CallerConnection &connection;
    CallerRequest request;
    RulesSnapshot rules;
    const AccountRule &account;
    std::string requestId;
    bool keepAlive = true;
};

/// Sends an error answer with the usual fields. Returns false if the caller has gone.
boost::asio::awaitable<bool> sendError(CallerConnection &connection, const CallerError &error,
                                       const std::string &requestId, bool keepAlive);

} // namespace eelgrasslift
