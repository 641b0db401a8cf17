#pragma once

#include "libserving/records.h"

namespace eelgrasslift {

/// Merges an outcome, or another replica's copy of the record, into the stored record of the same key.
///
/// The outcome NotRun of one claim does not release a key that another claim holds. If the records of two
/// different claims both hold the key (Claimed or Unknown), the result is in state Unknown without a claim
/// id, which only a record in state Ran replaces.
Record mergeRecords(const Record &stored, const Record &incoming);

} // namespace eelgrasslift
