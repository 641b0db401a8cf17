// Stand-in for a plain service: tray stock or lane booking.

#include "serviceserver.h"

#include <CLI/CLI.hpp>

using namespace eelgrasslift::standins;

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the stock and lane booking applications");
    ServiceSettings settings;
    int64_t workMilliseconds = settings.workTime.count();
    app.add_option("--listen", settings.listen, "address, with port 0 for any free port");
    app.add_option("--journal", settings.journal, "file to which each run is appended");
    app.add_option("--work-ms", workMilliseconds, "time to answer a request");
    CLI11_PARSE(app, argc, argv);
    settings.workTime = std::chrono::milliseconds{workMilliseconds};

    boost::asio::io_context context;
    ServiceServer server(context, settings);
    TermSignal term(context, [&] { server.drain(); });
    printListening(server.localEndpoint());
    context.run();
    return 0;
}
