#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

struct Case
{
    std::string name;
    LeavingGeneration run;
    Duration untilGone{};
    MigrationAction expected = MigrationAction::Stay;
};

const std::vector<Case> Cases{
        {"a run that surely ends in time stays",
         {20, 0, true, 2s, false, true},
         1500ms,
         MigrationAction::Stay},
        {"a long run moves", {900, 0, true, 2s, false, true}, 1500ms, MigrationAction::Move},
        {"an estimate that only just fits is not trusted",
         {100, 0, true, 2s, false, true},
         1500ms,
         MigrationAction::Move},
        // Guards against losing old generations whose estimate was too short: half of all are.
        {"an old run is not trusted to end soon",
         {20, 500, true, 5s, false, true},
         1500ms,
         MigrationAction::Move},
        {"a settled copy is used", {900, 0, true, 2s, true, true}, 1500ms, MigrationAction::SwitchToBackup},
        // Guards against giving up a run whose copy has not arrived yet.
        {"a fresh copy settles first", {900, 0, true, 100ms, true, false}, 1500ms, MigrationAction::Stay},
        // Guards against going on from a copy that never arrived: the runner refuses and the run is lost.
        {"a run whose copy is fresh moves", {900, 0, true, 100ms, true, true}, 1500ms, MigrationAction::Move},
        {"at the last moment a fresh copy has to do",
         {900, 0, true, 100ms, true, true},
         200ms,
         MigrationAction::SwitchToBackup},
        {"nothing can be copied before the first event",
         {900, 0, false, 0s, true, true},
         1500ms,
         MigrationAction::Stay},
        {"a run that can be resumed elsewhere stays",
         {900, 0, true, 2s, false, false},
         1500ms,
         MigrationAction::Stay},
};

} // namespace

TEST_CASE("A generation leaves its runner in time", "[migrationplan]")
{
    const Case &row = GENERATE(from_range(Cases));
    INFO(row.name);
    CHECK(planMigration(row.run, row.untilGone) == row.expected);
}
