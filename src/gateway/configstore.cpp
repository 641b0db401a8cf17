#include "gateway/configstore.h"

#include "eelgrasslift/logging.h"
#include "libconsensus/codec.h"

namespace eelgrasslift {

std::string ConfigStore::encode(uint64_t version, std::string_view body)
{
    ByteWriter writer;
    writer.add64(version);
    writer.addText(body);
    return writer.take();
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
    return encode(this->currentVersion, this->currentBody);
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
    this->currentVersion = version;
    this->currentBody = body;
    if (this->changeCallback)
        this->changeCallback();
}

} // namespace eelgrasslift
