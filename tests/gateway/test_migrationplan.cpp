#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

struct Case
{
    std::string name;
    LeavingGeneration generation;
    Duration timeUntilStop{};
    MigrationAction expected = MigrationAction::Stay;
};

const std::vector<Case> Cases{
        {"a generation that ends well before the stop stays",
         {20, 0, true, 2s, false, true},
         1500ms,
         MigrationAction::Stay},
        {"a long generation moves", {900, 0, true, 2s, false, true}, 1500ms, MigrationAction::Move},
        {"a generation whose estimated end is close to the stop moves",
         {100, 0, true, 2s, false, true},
         1500ms,
         MigrationAction::Move},
        // Guards against losing long-running generations whose estimate was too low, as half of all estimates
        // are.
        {"a long-running generation moves although it is estimated to end soon",
         {20, 500, true, 5s, false, true},
         1500ms,
         MigrationAction::Move},
        {"a complete backup is used",
         {900, 0, true, 2s, true, true},
         1500ms,
         MigrationAction::SwitchToBackup},
        // Guards against losing a generation whose backup has not arrived yet.
        {"a generation stays until its new backup is complete",
         {900, 0, true, 100ms, true, false},
         1500ms,
         MigrationAction::Stay},
        // Guards against continuing from a backup that has not arrived: its runner refuses, and the
        // generation is lost.
        {"a generation with a new backup moves if it can",
         {900, 0, true, 100ms, true, true},
         1500ms,
         MigrationAction::Move},
        {"a new backup is used directly before the stop",
         {900, 0, true, 100ms, true, true},
         200ms,
         MigrationAction::SwitchToBackup},
        {"a generation without events stays since its memory cannot be copied",
         {900, 0, false, 0s, true, true},
         1500ms,
         MigrationAction::Stay},
        {"a resumable generation stays and is not copied",
         {900, 0, true, 2s, false, false},
         1500ms,
         MigrationAction::Stay},
};

} // namespace

TEST_CASE("A generation leaves its runner before the stop", "[migrationplan]")
{
    const Case &row = GENERATE(from_range(Cases));
    INFO(row.name);
    CHECK(planMigration(row.generation, row.timeUntilStop) == row.expected);
}
