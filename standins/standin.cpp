#include "standin.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace eelgrasslift::standins {

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

constexpr int ExitUsage = 2;

} // namespace

tcp::endpoint parseEndpoint(const std::string &text)
{
    const size_t colon = text.rfind(':');
    boost::system::error_code error;
    const auto address = net::ip::make_address(text.substr(0, colon), error);
    char *end = nullptr;
    const std::string port = colon == std::string::npos ? "" : text.substr(colon + 1);
    const unsigned long number = std::strtoul(port.c_str(), &end, 10);
    if (error || port.empty() || *end != '\0' || number > UINT16_MAX) {
        std::cerr << "not an ip:port address: " << text << '\n';
        std::exit(ExitUsage);
    }
    return {address, static_cast<uint16_t>(number)};
}

void printListening(const tcp::endpoint &endpoint)
{
    std::cout << "listening " << endpoint << std::endl;
}

Journal::Journal(const std::string &path)
{
    if (!path.empty())
        this->file.open(path, std::ios::app);
}

void Journal::write(nlohmann::json entry)
{
    if (!this->file.is_open())
        return;
    entry["at_ms"] = unixMilliseconds();
    this->file << entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n' << std::flush;
}

int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::optional<nlohmann::json> jsonBody(const HttpRequest &request)
{
    nlohmann::json body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    return body;
}

std::string headerValue(const HttpRequest &request, std::string_view name)
{
    return std::string(request[boost::beast::string_view(name.data(), name.size())]);
}

TermSignal::TermSignal(net::io_context &context, std::function<void()> handler)
    : signals(context, SIGTERM)
{
    this->signals.async_wait([handler = std::move(handler)](boost::system::error_code error, int) {
        if (!error)
            handler();
    });
}

HttpSession::Handler withErrorReplies(HttpSession::Handler handler)
{
    return [handler = std::move(handler)](const std::shared_ptr<HttpSession> &session) {
        try {
            handler(session);
        } catch (const std::exception &error) {
            session->respond(jsonReply(400, {{"error", error.what()}}));
        }
    };
}

} // namespace eelgrasslift::standins
