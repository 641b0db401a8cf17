#include "eelgrasslift/operatorserver.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace eelgrasslift {

namespace {

using Handlers = std::map<std::string, OperatorHandler, std::less<>>;

constexpr unsigned MaxThreads = 8;

std::string headerValue(const cxxtools::http::Request &request, const char *name)
{
    const char *value = request.getHeader(name);
    return value == nullptr ? std::string() : std::string(value);
}

int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    const char lower = static_cast<char>(digit | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 &&
            hexDigit(text[i + 2]) >= 0) {
            decoded.push_back(static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2])));
            i += 2;
        } else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

std::map<std::string, std::string, std::less<>> parseQuery(std::string_view text)
{
    std::map<std::string, std::string, std::less<>> query;
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        const size_t equals = pair.find('=');
        if (!pair.empty())
            query[percentDecoded(pair.substr(0, equals))] = equals == std::string_view::npos
                                                                    ? std::string()
                                                                    : percentDecoded(pair.substr(equals + 1));
    }
    return query;
}

OperatorRequest toOperatorRequest(const cxxtools::http::Request &request)
{
    constexpr std::string_view BearerPrefix = "Bearer ";
    const std::string authorization = headerValue(request, "Authorization");
    OperatorRequest result;
    result.method = request.method();
    result.path = request.url();
    result.query = parseQuery(request.qparams());
    result.body = request.bodyStr();
    if (authorization.starts_with(BearerPrefix))
        result.bearerKey = authorization.substr(BearerPrefix.size());
    result.author = headerValue(request, "X-Author");
    return result;
}

const OperatorHandler *handlerFor(const Handlers &handlers, std::string_view path)
{
    const OperatorHandler *best = nullptr;
    size_t bestLength = 0;
    for (const auto &[prefix, handler] : handlers) {
        if (path.starts_with(prefix) && prefix.size() >= bestLength) {
            best = &handler;
            bestLength = prefix.size();
        }
    }
    return best;
}

OperatorReply dispatch(const Handlers &handlers, const OperatorRequest &request)
{
    const OperatorHandler *handler = handlerFor(handlers, request.path);
    if (handler == nullptr)
        return operatorError(404, "not-found", "no such page: " + request.path);
    return (*handler)(request);
}

class HandlerResponder : public cxxtools::http::Responder
{
public:
    HandlerResponder(cxxtools::http::Service &service, const Handlers &handlerMap)
        : Responder(service)
        , handlers(handlerMap)
    {}

    void reply(std::ostream &out, cxxtools::http::Request &request, cxxtools::http::Reply &reply) override
    {
        const OperatorReply operatorReply = dispatch(this->handlers, toOperatorRequest(request));
        reply.httpReturn(operatorReply.status, operatorReply.status < 400 ? "OK" : "Error");
        reply.setHeader("Content-Type", operatorReply.contentType.c_str());
        if (!operatorReply.location.empty())
            reply.setHeader("Location", operatorReply.location.c_str());
        out << operatorReply.body;
    }

private:
    const Handlers &handlers;
};

class HandlerService : public cxxtools::http::Service
{
public:
    explicit HandlerService(const Handlers &handlerMap)
        : handlers(handlerMap)
    {}

protected:
    cxxtools::http::Responder *createResponder(const cxxtools::http::Request & /*request*/) override
    {
        return new HandlerResponder(*this, this->handlers);
    }

    void releaseResponder(cxxtools::http::Responder *responder) override { delete responder; }

private:
    const Handlers &handlers;
};

} // namespace

struct OperatorServer::Implementation
{
    Handlers handlers;
    cxxtools::EventLoop loop;
    std::unique_ptr<cxxtools::http::Server> server;
    std::unique_ptr<HandlerService> service;
    std::thread thread;
};

OperatorServer::OperatorServer()
    : implementation(std::make_unique<Implementation>())
{}

OperatorServer::~OperatorServer()
{
    this->stop();
}

void OperatorServer::addHandler(std::string prefix, OperatorHandler handler)
{
    this->implementation->handlers[std::move(prefix)] = std::move(handler);
}

Endpoint OperatorServer::start(const Endpoint &listen)
{
    Implementation &impl = *this->implementation;
    Endpoint bound = withFreePort(listen);
    impl.service = std::make_unique<HandlerService>(impl.handlers);
    impl.server = std::make_unique<cxxtools::http::Server>(impl.loop, bound.address, bound.port);
    impl.server->maxThreads(MaxThreads);
    impl.server->addService(cxxtools::Regex(".*"), *impl.service);
    impl.thread = std::thread([&impl] { impl.loop.run(); });
    return bound;
}

void OperatorServer::stop()
{
    Implementation &impl = *this->implementation;
    if (!impl.thread.joinable())
        return;
    impl.loop.exit();
    impl.thread.join();
    impl.server.reset();
}

OperatorReply operatorError(unsigned status, std::string_view type, std::string_view message)
{
    const nlohmann::json body{{"error", {{"type", type}, {"message", message}}}};
    return OperatorReply{status, "application/json", body.dump() + "\n", {}};
}

} // namespace eelgrasslift
