#include "eelgrasslift/entryprocess.h"

#include "eelgrasslift/callerserver.h"
#include "eelgrasslift/logging.h"
#include "eelgrasslift/operatorserver.h"
#include "eelgrasslift/targetpoller.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <grpcpp/grpcpp.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <thread>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitCannotListen = 1;
constexpr Duration PeerShutdownDeadline = std::chrono::seconds{1};

/// Prints the bound address to standard output. Scripts and tests wait for these lines.
void printListeningLine(std::string_view name, const Endpoint &endpoint)
{
    std::printf("listening %.*s %s\n", static_cast<int>(name.size()), name.data(),
                endpoint.toString().c_str());
    std::fflush(stdout);
}

void addOperatorHandlers(OperatorServer &server, EntryContext &context)
{
    server.addHandler("/healthz", [&context](const OperatorRequest &) {
        if (!context.state.isHealthy())
            return operatorError(503, "draining", "this entry is shutting down");
        if (!context.state.rules())
            return operatorError(503, "no-rules", "this entry has no accepted rules yet");
        return OperatorReply{200, "application/json", "{\"healthy\":true}\n", {}};
    });
    server.addHandler("/metrics", [&context](const OperatorRequest &) {
        return OperatorReply{200, "text/plain; version=0.0.4", context.metrics.text(), {}};
    });
    server.addHandler("/state", [&context](const OperatorRequest &) {
        const nlohmann::json state = context.control.call([&context] { return context.state.dump(); });
        return OperatorReply{200, "application/json", state.dump(2) + "\n", {}};
    });
}

/// The components of an entry process. They stop in this order: caller connections, operator server, peer
/// server, control thread.
class EntryProcess
{
public:
    explicit EntryProcess(const EntrySettings &entrySettings)
        : settings(entrySettings)
        , peerEndpoint(withFreePort(entrySettings.peerListen))
        , state(entrySettings,
                entrySettings.advertisePeer.port != 0 ? entrySettings.advertisePeer : this->peerEndpoint,
                this->control, this->metrics, systemSeed())
        , context{this->state, this->control, this->metrics, this->traffic.get_executor()}
        , callerServer(this->context, entrySettings.maxConnections)
        , poller(this->context, entrySettings.vmList, entrySettings.pollInterval)
        , signals(this->traffic, SIGTERM, SIGINT)
    {}

    int run()
    {
        const auto peerService = makePeerService(this->control, this->state);
        grpc::ServerBuilder builder;
        builder.AddListeningPort(this->peerEndpoint.toString(), grpc::InsecureServerCredentials());
        builder.RegisterService(peerService.get());
        const std::unique_ptr<grpc::Server> peerServer = builder.BuildAndStart();
        const auto callerEndpoint = this->callerServer.start(this->settings.callerListen);
        if (!peerServer || !callerEndpoint) {
            logError("cannot-listen", {{"caller", this->settings.callerListen.toString()},
                                       {"peer", this->peerEndpoint.toString()}});
            return ExitCannotListen;
        }
        OperatorServer operatorServer;
        addOperatorHandlers(operatorServer, this->context);
        this->control.start();
        const Endpoint operatorEndpoint = operatorServer.start(this->settings.operatorListen);
        this->start();
        printListeningLine("caller", *callerEndpoint);
        printListeningLine("operator", operatorEndpoint);
        printListeningLine("peer", this->peerEndpoint);
        logInfo("entry-started", {{"caller", callerEndpoint->toString()},
                                  {"operator", operatorEndpoint.toString()},
                                  {"peer", this->peerEndpoint.toString()}});
        this->runTraffic();
        operatorServer.stop();
        peerServer->Shutdown(std::chrono::system_clock::now() + PeerShutdownDeadline);
        this->control.stop();
        logInfo("entry-stopped");
        return ExitOk;
    }

private:
    /// Starts the entry state and the poller, and handles termination signals.
    void start()
    {
        this->control.call([this] {
            this->state.onDrain([this](DrainAction action) { this->onDrain(action); });
            this->state.setIncarnationReader(
                    [this](const std::string &target, const Endpoint &endpoint, std::function<void()> done) {
                        this->poller.readIncarnation(target, endpoint, std::move(done));
                    });
            this->state.start();
            return true;
        });
        this->poller.start();
        this->signals.async_wait([this](const boost::system::error_code &error, int) {
            if (error)
                return;
            logInfo("terminating");
            this->control.post([this] { this->state.terminate(); });
        });
    }

    void onDrain(DrainAction action)
    {
        if (action == DrainAction::CloseListener)
            this->callerServer.stopAccepting();
        // Stopping the traffic threads closes all connections. Requests that are still open then have
        // exceeded --drain-limit.
        if (action == DrainAction::Exit || action == DrainAction::AbortRemaining)
            this->traffic.stop();
    }

    void runTraffic()
    {
        std::vector<std::thread> threads;
        for (uint32_t i = 0; i < this->settings.threads; ++i)
            threads.emplace_back([this] { this->traffic.run(); });
        for (std::thread &thread : threads)
            thread.join();
    }

    const EntrySettings &settings;
    Endpoint peerEndpoint;
    ControlThread control;
    asio::io_context traffic;
    asio::executor_work_guard<asio::io_context::executor_type> trafficWork =
            asio::make_work_guard(this->traffic);
    EntryMetrics metrics;
    EntryState state;
    EntryContext context;
    CallerServer callerServer;
    TargetPoller poller;
    asio::signal_set signals;
};

} // namespace

int runEntry(const EntrySettings &settings)
{
    EntryProcess process(settings);
    return process.run();
}

} // namespace eelgrasslift
