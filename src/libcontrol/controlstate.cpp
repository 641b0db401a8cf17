#include "libcontrol/controlstate.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

const std::string SystemAuthor = "eelgrasslift";

std::string requestHash(const ApplyRules &command)
{
    const std::string prefix = std::to_string(command.author.size()) + ":" + command.author + ":" +
                               std::to_string(command.baseVersion) + ":";
    const Sha256 digest = sha256(prefix + command.text);
    return {digest.begin(), digest.end()};
}

RuleSet parseAcceptedRules(std::string_view text)
{
    auto result = parseRules(text, "accepted rules");
    auto *rules = std::get_if<RuleSet>(&result);
    return rules == nullptr ? RuleSet{} : std::move(*rules);
}

/// Truncates text to whole lines of at most maxBytes and appends how many lines were omitted.
std::string truncateLines(std::string text, size_t maxBytes)
{
    if (text.size() <= maxBytes)
        return text;
    const size_t end = text.rfind('\n', maxBytes);
    const size_t keptBytes = end == std::string::npos ? 0 : end + 1;
    const auto omittedLines =
            std::count(text.begin() + static_cast<std::ptrdiff_t>(keptBytes), text.end(), '\n');
    text.resize(keptBytes);
    return text + "(" + std::to_string(omittedLines) + " more lines)\n";
}

Invalid truncateErrors(RuleErrors errors)
{
    if (errors.size() > ControlState::MaxAnswerErrors)
        errors.resize(ControlState::MaxAnswerErrors);
    return Invalid{std::move(errors)};
}

ControlAnswer toAnswer(const ChangeAnswer &answer)
{
    return std::visit([](const auto &value) -> ControlAnswer { return value; }, answer);
}

std::string describe(const DesiredState &desired)
{
    return desired.model + " version " + desired.version + " adapter " + desired.adapter + " role " +
           desired.role;
}

} // namespace

ControlAnswer ControlState::apply(const ControlCommand &command)
{
    this->data.lastTime = std::max(this->data.lastTime, command.at);
    this->expireMarks();
    return std::visit([this](const auto &body) { return this->handle(body); }, command.body);
}

std::string ControlState::takeSnapshot() const
{
    return encodeTables(this->data);
}

bool ControlState::installSnapshot(std::string_view bytes)
{
    auto tables = decodeTables(bytes);
    if (!tables)
        return false;
    this->data = std::move(*tables);
    this->current.reset();
    if (!this->data.versions.empty()) {
        const RuleVersion &latest = this->data.versions.back();
        this->current = std::make_shared<const AcceptedRules>(AcceptedRules{latest.version, latest.author,
                                                                            latest.acceptedAt, latest.text,
                                                                            parseAcceptedRules(latest.text)});
    }
    this->updateBudget();
    return true;
}

const RuleVersion *ControlState::findVersion(uint64_t version) const
{
    const auto found = std::find_if(this->data.versions.begin(), this->data.versions.end(),
                                    [version](const RuleVersion &entry) { return entry.version == version; });
    return found == this->data.versions.end() ? nullptr : &*found;
}

ControlAnswer ControlState::handle(const ApplyRules &command)
{
    const std::string hash = requestHash(command);
    for (const AnsweredChange &change : this->data.answers) {
        if (change.changeId != command.changeId)
            continue;
        return change.requestHash == hash ? toAnswer(change.answer) : ChangeIdReused{};
    }
    const ChangeAnswer answer = this->applyChange(command);
    this->storeAnswer(command, hash, answer);
    return toAnswer(answer);
}

ChangeAnswer ControlState::applyChange(const ApplyRules &command)
{
    if (command.baseVersion != this->currentVersion())
        return this->describeConflict(command);
    auto parsed = parseRules(command.text, "new rules");
    if (auto *errors = std::get_if<RuleErrors>(&parsed))
        return truncateErrors(std::move(*errors));
    RuleSet &rules = std::get<RuleSet>(parsed);
    if (this->current != nullptr) {
        RuleErrors errors =
                checkRulesChange(this->current->rules, rules, this->data.owners, this->data.lastTime);
        if (!errors.empty())
            return truncateErrors(std::move(errors));
    }
    return this->acceptRules(command, std::move(rules));
}

Conflict ControlState::describeConflict(const ApplyRules &command) const
{
    if (this->current == nullptr)
        return {0, "", {}, "no rules have been accepted yet; the base version is 0\n"};
    Conflict conflict{this->current->version, this->current->author, this->current->acceptedAt, ""};
    const RuleVersion *base = this->findVersion(command.baseVersion);
    if (base != nullptr || command.baseVersion == 0) {
        const RuleSet baseRules = base == nullptr ? RuleSet{} : parseAcceptedRules(base->text);
        conflict.diff = truncateLines(toText(diffRules(baseRules, this->current->rules)), MaxAnswerDiffBytes);
    } else {
        conflict.diff = "version " + std::to_string(command.baseVersion) + " is not kept\n";
    }
    return conflict;
}

Accepted ControlState::acceptRules(const ApplyRules &command, RuleSet rules)
{
    const uint64_t version = this->currentVersion() + 1;
    const WallTime now = this->data.lastTime;
    const RuleSet &previous = this->current == nullptr ? rules : this->current->rules;
    this->data.owners = nextOwners(this->data.owners, previous, rules, now);
    this->data.versions.push_back(
            {version, command.baseVersion, command.author, command.changeId, now, command.text});
    this->dropOldVersions();
    this->current = std::make_shared<const AcceptedRules>(
            AcceptedRules{version, command.author, now, command.text, std::move(rules)});
    this->updateBudget();
    this->appendAudit(command.author,
                      "accepted rules version " + std::to_string(version) + ", change " + command.changeId);
    return {version};
}

void ControlState::storeAnswer(const ApplyRules &command, const std::string &hash, const ChangeAnswer &answer)
{
    this->data.answers.push_back({command.changeId, hash, answer});
    if (this->data.answers.size() > MaxAnswers)
        this->data.answers.pop_front();
}

void ControlState::dropOldVersions()
{
    size_t bytes = 0;
    for (const RuleVersion &version : this->data.versions)
        bytes += version.text.size();
    while (this->data.versions.size() > 2 &&
           (this->data.versions.size() > MaxVersions || bytes > MaxVersionBytes)) {
        bytes -= this->data.versions.front().text.size();
        this->data.versions.pop_front();
    }
}

ControlAnswer ControlState::handle(const AddQuarantine &command)
{
    const auto found = this->data.marks.find(command.fingerprint);
    if (found == this->data.marks.end() && this->data.marks.size() >= MaxMarks)
        return Refused{"there are " + std::to_string(MaxMarks) + " quarantine marks already"};
    if (command.until <= this->data.lastTime)
        return Refused{"the quarantine mark has ended"};
    // A cleared mark is set again only with a later end, which means that a target died after the mark was
    // cleared.
    if (found != this->data.marks.end() && found->second.until >= command.until)
        return Done{};
    this->data.marks[command.fingerprint] = {command.deaths, command.until, false};
    ++this->data.quarantineVersion;
    this->appendAudit(command.author,
                      "quarantined " + toHex({reinterpret_cast<const uint8_t *>(command.fingerprint.data()),
                                              command.fingerprint.size()}));
    return Done{};
}

ControlAnswer ControlState::handle(const ClearQuarantine &command)
{
    const auto found = this->data.marks.find(command.fingerprint);
    if (found == this->data.marks.end() || found->second.isCleared)
        return Refused{"there is no quarantine mark with this fingerprint"};
    found->second.isCleared = true;
    ++this->data.quarantineVersion;
    this->appendAudit(command.author,
                      "cleared quarantine " +
                              toHex({reinterpret_cast<const uint8_t *>(command.fingerprint.data()),
                                     command.fingerprint.size()}));
    return Done{};
}

ControlAnswer ControlState::handle(const GrantFence &command)
{
    if (!this->data.orders.contains(command.target) && this->data.orders.size() >= MaxOrders)
        return Refused{"there are " + std::to_string(MaxOrders) + " targets with orders already"};
    const uint64_t fence = ++this->data.lastFence;
    this->data.orders[command.target] = {fence, command.desired, false};
    this->appendAudit(SystemAuthor, "order " + std::to_string(fence) + " to " + command.target + ": " +
                                            describe(command.desired));
    return FenceGranted{fence};
}

ControlAnswer ControlState::handle(const ReserveLoad &command)
{
    const BudgetAction action = this->data.budget.handle(command, this->data.lastTime);
    return std::visit([](const auto &value) -> ControlAnswer { return value; }, action);
}

ControlAnswer ControlState::handle(const ConfirmOrder &command)
{
    const auto found = this->data.orders.find(command.target);
    if (found == this->data.orders.end() || found->second.fence != command.fence)
        return Refused{"a later order was given to this target"};
    found->second.isConfirmed = true;
    this->data.budget.handle(BudgetRelease{command.target}, this->data.lastTime);
    return Done{};
}

ControlAnswer ControlState::handle(const ForgetTarget &command)
{
    this->data.orders.erase(command.target);
    this->data.budget.handle(BudgetRelease{command.target}, this->data.lastTime);
    return Done{};
}

ControlAnswer ControlState::handle(const MemberInfo &command)
{
    const auto found = this->data.members.find(command.id);
    if (found == this->data.members.end() && this->data.members.size() >= MaxMembers)
        return Refused{"there are " + std::to_string(MaxMembers) + " member descriptions already"};
    if (found == this->data.members.end())
        this->appendAudit(SystemAuthor,
                          "member " + std::to_string(command.id) + " at " + command.peerAddress);
    this->data.members[command.id] = command;
    return Done{};
}

ControlAnswer ControlState::handle(const ForgetMember &command)
{
    this->data.members.erase(command.id);
    return Done{};
}

ControlAnswer ControlState::handle(const RecordAction &command)
{
    this->appendAudit(command.author, command.action);
    return Done{};
}

void ControlState::expireMarks()
{
    const WallTime now = this->data.lastTime;
    std::erase_if(this->data.marks, [now](const auto &item) { return item.second.until <= now; });
}

void ControlState::updateBudget()
{
    if (this->current == nullptr)
        return;
    const WeightsRule &weights = this->current->rules.weights;
    this->data.budget.handle(BudgetLimits{weights.rate, weights.burst}, this->data.lastTime);
}

void ControlState::appendAudit(const std::string &author, std::string action)
{
    this->data.audit.push_back({++this->data.lastAudit, this->data.lastTime, author, std::move(action)});
    if (this->data.audit.size() > MaxAudit)
        this->data.audit.pop_front();
}

} // namespace eelgrasslift
