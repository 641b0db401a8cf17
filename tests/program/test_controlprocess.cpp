#include "eelgrasslift/adminapi.h"
#include "eelgrasslift/orderexecutor.h"

#include <catch2/catch.hpp>

#include <filesystem>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

/// One-member cluster in a temporary folder, with the admin API but without sockets.
class Member
{
public:
    explicit Member(const std::filesystem::path &folder)
    {
        this->settings.dataFolder = folder;
        this->settings.common.domain = "trakiya";
        auto opened = ControlCore::open(this->control, this->settings, {"127.0.0.1", 1}, {"127.0.0.1", 2});
        REQUIRE(std::holds_alternative<std::unique_ptr<ControlCore>>(opened));
        this->core = std::move(std::get<std::unique_ptr<ControlCore>>(opened));
        this->executor = std::make_unique<OrderExecutor>(this->control, *this->core, this->settings);
        this->admin = std::make_unique<AdminApi>(this->control, *this->core, "admin-key");
        this->control.start();
        this->control.call([this] {
            this->core->start(*this->executor);
            return true;
        });
    }

    ~Member()
    {
        this->control.call([this] {
            this->core->stop();
            return true;
        });
        this->control.stop();
    }

    Member(const Member &) = delete;
    Member &operator=(const Member &) = delete;

    OperatorReply handle(OperatorRequest request)
    {
        request.bearerKey = request.bearerKey.empty() ? "admin-key" : request.bearerKey;
        const TimePoint deadline = monotonicNow() + 20s;
        OperatorReply reply;
        do
            reply = this->admin->handle(request);
        while ((reply.status == 421 || reply.status == 503) && monotonicNow() < deadline);
        return reply;
    }

private:
    ControlThread control;
    ControlSettings settings;
    std::unique_ptr<ControlCore> core;
    std::unique_ptr<OrderExecutor> executor;
    std::unique_ptr<AdminApi> admin;
};

struct Folder
{
    std::filesystem::path path =
            std::filesystem::temp_directory_path() / ("eel-" + std::to_string(systemSeed()));

    Folder()
    {
        std::filesystem::create_directories(this->path);
        Random random{1};
        REQUIRE(std::holds_alternative<Identity>(initialiseCluster(this->path, "127.0.0.1:1", random)));
    }
    ~Folder() { std::filesystem::remove_all(this->path); }
};

const std::string Text = "domain a # Elena: test\n";

OperatorRequest applyRequest(const std::string &change, const std::string &base, const std::string &body)
{
    const std::string id = "00000000-0000-7000-8000-00000000000" + change;
    return {"POST", "/admin/rules/apply", {{"change_id", id}, {"base", base}}, body, "", "elena"};
}

} // namespace

// Guards against an accepted change, or its answer, that a restart forgets, and against unchecked requests.
TEST_CASE("The admin API checks requests, and answers survive a restart")
{
    const Folder folder;
    struct Case
    {
        std::string name;
        OperatorRequest request;
        unsigned status;
    };
    OperatorRequest wrongKey = applyRequest("1", "0", Text);
    wrongKey.bearerKey = "other";
    OperatorRequest noAuthor = applyRequest("1", "0", Text);
    noAuthor.author.clear();
    const std::vector<Case> cases{
            {"wrong key", wrongKey, 401},
            {"no author", noAuthor, 400},
            {"no such page", {"GET", "/admin/other", {}, "", "", ""}, 404},
            {"wrong method", {"GET", "/admin/rules/apply", {}, "", "", "elena"}, 405},
            {"bad change id",
             {"POST", "/admin/rules/apply", {{"change_id", "x"}, {"base", "0"}}, Text, "", "e"},
             400},
            {"no base", applyRequest("1", "", Text), 400},
            {"too large", applyRequest("1", "0", std::string(MaxRuleFileBytes + 1, '#')), 413},
            {"bad rules", applyRequest("1", "0", "domain"), 422},
            {"first version", applyRequest("1", "0", Text), 200},
            {"conflict", applyRequest("2", "0", Text), 409},
            {"second version", applyRequest("3", "1", Text), 200},
            {"resend of the first", applyRequest("1", "0", Text), 200},
            {"change id with another text", applyRequest("1", "0", Text + "#"), 422},
            {"unknown version", {"GET", "/admin/rules", {{"version", "9"}}, "", "", ""}, 404},
            {"unknown member", {"POST", "/admin/members/remove", {{"id", "9"}}, "", "", "e"}, 404},
            {"unknown mark", {"POST", "/admin/quarantine/clear", {{"fingerprint", "00"}}, "", "", "e"}, 422},
    };
    {
        Member member(folder.path);
        for (const Case &item : cases) {
            INFO(item.name);
            const OperatorReply reply = member.handle(item.request);
            INFO(reply.body);
            CHECK(reply.status == item.status);
            CHECK(nlohmann::json::accept(reply.body));
        }
    }
    Member restarted(folder.path);
    const OperatorReply resend = restarted.handle(applyRequest("1", "0", Text));
    CHECK(resend.status == 200);
    CHECK(nlohmann::json::parse(resend.body)["version"] == 1);
    CHECK(restarted.handle(applyRequest("2", "0", Text)).status == 409);
    const OperatorReply show = restarted.handle({"GET", "/admin/rules", {}, "", "", ""});
    CHECK(nlohmann::json::parse(show.body)["version"] == 2);
}
