#include "gateway/configstore.h"

#include "eelgrasslift/logging.h"
#include "libconsensus/codec.h"

namespace eelgrasslift {

namespace {

// Version of commands that change an evacuation. Configurations have higher ones, and processes that know no
// evacuations skip such a command as outdated.
constexpr uint64_t EvacuationVersion = 0;

std::optional<Evacuations> readEvacuations(ByteReader &reader)
{
    Evacuations evacuations;
    evacuations.sequence = reader.read64();
    const uint32_t count = reader.read32();
    for (uint32_t i = 0; i < count && reader.isValid(); ++i)
        evacuations.domains.emplace(reader.readText());
    if (!reader.isAtEnd())
        return std::nullopt;
    return evacuations;
}

} // namespace

std::string ConfigStore::encode(uint64_t version, std::string_view body)
{
    ByteWriter writer;
    writer.add64(version);
    writer.addText(body);
    return writer.take();
}

std::string ConfigStore::encode(const EvacuationChange &change)
{
    ByteWriter body;
    body.add8(change.isEvacuated ? 1 : 0);
    body.addText(change.domain);
    return encode(EvacuationVersion, body.take());
}

void ConfigStore::applyEvacuation(LogIndex index, std::string_view body)
{
    ByteReader reader(body);
    EvacuationChange change;
    change.isEvacuated = reader.read8() != 0;
    change.domain = reader.readText();
    if (!reader.isAtEnd()) {
        logError("log-entry-unreadable", {{"index", std::to_string(index)}});
        return;
    }
    if (!this->currentEvacuations.apply(change))
        return;
    logInfo("evacuation-in-force", {{"domain", change.domain},
                                    {"evacuated", change.isEvacuated ? "yes" : "no"},
                                    {"index", std::to_string(index)}});
    if (this->evacuationCallback)
        this->evacuationCallback();
}

void ConfigStore::apply(LogIndex index, std::string_view command)
{
    ByteReader reader(command);
    const uint64_t version = reader.read64();
    const std::string_view body = reader.readText();
    if (!reader.isValid()) {
        logError("log-entry-unreadable", {{"index", std::to_string(index)}});
        return;
    }
    if (version == EvacuationVersion) {
        this->applyEvacuation(index, body);
        return;
    }
    if (version <= this->currentVersion)
        return;
    this->currentVersion = version;
    this->currentBody = body;
    logInfo("configuration-in-force",
            {{"version", std::to_string(version)}, {"index", std::to_string(index)}});
    if (this->changeCallback)
        this->changeCallback();
}

std::string ConfigStore::takeSnapshot()
{
    std::string snapshot = encode(this->currentVersion, this->currentBody);
    if (this->currentEvacuations.sequence == 0)
        return snapshot;
    ByteWriter writer;
    writer.add64(this->currentEvacuations.sequence);
    writer.add32(static_cast<uint32_t>(this->currentEvacuations.domains.size()));
    for (const std::string &domain : this->currentEvacuations.domains)
        writer.addText(domain);
    return snapshot + writer.take();
}

void ConfigStore::installSnapshot(std::string_view data)
{
    ByteReader reader(data);
    const uint64_t version = reader.read64();
    const std::string_view body = reader.readText();
    if (!reader.isValid()) {
        logError("snapshot-unreadable");
        return;
    }
    // Snapshots without evacuations end here.
    const std::optional<Evacuations> evacuations = reader.isAtEnd() ? Evacuations{} : readEvacuations(reader);
    if (!evacuations) {
        logError("snapshot-unreadable");
        return;
    }
    this->currentVersion = version;
    this->currentBody = body;
    this->currentEvacuations = *evacuations;
    if (this->changeCallback)
        this->changeCallback();
    if (this->evacuationCallback)
        this->evacuationCallback();
}

} // namespace eelgrasslift
