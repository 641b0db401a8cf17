#include "eelgrasslift/peercodec.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

std::string bytesOf(const Sha256 &digest)
{
    return {digest.begin(), digest.end()};
}

WallTime wallFromMilliseconds(int64_t milliseconds)
{
    return WallTime{std::chrono::milliseconds{milliseconds}};
}

wire::ReplicaIdentity toWire(const ReplicaIdentity &identity)
{
    wire::ReplicaIdentity message;
    message.set_slot(identity.slot);
    message.set_incarnation(identity.incarnation);
    return message;
}

ReplicaIdentity fromWire(const wire::ReplicaIdentity &message)
{
    return {message.slot(), message.incarnation()};
}

wire::RecordState toWire(RecordState state)
{
    switch (state) {
    case RecordState::Claimed:
        return wire::CLAIMED;
    case RecordState::Ran:
        return wire::RAN;
    case RecordState::NotRun:
        return wire::NOT_RUN;
    case RecordState::Unknown:
        return wire::UNKNOWN;
    }
    return wire::UNKNOWN;
}

std::optional<RecordState> fromWire(wire::RecordState state)
{
    switch (state) {
    case wire::CLAIMED:
        return RecordState::Claimed;
    case wire::RAN:
        return RecordState::Ran;
    case wire::NOT_RUN:
        return RecordState::NotRun;
    case wire::UNKNOWN:
        return RecordState::Unknown;
    default:
        return std::nullopt;
    }
}

wire::RecordVerdict toWire(RecordVerdict verdict)
{
    switch (verdict) {
    case RecordVerdict::Granted:
        return wire::GRANTED;
    case RecordVerdict::Held:
        return wire::HELD;
    case RecordVerdict::Abstain:
        return wire::ABSTAIN;
    case RecordVerdict::BodyMismatch:
        return wire::BODY_MISMATCH;
    case RecordVerdict::Absent:
        return wire::ABSENT;
    case RecordVerdict::NotOwner:
        return wire::NOT_OWNER;
    }
    return wire::ABSTAIN;
}

std::optional<RecordVerdict> fromWire(wire::RecordVerdict verdict)
{
    switch (verdict) {
    case wire::GRANTED:
        return RecordVerdict::Granted;
    case wire::HELD:
        return RecordVerdict::Held;
    case wire::ABSTAIN:
        return RecordVerdict::Abstain;
    case wire::BODY_MISMATCH:
        return RecordVerdict::BodyMismatch;
    case wire::ABSENT:
        return RecordVerdict::Absent;
    case wire::NOT_OWNER:
        return RecordVerdict::NotOwner;
    default:
        return std::nullopt;
    }
}

wire::RecordScope toWire(RecordScope scope)
{
    return scope == RecordScope::Fleet ? wire::FLEET : wire::DOMAIN;
}

RecordScope fromWire(wire::RecordScope scope)
{
    return scope == wire::FLEET ? RecordScope::Fleet : RecordScope::Domain;
}

} // namespace

std::optional<Sha256> digestFromWire(std::string_view bytes)
{
    Sha256 digest{};
    if (bytes.size() != digest.size())
        return std::nullopt;
    std::copy(bytes.begin(), bytes.end(), digest.begin());
    return digest;
}

wire::RecordKey toWire(const RecordKey &key)
{
    wire::RecordKey message;
    message.set_account(key.account);
    message.set_service(key.service);
    message.set_key(key.key);
    return message;
}

RecordKey fromWire(const wire::RecordKey &key)
{
    return {key.account(), key.service(), key.key()};
}

wire::Record toWire(const Record &record)
{
    wire::Record message;
    *message.mutable_key() = toWire(record.key);
    message.set_body_hash(bytesOf(record.bodyHash));
    message.set_state(toWire(record.state));
    message.set_claim_id(record.claimId);
    message.set_claimant(record.claimant);
    message.set_claimed_unix_ms(record.claimedAt.time_since_epoch().count());
    message.set_status(record.status);
    message.set_content_type(record.contentType);
    message.set_answer(record.response);
    message.set_answer_truncated(record.isResponseTruncated);
    return message;
}

std::optional<Record> fromWire(const wire::Record &record)
{
    const auto state = fromWire(record.state());
    const auto bodyHash = digestFromWire(record.body_hash());
    if (!state || !bodyHash)
        return std::nullopt;
    Record result;
    result.key = fromWire(record.key());
    result.bodyHash = *bodyHash;
    result.state = *state;
    result.claimId = record.claim_id();
    result.claimant = record.claimant();
    result.claimedAt = wallFromMilliseconds(record.claimed_unix_ms());
    result.status = record.status();
    result.contentType = record.content_type();
    result.response = record.answer();
    result.isResponseTruncated = record.answer_truncated();
    return result;
}

wire::ClaimRequest toWire(const ClaimRequest &request)
{
    wire::ClaimRequest message;
    *message.mutable_key() = toWire(request.key);
    message.set_body_hash(bytesOf(request.bodyHash));
    message.set_claim_id(request.claimId);
    message.set_claimant(request.claimant);
    message.set_rules_version(request.rulesVersion);
    return message;
}

std::optional<ClaimRequest> fromWire(const wire::ClaimRequest &request)
{
    const auto bodyHash = digestFromWire(request.body_hash());
    if (!bodyHash)
        return std::nullopt;
    return ClaimRequest{fromWire(request.key()), *bodyHash, request.claim_id(), request.claimant(),
                        request.rules_version()};
}

wire::LookupRequest toWire(const LookupRequest &request)
{
    wire::LookupRequest message;
    *message.mutable_key() = toWire(request.key);
    return message;
}

LookupRequest fromWire(const wire::LookupRequest &request)
{
    return LookupRequest{fromWire(request.key())};
}

wire::ResolveRequest toWire(const ResolveRequest &request)
{
    wire::ResolveRequest message;
    *message.mutable_record() = toWire(request.record);
    return message;
}

std::optional<ResolveRequest> fromWire(const wire::ResolveRequest &request)
{
    auto record = fromWire(request.record());
    if (!record)
        return std::nullopt;
    return ResolveRequest{std::move(*record)};
}

wire::RecordReply toWire(const RecordReply &reply)
{
    wire::RecordReply message;
    message.set_verdict(toWire(reply.verdict));
    if (reply.record)
        *message.mutable_record() = toWire(*reply.record);
    message.set_rules_version(reply.rulesVersion);
    *message.mutable_replica() = toWire(reply.replica);
    for (const ReplicaIdentity &identity : reply.knownProcesses)
        *message.add_known() = toWire(identity);
    return message;
}

std::optional<RecordReply> fromWire(const wire::RecordReply &reply)
{
    const auto verdict = fromWire(reply.verdict());
    if (!verdict)
        return std::nullopt;
    RecordReply result;
    result.verdict = *verdict;
    if (reply.has_record()) {
        result.record = fromWire(reply.record());
        if (!result.record)
            return std::nullopt;
    }
    result.rulesVersion = reply.rules_version();
    result.replica = fromWire(reply.replica());
    for (const wire::ReplicaIdentity &identity : reply.known())
        result.knownProcesses.push_back(fromWire(identity));
    return result;
}

wire::ReadRecordsRequest toWire(const ReadRecordsRequest &request)
{
    wire::ReadRecordsRequest message;
    *message.mutable_reader() = toWire(request.reader);
    message.set_scope(toWire(request.scope));
    return message;
}

ReadRecordsRequest fromWire(const wire::ReadRecordsRequest &request)
{
    return {fromWire(request.reader()), fromWire(request.scope())};
}

wire::ReadRecordsReply toWire(const ReadRecordsReply &reply)
{
    wire::ReadRecordsReply message;
    *message.mutable_replica() = toWire(reply.replica);
    message.set_scope(toWire(reply.scope));
    message.set_reader_incarnation(reply.readerIncarnation);
    message.set_is_reader_registered(reply.isReaderRegistered);
    message.set_is_full(reply.isRecovered);
    for (const Record &record : reply.records)
        *message.add_records() = toWire(record);
    for (const ReplicaIdentity &identity : reply.knownProcesses)
        *message.add_known() = toWire(identity);
    return message;
}

std::optional<ReadRecordsReply> fromWire(const wire::ReadRecordsReply &reply)
{
    ReadRecordsReply result;
    result.replica = fromWire(reply.replica());
    result.scope = fromWire(reply.scope());
    result.readerIncarnation = reply.reader_incarnation();
    result.isReaderRegistered = reply.is_reader_registered();
    result.isRecovered = reply.is_full();
    for (const wire::Record &record : reply.records()) {
        auto converted = fromWire(record);
        if (!converted)
            return std::nullopt;
        result.records.push_back(std::move(*converted));
    }
    for (const wire::ReplicaIdentity &identity : reply.known())
        result.knownProcesses.push_back(fromWire(identity));
    return result;
}

wire::QuarantineMark toWire(const QuarantineMark &mark)
{
    wire::QuarantineMark message;
    message.set_fingerprint(bytesOf(mark.fingerprint));
    message.set_deaths(mark.deaths);
    message.set_until_unix_ms(mark.until.time_since_epoch().count());
    return message;
}

std::optional<QuarantineMark> fromWire(const wire::QuarantineMark &mark)
{
    const auto fingerprint = digestFromWire(mark.fingerprint());
    if (!fingerprint)
        return std::nullopt;
    return QuarantineMark{*fingerprint, mark.deaths(), wallFromMilliseconds(mark.until_unix_ms())};
}

} // namespace eelgrasslift
