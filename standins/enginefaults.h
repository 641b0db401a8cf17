#pragma once

#include "libcore/core.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>

namespace eelgrasslift::standins {

/// Faults that `POST /standin/fault` has set for an engine. Each request sets one fault:
/// {"fault":"stall","ms":n}          open streams send nothing for n ms; streams opened later are not
/// affected
/// {"fault":"stall-all","ms":n}      no stream sends anything for n ms
/// {"fault":"pause","ms":n}          the batch generates nothing for n ms
/// {"fault":"close"}                 open streams are closed without the end event; EngineServer handles it
/// {"fault":"close-at","index":n}    the next stream that reaches token n is closed before sending it
/// {"fault":"delay","ms":n,"count":k}  the responses to the next k completions start n ms late
/// {"fault":"foreign","count":k}     before the next k tokens, a token of another generation is sent
/// {"fault":"duplicate","count":k}   the next k tokens are sent twice
/// {"fault":"skip","count":k}        the next k tokens are not sent, which leaves a gap in the indexes
/// {"fault":"refuse","count":k}      the next k completions are refused as by a draining engine
/// {"fault":"none"}                  clears all faults
struct EngineFaults
{
    TimePoint stallUntil{};
    uint64_t stallBelowSerial = 0; // streams opened before this serial number are stalled
    TimePoint stallAllUntil{};
    TimePoint pauseUntil{};
    std::optional<uint64_t> closeAtIndex;
    Duration delay{0};
    uint64_t delayCount = 0;
    uint64_t foreignCount = 0;
    uint64_t duplicateCount = 0;
    uint64_t skipCount = 0;
    uint64_t refuseCount = 0;

    /// Sets the fault that the request names; returns false if there is no such fault. Streams with a serial
    /// number below nextStreamSerial count as open.
    bool set(const nlohmann::json &request, TimePoint now, uint64_t nextStreamSerial);
};

} // namespace eelgrasslift::standins
