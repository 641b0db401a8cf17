#include "librules/ruleschange.h"

#include "librules/fieldreader.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

constexpr std::string_view NewText = "new rules";

/// Longest retention of idempotency records in either version. All services count, because an account may
/// have used one that its rule no longer lists.
Duration longestRetention(const RuleSet &previous, const RuleSet &next)
{
    Duration keep{0};
    for (const RuleSet *rules : {&previous, &next}) {
        for (const auto &[name, service] : rules->services)
            keep = std::max(keep, service.keep);
    }
    return keep;
}

RuleError unsafeChange(const RuleOrigin &origin, std::string cause, std::string example)
{
    return {RuleErrorCode::UnsafeChange, std::string(NewText), origin.line, 1, std::move(cause),
            std::move(example)};
}

/// Whether a claim in the new owner domains finds every record that the old owner domains may store.
bool coversOldOwners(const AccountOwner &old, const std::string &domain, const std::string &previousDomain,
                     bool isOldPreviousExpired)
{
    const auto isQueried = [&](const std::string &owner) {
        return owner == domain || owner == previousDomain;
    };
    if (!isQueried(old.domain))
        return false;
    return old.previousDomain.empty() || isOldPreviousExpired || isQueried(old.previousDomain);
}

std::string moveCause(const AccountRule &account, const AccountOwner &old, const std::string &domain)
{
    if (!old.previousDomain.empty()) {
        return "the account '" + account.name + "' is moving from " + old.previousDomain + " to " +
               old.domain + "; its old records in " + old.previousDomain + " are still needed";
    }
    if (old.isRemoved) {
        return "the account '" + account.name + "' was removed from " + old.domain +
               " a short time ago; its old records there are still needed";
    }
    return "the owner domain of account '" + account.name + "' changes from " + old.domain + " to " + domain +
           " without 'previous-domain'; requests that ran before could run again";
}

std::string moveExample(const AccountOwner &old, const std::string &domain, Duration keep)
{
    if (!old.previousDomain.empty()) {
        return "domain=" + old.domain + " previous-domain=" + old.previousDomain + " until " +
               durationText(keep) + " after the move was accepted";
    }
    return "domain=" + domain + " previous-domain=" + old.domain;
}

void checkAccount(const AccountRule &account, const AccountOwner &old, const RuleSet &next, Duration keep,
                  WallTime now, RuleErrors &errors)
{
    const bool isExpired = now - old.since >= keep;
    if (old.isRemoved && isExpired)
        return;
    const std::string domain = next.ownerDomain(account);
    if (coversOldOwners(old, domain, account.previousDomain, isExpired))
        return;
    errors.push_back(
            unsafeChange(account.origin, moveCause(account, old, domain), moveExample(old, domain, keep)));
}

void checkKeyKeepsAccount(const RuleSet &previous, const AccountRule &account, RuleErrors &errors)
{
    const AccountRule *old = previous.accountByKey(account.keySha256);
    if (old == nullptr || old->name == account.name)
        return;
    errors.push_back(
            unsafeChange(account.origin,
                         "the key of account '" + old->name + "' moves to account '" + account.name +
                                 "'; idempotency records are kept by account name, so that requests that "
                                 "ran before could run again",
                         "a new key for account " + account.name));
}

void checkService(const ServiceRule &service, const RuleSet &previous, RuleErrors &errors)
{
    const auto old = previous.services.find(service.name);
    if (old == previous.services.end() || old->second.records == service.records)
        return;
    errors.push_back(unsafeChange(service.origin,
                                  "'records' of service '" + service.name +
                                          "' changes; old and new records would be held by different entries",
                                  "a service with a new name and the new 'records'"));
}

} // namespace

RuleErrors checkRulesChange(const RuleSet &previous, const RuleSet &next, const AccountOwners &currentOwners,
                            WallTime now)
{
    RuleErrors errors;
    const Duration keep = longestRetention(previous, next);
    for (const auto &[name, account] : next.accounts) {
        checkKeyKeepsAccount(previous, account, errors);
        const auto old = currentOwners.find(name);
        if (old != currentOwners.end())
            checkAccount(account, old->second, next, keep, now, errors);
    }
    for (const auto &[name, service] : next.services)
        checkService(service, previous, errors);
    return errors;
}

AccountOwners nextOwners(const AccountOwners &owners, const RuleSet &previous, const RuleSet &next,
                         WallTime now)
{
    AccountOwners result;
    const Duration keep = longestRetention(previous, next);
    for (const auto &[name, account] : next.accounts) {
        AccountOwner owner{next.ownerDomain(account), account.previousDomain, now, false};
        const auto old = owners.find(name);
        const bool isUnchanged = old != owners.end() && !old->second.isRemoved &&
                                 old->second.domain == owner.domain &&
                                 old->second.previousDomain == owner.previousDomain;
        result[name] = isUnchanged ? old->second : owner;
    }
    for (const auto &[name, old] : owners) {
        if (result.contains(name) || (old.isRemoved && now - old.since >= keep))
            continue;
        AccountOwner removed = old;
        removed.since = old.isRemoved ? old.since : now;
        removed.isRemoved = true;
        result[name] = removed;
    }
    return result;
}

} // namespace eelgrasslift
