#pragma once

#include "libserving/records.h"

namespace eelgrasslift {

/// The stored record after an outcome or a copy of another replica's record has arrived. Both records belong
/// to the same key.
///
/// A record of one claim never makes the record of another claim grantable: two claims that block the key are
/// joined to an unknown outcome without claim id, which only an answer replaces.
Record mergeRecords(const Record &stored, const Record &incoming);

} // namespace eelgrasslift
