#include "process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <climits>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>

extern char **environ;

namespace eelgrasslift::scenario {

namespace {

constexpr int ExitExecFailed = 127;
constexpr size_t OutputLimit = 4U << 20;

/// Argument or environment array of execve(); its pointers stay valid as long as the texts.
std::vector<char *> nullTerminatedPointers(std::vector<std::string> &texts)
{
    std::vector<char *> result;
    for (std::string &text : texts)
        result.push_back(text.data());
    result.push_back(nullptr);
    return result;
}

std::vector<std::string> mergedEnvironment(const std::map<std::string, std::string> &added)
{
    std::vector<std::string> result;
    for (char **entry = environ; *entry != nullptr; ++entry) {
        const std::string text = *entry;
        if (!added.contains(text.substr(0, text.find('='))))
            result.push_back(text);
    }
    for (const auto &[name, value] : added)
        result.push_back(name + "=" + value);
    return result;
}

} // namespace

Process::Process(const ProcessSpec &spec)
    : processName(spec.name)
    , logPath(spec.logPath)
{
    std::array<int, 2> pipeEnds{};
    if (pipe2(pipeEnds.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("pipe2 failed");
    std::vector<std::string> arguments = spec.arguments;
    std::vector<std::string> environment = mergedEnvironment(spec.environment);
    const std::vector<char *> argumentPointers = nullTerminatedPointers(arguments);
    const std::vector<char *> environmentPointers = nullTerminatedPointers(environment);
    this->processId = fork();
    if (this->processId == 0) {
        // The process must also end if CTest kills the scenario runner at its time limit.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(pipeEnds[1], STDOUT_FILENO);
        dup2(pipeEnds[1], STDERR_FILENO);
        // Inherited sockets of the relays would keep their ports open.
        close_range(STDERR_FILENO + 1, UINT_MAX, 0);
        execve(argumentPointers[0], argumentPointers.data(), environmentPointers.data());
        _exit(ExitExecFailed);
    }
    close(pipeEnds[1]);
    if (this->processId < 0)
        throw std::runtime_error("fork failed");
    this->reader = std::thread([this, descriptor = pipeEnds[0]] { this->readOutput(descriptor); });
}

Process::~Process()
{
    this->signal(SIGKILL);
    this->signal(SIGCONT);
    if (!this->code) {
        int status = 0;
        waitpid(this->processId, &status, 0);
    }
    this->reader.join();
}

std::optional<std::string> Process::listeningAddress(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    const auto it = this->addresses.find(name);
    if (it == this->addresses.end())
        return std::nullopt;
    return it->second;
}

std::string Process::output()
{
    const std::lock_guard lock(this->mutex);
    return this->outputText;
}

std::optional<int> Process::exitCode()
{
    int status = 0;
    if (!this->code && waitpid(this->processId, &status, WNOHANG) == this->processId)
        this->code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return this->code;
}

void Process::signal(int number)
{
    if (!this->exitCode())
        kill(this->processId, number);
}

void Process::readOutput(int descriptor)
{
    std::ofstream log(this->logPath, std::ios::app);
    std::string line;
    std::array<char, 4096> buffer{};
    for (ssize_t size = 0; (size = read(descriptor, buffer.data(), buffer.size())) > 0;) {
        const std::string_view piece(buffer.data(), static_cast<size_t>(size));
        log << piece << std::flush;
        for (const char c : piece) {
            if (c != '\n') {
                line.push_back(c);
                continue;
            }
            this->handleLine(line);
            line.clear();
        }
    }
    if (!line.empty())
        this->handleLine(line);
    close(descriptor);
}

void Process::handleLine(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    if (this->outputText.size() < OutputLimit)
        this->outputText += line + "\n";
    std::istringstream words(line);
    std::string keyword;
    std::string first;
    std::string second;
    words >> keyword >> first >> second;
    if (keyword == "listening")
        this->addresses[second.empty() ? "" : first] = second.empty() ? first : second;
}

} // namespace eelgrasslift::scenario
