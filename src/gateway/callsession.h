#pragma once

#include "gateway/requestcontext.h"

namespace eelgrasslift {

/// One call of a plain service: a whole answer, passed on unchanged.
class CallSession : public RequestSession
{
public:
    using RequestSession::RequestSession;

    boost::asio::awaitable<void> run() override;

private:
    struct SendResult
    {
        SendOutcome outcome = SendOutcome::Unknown;
        std::optional<HttpResponse> response;
        std::string_view cause;
    };

    boost::asio::awaitable<SendResult> send(RunnerPool::Runner &runner, bool isLastChance);
    boost::asio::awaitable<SendResult> receive(const RunnerConnectionPointer &connection);
    SendResult judge(HttpResponse response, const ResponseMetadata &answer) const;
};

} // namespace eelgrasslift
