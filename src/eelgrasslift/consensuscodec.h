#pragma once

#include "libconsensus/consensus.h"

#include "consensus.pb.h"

#include <optional>

namespace eelgrasslift {

/// Converts a consensus message to its protobuf form.
wire::ConsensusEnvelope toWire(const raft::Envelope &envelope);

/// Converts a protobuf envelope to a consensus message. Returns nothing if it contains no message or
/// malformed fields.
std::optional<raft::Envelope> fromWire(const wire::ConsensusEnvelope &envelope);

} // namespace eelgrasslift
