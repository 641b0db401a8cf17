#include "enginestream.h"

#include "tokens.h"

namespace eelgrasslift::standins {

namespace {

// A chunk is complete once it has at least this size.
constexpr size_t ChunkBytes = 16'384;

} // namespace

EngineStream::EngineStream(std::shared_ptr<Generation> generation, uint64_t from, uint64_t serial,
                           EngineFaults &faults, Clock clock)
    : generation(std::move(generation))
    , index(from)
    , serial(serial)
    , faults(faults)
    , clock(clock)
{
    ++this->generation->openStreams;
}

EngineStream::~EngineStream()
{
    --this->generation->openStreams;
}

StreamChunk EngineStream::nextChunk()
{
    if (this->isStalled())
        return {};
    std::string bytes;
    while (this->index < this->generation->generatedTokens && bytes.size() < ChunkBytes) {
        if (this->faults.closeAtIndex && *this->faults.closeAtIndex <= this->index) {
            this->faults.closeAtIndex.reset();
            return {StreamChunk::Kind::Abort, {}};
        }
        this->appendNextToken(bytes);
    }
    this->generation->deliveredEvents = std::max(this->generation->deliveredEvents, this->index);
    if (!bytes.empty())
        return {StreamChunk::Kind::Data, std::move(bytes)};
    return this->generation->hasEnded() ? this->endChunk() : StreamChunk{};
}

bool EngineStream::isStalled() const
{
    const TimePoint now = this->clock();
    const bool isOld = this->serial < this->faults.stallBelowSerial;
    return now < this->faults.stallAllUntil || (isOld && now < this->faults.stallUntil);
}

StreamChunk EngineStream::endChunk()
{
    if (this->isEndSent)
        return {StreamChunk::Kind::End, {}};
    this->isEndSent = true;
    this->generation->deliveredEvents = this->generation->totalTokens + 1;
    if (this->generation->state == Generation::State::Cancelled)
        return {StreamChunk::Kind::Data, "event: error\ndata: {\"error\":\"cancelled\"}\n\n"};
    return {StreamChunk::Kind::Data, "data: [DONE]\n\n"};
}

void EngineStream::appendNextToken(std::string &bytes)
{
    if (this->faults.foreignCount > 0) {
        --this->faults.foreignCount;
        this->appendToken(bytes, "foreign." + this->generation->id, this->index);
    }
    if (this->faults.skipCount > 0) {
        --this->faults.skipCount;
        ++this->index;
        return;
    }
    this->appendToken(bytes, this->generation->id, this->index);
    if (this->faults.duplicateCount > 0) {
        --this->faults.duplicateCount;
        this->appendToken(bytes, this->generation->id, this->index);
    }
    ++this->index;
}

void EngineStream::appendToken(std::string &bytes, const std::string &generationId, uint64_t index) const
{
    const bool isLast = index + 1 == this->generation->totalTokens;
    const nlohmann::json choice{{"index", 0},
                                {"text", tokenText(this->generation->digest, generationId, index)},
                                {"finish_reason", isLast ? nlohmann::json("stop") : nlohmann::json(nullptr)}};
    const nlohmann::json data{
            {"id", generationId}, {"index", index}, {"choices", nlohmann::json::array({choice})}};
    bytes.append("id: ").append(generationId).append(":").append(std::to_string(index));
    bytes.append("\ndata: ").append(data.dump()).append("\n\n");
}

} // namespace eelgrasslift::standins
