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

/// How to start a process.
struct ProcessSpec
{
    std::string name;
    std::vector<std::string> arguments;             // the first one is the program
    std::map<std::string, std::string> environment; // added to the environment of the scenario runner
    std::string logPath;                            // file to which its output is appended
};

/// Child process whose standard output and error are collected. The destructor kills it.
class Process
{
public:
    explicit Process(const ProcessSpec &spec);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    const std::string &name() const { return this->processName; }
    pid_t pid() const { return this->processId; }

    /// Address from the output line `listening <name> <ip:port>`, or `listening <ip:port>` for an empty name;
    /// nullopt before that line.
    std::optional<std::string> listeningAddress(const std::string &name);

    /// Output so far, up to a limit; the log file has all of it.
    std::string output();

    /// Exit code, or 128 + signal number; nullopt while the process runs.
    std::optional<int> exitCode();

    /// Sends a signal; does nothing after the process has ended, so that a reused pid is never signalled.
    void signal(int number);

private:
    void readOutput(int descriptor);
    void handleLine(const std::string &line);

    std::string processName;
    pid_t processId = -1;
    std::optional<int> code;
    std::mutex mutex; // guards the output fields, which the reader thread fills
    std::string outputText;
    std::map<std::string, std::string> addresses;
    std::string logPath;
    std::thread reader;
};

} // namespace eelgrasslift::scenario
