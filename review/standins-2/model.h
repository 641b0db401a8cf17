#pragma once

#include "harness.h"

#include <memory>
#include <set>

namespace review {

/// One run of a request at a runner.
struct Run
{
    std::string request;
    std::string runner;
    Time begin;
    /// When the runner last worked on it.
    Time lastWork;
    int events = 0;
    bool isStopped = false;
    bool isEnded = false;
    /// Its memory is sent to another runner as it grows.
    bool hasBackup = false;
};

/// Runs and copies of all runners of a script.
struct World
{
    explicit World(Record &runRecord)
        : record(runRecord)
    {}
    Record &record;
    std::mutex mutex;
    std::vector<std::shared_ptr<Run>> runs;
    /// Name as in Kv-From, and the request whose memory it is.
    std::map<std::string, std::string> copies;
    int handles = 0;
    /// Requests that were sent to go on from the memory of another one.
    std::vector<std::string> foreignMemory;

    /// Lines for runs of a request at two runners at once for longer than 400 ms.
    std::vector<std::string> overlaps();
};

/// Keeps second answers within the largest dose that a site states: a share of 0.03 of a runner's answers
/// within 5 s.
class SecondAnswers
{
public:
    void countAnswer();
    /// Whether one more answer may be repeated now; counts it.
    bool take();

private:
    std::mutex mutex;
    std::vector<Time> answers;
    std::vector<Time> repeated;
};

/// Stand-in for a model runner, as the users' pages describe it. It goes on with a run whose connection is
/// closed, which some runners do.
class ModelRunner
{
public:
    struct Settings
    {
        std::string id;
        std::string ip;
        std::string service;
        int slots = 64;
        /// Answers calls instead of generations.
        bool isPlain = false;
        /// Drops a run when its connection closes.
        bool dropsOnClose = false;
        Milliseconds eventInterval{40};
    };
    ModelRunner(Settings runnerSettings, World &runWorld);

    std::string address() const { return this->settings.ip + ":" + std::to_string(RunnerPort); }
    std::string listEntry() const;
    const Settings &options() const { return this->settings; }

    /// How long it takes to copy the memory of a run.
    Milliseconds copyTime{0};
    /// Called before a request that was accepted begins to run; may wait.
    std::function<void(ModelRunner &, const Message &)> beforeRun;
    /// Called before each event of a run; may wait.
    std::function<void(ModelRunner &, Run &, int event)> beforeEvent;
    /// Returns fields of a refusal if the request is to be refused.
    std::function<std::optional<std::string>(ModelRunner &, const Message &)> refuse;
    /// Calls of the control interface (copies) get no reply and their connection is reset if it returns true.
    std::function<bool(ModelRunner &, const Message &)> losesReply;
    /// The answer to such a call comes a second time, at the point where the next answer on its connection is
    /// expected, if it returns true.
    std::function<bool(ModelRunner &, const Message &)> repeatsReply;
    /// While it returns true, new connections are reset.
    std::function<bool()> isFull;
    /// States in list, reports, health checks and answers that it is leaving.
    void leave(Milliseconds duration);
    std::atomic<bool> isLeaving = false;
    std::atomic<int64_t> leavesAtUnixMs = 0;
    std::atomic<int> queueDepth = 0;
    SecondAnswers secondAnswers;

private:
    void serve(const ConnectionPointer &connection);
    /// Returns whether the connection stays open. secondAnswer comes before the next answer on it.
    bool respond(const ConnectionPointer &connection, const Message &request, std::string &secondAnswer);
    void stream(const ConnectionPointer &connection, const Message &request);
    /// Returns the reply; empty if it is lost.
    std::string copy(const Message &request);

    Settings settings;
    World &world;
    int64_t born = unixMilliseconds();
    Server server;
};

/// Value of a text or number field of a flat JSON object.
std::string jsonField(const std::string &json, const std::string &name);

/// The platform's list.
class FleetList
{
public:
    FleetList(const Addresses &addresses, std::function<std::string()> listEntries);
    FleetList(const Addresses &addresses, const std::vector<std::unique_ptr<ModelRunner>> &runners);

private:
    std::function<std::string()> entries;
    Server server;
};

std::string streamEvent(const std::string &request, int event);

} // namespace review
