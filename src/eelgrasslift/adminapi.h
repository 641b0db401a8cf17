#pragma once

#include "eelgrasslift/controlmember.h"
#include "eelgrasslift/operatorserver.h"

#include <future>

namespace eelgrasslift {

/// The HTTP API below /admin for operators. Requests arrive on the threads of the operator server and are
/// executed on the control thread. See docs/admin-api.md.
class AdminApi
{
public:
    /// control and controlMember must outlive this object. If adminKey is empty, every request is rejected.
    AdminApi(ControlThread &control, ControlMember &controlMember, std::string adminKey);

    /// Authenticates, checks and executes a request. Blocks for up to 8 s; must not be called on the control
    /// thread.
    OperatorReply handle(const OperatorRequest &request);

private:
    using Promise = std::shared_ptr<std::promise<OperatorReply>>;
    using Handler = std::function<void(const OperatorRequest &, const Promise &)>;

    struct Route
    {
        std::string method;
        /// Whether requests change state and therefore need an author.
        bool isChange = false;
        Handler handler;
    };

    void addRoutes();
    OperatorReply runOnControlThread(const Route &route, const OperatorRequest &request);

    void showRules(const OperatorRequest &request, const Promise &promise);
    void applyRules(const OperatorRequest &request, const Promise &promise);
    void compareRules(const OperatorRequest &request, const Promise &promise);
    void showAudit(const OperatorRequest &request, const Promise &promise);
    void showQuarantine(const OperatorRequest &request, const Promise &promise);
    void clearQuarantine(const OperatorRequest &request, const Promise &promise);
    void listMembers(const OperatorRequest &request, const Promise &promise);
    void changeMember(const OperatorRequest &request, const Promise &promise, const std::string &action);
    void drain(const OperatorRequest &request, const Promise &promise);

    /// Replies with the result of read after this member has confirmed that it is the leader and has applied
    /// every committed entry; otherwise replies with the error.
    void readAsLeader(const Promise &promise, std::function<OperatorReply()> read);
    OperatorReply proposalError(const ProposalError &error) const;
    OperatorReply answerReply(const ControlAnswer &answer) const;

    ControlThread &control;
    ControlMember &controlMember;
    std::string adminKey;
    std::map<std::string, Route, std::less<>> routes; // by path
};

} // namespace eelgrasslift
