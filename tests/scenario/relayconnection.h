#pragma once

#include "relay.h"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace eelgrasslift::scenario {

/// Forwards the bytes of one connection in both directions. While a direction is cut, its bytes and its end
/// of stream are retained.
class RelayConnection : public std::enable_shared_from_this<RelayConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// The names are those of the processes at the two ends, as in the LinkTable.
    RelayConnection(LinkTable &links, Socket client, Socket target, const std::string &clientName,
                    const std::string &targetName);

    /// Sets the handler that is called when the target has closed the connection, before the client's side is
    /// closed.
    void setTargetClosedHandler(std::function<void()> handler)
    {
        this->targetClosedHandler = std::move(handler);
    }

    /// Starts forwarding.
    void start();

    /// Forwards what was retained in directions that are no longer cut.
    void resume();

private:
    /// Forwarding from one end of the connection to the other.
    struct Direction
    {
        Socket source;
        std::string from;
        std::string to;
        std::array<char, 16384> buffer{};
        size_t bufferedBytes = 0;
        boost::system::error_code pendingEnd;
        bool isEnded = false;
    };

    bool isCut(size_t side);
    void read(size_t side);
    void onRead(size_t side, boost::system::error_code error, size_t size);
    void forwardEnd(size_t side, boost::system::error_code error);
    void write(size_t side, size_t size);
    void close();

    LinkTable &links;
    std::function<void()> targetClosedHandler;
    std::array<Direction, 2> directions; // from the client, from the target
};

} // namespace eelgrasslift::scenario
