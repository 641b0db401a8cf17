#include "libserving/recordmerge.h"

namespace eelgrasslift {

Record mergeRecords(const Record &stored, const Record &incoming)
{
    if (stored.state == RecordState::Ran || incoming.state == RecordState::Ran)
        return stored.state == RecordState::Ran ? stored : incoming;
    const bool isSameClaim = stored.claimId == incoming.claimId;
    if (stored.state == RecordState::NotRun)
        return isSameClaim ? stored : incoming;
    if (incoming.state == RecordState::NotRun)
        return isSameClaim ? incoming : stored;
    Record merged = stored;
    if (!isSameClaim) {
        merged.state = RecordState::Unknown;
        merged.claimId.clear();
    } else if (incoming.state == RecordState::Unknown) {
        merged.state = RecordState::Unknown;
    }
    return merged;
}

} // namespace eelgrasslift
