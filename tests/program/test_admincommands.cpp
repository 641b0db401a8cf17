#include "eelgrasslift/admincommands.h"
#include "eelgrasslift/operatorserver.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <deque>
#include <filesystem>
#include <mutex>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

/// An operator server that returns the prepared replies in order and then repeats the last one.
class FakeMember
{
public:
    explicit FakeMember(std::deque<OperatorReply> preparedReplies)
        : replies(std::move(preparedReplies))
    {
        this->server.addHandler("/",
                                [this](const OperatorRequest &request) { return this->handle(request); });
        this->endpoint = this->server.start({"127.0.0.1", 0});
    }

    ~FakeMember() { this->server.stop(); }

    Endpoint endpoint;
    std::vector<std::string> changeIds;

private:
    OperatorReply handle(const OperatorRequest &request)
    {
        const std::lock_guard lock(this->mutex);
        const auto id = request.query.find("change_id");
        this->changeIds.push_back(id == request.query.end() ? "" : id->second);
        OperatorReply reply = this->replies.front();
        if (this->replies.size() > 1)
            this->replies.pop_front();
        return reply;
    }

    std::mutex mutex;
    std::deque<OperatorReply> replies;
    OperatorServer server;
};

OperatorReply reply(unsigned status, const std::string &body)
{
    return {status, "application/json", body, ""};
}

AdminClient makeClient(const std::vector<Endpoint> &members, Duration deadline = 5s)
{
    AdminClientSettings settings;
    settings.members = members;
    settings.adminKey = "admin-key";
    settings.deadline = deadline;
    return AdminClient(std::move(settings));
}

int runCommand(const std::vector<std::string> &arguments)
{
    CLI::App app;
    ControlCommands commands(app);
    std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
    app.parse(reversed);
    return commands.run().value_or(-1);
}

} // namespace

// Guards against a retry under a new change id after a lost response, which would apply the change twice.
TEST_CASE("A request with a lost response is retried at the leader with the same change id")
{
    FakeMember leader(
            {reply(504, R"({"error":{"type":"outcome-unknown"}})"), reply(200, R"({"version":2})")});
    FakeMember follower({reply(421, R"({"error":{"type":"not-leader","leader":")" +
                                            leader.endpoint.toString() + "\"}}")});
    AdminClient client = makeClient({follower.endpoint});
    const auto result = client.call({"POST", "/admin/rules/apply?change_id=c1&base=1", "x", "elena"});
    REQUIRE(std::holds_alternative<AdminReply>(result));
    CHECK(std::get<AdminReply>(result).body["version"] == 2);
    CHECK(leader.changeIds == std::vector<std::string>{"c1", "c1"});
}

// Guards against reporting that nothing was done although the request may have been executed, and vice versa.
TEST_CASE("Failures report whether the request may have been executed")
{
    FakeMember unknown({reply(504, "{}")});
    FakeMember electing({reply(503, "{}")});
    const Endpoint closed = withFreePort({"127.0.0.1", 0});
    const auto outcome = [](const Endpoint &member, bool isRetryable) {
        AdminRequest request{"POST", "/admin/x"};
        request.isRetryable = isRetryable;
        return std::get<AdminFailure>(makeClient({member}, 600ms).call(request));
    };
    CHECK(outcome(unknown.endpoint, true) == AdminFailure::OutcomeUnknown);
    CHECK(unknown.changeIds.size() > 1);
    unknown.changeIds.clear();
    CHECK(outcome(unknown.endpoint, false) == AdminFailure::OutcomeUnknown);
    CHECK(unknown.changeIds.size() == 1);
    CHECK(outcome(electing.endpoint, true) == AdminFailure::Unreachable);
    CHECK(outcome(closed, true) == AdminFailure::Unreachable);
}

// Guards against exit codes that make scripts treat a refused command as successful.
TEST_CASE("Commands return the documented exit codes")
{
    const auto [status, exitCode] = GENERATE(table<unsigned, int>({{200, ExitDone},
                                                                   {401, ExitRefused},
                                                                   {404, ExitRefused},
                                                                   {409, ExitConflict},
                                                                   {422, ExitRefused}}));
    FakeMember member({reply(status, "{}")});
    const std::string control = member.endpoint.toString();
    CHECK(runCommand({"show", "--json", "--control", control}) == exitCode);
    const std::string file = EELGRASSLIFT_SOURCE_DIR "/examples/steiner.rules";
    CHECK(runCommand({"apply", file, "--base", "1", "--author", "elena", "--json", "--control", control}) ==
          exitCode);
    CHECK(runCommand({"members", "remove", "7", "--author", "elena", "--json", "--control", control}) ==
          exitCode);
    CHECK(runCommand({"quarantine", "clear", "00ff", "--author", "e", "--json", "--control", control}) ==
          exitCode);
    CHECK(runCommand({"check", file}) == ExitDone);
    CHECK(runCommand({"check", "/dev/null"}) == ExitRefused);
    CHECK(runCommand({"check", "/no/such/file"}) == ExitUsageError);
    // Resending a change by its id requires the base version of the first attempt.
    CHECK_THROWS_AS(runCommand({"apply", file, "--change-id", "00000000-0000-7000-8000-000000000001"}),
                    CLI::ParseError);
}
