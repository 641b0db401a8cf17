#include "libserving/idempotencyreplica.h"

#include "libcore/uuid.h"
#include "libserving/recordmerge.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr WallTime Wall{std::chrono::hours{500'000}};

Instant after(Duration duration)
{
    return {TimePoint{1h} + duration, Wall + std::chrono::duration_cast<std::chrono::milliseconds>(duration)};
}

std::shared_ptr<const AcceptedRules> rules()
{
    auto accepted = std::make_shared<AcceptedRules>();
    accepted->version = 3;
    accepted->rules.domains["a"].name = "a";
    accepted->rules.domains["b"].name = "b";
    accepted->rules.services["stock"].keep = 1h;
    accepted->rules.accounts["kiosk"].domain = "a";
    accepted->rules.accounts["hotel"].domain = "b";
    return accepted;
}

IdempotencyReplica makeReplica(bool isRecovered = true)
{
    IdempotencyReplica replica{{{"a/0", 1}, "a", 3}};
    replica.setRules(rules());
    for (const char *slot : {"a/1", "a/2"}) {
        ReadRecordsReply reply;
        reply.replica = {slot, 1};
        reply.readerIncarnation = 1;
        reply.isReaderRegistered = true;
        reply.isRecovered = isRecovered;
        replica.handleReadReply(reply, after(0s));
    }
    return replica;
}

ClaimRequest request(const std::string &key, const std::string &claimId = "c1",
                     const std::string &body = "body")
{
    return {{"kiosk", "stock", key}, sha256(body), claimId, "entry", 3};
}

std::string uuid(Duration age)
{
    Random random{1};
    return makeUuidV7(Wall - std::chrono::duration_cast<std::chrono::milliseconds>(age), random);
}

Record outcome(const ClaimRequest &claim, RecordState state, const std::string &response = "")
{
    Record record;
    record.key = claim.key;
    record.bodyHash = claim.bodyHash;
    record.state = state;
    record.claimId = claim.claimId;
    record.claimedAt = Wall;
    record.response = response;
    return record;
}

} // namespace

// Guards against a second grant of a key while the request of the first claim may have run.
TEST_CASE("A replica grants a key to one claim")
{
    struct Row
    {
        std::optional<RecordState> state;
        std::string claimId, body;
        RecordVerdict verdict;
    };
    const auto row =
            GENERATE(values<Row>({{std::nullopt, "c1", "body", RecordVerdict::Granted},
                                  {std::nullopt, "c2", "body", RecordVerdict::Held},
                                  {std::nullopt, "c1", "else", RecordVerdict::BodyMismatch},
                                  {RecordState::Ran, "c1", "body", RecordVerdict::Held},
                                  {RecordState::Ran, "c2", "body", RecordVerdict::Held},
                                  {RecordState::Unknown, "c2", "body", RecordVerdict::Held},
                                  {RecordState::NotRun, "c1", "body", RecordVerdict::Held},
                                  {RecordState::NotRun, "c2", "body", RecordVerdict::Granted},
                                  {RecordState::NotRun, "c2", "else", RecordVerdict::BodyMismatch}}));
    IdempotencyReplica replica = makeReplica();
    REQUIRE(replica.claim(request("k"), after(1s)).verdict == RecordVerdict::Granted);
    if (row.state)
        replica.resolve({outcome(request("k"), *row.state)}, after(2s));
    CHECK(replica.claim(request("k", row.claimId, row.body), after(3s)).verdict == row.verdict);
}

// Guards against a new process, whose memory is empty, that grants a key which its predecessor granted
// before.
TEST_CASE("A new process grants only what its predecessor cannot have granted")
{
    struct Row
    {
        bool isRegistered, isRecovered;
        std::string key;
        Duration at;
        RecordVerdict verdict;
    };
    const auto row = GENERATE(values<Row>({{false, false, uuid(-10s), 10s, RecordVerdict::Abstain},
                                           {true, false, "plain", 10s, RecordVerdict::Abstain},
                                           {true, false, uuid(10s), 10s, RecordVerdict::Abstain},
                                           {true, false, uuid(-3s), 10s, RecordVerdict::Abstain},
                                           {true, false, uuid(-5s), 10s, RecordVerdict::Granted},
                                           {true, false, "plain", 1h + 1s, RecordVerdict::Abstain},
                                           {true, false, "plain", 1h + 5s, RecordVerdict::Granted},
                                           {true, true, "plain", 1s, RecordVerdict::Granted},
                                           {true, true, uuid(30min), 1s, RecordVerdict::Granted},
                                           {true, true, uuid(61min), 1s, RecordVerdict::Abstain},
                                           {true, true, uuid(-4s), 1s, RecordVerdict::Abstain}}));
    IdempotencyReplica replica =
            row.isRegistered ? makeReplica(row.isRecovered) : IdempotencyReplica{{{"a/0", 1}, "a", 3}};
    replica.setRules(rules());
    CHECK(replica.claim(request(row.key), after(row.at)).verdict == row.verdict);
    const bool isCertain = row.verdict == RecordVerdict::Granted;
    IdempotencyReplica lookupReplica =
            row.isRegistered ? makeReplica(row.isRecovered) : IdempotencyReplica{{{"a/0", 1}, "a", 3}};
    lookupReplica.setRules(rules());
    if (!row.isRecovered)
        CHECK((lookupReplica.lookup({request(row.key).key}, after(row.at)).verdict ==
               RecordVerdict::Absent) == isCertain);
}

// Guards against a recovering replica that grants a key because it has a copied or released record of it.
TEST_CASE("A recovering replica abstains on old keys even with a record of the claim")
{
    const RecordState state = GENERATE(RecordState::Claimed, RecordState::NotRun);
    const std::string claimId = state == RecordState::Claimed ? "c1" : "c2";
    IdempotencyReplica replica = makeReplica(false);
    ReadRecordsReply reply;
    reply.replica = {"a/1", 1};
    reply.readerIncarnation = 1;
    reply.isReaderRegistered = true;
    reply.records = {outcome(request("k"), state)};
    replica.handleReadReply(reply, after(0s));
    CHECK(replica.claim(request("k", claimId), after(1s)).verdict == RecordVerdict::Abstain);
}

// Guards against two processes whose grants both count for one slot.
TEST_CASE("A process grants nothing after its successor has registered")
{
    IdempotencyReplica replica = makeReplica();
    replica.claim(request("k"), after(1s));
    const ReadRecordsReply first = replica.readRecords({{"a/1", 5}, RecordScope::Domain}, after(2s));
    CHECK(first.isReaderRegistered);
    CHECK(first.isRecovered);
    CHECK(first.records.size() == 1);
    const ReadRecordsReply older = replica.readRecords({{"a/1", 4}, RecordScope::Domain}, after(2s));
    CHECK_FALSE(older.isReaderRegistered);
    CHECK(older.readerIncarnation == 5);
    CHECK(replica.claim(request("k"), after(3s)).knownProcesses ==
          std::vector<ReplicaIdentity>{{"a/1", 5}, {"a/2", 1}});

    replica.readRecords({{"a/0", 2}, RecordScope::Domain}, after(4s));
    CHECK(replica.isReplaced());
    CHECK(replica.claim(request("k"), after(5s)).verdict == RecordVerdict::Abstain);
    CHECK(replica.claim(request("new"), after(5s)).verdict == RecordVerdict::Abstain);

    IdempotencyReplica conflicting{{{"a/0", 1}, "a", 3}};
    conflicting.setRules(rules());
    conflicting.handleReadReply(older, after(0s));
    CHECK(conflicting.identity().incarnation == 6);
}

// Guards against records that expire while their key is still accepted.
TEST_CASE("Records are stored longer than the retention of their key")
{
    IdempotencyReplica replica = makeReplica();
    const std::string key = uuid(-1s);
    REQUIRE(replica.claim(request(key), after(0s)).verdict == RecordVerdict::Granted);
    replica.expire(after(1h + 3s));
    CHECK(replica.recordCount() == 1);
    CHECK(replica.claim(request(key, "c2"), after(1h)).verdict == RecordVerdict::Held);
    replica.expire(after(1h + 5s));
    CHECK(replica.recordCount() == 0);
    CHECK(replica.claim(request(key, "c2"), after(1h + 5s)).verdict == RecordVerdict::Abstain);
}

// Guards against records at a replica that does not own the account, and against responses beyond the limit.
TEST_CASE("A replica stores only records of its accounts and limits the size of responses")
{
    IdempotencyReplica replica = makeReplica();
    ClaimRequest foreign = request("k");
    foreign.key.account = GENERATE(as<std::string>{}, "hotel", "nobody");
    CHECK(replica.claim(foreign, after(1s)).verdict == RecordVerdict::NotOwner);
    CHECK(replica.resolve({outcome(foreign, RecordState::Ran)}, after(1s)).verdict ==
          RecordVerdict::NotOwner);
    const size_t size = GENERATE(as<size_t>{}, MaxRecordedResponseBytes, MaxRecordedResponseBytes + 1);
    const RecordReply reply =
            replica.resolve({outcome(request("k"), RecordState::Ran, std::string(size, 'x'))}, after(1s));
    CHECK(reply.record->isResponseTruncated == (size > MaxRecordedResponseBytes));
    CHECK(reply.record->response.size() == (size > MaxRecordedResponseBytes ? 0 : size));
}

// Guards against a late message of one claim that frees a key held by another claim.
TEST_CASE("Merging the record of one claim never frees a key held by another")
{
    struct Row
    {
        RecordState stored;
        std::string storedId;
        RecordState incoming;
        std::string incomingId;
        RecordState merged;
        std::string mergedId;
    };
    using S = RecordState;
    const auto row = GENERATE(values<Row>({{S::Claimed, "a", S::NotRun, "a", S::NotRun, "a"},
                                           {S::Claimed, "a", S::NotRun, "b", S::Claimed, "a"},
                                           {S::Unknown, "a", S::NotRun, "a", S::NotRun, "a"},
                                           {S::Unknown, "a", S::NotRun, "b", S::Unknown, "a"},
                                           {S::Ran, "a", S::NotRun, "a", S::Ran, "a"},
                                           {S::Ran, "a", S::Unknown, "b", S::Ran, "a"},
                                           {S::Claimed, "a", S::Ran, "b", S::Ran, "b"},
                                           {S::Claimed, "a", S::Claimed, "b", S::Unknown, ""},
                                           {S::Claimed, "a", S::Unknown, "b", S::Unknown, ""},
                                           {S::Unknown, "", S::NotRun, "a", S::Unknown, ""},
                                           {S::NotRun, "a", S::Claimed, "b", S::Claimed, "b"},
                                           {S::NotRun, "a", S::Claimed, "a", S::NotRun, "a"},
                                           {S::Claimed, "a", S::Unknown, "a", S::Unknown, "a"},
                                           {S::Unknown, "a", S::Claimed, "a", S::Unknown, "a"}}));
    const Record merged = mergeRecords(outcome(request("k", row.storedId), row.stored),
                                       outcome(request("k", row.incomingId), row.incoming));
    CHECK(merged.state == row.merged);
    CHECK(merged.claimId == row.mergedId);
}
