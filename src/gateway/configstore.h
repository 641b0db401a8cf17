#pragma once

#include "eelgrasslift/replicator.h"

namespace eelgrasslift {

/// The replicated configuration: the body with the highest version, as the operator sent it.
class ConfigStore : public ReplicatedState
{
public:
    void apply(LogIndex index, std::string_view command) override;
    std::string takeSnapshot() override;
    void installSnapshot(std::string_view data) override;

    static std::string encode(uint64_t version, std::string_view body);

    /// 0: none yet.
    uint64_t version() const { return this->currentVersion; }
    const std::string &body() const { return this->currentBody; }

    /// Called after another version came into force.
    void onChange(std::function<void()> callback) { this->changed = std::move(callback); }

private:
    uint64_t currentVersion = 0;
    std::string currentBody;
    std::function<void()> changed;
};

} // namespace eelgrasslift
