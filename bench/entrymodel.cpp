#include "entrymodel.h"

#include "baselineentry.h"
#include "routingentry.h"

#include <charconv>

namespace eelgrasslift::bench {

std::string_view toString(PolicyKind kind)
{
    switch (kind) {
    case PolicyKind::RoundRobin:
        return "round-robin";
    case PolicyKind::LeastRequests:
        return "least-requests";
    case PolicyKind::TwoChoices:
        return "two-choices";
    case PolicyKind::LeastReported:
        return "least-reported";
    case PolicyKind::LeastBounded:
        return "least-bounded";
    case PolicyKind::Eelgrasslift:
        return "eelgrasslift";
    }
    return "unknown";
}

std::unique_ptr<EntryModel> makeEntry(const EntrySettings &settings, const RequestMix &mix,
                                      const std::vector<TraceRequest> &trace, EntryActions actions)
{
    if (settings.kind == PolicyKind::Eelgrasslift)
        return std::make_unique<RoutingEntry>(settings, mix, trace, std::move(actions));
    return std::make_unique<BaselineEntry>(settings, std::move(actions));
}

std::string engineName(uint32_t engine)
{
    return "runner-" + std::to_string(engine);
}

uint32_t engineIndex(std::string_view name)
{
    uint32_t engine = 0;
    name.remove_prefix(name.find('-') + 1);
    std::from_chars(name.data(), name.data() + name.size(), engine);
    return engine;
}

std::string domainName(uint32_t domain)
{
    return "domain-" + std::to_string(domain);
}

} // namespace eelgrasslift::bench
