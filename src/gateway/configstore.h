#pragma once

#include "eelgrasslift/replicator.h"
#include "libgateway/evacuations.h"

namespace eelgrasslift {

/// Replicated state machine of the coordinators: stores the configuration with the highest version, byte for
/// byte as the operator sent it, and the evacuated failure domains.
class ConfigStore : public ReplicatedState
{
public:
    void apply(LogIndex index, std::string_view command) override;
    std::string takeSnapshot() override;
    void installSnapshot(std::string_view data) override;

    /// Command for the replicated log that proposes the configuration.
    static std::string encode(uint64_t version, std::string_view body);

    /// Command for the replicated log that proposes the change of an evacuation.
    static std::string encode(const EvacuationChange &change);

    /// Version in force; 0: none yet.
    uint64_t version() const { return this->currentVersion; }
    /// Body in force; empty if there is none yet.
    const std::string &body() const { return this->currentBody; }

    const Evacuations &evacuations() const { return this->currentEvacuations; }

    /// Sets a callback that runs after the evacuations have changed.
    void onEvacuation(std::function<void()> callback) { this->evacuationCallback = std::move(callback); }
    /// Sets a callback that runs after a newer version came into force or a snapshot was installed.
    void onChange(std::function<void()> callback) { this->changeCallback = std::move(callback); }

private:
    void applyEvacuation(LogIndex index, std::string_view body);

    uint64_t currentVersion = 0;
    std::string currentBody;
    Evacuations currentEvacuations;
    std::function<void()> changeCallback;
    std::function<void()> evacuationCallback;
};

} // namespace eelgrasslift
