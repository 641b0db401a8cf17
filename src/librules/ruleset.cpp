#include "librules/ruleset.h"

#include "libcore/core.h"

#include <algorithm>

namespace eelgrasslift {

bool matchesPattern(std::string_view pattern, std::string_view text)
{
    size_t patternAt = 0;
    size_t textAt = 0;
    size_t starAt = std::string_view::npos;
    size_t resumeAt = 0;
    while (textAt < text.size()) {
        if (patternAt < pattern.size() && pattern[patternAt] == '*') {
            starAt = patternAt++;
            resumeAt = textAt;
        } else if (patternAt < pattern.size() && pattern[patternAt] == text[textAt]) {
            ++patternAt;
            ++textAt;
        } else if (starAt != std::string_view::npos) {
            patternAt = starAt + 1;
            textAt = ++resumeAt;
        } else {
            return false;
        }
    }
    return pattern.find_first_not_of('*', patternAt) == std::string_view::npos;
}

const AccountRule *RuleSet::accountByKey(std::string_view keySha256) const
{
    for (const auto &[name, account] : this->accounts) {
        if (equalsConstantTime(account.keySha256, keySha256))
            return &account;
    }
    return nullptr;
}

const TargetsRule *RuleSet::targetsFor(std::string_view targetId) const
{
    const TargetsRule *best = nullptr;
    for (const auto &[name, rule] : this->targets) {
        if (!matchesPattern(rule.match, targetId))
            continue;
        if (best == nullptr || rule.match.size() > best->match.size())
            best = &rule;
    }
    return best;
}

bool RuleSet::isIdempotent(std::string_view service, std::string_view method, std::string_view path) const
{
    const RouteRule *best = nullptr;
    for (const auto &[name, route] : this->routes) {
        if (route.service != service || route.method != method || !path.starts_with(route.path))
            continue;
        if (best == nullptr || route.path.size() > best->path.size())
            best = &route;
    }
    return best != nullptr && best->isIdempotent;
}

std::string RuleSet::ownerDomain(const AccountRule &account) const
{
    if (!account.domain.empty() || this->domains.empty())
        return account.domain;
    const Sha256 digest = sha256(account.name);
    const size_t index = (digest[0] * 256U + digest[1]) % this->domains.size();
    return std::next(this->domains.begin(), static_cast<std::ptrdiff_t>(index))->first;
}

} // namespace eelgrasslift
