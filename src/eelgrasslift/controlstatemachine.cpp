#include "eelgrasslift/controlstatemachine.h"

#include "eelgrasslift/logging.h"

#include <cstdlib>

namespace eelgrasslift {

namespace {

// Exceeds the replicator's limit of open proposals, so that no answer is dropped before its proposer takes
// it.
constexpr size_t MaxAnswers = 2048;

} // namespace

void ControlStateMachine::apply(LogIndex index, std::string_view command)
{
    const auto decoded = decodeCommand(command);
    if (!decoded) {
        // A newer version wrote the command. All members of this version skip it, so they stay consistent;
        // the upgrade of all members has to be completed.
        logError("command-unknown", {{"index", std::to_string(index)}});
        this->answers[index] = Refused{"this member does not know the command"};
        return;
    }
    this->answers[index] = this->controlState.apply(*decoded);
    if (this->answers.size() > MaxAnswers)
        this->answers.erase(this->answers.begin());
    this->notifyRulesChanged();
}

void ControlStateMachine::installSnapshot(std::string_view data)
{
    if (!this->controlState.installSnapshot(data)) {
        // The bytes passed the checksum of the storage, so another version wrote them. Continuing without
        // them would lose state.
        logError("snapshot-unknown", {{"bytes", std::to_string(data.size())}});
        std::_Exit(EXIT_FAILURE);
    }
    this->answers.clear();
    this->notifyRulesChanged();
}

ControlAnswer ControlStateMachine::takeAnswer(LogIndex index)
{
    const auto found = this->answers.find(index);
    if (found == this->answers.end())
        return Refused{"the answer is no longer known"};
    ControlAnswer answer = std::move(found->second);
    this->answers.erase(found);
    return answer;
}

void ControlStateMachine::notifyRulesChanged()
{
    const uint64_t version = this->controlState.currentVersion();
    if (version == this->notifiedVersion)
        return;
    this->notifiedVersion = version;
    if (this->rulesCallback)
        this->rulesCallback(this->controlState.currentRules());
}

} // namespace eelgrasslift
