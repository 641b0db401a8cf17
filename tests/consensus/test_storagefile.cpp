#include "libconsensus/storagefile.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;

// Guards against a member that terminates on a full disk, and again after each restart.
TEST_CASE("A write to a full disk is retried and fails if no space becomes available", "[storagefile]")
{
    StorageFile file;
    REQUIRE_FALSE(file.open("/dev/full", false));
    int waits = 0;
    const FileOutcome outcome = file.writeAt(0, "bytes", [&] { return ++waits < 3; });
    CHECK(waits == 3);
    REQUIRE(outcome);
    CHECK(outcome->errorNumber == ENOSPC);
}
