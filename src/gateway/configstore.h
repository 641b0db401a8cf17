#pragma once

#include "eelgrasslift/replicator.h"

namespace eelgrasslift {

/// Replicated state machine of the coordinators: stores the configuration with the highest version, byte for
/// byte as the operator sent it.
class ConfigStore : public ReplicatedState
{
public:
    void apply(LogIndex index, std::string_view command) override;
    std::string takeSnapshot() override;
    void installSnapshot(std::string_view data) override;

    /// Command for the replicated log that proposes the configuration.
    static std::string encode(uint64_t version, std::string_view body);

    /// Version in force; 0: none yet.
    uint64_t version() const { return this->currentVersion; }
    /// Body in force; empty if there is none yet.
    const std::string &body() const { return this->currentBody; }

    /// Sets a callback that runs after another version comes into force.
    void onChange(std::function<void()> callback) { this->changeCallback = std::move(callback); }

private:
    uint64_t currentVersion = 0;
    std::string currentBody;
    std::function<void()> changeCallback;
};

} // namespace eelgrasslift
