#pragma once

#include "batch.h"
#include "enginefaults.h"
#include "enginestream.h"
#include "httpserver.h"
#include "standin.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace eelgrasslift::standins {

/// Settings of the engine stand-in; standin-engine.cpp has the flags.
struct EngineServerSettings
{
    BatchSettings batch;
    std::string listen = "127.0.0.1:0";
    std::string journal; // path; empty: no journal
    std::string model;   // loaded at start; empty: serves every model
    std::string version = "1";
    std::string crashMarker = "CRASH-ENGINE"; // text in a prompt that aborts the process
    bool checksFence = true;                  // whether orders with a stale fencing token are refused
    Duration modelLoadTime{std::chrono::milliseconds{500}};
    Duration reportInterval{std::chrono::milliseconds{100}}; // between two load reports
    Duration reportLag{std::chrono::milliseconds{500}};      // age of published load reports and cache events
    uint64_t cacheGap = 7;                                   // every n-th cache event is lost; 0: none
    // How long a drain waits for callers to resume a stream whose end was not sent.
    Duration drainLinger{std::chrono::seconds{3}};
};

/// Serves the HTTP interface of a model engine (section 8 of docs/design.md) from a simulated batch, with
/// fault injection for tests.
class EngineServer
{
public:
    /// Starts the batch and accepts connections on the acceptor, which listens already.
    EngineServer(boost::asio::io_context &context, boost::asio::ip::tcp::acceptor acceptor,
                 EngineServerSettings settings);

    boost::asio::ip::tcp::endpoint localEndpoint() const { return this->server.localEndpoint(); }

    /// Refuses new requests, finishes the accepted ones and then stops the io_context. Called on SIGTERM.
    void drain();

private:
    using SessionPtr = std::shared_ptr<HttpSession>;

    struct LoadSnapshot
    {
        TimePoint at{};
        nlohmann::json report;
        uint64_t cacheSequence = 0;
    };

    struct LoadedModel
    {
        std::string model, version, adapter, role;
    };

    void handle(const SessionPtr &session);
    bool handleGeneration(const SessionPtr &session, const HttpTarget &target);
    void handleCompletion(const SessionPtr &session);
    void openStream(const SessionPtr &session, const std::shared_ptr<Generation> &generation, uint64_t from);
    void handleOrder(const SessionPtr &session);
    void setFault(const SessionPtr &session);
    nlohmann::json engineState() const;
    nlohmann::json cacheEvents(uint64_t after);
    nlohmann::json runs() const;
    const LoadSnapshot &publishedLoad() const;
    void scheduleTick();
    void tick();
    void recordLoad(TimePoint now);
    void onRun(const Generation &generation);
    bool isDrained(TimePoint now) const;

    boost::asio::io_context &context;
    EngineServerSettings settings;
    std::string incarnation;
    Batch batch;
    EngineFaults faults;
    Journal journal;
    boost::asio::steady_timer tickTimer;
    std::vector<std::weak_ptr<HttpSession>> streams;
    uint64_t nextStreamSerial = 1;
    std::deque<LoadSnapshot> loadSnapshots;
    LoadedModel loaded;
    LoadedModel loading;
    TimePoint loadEndsAt{};
    bool isLoading = false;
    uint64_t greatestFence = 0;
    nlohmann::json orders = nlohmann::json::array();
    bool isDraining = false;
    TimePoint drainStart{};
    HttpServer server;
};

} // namespace eelgrasslift::standins
