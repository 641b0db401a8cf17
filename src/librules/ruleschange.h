#pragma once

#include "librules/ruleerror.h"
#include "librules/ruleset.h"

#include <map>
#include <string>

namespace eelgrasslift {

/// Which failure domains hold an account's idempotency records, and since when.
struct AccountOwner
{
    std::string domain;
    /// Set while the account moves.
    std::string previousDomain;
    /// When this pair of domains was accepted, or when the account was removed.
    WallTime since{};
    bool isRemoved = false;

    bool operator==(const AccountOwner &) const = default;
};

/// Owners of all accounts by name, with removed accounts until their records have expired.
using AccountOwners = std::map<std::string, AccountOwner, std::less<>>;

/// Refuses changes after which an idempotency record could be missed, so that a request could run twice.
/// acceptedAt tells when the owners of previous came into force.
RuleErrors checkRulesChange(const RuleSet &previous, const RuleSet &next, const AccountOwners &acceptedAt,
                            WallTime now);

/// The owners once next has been accepted at now.
AccountOwners nextOwners(const AccountOwners &owners, const RuleSet &previous, const RuleSet &next,
                         WallTime now);

} // namespace eelgrasslift
