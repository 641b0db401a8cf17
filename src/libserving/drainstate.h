#pragma once

#include "libcore/time.h"

#include <optional>
#include <vector>

namespace eelgrasslift {

struct DrainSettings
{
    /// Time after SIGTERM in which new requests are still accepted while the health check fails, so that the
    /// load balancer can take this entry out of rotation.
    Duration acceptWindow = std::chrono::seconds{10};
    /// Time after SIGTERM at which the remaining requests are aborted; never if empty.
    std::optional<Duration> limit;
};

/// What the process has to do at a phase change.
enum class DrainAction { FailHealthCheck, CloseListener, AbortRemaining, Exit };

/// Graceful shutdown of an entry or gateway. Requests in flight are completed, unless the operator has set a
/// limit.
class DrainState
{
public:
    enum class Phase { Serving, Accepting, Finishing, Done };

    explicit DrainState(DrainSettings settings);

    /// Begins the shutdown, at SIGTERM. Repeated calls have no effect.
    std::vector<DrainAction> terminate(TimePoint now);
    /// Advances the phase; to be called at nextTick() and when a request ends. inFlight: number of requests
    /// with a connected caller and of idempotency records whose outcome is still being stored.
    std::vector<DrainAction> update(size_t inFlight, TimePoint now);

    /// Serving: no shutdown. Accepting: draining, but new requests are accepted. Finishing: only requests in
    /// flight continue. Done: the process may exit.
    Phase currentPhase() const { return this->phase; }
    /// Result of the health check.
    bool isHealthy() const { return this->phase == Phase::Serving; }
    /// Whether new requests are accepted.
    bool acceptsRequests() const { return this->phase == Phase::Serving || this->phase == Phase::Accepting; }
    /// Time at which update() has to be called next, if any.
    std::optional<TimePoint> nextTick() const;

private:
    DrainSettings settings;
    Phase phase = Phase::Serving;
    TimePoint terminatedAt;
    bool isAborted = false;
};

} // namespace eelgrasslift
