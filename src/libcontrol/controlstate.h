#pragma once

#include "libcontrol/commands.h"
#include "libcontrol/controltables.h"

#include <memory>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// The replicated state machine. Equal commands in equal order give equal state and answers on every member:
/// no clock, no randomness, no unordered container.
class ControlState
{
public:
    using RulesPointer = std::shared_ptr<const AcceptedRules>;

    static constexpr size_t MaxVersions = 50;
    /// Texts of old versions beyond this are dropped before MaxVersions is reached, which bounds the
    /// snapshot.
    static constexpr size_t MaxVersionBytes = 16'777'216;
    static constexpr size_t MaxAnswers = 10'000;
    static constexpr size_t MaxAudit = 10'000;
    static constexpr size_t MaxMarks = 10'000;
    static constexpr size_t MaxOrders = 10'000;
    static constexpr size_t MaxMembers = 100;
    /// Answers are kept in the snapshot, so their texts are short; `diff` shows the rest.
    static constexpr size_t MaxAnswerDiffBytes = 2048;
    static constexpr size_t MaxAnswerErrors = 10;

    ControlAnswer apply(const ControlCommand &command);

    std::string takeSnapshot() const;

    /// Replaces the whole state. Returns false and changes nothing if the bytes are no snapshot.
    bool installSnapshot(std::string_view bytes);

    /// The rules in force; nullptr before the first acceptance.
    const RulesPointer &currentRules() const { return this->current; }
    uint64_t currentVersion() const { return this->current == nullptr ? 0 : this->current->version; }

    /// Nullptr if the version was never accepted or is no longer kept.
    const RuleVersion *findVersion(uint64_t version) const;

    const ControlTables &tables() const { return this->data; }

private:
    ControlAnswer handle(const ApplyRules &command);
    ControlAnswer handle(const AddQuarantine &command);
    ControlAnswer handle(const ClearQuarantine &command);
    ControlAnswer handle(const GrantFence &command);
    ControlAnswer handle(const ReserveLoad &command);
    ControlAnswer handle(const ConfirmOrder &command);
    ControlAnswer handle(const ForgetTarget &command);
    ControlAnswer handle(const MemberInfo &command);
    ControlAnswer handle(const ForgetMember &command);
    ControlAnswer handle(const RecordAction &command);

    ChangeAnswer decide(const ApplyRules &command);
    Conflict conflictWith(const ApplyRules &command) const;
    Accepted accept(const ApplyRules &command, RuleSet rules);
    void remember(const ApplyRules &command, const std::string &requestHash, const ChangeAnswer &answer);
    void dropOldVersions();
    void expireMarks();
    void updateBudget();
    void record(const std::string &author, std::string action);

    ControlTables data;
    RulesPointer current;
};

} // namespace eelgrasslift
