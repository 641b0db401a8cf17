#pragma once

#include "faults.h"
#include "httpcall.h"
#include "ledger.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrasslift::soak {

/// Copies of the memory of generations, of all runners.
class CopyStore
{
public:
    /// A copy of the generation's memory is at the destination; name is that of Kv-From.
    void add(const std::string &name, const std::string &requestId, const std::string &destination);
    /// Removes the copy and returns true if it is one of this request at this runner.
    bool take(const std::string &name, const std::string &requestId, const std::string &runnerAddress);
    /// The runner has ended the run of this request and keeps its memory under the name of its last copy, if
    /// it has told one, and under those of earlier copies. Without a destination it alone has the memory.
    void stopSource(const std::string &requestId, const std::string &runnerAddress,
                    const std::string &lastName, const std::string &destination);
    /// Requests whose memory only this runner has.
    std::vector<std::string> keptOnlyAt(const std::string &runnerAddress) const;
    void erase(const std::string &name) { this->copies.erase(name); }
    std::string nextHandle() { return "h" + std::to_string(++this->handles); }

private:
    struct Copy
    {
        std::string requestId;
        /// Empty if the copy was not made.
        std::string destination;
        /// Address of the runner that has made the copy, once it has ended the run and keeps its memory.
        std::string stoppedSource;
    };
    std::map<std::string, Copy> copies;
    uint64_t handles = 0;
};

struct RunnerSpec
{
    std::string id;
    std::string service;
    Endpoint endpoint;
    uint32_t slots = 1;
    /// A part of a prompt ends the runner before the head of its response.
    bool endsUnanswered = false;
};

/// Stand-in for a runner: runs calls, streams and generations, each after a time that follows from the
/// request's id.
class Runner : public std::enable_shared_from_this<Runner>
{
public:
    Runner(boost::asio::io_context &io, RunnerSpec runnerSpec, Ledger &runLedger, CopyStore &copyStore);

    /// Accepts connections until stop(). Throws boost::system::system_error if the address cannot be bound.
    void start();
    /// States in its responses that it is leaving, and announces it as the notice says, with the duration
    /// until its end.
    void leave(Duration duration, LeavingNotice leavingNotice);
    /// Ends: breaks off what runs.
    void stop();
    /// Refuses all requests for the duration and asks for a pause.
    void overload(Duration duration);
    void slowDown(Duration duration) { this->slowUntil = this->after(duration); }
    void fallSilent(Duration duration);
    void resetConnections();
    /// Calls the function when a request ends the runner.
    void onCrash(std::function<void()> callback) { this->crashCallback = std::move(callback); }

    bool isLeaving() const { return this->leavesAt.has_value(); }
    bool hasEnded() const { return !this->acceptor.is_open(); }
    nlohmann::json listEntry() const;

private:
    /// A request that is being run.
    struct Run
    {
        std::string requestId;
        uint64_t events = 0;
        uint64_t lastEvent = 0;
        /// The response ends with its connection otherwise.
        bool isChunked = true;
        /// A gateway has called the runner to end it.
        bool isEndedByCall = false;
        /// It is to end inside an event then.
        bool endsInsideEvent = false;
    };
    class ActiveRun;
    using Connection = boost::beast::tcp_stream;

    static TimePoint after(Duration duration);
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<bool> respond(Connection &connection, Request request);
    boost::asio::awaitable<bool> refuseAndAskForPause(Connection &connection, const std::string &requestId);
    boost::asio::awaitable<bool> send(Connection &connection, Response response) const;
    boost::asio::awaitable<bool> sendStream(Connection &connection, Run &run, uint64_t first, uint64_t last);
    boost::asio::awaitable<bool> copy(Connection &connection, const std::string &body);
    /// Ends the run on a call, and replies before or after the end, or not at all.
    boost::asio::awaitable<bool> endRunByCall(Connection &connection, Run &run, std::string destination);
    /// Runs a request that ends the runner.
    boost::asio::awaitable<void> crash(Connection &connection, Request request);
    /// Takes the time of a step of work, longer while the runner is slow or silent.
    boost::asio::awaitable<void> work(Duration duration, const std::string &requestId);
    boost::asio::awaitable<void> waitWhileSilent();
    /// Whether list, report and health checks show that the runner is leaving.
    bool isLeaveAnnounced() const { return this->isLeaving() && this->notice == LeavingNotice::Everywhere; }
    Response makeResponse(unsigned status, const std::string &requestId, std::string body = {}) const;
    Response refusal(unsigned status, const std::string &requestId) const;
    std::string report() const;
    /// Runs, and what is kept of ended ones, may be lost.
    void disturbRuns();
    void disturbKeptRuns();

    boost::asio::io_context &io;
    RunnerSpec spec;
    Ledger &ledger;
    CopyStore &copies;
    boost::asio::ip::tcp::acceptor acceptor;
    std::list<std::weak_ptr<Connection>> connections;
    std::set<Run *> runs;
    std::function<void()> crashCallback;
    std::optional<TimePoint> leavesAt;
    LeavingNotice notice = LeavingNotice::Everywhere;
    TimePoint overloadedUntil;
    TimePoint slowUntil;
    TimePoint silentUntil;
};

} // namespace eelgrasslift::soak
