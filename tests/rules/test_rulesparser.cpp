#include "libcore/core.h"
#include "librules/rules.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const std::string Origin = "  # Elena: needed";
const std::string Digest(64, 'a');

RuleErrors errorsOf(const std::string &text)
{
    const auto result = parseRules(text, "t.rules");
    const auto *errors = std::get_if<RuleErrors>(&result);
    return errors == nullptr ? RuleErrors{} : *errors;
}

RuleSet rulesOf(const std::string &text)
{
    auto result = parseRules(text, "t.rules");
    if (const auto *errors = std::get_if<RuleErrors>(&result)) {
        for (const RuleError &error : *errors)
            UNSCOPED_INFO(toText(error));
    }
    REQUIRE(std::holds_alternative<RuleSet>(result));
    return std::get<RuleSet>(std::move(result));
}

std::string fileText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

struct BadLine
{
    std::string line;
    RuleErrorCode code;
    uint32_t column;
};

} // namespace

// Guards against errors that are accepted or reported at the wrong position.
TEST_CASE("Each error is reported with its code and column")
{
    const std::string account = "account a key-sha256=" + Digest;
    const auto bad = GENERATE_COPY(values<BadLine>({
            {"domain d", RuleErrorCode::MissingOrigin, 9},
            {"domain d  # no colon", RuleErrorCode::MissingOrigin, 11},
            {"domain d  # : why", RuleErrorCode::MissingOrigin, 11},
            {"domain d  # who:  ", RuleErrorCode::MissingOrigin, 11},
            {"domain" + Origin, RuleErrorCode::MissingName, 1},
            {"domain Trakiya" + Origin, RuleErrorCode::MissingName, 8},
            {"region d" + Origin, RuleErrorCode::UnknownKind, 1},
            {"domain d colour=red" + Origin, RuleErrorCode::UnknownKey, 10},
            {"domain d colour" + Origin, RuleErrorCode::BadValue, 10},
            {"fleet f stall-weight=" + Origin, RuleErrorCode::BadValue, 9},
            {"fleet f stall-weight=101" + Origin, RuleErrorCode::OutOfRange, 22},
            {"fleet f stall-weight=-1" + Origin, RuleErrorCode::BadValue, 22},
            {"fleet f stall-weight=4x" + Origin, RuleErrorCode::BadValue, 22},
            {"fleet f leave-bound=3" + Origin, RuleErrorCode::BadValue, 21},
            {"fleet f leave-bound=99999999999999999999s" + Origin, RuleErrorCode::BadValue, 21},
            {"fleet f leave-bound=9000000000000000d" + Origin, RuleErrorCode::BadValue, 21},
            {"fleet f leave-bound=1ms" + Origin, RuleErrorCode::OutOfRange, 21},
            {"fleet f stall-weight=1 stall-weight=1" + Origin, RuleErrorCode::Duplicate, 24},
            {"model m memory-per-token=nan" + Origin, RuleErrorCode::BadValue, 26},
            {"class c priority=1" + Origin, RuleErrorCode::MissingKey, 1},
            {"class c models=m" + Origin, RuleErrorCode::UnknownReference, 16},
            {"service s records=both" + Origin, RuleErrorCode::BadValue, 19},
            {"service s timeout=10s keep=5s" + Origin, RuleErrorCode::Contradiction, 23},
            {"targets t match=x-* kind=service" + Origin, RuleErrorCode::Contradiction, 1},
            {"targets t match=x? kind=service service=s" + Origin, RuleErrorCode::BadValue, 17},
            {account + Origin, RuleErrorCode::Contradiction, 1},
            {"account a key-sha256=12 classes=c" + Origin, RuleErrorCode::BadValue, 22},
            {"retry r budget=0.1" + Origin, RuleErrorCode::BadValue, 16},
            {"retry r budget=101%" + Origin, RuleErrorCode::OutOfRange, 16},
            {"retry r backoff=2s..50ms" + Origin, RuleErrorCode::BadValue, 17},
            {"domain d\x01" + Origin, RuleErrorCode::NotText, 9},
            {"domain d  # J\xc3\xb6rg: \xff", RuleErrorCode::NotText, 19},
            {"domain d  # who: " + std::string(MaxRuleLineBytes, 'x'), RuleErrorCode::TooLarge, 1},
    }));
    INFO(bad.line.substr(0, 200));
    const RuleErrors errors = errorsOf("\n" + bad.line + "\n");
    REQUIRE_FALSE(errors.empty());
    CHECK(errors[0].code == bad.code);
    CHECK(errors[0].file == "t.rules");
    CHECK(errors[0].line == 2);
    CHECK(errors[0].column == bad.column);
    CHECK_FALSE(errors[0].cause.empty());
}

// Guards against a parser that stops at the first error, so that an operator would have to submit a file
// several times.
TEST_CASE("All errors of a file are reported together in line order")
{
    const RuleErrors errors = errorsOf("class c models=m,n priority=11\n"
                                       "domain d\n"
                                       "domain d" +
                                       Origin + "\nregion r" + Origin);
    std::vector<std::pair<uint32_t, RuleErrorCode>> found;
    for (const RuleError &error : errors)
        found.emplace_back(error.line, error.code);
    CHECK(found == std::vector<std::pair<uint32_t, RuleErrorCode>>{{1, RuleErrorCode::UnknownReference},
                                                                   {1, RuleErrorCode::UnknownReference},
                                                                   {1, RuleErrorCode::OutOfRange},
                                                                   {1, RuleErrorCode::MissingOrigin},
                                                                   {2, RuleErrorCode::MissingOrigin},
                                                                   {3, RuleErrorCode::Duplicate},
                                                                   {4, RuleErrorCode::UnknownKind}});
}

// Guards against conflicting rules of which the second silently overrides the first.
TEST_CASE("Conflicting rules in different lines are rejected")
{
    const std::string base =
            "model m" + Origin + "\nclass c models=m" + Origin + "\nservice s" + Origin + "\n";
    const auto duplicates = GENERATE_COPY(
            as<std::string>{},
            "account a classes=c key-sha256=" + Digest + Origin +
                    "\naccount b classes=c key-sha256=" + Digest + Origin,
            "fleet a" + Origin + "\nfleet b" + Origin,
            "route a service=s method=GET path=/p idempotent=yes" + Origin +
                    "\nroute b service=s method=GET path=/p idempotent=no" + Origin,
            "load a match=r-* model=m version=1" + Origin + "\nload b match=r-* model=m version=2" + Origin);
    const RuleErrors errors = errorsOf(base + duplicates);
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].code == RuleErrorCode::Duplicate);
    CHECK(errors[0].line == 5);
}

// Guards against files that exhaust memory or produce an unbounded list of errors.
TEST_CASE("Size limits are enforced")
{
    CHECK(errorsOf(std::string(MaxRuleFileBytes + 1, '#')).at(0).code == RuleErrorCode::TooLarge);
    CHECK(errorsOf(std::string(MaxRuleFileBytes, '#')).at(0).code == RuleErrorCode::TooLarge); // line length
    CHECK(errorsOf("").at(0).code == RuleErrorCode::NoRules);
    CHECK(errorsOf("# only free text\n\n").at(0).code == RuleErrorCode::NoRules);
    std::string many;
    for (size_t i = 0; i <= MaxRules; ++i)
        many += "domain d" + std::to_string(i) + " # a: b\n";
    const RuleErrors tooMany = errorsOf(many);
    REQUIRE(tooMany.size() == 1);
    CHECK(tooMany[0].code == RuleErrorCode::TooLarge);
    std::string invalidLines;
    for (size_t i = 0; i < 2 * MaxRuleErrors; ++i)
        invalidLines += "domain\n";
    const RuleErrors listed = errorsOf(invalidLines);
    CHECK(listed.size() == MaxRuleErrors + 1);
    CHECK(listed.back().code == RuleErrorCode::TooManyErrors);
}

TEST_CASE("Values are read with their units and defaults")
{
    const RuleSet rules =
            rulesOf("\xef\xbb\xbf# free text\r\n\r\nfleet f stall-weight=80 # J\xc3\xb6rg K: a: b\r\n"
                    "model m memory-per-token=0.5" +
                    Origin +
                    "\n"
                    "class c models=m delivery=whole deadline=1500ms" +
                    Origin +
                    "\n"
                    "retry r budget=12.5% backoff=5ms..3m" +
                    Origin +
                    "\n"
                    "load l match=r-* model=m version=7" +
                    Origin);
    CHECK(rules.fleet.stallWeight == 80);
    CHECK(rules.fleet.leaveBound == 3s);
    CHECK(rules.fleet.origin.requestedBy == "J\xc3\xb6rg K");
    CHECK(rules.fleet.origin.reason == "a: b");
    CHECK(rules.fleet.origin.line == 3);
    CHECK(rules.models.at("m").memoryPerToken == 0.5);
    CHECK(rules.classes.at("c").delivery == Delivery::Whole);
    CHECK(rules.classes.at("c").deadline == 1500ms);
    CHECK(rules.retry.budget == 0.125);
    CHECK(rules.retry.backoffMax == 3min);
    CHECK(rules.loads.at("l").adapter == "none");
    CHECK(rules.sources.at("class c").values.at("deadline") == "1500ms");
}

// Guards against retries of a path that starts with the path of an idempotent route but belongs to another
// resource.
TEST_CASE("Route prefixes match whole segments and the longest one applies")
{
    const RuleSet rules =
            rulesOf("service s" + Origin + "\nroute a service=s method=GET path=/shelves idempotent=yes" +
                    Origin + "\nroute b service=s method=GET path=/shelves/clear idempotent=no" + Origin);
    const auto [path, expected] = GENERATE(table<std::string, bool>({{"/shelves", true},
                                                                     {"/shelves/7", true},
                                                                     {"/shelves?x=1", true},
                                                                     {"/shelves-clear", false},
                                                                     {"/shelves/clear", false},
                                                                     {"/shelves/clear/all", false},
                                                                     {"/other", false}}));
    INFO(path);
    CHECK(rules.isIdempotent("s", "GET", path) == expected);
    CHECK_FALSE(rules.isIdempotent("s", "POST", path));
}

// Guards against example files that do not parse, and against demo keys that belong to no account.
TEST_CASE("The example files are valid and contain the demo keys")
{
    const auto [file, accounts, keys] = GENERATE(table<std::string, size_t, std::vector<std::string>>(
            {{"plovdiv", 10, {"demo-planner-key", "demo-cashier-key", "demo-clerk-key"}},
             {"steiner", 10, {"demo-secretary-key", "demo-landlord-key", "demo-member-key"}}}));
    const RuleSet rules = rulesOf(fileText(EELGRASSLIFT_SOURCE_DIR "/examples/" + file + ".rules"));
    CHECK(rules.domains.size() == 3);
    CHECK(rules.accounts.size() == accounts);
    CHECK(rules.targetsFor("runner-10") != nullptr);
    CHECK(rules.loadFor("runner-1") != nullptr);
    for (const std::string &key : keys)
        CHECK(rules.accountByKey(toHex(sha256(key))) != nullptr);
}
