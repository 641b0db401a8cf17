#include "libserving/idempotencyclaim.h"
#include "libserving/idempotencyreplica.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr Instant StartInstant{TimePoint{1h}, WallTime{std::chrono::hours{500'000}}};

/// A group of five replicas, whose messages the test delivers one by one.
struct ReplicaGroup
{
    ReplicaGroup()
    {
        auto accepted = std::make_shared<AcceptedRules>();
        accepted->rules.domains["a"].name = "a";
        accepted->rules.accounts["kiosk"].domain = "a";
        this->rules = accepted;
        for (size_t slot = 0; slot < 5; ++slot)
            this->replicas.push_back(this->create(slot, 1));
        // The first processes count as recovered, as after the retention of all earlier records.
        for (size_t slot = 0; slot < 5; ++slot)
            this->read(slot, {(slot + 1) % 5, (slot + 2) % 5, (slot + 3) % 5}, true);
    }

    std::unique_ptr<IdempotencyReplica> create(size_t slot, uint64_t incarnation) const
    {
        auto replica = std::make_unique<IdempotencyReplica>(
                ReplicaSettings{{std::to_string(slot), incarnation}, "a", 5});
        replica->setRules(this->rules);
        return replica;
    }

    void read(size_t reader, const std::vector<size_t> &from, bool isRecovered = false)
    {
        const auto request = this->replicas[reader]->recoveryRequest(RecordScope::Domain, StartInstant);
        for (const size_t other : from) {
            ReadRecordsReply reply = this->replicas[other]->readRecords(*request, StartInstant);
            reply.isRecovered = reply.isRecovered || isRecovered;
            this->replicas[reader]->handleReadReply(reply, StartInstant);
        }
    }

    void replace(size_t slot, const std::vector<size_t> &from)
    {
        this->replicas[slot] = this->create(slot, 2);
        this->read(slot, from);
        REQUIRE(this->replicas[slot]->isRecovered(RecordScope::Domain));
    }

    void deliver(IdempotencyClaim &claim, const std::string &claimId, size_t slot)
    {
        const ClaimRequest request{{"kiosk", "stock", "plain"}, {}, claimId + ".1", "entry", 0};
        const RecordReply reply = this->replicas[slot]->claim(request, StartInstant);
        CHECK(reply.verdict == RecordVerdict::Granted);
        claim.handle({std::to_string(slot), RecordCall::Claim, reply}, StartInstant);
    }

    static IdempotencyClaim start(const std::string &claimId)
    {
        IdempotencyClaim claim{{{"kiosk", "stock", "plain"}, {}, claimId, "entry", 0},
                               {{"a", 5, {"0", "1", "2", "3", "4"}}},
                               {}};
        claim.start(StartInstant);
        return claim;
    }

    std::shared_ptr<const AcceptedRules> rules;
    std::vector<std::unique_ptr<IdempotencyReplica>> replicas;
};

} // namespace

// Guards against a key that runs twice: the grant of a replaced entry is still counted, while its successor,
// which read all records before the other replicas granted the claim, grants the key again.
TEST_CASE("A replacement between two grants does not give a key to two claims")
{
    const bool isSecondReplaced = GENERATE(false, true);
    ReplicaGroup group;
    IdempotencyClaim early = ReplicaGroup::start("x");
    group.deliver(early, "x", 0);
    group.replace(0, {1, 2, 3});
    if (isSecondReplaced)
        group.replace(1, {2, 3, 4}); // receives slot 0's successor only from the replies of 2 and 3

    IdempotencyClaim late = ReplicaGroup::start("y");
    for (const size_t slot : {0, 2, 3})
        group.deliver(late, "y", slot);
    REQUIRE(late.isGranted());
    for (const size_t slot : {1, 4})
        group.deliver(early, "x", slot);
    CHECK_FALSE(early.isGranted());
}

// Guards against a successor that grants a key which was granted before it registered.
TEST_CASE("A successor has the record of every claim that its predecessor granted")
{
    ReplicaGroup group;
    IdempotencyClaim claim = ReplicaGroup::start("x");
    for (const size_t slot : {0, 1, 2})
        group.deliver(claim, "x", slot);
    REQUIRE(claim.isGranted());
    group.replace(0, {1, 3, 4});
    const ClaimRequest other{{"kiosk", "stock", "plain"}, {}, "y.1", "entry", 0};
    CHECK(group.replicas[0]->claim(other, StartInstant).verdict == RecordVerdict::Held);

    // Two of five replicas are no read quorum: the majority that granted the claim need not include one of
    // them.
    group.replicas[1] = group.create(1, 2);
    group.read(1, {3, 4});
    CHECK_FALSE(group.replicas[1]->isRegistered(RecordScope::Domain));
    CHECK(group.replicas[1]->claim(other, StartInstant).verdict == RecordVerdict::Abstain);
}
