#pragma once

#include "librules/ruleerror.h"
#include "librules/ruleset.h"

#include <map>
#include <string>

namespace eelgrasslift {

/// The failure domains that store an account's idempotency records, and since when.
struct AccountOwner
{
    std::string domain;
    /// Where older records may still be stored; set while the account moves.
    std::string previousDomain;
    /// When this pair of domains was accepted, or the account was removed.
    WallTime since{};
    bool isRemoved = false;

    bool operator==(const AccountOwner &) const = default;
};

/// Owners of all accounts by account name, including removed accounts until their records have expired.
using AccountOwners = std::map<std::string, AccountOwner, std::less<>>;

/// Checks for changes after which an idempotency record might not be found, so that a request could run
/// twice. Returns one error for each. currentOwners are the owners under previous, as returned by
/// nextOwners().
RuleErrors checkRulesChange(const RuleSet &previous, const RuleSet &next, const AccountOwners &currentOwners,
                            WallTime now);

/// Returns the owners after next has replaced previous at the time now.
AccountOwners nextOwners(const AccountOwners &owners, const RuleSet &previous, const RuleSet &next,
                         WallTime now);

} // namespace eelgrasslift
