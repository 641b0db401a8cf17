#pragma once

#include "batch.h"
#include "enginefaults.h"
#include "httpserver.h"

#include <memory>
#include <string>

namespace eelgrasslift::standins {

/// Produces the server-sent events of one generation, from a given token index on, with injected faults.
class EngineStream
{
public:
    using Clock = TimePoint (*)();

    /// The faults are shared by all streams of the engine and must outlive the stream.
    EngineStream(std::shared_ptr<Generation> generation, uint64_t from, uint64_t serial, EngineFaults &faults,
                 Clock clock);
    ~EngineStream();
    EngineStream(const EngineStream &) = delete;
    EngineStream &operator=(const EngineStream &) = delete;

    /// Returns all tokens that can be sent now in one chunk, in the form that HttpSession::stream() reads.
    StreamChunk nextChunk();

private:
    bool isStalled() const;
    StreamChunk endChunk();
    void appendToken(std::string &bytes, const std::string &generationId, uint64_t index) const;
    void appendNextToken(std::string &bytes);

    std::shared_ptr<Generation> generation;
    uint64_t index;
    uint64_t serial;
    EngineFaults &faults;
    Clock clock;
    bool isEndSent = false;
};

} // namespace eelgrasslift::standins
