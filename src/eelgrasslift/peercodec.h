#pragma once

#include "libserving/serving.h"
#include "libwire/wire.h"

#include <optional>

namespace eelgrasslift {

// Conversions between the message types of libserving and those of proto/peer.proto. fromWire() returns
// nothing for a malformed message.

wire::RecordKey toWire(const RecordKey &key);
wire::Record toWire(const Record &record);
wire::ClaimRequest toWire(const ClaimRequest &request);
wire::LookupRequest toWire(const LookupRequest &request);
wire::ResolveRequest toWire(const ResolveRequest &request);
wire::RecordReply toWire(const RecordReply &reply);
wire::ReadRecordsRequest toWire(const ReadRecordsRequest &request);
wire::ReadRecordsReply toWire(const ReadRecordsReply &reply);
wire::QuarantineMark toWire(const QuarantineMark &mark);

/// Returns nothing unless bytes has the length of a SHA-256 digest.
std::optional<Sha256> digestFromWire(std::string_view bytes);
RecordKey fromWire(const wire::RecordKey &key);
std::optional<Record> fromWire(const wire::Record &record);
std::optional<ClaimRequest> fromWire(const wire::ClaimRequest &request);
LookupRequest fromWire(const wire::LookupRequest &request);
std::optional<ResolveRequest> fromWire(const wire::ResolveRequest &request);
std::optional<RecordReply> fromWire(const wire::RecordReply &reply);
ReadRecordsRequest fromWire(const wire::ReadRecordsRequest &request);
std::optional<ReadRecordsReply> fromWire(const wire::ReadRecordsReply &reply);
std::optional<QuarantineMark> fromWire(const wire::QuarantineMark &mark);

} // namespace eelgrasslift
