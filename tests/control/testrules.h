#pragma once

#include "libcontrol/control.h"

#include <string>

namespace eelgrasslift {

/// A small valid rule file. Different rates give different texts.
inline std::string ruleText(int rate, const std::string &account = "domain=a")
{
    const std::string origin = " # Elena: test\n";
    return "domain a" + origin + "domain b" + origin + "model m" + origin + "service s keep=24h" + origin +
           "targets t match=runner-* kind=engine models=m fencing=yes" + origin +
           "targets u match=plain-* kind=engine models=m fencing=no" + origin + "weights w rate=60 burst=3" +
           origin + "account k services=s key-sha256=" + std::string(64, 'a') +
           " rate=" + std::to_string(rate) + " " + account + origin;
}

/// A UUID of version 7 that ends in the number.
inline std::string changeId(int number)
{
    std::string digits = std::to_string(number);
    return "00000000-0000-7000-8000-" + std::string(12 - digits.size(), '0') + digits;
}

/// A command that was proposed at this time.
inline ControlCommand at(int64_t seconds, CommandBody body)
{
    return {WallTime{std::chrono::seconds{seconds}}, std::move(body)};
}

} // namespace eelgrasslift
