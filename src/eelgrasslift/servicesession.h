#pragma once

#include "eelgrasslift/entrycontext.h"

namespace eelgrasslift {

/// Serves one request to a plain service ("/services/<service>/<path>"): validates it, applies the account's
/// limits and sends the response. Returns whether the connection may carry another request.
boost::asio::awaitable<bool> serveService(EntryContext &context, AuthenticatedRequest &call);

} // namespace eelgrasslift
