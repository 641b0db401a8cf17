#pragma once

#include "batch.h"
#include "enginefaults.h"
#include "httpserver.h"

#include <memory>
#include <string>

namespace eelgrasslift::standins {

/// Sends the tokens of one generation from a given index as server-sent events, with injected faults.
class EngineStream
{
public:
    using Clock = TimePoint (*)();

    EngineStream(std::shared_ptr<Generation> generation, uint64_t from, uint64_t serial, EngineFaults &faults,
                 Clock clock);
    ~EngineStream();
    EngineStream(const EngineStream &) = delete;
    EngineStream &operator=(const EngineStream &) = delete;

    StreamPiece next();

private:
    bool isStalled() const;
    StreamPiece endPiece();
    void appendToken(std::string &bytes, const std::string &generationId, uint64_t index) const;
    void appendNext(std::string &bytes);

    std::shared_ptr<Generation> generation;
    uint64_t index;
    uint64_t serial;
    EngineFaults &faults;
    Clock clock;
    bool isEndSent = false;
};

} // namespace eelgrasslift::standins
