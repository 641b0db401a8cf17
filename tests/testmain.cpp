// Catch2 would install its signal handlers before each test case and restore the previous ones after it. Asio
// installs its handler only for the first signal_set of a process, so later test cases would not get their
// signals.
#define CATCH_CONFIG_NO_POSIX_SIGNALS
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
