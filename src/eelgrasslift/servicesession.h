#pragma once

#include "eelgrasslift/entrycontext.h"

namespace eelgrasslift {

/// Serves one request to a plain service ("/services/<service>/<path>"). Returns whether the connection may carry
/// another request.
boost::asio::awaitable<bool> serveService(EntryContext &context, CallerCall &call);

} // namespace eelgrasslift
