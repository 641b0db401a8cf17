#pragma once

#include "gatewayfixture.h"

#include <string>

namespace eelgrasslift {

/// What a gateway sends to a runner of a model.
struct ModelRequest
{
    enum class Kind {
        Run,
        Copy,
        Stop, ///< A copy that ends the run.
        Release
    };

    /// Reads the head and body of a request.
    static ModelRequest parse(const std::string &message);

    Kind kind = Kind::Run;
    /// Id of the request that is run or copied.
    std::string requestId;
    std::string runnerId;
    /// Number of the runner, if they have different addresses.
    int runner = 0;
    /// 0 if the request does not continue a stream.
    int lastEventId = 0;
    /// Name of the copy from which the run continues.
    std::string handle;
};

/// Reply of a runner to a copy request; without a status it closes the connection.
struct CopyReply
{
    static constexpr int DefaultMade = 12;

    unsigned status = 0;
    std::string handle{};
    int made = DefaultMade;
    /// Further header fields.
    std::string fields{};
};

boost::asio::awaitable<void> sendReply(boost::asio::ip::tcp::socket &connection, const CopyReply &reply);
boost::asio::awaitable<void> sendReply(boost::asio::ip::tcp::socket &connection, unsigned status,
                                       const char *handle = "", int made = CopyReply::DefaultMade);
/// Refuses to run the request id-1.
boost::asio::awaitable<void> sendRefusal(boost::asio::ip::tcp::socket &connection);

/// Value of a header field; empty if the message has none.
std::string valueOf(const std::string &message, const std::string &name);
/// Events without data, as a stream without framing contains them.
std::string eventsBetween(int first, int last);
std::string chunk(const std::string &bytes);

boost::asio::awaitable<void> wait(Duration duration);
/// An empty condition holds.
boost::asio::awaitable<void> waitFor(const std::function<bool()> &condition);

} // namespace eelgrasslift
