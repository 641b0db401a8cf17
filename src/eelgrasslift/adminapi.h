#pragma once

#include "eelgrasslift/controlcore.h"
#include "eelgrasslift/operatorserver.h"

#include <future>

namespace eelgrasslift {

/// The admin API below /admin. Requests arrive on the operator server's threads; the work is done on the
/// control thread. See docs/admin-api.md.
class AdminApi
{
public:
    /// An empty key rejects every request.
    AdminApi(ControlThread &control, ControlCore &core, std::string adminKey);

    OperatorReply handle(const OperatorRequest &request);

private:
    using Promise = std::shared_ptr<std::promise<OperatorReply>>;
    using Work = std::function<void(const OperatorRequest &, const Promise &)>;

    struct Route
    {
        std::string method;
        /// Changes need an author.
        bool isChange = false;
        Work work;
    };

    void addRoutes();
    OperatorReply run(const Route &route, const OperatorRequest &request);

    void showRules(const OperatorRequest &request, const Promise &promise);
    void applyRules(const OperatorRequest &request, const Promise &promise);
    void diffText(const OperatorRequest &request, const Promise &promise);
    void showAudit(const OperatorRequest &request, const Promise &promise);
    void showQuarantine(const OperatorRequest &request, const Promise &promise);
    void clearQuarantine(const OperatorRequest &request, const Promise &promise);
    void listMembers(const OperatorRequest &request, const Promise &promise);
    void changeMember(const OperatorRequest &request, const Promise &promise, const std::string &action);
    void drain(const OperatorRequest &request, const Promise &promise);

    /// Runs read once this member has proved that it leads and is up to date.
    void readAsLeader(const Promise &promise, std::function<OperatorReply()> read);
    OperatorReply proposalError(const ProposalError &error) const;
    OperatorReply answerReply(const ControlAnswer &answer) const;

    ControlThread &control;
    ControlCore &core;
    std::string adminKey;
    std::map<std::string, Route, std::less<>> routes; // "METHOD /path"
};

} // namespace eelgrasslift
