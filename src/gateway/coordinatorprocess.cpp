#include "gateway/coordinatorprocess.h"

#include "eelgrasslift/logging.h"
#include "gateway/coordinator.h"
#include "gateway/httpservice.h"

#include <boost/asio/signal_set.hpp>
#include <grpcpp/grpcpp.h>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr Duration TransferTimeout = std::chrono::milliseconds{1500};

/// Servers, signal handlers and shutdown of a control member. The servers are declared after the coordinator,
/// so that they are destroyed before it.
class CoordinatorProcess
{
public:
    CoordinatorProcess(asio::io_context &context, std::unique_ptr<Coordinator> member)
        : io(context)
        , coordinator(std::move(member))
        , operators(context,
                    [this](HttpRequest request) {
                        return this->coordinator->handleOperator(std::move(request));
                    })
        , exchange(context,
                   [this](HttpRequest request) {
                       return this->coordinator->handleExchange(std::move(request));
                   })
        , signals(context, SIGTERM, SIGINT)
        , reloadSignal(context, SIGHUP)
        , stopTimer(context)
    {}

    int run(const NodeSettings &settings)
    {
        const Endpoint consensus{settings.ip,
                                 static_cast<uint16_t>(settings.firstInternalPort + ConsensusPortOffset)};
        grpc::ServerBuilder builder;
        builder.AddListeningPort(consensus.toString(), grpc::InsecureServerCredentials());
        this->coordinator->replicator().addService(builder);
        this->consensusServer = builder.BuildAndStart();
        const Endpoint exchangeEndpoint{
                settings.ip, static_cast<uint16_t>(settings.firstInternalPort + ExchangePortOffset)};
        if (!this->consensusServer || !this->operators.listen(*settings.operatorListen) ||
            !this->exchange.listen(exchangeEndpoint))
            return ExitFailed;
        this->coordinator->start();
        this->signals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error)
                this->terminate();
        });
        this->waitForReload();
        logInfo("coordinator-started", {{"operators", settings.operatorListen->toString()},
                                        {"exchange", exchangeEndpoint.toString()}});
        this->io.run();
        this->consensusServer->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds{200});
        logInfo("coordinator-stopped");
        return ExitOk;
    }

private:
    /// Logs reloads without reading the settings: of them only the seeds may change while the process runs,
    /// and a control member uses those at startup only.
    void waitForReload()
    {
        this->reloadSignal.async_wait([this](const boost::system::error_code &error, int) {
            if (error)
                return;
            logInfo("settings-reload", {{"changed", "none"}});
            this->waitForReload();
        });
    }

    /// Transfers leadership before stopping, so that the other members need no election.
    void terminate()
    {
        logInfo("terminating");
        const auto finish = [this] {
            this->operators.stop();
            this->exchange.stop();
            this->coordinator->stop();
            this->io.stop();
        };
        this->stopTimer.expires_after(TransferTimeout);
        this->stopTimer.async_wait([finish](const boost::system::error_code &error) {
            if (!error)
                finish();
        });
        if (this->coordinator->replicator().status().role != RaftRole::Leader) {
            finish();
            return;
        }
        this->coordinator->replicator().transferLeadership(
                0, [this, finish](const auto &) { asio::post(this->io, finish); });
    }

    asio::io_context &io;
    std::unique_ptr<Coordinator> coordinator;
    std::unique_ptr<grpc::Server> consensusServer;
    HttpService operators;
    HttpService exchange;
    asio::signal_set signals;
    asio::signal_set reloadSignal;
    asio::steady_timer stopTimer;
};

} // namespace

int runCoordinator(const NodeSettings &settings, const WireFormat &format)
{
    if (!settings.operatorListen) {
        logError("setting-missing", {{"setting", "operator address"}});
        return ExitFailed;
    }
    // Never destroyed: suspended coroutines and calls between coordinators refer to both until the process
    // exits.
    auto *io = new asio::io_context{1};
    auto opened = Coordinator::open(*io, settings, format);
    if (const auto *error = std::get_if<StorageError>(&opened)) {
        logError("cannot-open-data", {{"cause", describe(*error)}});
        return ExitFailed;
    }
    auto *process = new CoordinatorProcess(*io, std::move(std::get<std::unique_ptr<Coordinator>>(opened)));
    return process->run(settings);
}

} // namespace eelgrasslift
