#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

RunnerIncarnation runner(int number)
{
    return {"r" + std::to_string(number), "10.0.0." + std::to_string(number) + ":80", 1};
}

SuspectPromptPart part(const std::string &name, int firstRunner, int lastRunner, uint32_t position,
                       std::optional<TimePoint> completedAt = std::nullopt, size_t requests = 2)
{
    SuspectPromptPart result{promptPartFingerprint(name), {}, requests, completedAt, position};
    for (int number = firstRunner; number <= lastRunner; ++number)
        result.runners.insert(runner(number));
    return result;
}

} // namespace

// Guards against a part that sound requests share and that is refused in place of the one that ends runners,
// though the crashes do not tell them apart.
TEST_CASE("Crashes are attributed to the parts that explain them", "[crashblame]")
{
    using Group = std::vector<std::string>;
    struct Case
    {
        const char *name;
        std::vector<SuspectPromptPart> suspects;
        /// Parts that are refused together.
        std::vector<Group> blamed;
    };
    const auto test = GENERATE(values<Case>({
            {"too few runners", {part("bad", 1, 3, 1)}, {}},
            {"one request that is repeated", {part("bad", 1, 4, 1, {}, 1)}, {}},
            {"enough", {part("bad", 1, 4, 1)}, {{"bad"}}},
            {"a part before it in the same requests",
             {part("first", 1, 4, 0), part("bad", 1, 4, 1)},
             {{"first", "bad"}}},
            {"a part behind it in the same requests",
             {part("bad", 1, 4, 1), part("sheet", 1, 4, 2)},
             {{"bad", "sheet"}}},
            {"a part behind it that has been served",
             {part("bad", 1, 5, 0), part("later", 1, 5, 1, Start)},
             {{"bad", "later"}}},
            {"a part that neighbours have as well",
             {part("first", 1, 7, 0, Start), part("bad", 1, 4, 1)},
             {{"first", "bad"}}},
            {"a part of neighbours only", {part("bad", 1, 9, 1), part("other", 2, 6, 1, Start)}, {{"bad"}}},
            {"two parts that end runners",
             {part("bad", 1, 4, 1), part("worse", 5, 8, 1)},
             {{"bad"}, {"worse"}}},
            {"a part that has become bad",
             {part("first", 1, 5, 0, Start + 3s), part("bad", 1, 5, 1, Start)},
             {{"first", "bad"}}},
            {"a part behind it that fewer of the requests share",
             {part("bad", 1, 6, 0), part("session", 1, 4, 1)},
             {{"bad"}}},
            {"a part behind it, and a runner that has ended by itself",
             {part("bad", 1, 4, 0), part("session", 1, 5, 1)},
             {{"bad", "session"}}},
            {"a part that goes on ending runners without the other one",
             {part("bad", 1, 8, 1), part("new", 1, 4, 0, Start - 1s)},
             {{"bad"}}},
            {"none", {}, {}},
    }));
    INFO(test.name);
    std::set<std::set<Sha256>> blamed;
    for (const Group &group : test.blamed) {
        std::set<Sha256> parts;
        for (const std::string &name : group)
            parts.insert(promptPartFingerprint(name));
        blamed.insert(parts);
    }
    const auto groupsOf = [](const std::vector<SuspectPromptPart> &suspects) {
        const CrashBlame blame = attributeCrashes(suspects);
        return std::set<std::set<Sha256>>(blame.groups.begin(), blame.groups.end());
    };
    auto suspects = test.suspects;
    CHECK(groupsOf(suspects) == blamed);
    std::ranges::reverse(suspects);
    CHECK(groupsOf(suspects) == blamed);
}

// Guards against sound requests with one of two suspected parts that are refused for the other one.
TEST_CASE("Only requests with all parts of a group are refused", "[crashblame]")
{
    struct Case
    {
        const char *name;
        std::vector<std::string> parts;
        bool isRefused;
    };
    const auto test = GENERATE(values<Case>({
            {"the one", {"first", "sheet", "last"}, false},
            {"the other", {"bad"}, false},
            {"both", {"first", "bad", "sheet"}, true},
            {"both in another order", {"sheet", "bad"}, true},
            {"a part alone", {"worse", "first"}, true},
            {"none", {}, false},
    }));
    INFO(test.name);
    const CrashBlame blame =
            attributeCrashes({part("bad", 1, 4, 1), part("sheet", 1, 4, 2), part("worse", 11, 15, 0)});
    std::vector<Sha256> parts;
    for (const std::string &name : test.parts)
        parts.push_back(promptPartFingerprint(name));
    CHECK(blame.refuses(parts) == test.isRefused);
}
