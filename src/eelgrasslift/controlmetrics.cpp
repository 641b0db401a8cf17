#include "eelgrasslift/controlmetrics.h"

#include <prometheus/text_serializer.h>

namespace eelgrasslift {

namespace {

prometheus::MetricFamily gauge(const std::string &name, const std::string &help, double value)
{
    prometheus::MetricFamily family;
    family.name = "eelgrasslift_control_" + name;
    family.help = help;
    family.type = prometheus::MetricType::Gauge;
    family.metric.emplace_back().gauge.value = value;
    return family;
}

} // namespace

std::string controlMetricsText(const ControlMember &member)
{
    const RaftStatus status = member.replicator().status();
    const ControlTables &tables = member.state().tables();
    size_t unconfirmed = 0;
    for (const auto &[target, order] : tables.orders)
        unconfirmed += order.isConfirmed ? 0 : 1;
    const auto number = [](auto value) { return static_cast<double>(value); };
    return prometheus::TextSerializer().Serialize({
            gauge("leads", "Whether this member leads under a valid lease", status.hasLease ? 1 : 0),
            gauge("term", "Term of the replicated log", number(status.term)),
            gauge("commit_index", "Last committed entry", number(status.commitIndex)),
            gauge("members", "Members of the cluster", number(status.members.size())),
            gauge("rules_version", "Version of the rules in force; 0: none",
                  number(member.state().currentVersion())),
            gauge("answered_changes", "Changes whose answers are kept", number(tables.answers.size())),
            gauge("last_fence", "Last fencing number", number(tables.lastFence)),
            gauge("unconfirmed_orders", "Orders that were not read back yet", number(unconfirmed)),
            gauge("quarantine_marks", "Quarantined and recently cleared requests",
                  number(tables.marks.size())),
            gauge("foreign_messages", "Dropped messages of other clusters or members",
                  number(status.foreignMessages)),
    });
}

} // namespace eelgrasslift
