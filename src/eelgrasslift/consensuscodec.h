#pragma once

#include "libconsensus/consensus.h"

#include "consensus.pb.h"

#include <optional>

namespace eelgrasslift {

wire::ConsensusEnvelope toWire(const raft::Envelope &envelope);

/// Nothing if the envelope has no message or malformed fields.
std::optional<raft::Envelope> fromWire(const wire::ConsensusEnvelope &envelope);

} // namespace eelgrasslift
