#pragma once

#include "libcontrol/commands.h"
#include "libcontrol/controltables.h"

#include <memory>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// The replicated state machine of the control members. The same commands in the same order give the same
/// state and answers on every member, so it uses no clock, no randomness and no unordered container.
class ControlState
{
public:
    using RulesPointer = std::shared_ptr<const AcceptedRules>;

    static constexpr size_t MaxVersions = 50;
    /// Limits the rule texts in a snapshot: old versions beyond this total are dropped before MaxVersions is
    /// reached. The last two versions are always retained.
    static constexpr size_t MaxVersionBytes = 16'777'216;
    static constexpr size_t MaxAnswers = 10'000;
    static constexpr size_t MaxAudit = 10'000;
    static constexpr size_t MaxMarks = 10'000;
    static constexpr size_t MaxOrders = 10'000;
    static constexpr size_t MaxMembers = 100;
    /// Answers are stored in the snapshot, so their texts are truncated; the command `diff` shows all
    /// differences.
    static constexpr size_t MaxAnswerDiffBytes = 2048;
    static constexpr size_t MaxAnswerErrors = 10;

    /// Applies a committed command. Called in the order of the replicated log.
    ControlAnswer apply(const ControlCommand &command);

    /// Serialises the whole state. Equal states give equal bytes.
    std::string takeSnapshot() const;

    /// Replaces the whole state. Returns false and changes nothing if the bytes are not a snapshot of a known
    /// format.
    bool installSnapshot(std::string_view bytes);

    /// The rules in force; nullptr before the first acceptance.
    const RulesPointer &currentRules() const { return this->current; }
    /// Version of the rules in force; 0 before the first acceptance.
    uint64_t currentVersion() const { return this->current == nullptr ? 0 : this->current->version; }

    /// Returns nullptr if the version was never accepted or is no longer stored.
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

    ChangeAnswer applyChange(const ApplyRules &command);
    Conflict describeConflict(const ApplyRules &command) const;
    Accepted acceptRules(const ApplyRules &command, RuleSet rules);
    void storeAnswer(const ApplyRules &command, const std::string &requestHash, const ChangeAnswer &answer);
    void dropOldVersions();
    void expireMarks();
    void updateBudget();
    void appendAudit(const std::string &author, std::string action);

    ControlTables data;
    RulesPointer current;
};

} // namespace eelgrasslift
