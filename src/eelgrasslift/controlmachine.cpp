#include "eelgrasslift/controlmachine.h"

#include "eelgrasslift/logging.h"

#include <cstdlib>

namespace eelgrasslift {

namespace {

// Larger than the replicator's limit of open proposals, so that no proposer misses its answer.
constexpr size_t MaxAnswers = 2048;

} // namespace

void ControlMachine::apply(LogIndex index, std::string_view command)
{
    const auto decoded = decodeCommand(command);
    if (!decoded) {
        // Every member of this version skips the entry alike. A newer version has to be finished rolling out.
        logError("command-unknown", {{"index", std::to_string(index)}});
        this->answers[index] = Refused{"this member does not know the command"};
        return;
    }
    this->answers[index] = this->controlState.apply(*decoded);
    if (this->answers.size() > MaxAnswers)
        this->answers.erase(this->answers.begin());
    this->announceRules();
}

void ControlMachine::installSnapshot(std::string_view data)
{
    if (!this->controlState.installSnapshot(data)) {
        // The bytes passed the storage's checksum: another version wrote them. Going on would lose state.
        logError("snapshot-unknown", {{"bytes", std::to_string(data.size())}});
        std::_Exit(EXIT_FAILURE);
    }
    this->answers.clear();
    this->announceRules();
}

ControlAnswer ControlMachine::takeAnswer(LogIndex index)
{
    const auto found = this->answers.find(index);
    if (found == this->answers.end())
        return Refused{"the answer is no longer known"};
    ControlAnswer answer = std::move(found->second);
    this->answers.erase(found);
    return answer;
}

void ControlMachine::announceRules()
{
    const uint64_t version = this->controlState.currentVersion();
    if (version == this->announcedVersion)
        return;
    this->announcedVersion = version;
    if (this->rulesCallback)
        this->rulesCallback(this->controlState.currentRules());
}

} // namespace eelgrasslift
