#include "librules/rulereaders.h"

#include <array>

namespace eelgrasslift {

using namespace std::chrono_literals;

namespace {

constexpr std::array<std::string_view, 2> DeliveryTexts{"stream", "whole"};
constexpr std::array<std::string_view, 2> RecordTexts{"domain", "fleet"};
constexpr std::array<std::string_view, 2> TargetKindTexts{"engine", "service"};
constexpr std::array<std::string_view, 7> Methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

void readFleet(FieldReader &fields, RuleSet &rules)
{
    rules.fleet.name = fields.rule().name;
    rules.fleet.origin = fields.rule().origin;
    fields.number("stall-weight", rules.fleet.stallWeight, 0, 100);
    fields.duration("leave-bound", rules.fleet.leaveBound, 100ms, 60s);
}

/// Adds a rule with its name and origin to the map of its kind.
template <typename Rule>
Rule &addRule(FieldReader &fields, std::map<std::string, Rule, std::less<>> &rules)
{
    Rule &rule = rules[fields.rule().name];
    rule.name = fields.rule().name;
    rule.origin = fields.rule().origin;
    return rule;
}

void readDomain(FieldReader &fields, RuleSet &rules)
{
    addRule(fields, rules.domains);
}

void readModel(FieldReader &fields, RuleSet &rules)
{
    ModelRule &rule = addRule(fields, rules.models);
    fields.number("max-tokens", rule.maxTokens, 1, 1'000'000);
    fields.decimal("memory-per-token", rule.memoryPerToken, 0.001, 1000);
}

void readClass(FieldReader &fields, RuleSet &rules)
{
    ClassRule &rule = addRule(fields, rules.classes);
    fields.required("planner").references("models", "model", rule.models);
    fields.number("priority", rule.priority, 0, 9);
    size_t delivery = static_cast<size_t>(rule.delivery);
    fields.choice("delivery", DeliveryTexts, delivery);
    rule.delivery = static_cast<Delivery>(delivery);
    fields.duration("deadline", rule.deadline, 10ms, 1h);
    fields.duration("stall-limit", rule.stallLimit, 50ms, 10min);
    fields.number("queue", rule.queue, 0, 100'000);
    fields.number("restarts", rule.restarts, 0, 10);
}

void readService(FieldReader &fields, RuleSet &rules)
{
    ServiceRule &rule = addRule(fields, rules.services);
    fields.duration("timeout", rule.timeout, 10ms, 10min);
    size_t records = static_cast<size_t>(rule.records);
    fields.choice("records", RecordTexts, records);
    rule.records = static_cast<RecordScope>(records);
    fields.duration("keep", rule.keep, 1s, 30 * 24h);
    if (rule.keep < rule.timeout)
        fields.reportContradiction("keep", "'keep' is shorter than 'timeout'", "keep=24h");
}

void readRoute(FieldReader &fields, RuleSet &rules)
{
    RouteRule &rule = addRule(fields, rules.routes);
    fields.required("stock").reference("service", "service", rule.service);
    size_t method = Methods.size();
    fields.required("GET").choice("method", Methods, method);
    if (method < Methods.size())
        rule.method = Methods.at(method);
    fields.required("/shelves").path("path", rule.path);
    fields.required("no").yesNo("idempotent", rule.isIdempotent);
}

void readTargets(FieldReader &fields, RuleSet &rules)
{
    TargetsRule &rule = addRule(fields, rules.targets);
    fields.required("runner-*").pattern("match", rule.match);
    size_t kind = static_cast<size_t>(rule.kind);
    fields.required("engine").choice("kind", TargetKindTexts, kind);
    rule.kind = static_cast<TargetKind>(kind);
    fields.references("models", "model", rule.models);
    fields.reference("service", "service", rule.service);
    fields.yesNo("fencing", rule.checksFencing);
    fields.number("slots", rule.slots, 1, 10'000);
    fields.decimal("memory", rule.memory, 1, 1e12);
    const bool isEngine = rule.kind == TargetKind::Engine;
    if (fields.has("models") != isEngine || fields.has("service") == isEngine) {
        fields.reportContradiction(
                fields.has("models") ? "models" : "service",
                "engines need 'models' and no 'service'; services need 'service' and no 'models'",
                isEngine ? "kind=engine models=planner" : "kind=service service=stock");
    }
    if (!isEngine && (fields.has("fencing") || fields.has("memory")))
        fields.reportContradiction("fencing", "'fencing' and 'memory' apply to engines only", "kind=engine");
}

void readAccount(FieldReader &fields, RuleSet &rules)
{
    AccountRule &rule = addRule(fields, rules.accounts);
    fields.required("<64 hex digits>").hexDigest("key-sha256", rule.keySha256);
    fields.reference("domain", "domain", rule.domain);
    fields.reference("previous-domain", "domain", rule.previousDomain);
    fields.decimal("rate", rule.rate, 0.001, 1'000'000);
    fields.decimal("burst", rule.burst, 1, 1'000'000);
    fields.number("concurrent", rule.concurrent, 1, 1'000'000);
    fields.number("share", rule.share, 1, 1000);
    fields.references("classes", "class", rule.classes);
    fields.references("services", "service", rule.services);
    if (rule.classes.empty() && rule.services.empty())
        fields.reportContradiction("classes", "the account may use neither a class nor a service",
                                   "classes=label");
    if (!rule.previousDomain.empty() && (rule.domain.empty() || rule.domain == rule.previousDomain)) {
        fields.reportContradiction("previous-domain",
                                   "'previous-domain' needs a 'domain' that differs from it",
                                   "domain=kapana previous-domain=trakiya");
    }
}

void readRetry(FieldReader &fields, RuleSet &rules)
{
    rules.retry.origin = fields.rule().origin;
    fields.percent("budget", rules.retry.budget);
    fields.number("attempts", rules.retry.attempts, 1, 10);
    fields.durationRange("backoff", rules.retry.backoffMin, rules.retry.backoffMax, 1ms, 5min);
}

void readQuarantine(FieldReader &fields, RuleSet &rules)
{
    rules.quarantine.origin = fields.rule().origin;
    fields.number("deaths", rules.quarantine.deaths, 1, 10);
    fields.duration("hold", rules.quarantine.hold, 1s, 30 * 24h);
}

void readLoad(FieldReader &fields, RuleSet &rules)
{
    LoadRule &rule = addRule(fields, rules.loads);
    rule.adapter = "none";
    rule.role = "any";
    fields.required("runner-*").pattern("match", rule.match);
    fields.required("planner").reference("model", "model", rule.model);
    fields.required("7").name("version", rule.version);
    fields.name("adapter", rule.adapter);
    fields.name("role", rule.role);
}

void readWeights(FieldReader &fields, RuleSet &rules)
{
    rules.weights.origin = fields.rule().origin;
    fields.decimal("rate", rules.weights.rate, 0.01, 10'000);
    fields.decimal("burst", rules.weights.burst, 1, 1000);
}

struct Kind
{
    std::string_view name;
    bool isSingle;
    void (*read)(FieldReader &, RuleSet &);
};

constexpr std::array<Kind, 12> Kinds{{{"fleet", true, readFleet},
                                      {"domain", false, readDomain},
                                      {"model", false, readModel},
                                      {"class", false, readClass},
                                      {"service", false, readService},
                                      {"route", false, readRoute},
                                      {"targets", false, readTargets},
                                      {"account", false, readAccount},
                                      {"retry", true, readRetry},
                                      {"quarantine", true, readQuarantine},
                                      {"load", false, readLoad},
                                      {"weights", true, readWeights}}};

const Kind *findKind(std::string_view name)
{
    for (const Kind &kind : Kinds) {
        if (kind.name == name)
            return &kind;
    }
    return nullptr;
}

} // namespace

bool readRule(FieldReader &fields, RuleSet &rules)
{
    const Kind *kind = findKind(fields.rule().kind);
    if (kind == nullptr)
        return false;
    kind->read(fields, rules);
    fields.reportUnknownKeys();
    return true;
}

bool isSingleKind(std::string_view name)
{
    const Kind *kind = findKind(name);
    return kind != nullptr && kind->isSingle;
}

std::string knownKinds()
{
    std::string text;
    for (const Kind &kind : Kinds)
        text += (text.empty() ? "" : ", ") + std::string(kind.name);
    return text;
}

} // namespace eelgrasslift
