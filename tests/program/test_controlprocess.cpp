#include "eelgrasslift/adminapi.h"
#include "eelgrasslift/orderexecutor.h"

#include <catch2/catch.hpp>

#include <filesystem>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

/// The only member of a cluster, with the admin API but without listening sockets.
class Member
{
public:
    explicit Member(const std::filesystem::path &folder)
    {
        this->settings.dataFolder = folder;
        this->settings.common.domain = "trakiya";
        auto opened = ControlMember::open(this->control, this->settings, {"127.0.0.1", 1}, {"127.0.0.1", 2});
        REQUIRE(std::holds_alternative<std::unique_ptr<ControlMember>>(opened));
        this->controlMember = std::move(std::get<std::unique_ptr<ControlMember>>(opened));
        this->executor = std::make_unique<OrderExecutor>(this->control, *this->controlMember, this->settings);
        this->admin = std::make_unique<AdminApi>(this->control, *this->controlMember, "admin-key");
        this->control.start();
        this->control.call([this] {
            this->controlMember->start(*this->executor);
            return true;
        });
    }

    ~Member()
    {
        this->control.call([this] {
            this->controlMember->stop();
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
    std::unique_ptr<ControlMember> controlMember;
    std::unique_ptr<OrderExecutor> executor;
    std::unique_ptr<AdminApi> admin;
};

/// Temporary data folder of an initialised cluster, deleted on destruction.
struct DataFolder
{
    std::filesystem::path path =
            std::filesystem::temp_directory_path() / ("eel-" + std::to_string(systemSeed()));

    DataFolder()
    {
        std::filesystem::create_directories(this->path);
        Random random{1};
        REQUIRE(std::holds_alternative<Identity>(initialiseCluster(this->path, "127.0.0.1:1", random)));
    }
    ~DataFolder() { std::filesystem::remove_all(this->path); }
};

const std::string RulesText = "domain a # Elena: test\n";

OperatorRequest applyRequest(const std::string &change, const std::string &base, const std::string &body)
{
    const std::string id = "00000000-0000-7000-8000-00000000000" + change;
    return {"POST", "/admin/rules/apply", {{"change_id", id}, {"base", base}}, body, "", "elena"};
}

} // namespace

// Guards against losing an accepted change or its answer in a restart, and against accepting invalid
// requests.
TEST_CASE("The admin API validates requests and stores changes and answers across a restart")
{
    const DataFolder folder;
    struct Case
    {
        std::string name;
        OperatorRequest request;
        unsigned status;
    };
    OperatorRequest wrongKey = applyRequest("1", "0", RulesText);
    wrongKey.bearerKey = "other";
    OperatorRequest noAuthor = applyRequest("1", "0", RulesText);
    noAuthor.author.clear();
    const std::vector<Case> cases{
            {"wrong key", wrongKey, 401},
            {"no author", noAuthor, 400},
            {"no such page", {"GET", "/admin/other", {}, "", "", ""}, 404},
            {"wrong method", {"GET", "/admin/rules/apply", {}, "", "", "elena"}, 405},
            {"bad change id",
             {"POST", "/admin/rules/apply", {{"change_id", "x"}, {"base", "0"}}, RulesText, "", "e"},
             400},
            {"no base", applyRequest("1", "", RulesText), 400},
            {"too large", applyRequest("1", "0", std::string(MaxRuleFileBytes + 1, '#')), 413},
            {"bad rules", applyRequest("1", "0", "domain"), 422},
            {"first version", applyRequest("1", "0", RulesText), 200},
            {"conflict", applyRequest("2", "0", RulesText), 409},
            {"second version", applyRequest("3", "1", RulesText), 200},
            {"resend of the first", applyRequest("1", "0", RulesText), 200},
            {"change id with another text", applyRequest("1", "0", RulesText + "#"), 422},
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
    const OperatorReply resend = restarted.handle(applyRequest("1", "0", RulesText));
    CHECK(resend.status == 200);
    CHECK(nlohmann::json::parse(resend.body)["version"] == 1);
    CHECK(restarted.handle(applyRequest("2", "0", RulesText)).status == 409);
    const OperatorReply show = restarted.handle({"GET", "/admin/rules", {}, "", "", ""});
    CHECK(nlohmann::json::parse(show.body)["version"] == 2);
}
