#pragma once

#include "eelgrasslift/endpoint.h"
#include "eelgrasslift/httpclient.h"
#include "eelgrasslift/sseparser.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace eelgrasslift {

// Events of an engine connection.

/// A token from the engine. index is its position in the generation, counted from 0. The receiver must check
/// `generation`, because an engine may send tokens of another generation.
struct EngineToken
{
    std::string generation;
    uint64_t index = 0;
    std::string text;
};

/// The engine completed the generation, which has tokenCount tokens.
struct EngineDone
{
    std::string generation;
    uint64_t tokenCount = 0;
};

/// Why a stream ended before the generation was complete.
enum class EngineFailure {
    /// The connection could not be established; no byte of the request was sent.
    NotConnected,
    /// The engine refused the request before running it, because it is leaving.
    Leaving,
    /// The engine refused the request before running it, for another reason.
    Refused,
    /// The engine does not have the generation to resume.
    UnknownGeneration,
    /// The engine ended the stream with an error event.
    EngineError,
    /// The connection broke, or the stream was malformed or ended early.
    ConnectionBroken,
};

/// An event of an engine connection.
using EngineEvent = std::variant<EngineToken, EngineDone, EngineFailure>;

/// Starts a generation.
struct GenerateRequest
{
    std::string requestId;
    std::string model;
    std::string prompt;
    uint32_t maxTokens = 0;
    /// From 0 (served first) to 9 (served last).
    uint32_t priority = 5;
};

/// Requests the tokens of an existing generation from fromIndex on.
struct ResumeRequest
{
    std::string generation;
    uint64_t fromIndex = 0;
};

/// What to request from an engine.
using EngineRequest = std::variant<GenerateRequest, ResumeRequest>;

/// One streaming HTTP request to an engine on a connection of its own. All functions must be called on the
/// strand of the executor, on which the events are emitted too.
class EngineConnection : public std::enable_shared_from_this<EngineConnection>
{
public:
    using EventHandler = std::function<void(EngineEvent)>;

    EngineConnection(const boost::asio::any_io_executor &executor, Endpoint endpoint);

    /// Connects within 1 s, sends the request and emits events until the stream ends. The last event is
    /// EngineDone or EngineFailure. An established connection has no timeout: GenerationStream detects
    /// stalls.
    void start(EngineRequest engineRequest, EventHandler eventHandler);

    /// Pauses or resumes reading. While reading is paused, TCP flow control slows the engine down.
    void setPaused(bool isPaused);

    /// Closes the connection. No further event is emitted.
    void close();

private:
    boost::asio::awaitable<void> run(EngineRequest engineRequest);
    /// Sends the request and reads the stream. Returns the last event.
    boost::asio::awaitable<EngineEvent> exchangeStream(EngineRequest engineRequest);
    boost::asio::awaitable<void> waitWhilePaused();
    void emit(EngineEvent value);
    void onEvent(const SseEvent &event);

    Endpoint endpoint;
    boost::beast::tcp_stream stream;
    boost::asio::steady_timer pauseTimer;
    EventHandler eventHandler;
    bool isPaused = false;
    bool isClosed = false;
    /// The last event, once the stream determines it.
    std::optional<EngineEvent> finalEvent;
    std::string generation;
    uint64_t nextIndex = 0;
    bool hasFinishReason = false;
    bool isResume = false;
    bool hasToken = false;
};

/// Requests an engine to cancel a generation, within 5 s. Failures are ignored, because the engine may have
/// stopped.
boost::asio::awaitable<void> cancelGeneration(Endpoint endpoint, std::string generation);

} // namespace eelgrasslift
