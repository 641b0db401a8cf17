#pragma once

#include <sys/types.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace eelgrasslift::scenario {

struct ProcessSpec
{
    std::string name;
    std::vector<std::string> arguments;             // the first one is the program
    std::map<std::string, std::string> environment; // added to the runner's own
    std::string logPath;
};

/// One started process. Its output is collected; it is killed when the object goes away.
class Process
{
public:
    explicit Process(const ProcessSpec &spec);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    const std::string &name() const { return this->processName; }
    pid_t pid() const { return this->processId; }

    /// Address of the output line `listening <name> <ip:port>`, or `listening <ip:port>` for an empty name.
    std::optional<std::string> listeningAddress(const std::string &name);

    std::string output();

    /// Exit code, or 128 + signal number; nothing while it runs.
    std::optional<int> exitCode();

    /// Does nothing after the process has ended, so that a reused pid is never signalled.
    void signal(int number);

private:
    void readOutput(int descriptor);
    void handleLine(const std::string &line);

    std::string processName;
    pid_t processId = -1;
    std::optional<int> code;
    std::mutex mutex; // guards the output fields, which the reader thread fills
    std::string text;
    std::map<std::string, std::string> addresses;
    std::string logPath;
    std::thread reader;
};

} // namespace eelgrasslift::scenario
