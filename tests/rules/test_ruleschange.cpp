#include "librules/rules.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const std::string Base = "domain a # x: y\ndomain b # x: y\ndomain c # x: y\n"
                         "service s keep=24h # x: y\n";

RuleSet rulesOf(const std::string &text)
{
    auto result = parseRules(text, "t.rules");
    REQUIRE(std::holds_alternative<RuleSet>(result));
    return std::get<RuleSet>(std::move(result));
}

/// A rule set with one account, or without accounts if keys is empty.
RuleSet withAccount(const std::string &keys, char digit = 'a')
{
    if (keys.empty())
        return rulesOf(Base);
    return rulesOf(Base + "account k services=s key-sha256=" + std::string(64, digit) + " " + keys +
                   " # x: y\n");
}

constexpr WallTime Start{1'000h};

struct Step
{
    std::string account;
    std::chrono::milliseconds after;
    bool isAccepted;
};

struct Move
{
    std::string name;
    std::vector<Step> steps;
};

} // namespace

// Guards against a change of owner domain after which an idempotency record is not found and its request runs
// again.
TEST_CASE("Account moves keep the old records reachable until they have expired")
{
    const auto move = GENERATE(values<Move>({
            {"no change", {{"domain=a", 0h, true}, {"domain=a rate=5", 1h, true}}},
            {"move without previous domain", {{"domain=a", 0h, true}, {"domain=b", 48h, false}}},
            {"wrong previous domain", {{"domain=a", 0h, true}, {"domain=b previous-domain=c", 48h, false}}},
            {"move ended too early",
             {{"domain=a", 0h, true}, {"domain=b previous-domain=a", 1h, true}, {"domain=b", 23h, false}}},
            {"move ended in time",
             {{"domain=a", 0h, true}, {"domain=b previous-domain=a", 1h, true}, {"domain=b", 24h, true}}},
            {"an unrelated change does not restart the move",
             {{"domain=a", 0h, true},
              {"domain=b previous-domain=a", 1h, true},
              {"domain=b previous-domain=a rate=5", 23h, true},
              {"domain=b", 1h, true}}},
            {"move back",
             {{"domain=a", 0h, true},
              {"domain=b previous-domain=a", 1h, true},
              {"domain=a previous-domain=b", 1h, true},
              {"domain=a", 23h, false}}},
            {"second move too early",
             {{"domain=a", 0h, true},
              {"domain=b previous-domain=a", 1h, true},
              {"domain=c previous-domain=b", 23h, false}}},
            {"second move in time",
             {{"domain=a", 0h, true},
              {"domain=b previous-domain=a", 1h, true},
              {"domain=c previous-domain=b", 24h, true}}},
            {"removed and added in another domain too early",
             {{"domain=a", 0h, true}, {"", 1h, true}, {"domain=b", 23h, false}}},
            {"removed and added in another domain in time",
             {{"domain=a", 0h, true}, {"", 1h, true}, {"domain=b", 24h, true}}},
            {"removed and added again", {{"domain=a", 0h, true}, {"", 1h, true}, {"domain=a", 1h, true}}},
            {"removed during a move",
             {{"domain=a", 0h, true},
              {"domain=b previous-domain=a", 1h, true},
              {"", 1h, true},
              {"domain=b", 1h, false}}},
    }));
    INFO(move.name);
    RuleSet current = rulesOf(Base);
    AccountOwners owners;
    WallTime now = Start;
    for (const Step &step : move.steps) {
        now += step.after;
        const RuleSet next = withAccount(step.account);
        INFO(step.account);
        CHECK(checkRulesChange(current, next, owners, now).empty() == step.isAccepted);
        if (!step.isAccepted)
            break;
        owners = nextOwners(owners, current, next, now);
        current = next;
    }
}

// Guards against changes that move records although the account rule names no new domain: a removed domain
// changes the hash, a key moves to another account, or a service changes its record scope.
TEST_CASE("Indirect moves of idempotency records are rejected")
{
    const std::string account = "account k services=s key-sha256=" + std::string(64, 'a');
    const RuleSet before = rulesOf(Base + account + " # x: y\n");
    const AccountOwners owners = nextOwners({}, RuleSet{}, before, Start);
    const std::string owner = owners.at("k").domain;
    std::string withoutOwner = Base;
    const std::string line = "domain " + owner + " # x: y\n";
    withoutOwner.erase(withoutOwner.find(line), line.size());

    CHECK(checkRulesChange(before, before, owners, Start).empty());
    const RuleSet pinned = rulesOf(Base + account + " domain=" + owner + " # x: y\n");
    CHECK(checkRulesChange(before, pinned, owners, Start).empty());

    const auto after = GENERATE_COPY(
            as<std::string>{}, withoutOwner + account + " # x: y\n",
            Base + "account renamed services=s domain=a key-sha256=" + std::string(64, 'a') + " # x: y\n",
            Base.substr(0, Base.find("service")) + "service s keep=24h records=fleet # x: y\n" + account +
                    " # x: y\n");
    INFO(after);
    const RuleErrors errors = checkRulesChange(before, rulesOf(after), owners, Start);
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].code == RuleErrorCode::UnsafeChange);
    CHECK_FALSE(errors[0].example.empty());
}

TEST_CASE("The difference of two rule sets names each changed rule and key")
{
    const RuleSet before =
            rulesOf("domain a # x: y\ndomain b # x: y\nmodel m max-tokens=5 # x: y\nfleet f # x: y\n");
    const RuleSet after = rulesOf("# moved\nmodel m max-tokens=6 # z: more\ndomain c # n: new\ndomain a # x: "
                                  "y\nfleet f # x: other\n");
    CHECK(toText(diffRules(before, after)) == "- domain b  # x: y\n"
                                              "~ fleet f  # x: other\n"
                                              "~ model m max-tokens: 5 -> 6  # z: more\n"
                                              "+ domain c  # n: new\n");
    CHECK(diffRules(after, after).empty());
}
