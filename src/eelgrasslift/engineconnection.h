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

// What an engine connection reports.

struct EngineToken
{
    std::string generation;
    uint64_t index = 0;
    std::string text;
};

/// The engine said that the generation is complete.
struct EngineDone
{
    std::string generation;
    uint64_t tokenCount = 0;
};

enum class EngineEnd {
    /// No byte of the request has left.
    NotConnected,
    /// The engine refused before running because it is leaving.
    Leaving,
    /// The engine refused before running for another reason.
    Refused,
    /// The engine does not know the generation.
    UnknownGeneration,
    /// The engine ended the generation with an error.
    Failed,
    /// The connection broke.
    Lost,
};

using EngineReport = std::variant<EngineToken, EngineDone, EngineEnd>;

/// A new generation.
struct CompletionOrder
{
    std::string requestId;
    std::string model;
    std::string prompt;
    uint32_t maxTokens = 0;
    uint32_t priority = 5;
};

/// The rest of a generation.
struct ResumeOrder
{
    std::string generation;
    uint64_t fromIndex = 0;
};

using EngineOrder = std::variant<CompletionOrder, ResumeOrder>;

/// One streaming connection to an engine. All calls and reports are on the executor's strand.
class EngineConnection : public std::enable_shared_from_this<EngineConnection>
{
public:
    using Reporter = std::function<void(EngineReport)>;

    EngineConnection(const boost::asio::any_io_executor &executor, Endpoint endpoint);

    /// Sends the order and reports until the stream ends; EngineDone or EngineEnd is the last report.
    void start(EngineOrder order, Reporter reporter);

    /// Stops reading, so that TCP flow control slows the engine down.
    void setPaused(bool isPaused);

    /// Closes without a further report.
    void close();

private:
    boost::asio::awaitable<void> run(EngineOrder order);
    boost::asio::awaitable<EngineReport> exchangeStream(EngineOrder order);
    boost::asio::awaitable<void> waitWhilePaused();
    void report(EngineReport value);
    void onEvent(const SseEvent &event);

    Endpoint endpoint;
    boost::beast::tcp_stream stream;
    boost::asio::steady_timer pauseTimer;
    Reporter reporter;
    bool isPaused = false;
    bool isClosed = false;
    /// Set when the stream has said how it ends.
    std::optional<EngineReport> end;
    std::string generation;
    uint64_t nextIndex = 0;
    bool hasLastToken = false;
    bool isResume = false;
    bool hasToken = false;
};

/// Cancels a generation at an engine. Failures are ignored: the engine may be gone.
boost::asio::awaitable<void> cancelGeneration(Endpoint endpoint, std::string generation);

} // namespace eelgrasslift
