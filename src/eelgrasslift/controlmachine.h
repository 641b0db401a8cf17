#pragma once

#include "eelgrasslift/replicator.h"
#include "libcontrol/control.h"

#include <functional>
#include <map>

namespace eelgrasslift {

/// The control state as the replicator's state machine. Keeps recent answers until their proposer asks.
class ControlMachine : public ReplicatedState
{
public:
    /// Called after rules have come into force, by a command or a snapshot.
    using RulesCallback = std::function<void(const ControlState::RulesPointer &)>;

    void onRules(RulesCallback callback) { this->rulesCallback = std::move(callback); }

    void apply(LogIndex index, std::string_view command) override;
    std::string takeSnapshot() override { return this->controlState.takeSnapshot(); }
    void installSnapshot(std::string_view data) override;

    const ControlState &state() const { return this->controlState; }

    /// The answer of the command at index; Refused if it is no longer known.
    ControlAnswer takeAnswer(LogIndex index);

private:
    void announceRules();

    ControlState controlState;
    std::map<LogIndex, ControlAnswer> answers;
    RulesCallback rulesCallback;
    uint64_t announcedVersion = 0;
};

} // namespace eelgrasslift
