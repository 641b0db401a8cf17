#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

struct Case
{
    std::string name;
    LeavingGeneration generation;
    StopForecast stop;
    MigrationAction expected = MigrationAction::Stay;
};

const StopForecast Later{1500ms, 2000ms};
const StopForecast Imminent{-300ms, 200ms};
const StopForecast Unknown{1200ms, std::nullopt};

const std::vector<Case> Cases{
        {"a generation that ends well before the stop stays",
         {20, 0, true, 2s, false, true, std::nullopt},
         Later,
         MigrationAction::Stay},
        {"a long generation is copied",
         {900, 0, true, 2s, false, true, std::nullopt},
         Later,
         MigrationAction::Copy},
        {"a generation whose estimated end is close to the stop is copied",
         {100, 0, true, 2s, false, true, std::nullopt},
         Later,
         MigrationAction::Copy},
        // Guards against losing long-running generations whose estimate was too low, as half of all estimates
        // are.
        {"a long-running generation is copied although it is estimated to end soon",
         {20, 500, true, 5s, false, true, std::nullopt},
         Later,
         MigrationAction::Copy},
        // Guards against two runners that work on one generation: the one that it leaves may go on with it
        // until it stops (review, case 2).
        {"a generation with a complete backup stays until its runner is about to stop",
         {900, 0, true, 2s, true, true, std::nullopt},
         Later,
         MigrationAction::Stay},
        {"a copied generation stays until its runner is about to stop",
         {900, 0, true, 2s, false, true, 500ms},
         Later,
         MigrationAction::Stay},
        {"a copied generation stays at a runner that does not say when it stops",
         {900, 0, true, 2s, false, true, 500ms},
         Unknown,
         MigrationAction::Stay},
        {"a generation with a backup stays at a runner that does not say when it stops",
         {900, 0, true, 2s, true, false, std::nullopt},
         Unknown,
         MigrationAction::Stay},
        // Guards against a pause of the stream if the stop cuts the path to the runner.
        {"a complete backup is used directly before the stop",
         {900, 0, true, 2s, true, true, std::nullopt},
         Imminent,
         MigrationAction::Leave},
        {"a copy is used directly before the stop",
         {900, 0, true, 2s, false, true, 500ms},
         Imminent,
         MigrationAction::Leave},
        {"the stop may be overdue",
         {900, 0, true, 2s, false, true, 500ms},
         {-3s, -2500ms},
         MigrationAction::Leave},
        // Guards against losing a generation whose backup has not arrived yet.
        {"a generation stays until its new backup is complete",
         {900, 0, true, 100ms, true, false, std::nullopt},
         Later,
         MigrationAction::Stay},
        // Guards against continuing from a backup that has not arrived: its runner refuses, and the
        // generation is lost.
        {"a generation with a new backup is copied if it can be",
         {900, 0, true, 100ms, true, true, std::nullopt},
         Later,
         MigrationAction::Copy},
        {"a new backup is used directly before the stop",
         {900, 0, true, 100ms, true, true, std::nullopt},
         Imminent,
         MigrationAction::Leave},
        {"a generation without events stays since its memory cannot be copied",
         {900, 0, false, 0s, true, true, std::nullopt},
         Later,
         MigrationAction::Stay},
        {"a resumable generation stays and is not copied",
         {900, 0, true, 2s, false, false, std::nullopt},
         Later,
         MigrationAction::Stay},
        // Guards against many generations that go on at other runners in the instant of the stop.
        {"a copied generation is ended at a runner that states that it is leaving",
         {900, 0, true, 2s, false, true, 500ms, true},
         Later,
         MigrationAction::EndRun},
        {"the same if the time of the stop is unknown",
         {900, 0, true, 2s, false, true, 500ms, true},
         Unknown,
         MigrationAction::EndRun},
        {"a runner that does not end the run is not left",
         {900, 0, true, 2s, false, true, 500ms, true, true},
         Later,
         MigrationAction::Stay},
        {"a runner that does not end the run is left directly before the stop",
         {900, 0, true, 2s, false, true, 500ms, true, true},
         Imminent,
         MigrationAction::Leave},
        {"a generation without a copy is not ended",
         {900, 0, true, 2s, false, true, std::nullopt, true},
         Later,
         MigrationAction::Copy},
        {"a generation with a backup is not ended",
         {900, 0, true, 2s, true, true, 500ms, true},
         Later,
         MigrationAction::Stay},
        {"a generation without a copy is copied directly before the stop",
         {900, 0, true, 2s, false, true, std::nullopt},
         Imminent,
         MigrationAction::Copy},
        // Guards against a copy that its destination has freed when the runner stops at last.
        {"a copy is renewed while the runner lingers",
         {900, 0, true, 2s, false, true, 2500ms},
         Unknown,
         MigrationAction::Copy},
        // Guards against memory that copies occupy for the whole of a long notice.
        {"a generation is not copied long before the stop",
         {2000, 0, true, 2s, false, true, std::nullopt},
         {10s, 10500ms},
         MigrationAction::Stay},
};

} // namespace

TEST_CASE("A generation leaves its runner no earlier than directly before the stop", "[migrationplan]")
{
    const Case &row = GENERATE(from_range(Cases));
    INFO(row.name);
    CHECK(planMigration(row.generation, row.stop) == row.expected);
}
