#pragma once

#include "relay.h"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace eelgrasslift::scenario {

/// Forwards the bytes of one connection in both directions. While a direction is cut, its bytes and its end
/// are held back.
class RelayConnection : public std::enable_shared_from_this<RelayConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    RelayConnection(LinkTable &links, Socket client, Socket target, const std::string &clientName,
                    const std::string &targetName);

    /// Called when the target has closed the connection, before its client learns of it.
    void setTargetEndHandler(std::function<void()> handler) { this->targetEndHandler = std::move(handler); }

    void start();

    /// Sends what was held back in directions that are no longer cut.
    void resume();

private:
    /// Bytes from one end to the other.
    struct Pump
    {
        Socket source;
        std::string from;
        std::string to;
        std::array<char, 16384> buffer{};
        size_t heldBytes = 0;
        boost::system::error_code heldEnd;
        bool isEnded = false;
    };

    bool isCut(size_t side);
    void read(size_t side);
    void onRead(size_t side, boost::system::error_code error, size_t size);
    void forwardEnd(size_t side, boost::system::error_code error);
    void write(size_t side, size_t size);
    void close();

    LinkTable &links;
    std::function<void()> targetEndHandler;
    std::array<Pump, 2> pumps; // client and target
};

} // namespace eelgrasslift::scenario
