#include "eelgrasslift/controlprocess.h"

#include "eelgrasslift/adminapi.h"
#include "eelgrasslift/controlmetrics.h"
#include "eelgrasslift/logging.h"
#include "eelgrasslift/orderexecutor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <grpcpp/grpcpp.h>

#include <cstdio>

namespace eelgrasslift {

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr std::chrono::seconds TransferTimeout{3};
constexpr std::chrono::seconds PeerShutdownDeadline{1};

/// Prints the bound address; scripts and tests parse these lines.
void printListening(std::string_view name, const Endpoint &endpoint)
{
    std::printf("listening %.*s %s\n", static_cast<int>(name.size()), name.data(),
                endpoint.toString().c_str());
    std::fflush(stdout);
}

/// Servers and shutdown of one control member.
class ControlProcess
{
public:
    ControlProcess(const ControlSettings &controlSettings, ControlThread &controlThread,
                   std::unique_ptr<ControlMember> member, const Endpoint &peerAddress,
                   const Endpoint &operatorAddress)
        : control(controlThread)
        , controlMember(std::move(member))
        , executor(this->control, *this->controlMember, controlSettings)
        , admin(this->control, *this->controlMember, controlSettings.adminKey)
        , peerService(makePeerService(this->control, this->controlMember->gossip()))
        , peerEndpoint(peerAddress)
        , operatorEndpoint(operatorAddress)
    {}

    /// Serves until SIGTERM or SIGINT. Returns the exit code.
    int run()
    {
        boost::asio::io_context signalContext;
        boost::asio::signal_set signals(signalContext, SIGTERM, SIGINT);
        signals.async_wait([](const boost::system::error_code &, int) {});
        if (!this->startPeerServer()) {
            logError("cannot-listen", {{"peer", this->peerEndpoint.toString()}});
            return ExitFailed;
        }
        this->addOperatorHandlers();
        this->control.start();
        this->control.call([this] {
            this->controlMember->start(this->executor);
            this->executor.start();
            return true;
        });
        this->operatorServer.start(this->operatorEndpoint);
        printListening("operator", this->operatorEndpoint);
        printListening("peer", this->peerEndpoint);
        logInfo("control-started",
                {{"operator", this->operatorEndpoint.toString()}, {"peer", this->peerEndpoint.toString()}});
        signalContext.run();
        this->shutDown();
        return ExitOk;
    }

private:
    bool startPeerServer()
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort(this->peerEndpoint.toString(), grpc::InsecureServerCredentials(), &port);
        this->controlMember->replicator().addService(builder);
        builder.RegisterService(this->peerService.get());
        this->peerServer = builder.BuildAndStart();
        return this->peerServer != nullptr && port != 0;
    }

    void addOperatorHandlers()
    {
        this->operatorServer.addHandler(
                "/admin", [this](const OperatorRequest &request) { return this->admin.handle(request); });
        this->operatorServer.addHandler("/healthz", [this](const OperatorRequest &) {
            const bool hasLeader = this->control.call(
                    [this] { return this->controlMember->replicator().status().leader != 0; });
            if (this->isStopping)
                return operatorError(503, "draining", "this member is shutting down");
            if (!hasLeader)
                return operatorError(503, "no-leader", "this member knows no leader");
            return OperatorReply{200, "application/json", "{\"healthy\":true}\n", {}};
        });
        this->operatorServer.addHandler("/metrics", [this](const OperatorRequest &) {
            std::string text =
                    this->control.call([this] { return controlMetricsText(*this->controlMember); });
            return OperatorReply{200, "text/plain; version=0.0.4", std::move(text), {}};
        });
        this->operatorServer.addHandler("/state", [this](const OperatorRequest &) {
            const nlohmann::json state = this->control.call([this] {
                nlohmann::json dump = this->controlMember->dump();
                dump["engines"] = this->executor.dump();
                return dump;
            });
            return OperatorReply{200, "application/json", state.dump(2) + "\n", {}};
        });
    }

    /// Transfers leadership first, so that the other members need not wait for an election timeout.
    void shutDown()
    {
        logInfo("terminating");
        this->isStopping = true;
        const auto done = std::make_shared<std::promise<void>>();
        std::future<void> transferred = done->get_future();
        this->control.post([this, done] {
            if (this->controlMember->replicator().status().role != RaftRole::Leader)
                return done->set_value();
            this->controlMember->replicator().transferLeadership(0,
                                                                 [done](const auto &) { done->set_value(); });
        });
        transferred.wait_for(TransferTimeout);
        this->operatorServer.stop();
        this->control.call([this] {
            this->controlMember->stop();
            return true;
        });
        this->peerServer->Shutdown(std::chrono::system_clock::now() + PeerShutdownDeadline);
        this->control.stop();
        logInfo("control-stopped");
    }

    ControlThread &control;
    std::unique_ptr<ControlMember> controlMember;
    OrderExecutor executor;
    AdminApi admin;
    std::unique_ptr<grpc::Service> peerService;
    Endpoint peerEndpoint;
    Endpoint operatorEndpoint;
    std::atomic<bool> isStopping{false};
    std::unique_ptr<grpc::Server> peerServer;
    OperatorServer operatorServer;
};

} // namespace

int runControl(const ControlSettings &settings)
{
    if (settings.adminKey.empty()) {
        logError("setting-missing", {{"setting", "EELGRASSLIFT_ADMIN_KEY or EELGRASSLIFT_ADMIN_KEY_FILE"}});
        return ExitUsage;
    }
    const Endpoint peerAddress = withFreePort(settings.peerListen);
    const Endpoint operatorAddress = withFreePort(settings.operatorListen);
    ControlThread control;
    auto controlMember = ControlMember::open(control, settings, peerAddress, operatorAddress);
    if (const auto *error = std::get_if<StorageError>(&controlMember)) {
        logError("cannot-open-data", {{"cause", describe(*error)}});
        return ExitFailed;
    }
    ControlProcess process(settings, control,
                           std::move(std::get<std::unique_ptr<ControlMember>>(controlMember)), peerAddress,
                           operatorAddress);
    return process.run();
}

int runControlInit(const ControlInitSettings &settings)
{
    Random random{systemSeed()};
    const auto result = initialiseCluster(settings.dataFolder, settings.peerListen.toString(), random);
    if (const auto *error = std::get_if<StorageError>(&result)) {
        std::fprintf(stderr, "eelgrasslift: %s\n", describe(*error).c_str());
        return ExitFailed;
    }
    const Identity &identity = std::get<Identity>(result);
    std::printf("cluster %s\nmember %s\n", toHex(identity.clusterId).c_str(),
                std::to_string(identity.memberId).c_str());
    return ExitOk;
}

} // namespace eelgrasslift
