// Stand-in for a model engine with continuous batching.

#include "engineserver.h"

#include <CLI/CLI.hpp>

#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>

using namespace eelgrasslift;
using namespace eelgrasslift::standins;

namespace {

void addDuration(CLI::App &app, const std::string &name, Duration &duration, const std::string &help)
{
    app.add_option_function<double>(
               name, [&duration](double ms) { duration = fromSeconds(ms / 1000); }, help)
            ->check(CLI::NonNegativeNumber);
}

void addOptions(CLI::App &app, EngineServerSettings &settings)
{
    BatchSettings &batch = settings.batch;
    app.add_option("--listen", settings.listen, "address, with port 0 for any free port");
    app.add_option("--journal", settings.journal, "file to which each run is appended");
    app.add_option("--model", settings.model, "loaded model; without it, every model is served");
    app.add_option("--model-version", settings.version, "version of the loaded model");
    app.add_option("--slots", batch.slots, "requests in the batch at most");
    app.add_option("--memory", batch.memory, "tokens in the batch at most");
    app.add_option("--cache-memory", batch.cacheMemory, "tokens of cached prefixes at most");
    app.add_option("--crash-marker", settings.crashMarker, "text in a prompt that aborts the process");
    app.add_option("--check-fence", settings.checksFence, "whether orders with a stale fence are refused");
    app.add_option("--cache-gap", settings.cacheGap, "every n-th cache event is lost; 0: none");
    addDuration(app, "--token-ms", batch.tokenInterval, "time between tokens");
    addDuration(app, "--prefill-ms", batch.prefillPerToken, "time per uncached prompt token");
    addDuration(app, "--keep-ms", batch.retention, "how long an ended generation can be read");
    addDuration(app, "--load-ms", settings.modelLoadTime, "time to load a model");
    addDuration(app, "--report-ms", settings.reportInterval, "time between load reports");
    addDuration(app, "--report-lag-ms", settings.reportLag, "age of published reports and cache events");
    addDuration(app, "--linger-ms", settings.drainLinger, "wait for callers of unread answers in a drain");
}

/// Serves in child processes, and starts the next one when a child crashes. The listening socket stays open
/// meanwhile. Returns in each child, with the socket.
int respawn(const std::string &listen)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, parseEndpoint(listen));
    printListening(acceptor.local_endpoint());
    const int socket = acceptor.release();
    while (true) {
        const pid_t child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            return socket;
        }
        int status = 0;
        if (child < 0 || waitpid(child, &status, 0) != child || !WIFSIGNALED(status))
            std::_Exit(EXIT_FAILURE);
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for a model engine");
    EngineServerSettings settings;
    bool respawns = false;
    addOptions(app, settings);
    app.add_flag("--respawn", respawns, "start a crashed process again; the listening socket stays open");
    CLI11_PARSE(app, argc, argv);
    const rlimit noCoreFile{0, 0}; // the crash marker aborts the process on purpose
    setrlimit(RLIMIT_CORE, &noCoreFile);

    using Acceptor = boost::asio::ip::tcp::acceptor;
    const std::optional<int> socket = respawns ? std::optional(respawn(settings.listen)) : std::nullopt;
    boost::asio::io_context context;
    EngineServer server(context,
                        socket ? Acceptor(context, boost::asio::ip::tcp::v4(), *socket)
                               : Acceptor(context, parseEndpoint(settings.listen)),
                        settings);
    TermSignal term(context, [&] { server.drain(); });
    if (!respawns)
        printListening(server.localEndpoint());
    context.run();
    return 0;
}
