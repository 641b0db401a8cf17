#include "librules/ruleset.h"

#include "libcore/core.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

/// The rule with the longest pattern that matches the target id; the first by name if several have this
/// length.
template <typename Rules>
auto longestMatch(const Rules &rules, std::string_view targetId) -> const typename Rules::mapped_type *
{
    const typename Rules::mapped_type *best = nullptr;
    for (const auto &[name, rule] : rules) {
        if (!matchesPattern(rule.match, targetId))
            continue;
        if (best == nullptr || rule.match.size() > best->match.size())
            best = &rule;
    }
    return best;
}

/// "/shelves" covers "/shelves", "/shelves/7" and "/shelves?x=1" but not "/shelves-clear": a prefix that
/// ended inside a segment would allow retries of an unlisted path.
bool coversPath(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    if (path.size() == prefix.size() || prefix.ends_with('/'))
        return true;
    return path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace

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
    return longestMatch(this->targets, targetId);
}

const LoadRule *RuleSet::loadFor(std::string_view targetId) const
{
    return longestMatch(this->loads, targetId);
}

bool RuleSet::isIdempotent(std::string_view service, std::string_view method, std::string_view path) const
{
    const RouteRule *best = nullptr;
    for (const auto &[name, route] : this->routes) {
        if (route.service != service || route.method != method || !coversPath(route.path, path))
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
