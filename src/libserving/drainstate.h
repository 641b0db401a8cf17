#pragma once

#include "libcore/time.h"

#include <optional>
#include <vector>

namespace eelgrasslift {

struct DrainSettings
{
    /// Time after SIGTERM in which new requests are still accepted, so that the balancer notices.
    Duration acceptWindow = std::chrono::seconds{10};
    /// Time after SIGTERM after which remaining requests are cut off; nothing: never.
    std::optional<Duration> limit;
};

enum class DrainAction { FailHealthCheck, CloseListener, AbortRemaining, Exit };

/// Shutdown of an entry: no phase interrupts an in-flight request, unless the operator set a limit.
class DrainState
{
public:
    enum class Phase { Serving, Accepting, Finishing, Done };

    explicit DrainState(DrainSettings settings);

    /// SIGTERM; a repeated one changes nothing.
    std::vector<DrainAction> terminate(TimePoint now);
    /// inFlight counts requests with an open caller and records that are still being resolved.
    std::vector<DrainAction> update(size_t inFlight, TimePoint now);

    Phase currentPhase() const { return this->phase; }
    bool isHealthy() const { return this->phase == Phase::Serving; }
    bool acceptsRequests() const { return this->phase == Phase::Serving || this->phase == Phase::Accepting; }
    std::optional<TimePoint> nextTick() const;

private:
    DrainSettings settings;
    Phase phase = Phase::Serving;
    TimePoint terminatedAt;
    bool isAborted = false;
};

} // namespace eelgrasslift
