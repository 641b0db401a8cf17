#pragma once

#include "libserving/records.h"

namespace eelgrasslift {

/// Merges an outcome, or another replica's copy of the record, into the stored record of the same key.
///
/// A record of one claim never frees the key for another claim: if both claims hold the key, the result is an
/// unknown outcome without a claim id, which only the record of a request that ran replaces.
Record mergeRecords(const Record &stored, const Record &incoming);

} // namespace eelgrasslift
