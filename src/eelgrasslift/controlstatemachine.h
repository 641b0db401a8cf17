#pragma once

#include "eelgrasslift/replicator.h"
#include "libcontrol/control.h"

#include <functional>
#include <map>

namespace eelgrasslift {

/// The control state as the replicator's state machine. Stores recent answers until their proposers take
/// them.
class ControlStateMachine : public ReplicatedState
{
public:
    /// Receives the rules in force after a command or a snapshot has changed them.
    using RulesCallback = std::function<void(const ControlState::RulesPointer &)>;

    /// Sets the callback for changes of the rules in force. Must be called before the first command.
    void onRulesChanged(RulesCallback callback) { this->rulesCallback = std::move(callback); }

    void apply(LogIndex index, std::string_view command) override;
    std::string takeSnapshot() override { return this->controlState.takeSnapshot(); }
    void installSnapshot(std::string_view data) override;

    const ControlState &state() const { return this->controlState; }

    /// Returns and removes the answer to the command at index; Refused if it is no longer stored.
    ControlAnswer takeAnswer(LogIndex index);

private:
    void notifyRulesChanged();

    ControlState controlState;
    std::map<LogIndex, ControlAnswer> answers;
    RulesCallback rulesCallback;
    uint64_t notifiedVersion = 0;
};

} // namespace eelgrasslift
