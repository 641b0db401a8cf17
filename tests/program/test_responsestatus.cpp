#include "eelgrasslift/responsestatus.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;

// Guards against status codes that are none and pass for interim responses, or for errors of a target.
TEST_CASE("Status codes are interim, final or invalid", "[program]")
{
    const auto [status, expected] = GENERATE(table<unsigned, StatusClass>({
            {0, StatusClass::Invalid},
            {1, StatusClass::Invalid},
            {99, StatusClass::Invalid},
            {100, StatusClass::Interim},
            {101, StatusClass::Invalid},
            {103, StatusClass::Interim},
            {199, StatusClass::Interim},
            {200, StatusClass::Final},
            {299, StatusClass::Final},
            {599, StatusClass::Final},
            {600, StatusClass::Invalid},
            {999, StatusClass::Invalid},
    }));
    INFO(status);
    CHECK(statusClass(status) == expected);
}
