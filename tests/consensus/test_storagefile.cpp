#include "libconsensus/storagefile.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;

// Guards against a member that ends, and ends again after each restart, while its disk is full.
TEST_CASE("A write to a full disk waits for space and says so if none comes", "[storagefile]")
{
    StorageFile file;
    REQUIRE_FALSE(file.open("/dev/full", false));
    int waits = 0;
    const FileOutcome outcome = file.writeAt(0, "bytes", [&] { return ++waits < 3; });
    CHECK(waits == 3);
    REQUIRE(outcome);
    CHECK(outcome->errorNumber == ENOSPC);
}
