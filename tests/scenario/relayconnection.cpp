#include "relayconnection.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace eelgrasslift::scenario {

namespace net = boost::asio;
using boost::system::error_code;

RelayConnection::RelayConnection(LinkTable &links, Socket client, Socket target,
                                 const std::string &clientName, const std::string &targetName)
    : links(links)
    , directions{Direction{std::move(client), clientName, targetName, {}, 0, {}, false},
                 Direction{std::move(target), targetName, clientName, {}, 0, {}, false}}
{
    error_code ignored;
    for (Direction &direction : this->directions)
        direction.source.set_option(net::ip::tcp::no_delay(true), ignored);
}

void RelayConnection::start()
{
    this->read(0);
    this->read(1);
}

void RelayConnection::resume()
{
    for (const size_t side : {0U, 1U}) {
        Direction &direction = this->directions[side];
        if (this->isCut(side))
            continue;
        if (direction.bufferedBytes > 0)
            this->write(side, std::exchange(direction.bufferedBytes, 0));
        else if (direction.pendingEnd)
            this->forwardEnd(side, std::exchange(direction.pendingEnd, {}));
    }
}

bool RelayConnection::isCut(size_t side)
{
    return this->links.isCut(this->directions[side].from, this->directions[side].to);
}

void RelayConnection::read(size_t side)
{
    Direction &direction = this->directions[side];
    direction.source.async_read_some(net::buffer(direction.buffer),
                                     [self = shared_from_this(), side](error_code error, size_t size) {
                                         self->onRead(side, error, size);
                                     });
}

void RelayConnection::onRead(size_t side, error_code error, size_t size)
{
    if (error == net::error::operation_aborted)
        return;
    if (error && this->isCut(side))
        this->directions[side].pendingEnd = error;
    else if (error)
        this->forwardEnd(side, error);
    else if (this->isCut(side))
        this->directions[side].bufferedBytes = size;
    else
        this->write(side, size);
}

void RelayConnection::forwardEnd(size_t side, error_code error)
{
    if (side == 1 && this->targetClosedHandler)
        this->targetClosedHandler();
    if (error != net::error::eof)
        return this->close();
    error_code ignored;
    this->directions[side].isEnded = true;
    this->directions[1 - side].source.shutdown(Socket::shutdown_send, ignored);
    if (this->directions[1 - side].isEnded)
        this->close();
}

void RelayConnection::write(size_t side, size_t size)
{
    net::async_write(this->directions[1 - side].source, net::buffer(this->directions[side].buffer, size),
                     [self = shared_from_this(), side](error_code error, size_t) {
                         if (error)
                             return self->close();
                         self->read(side);
                     });
}

void RelayConnection::close()
{
    error_code ignored;
    for (Direction &direction : this->directions)
        direction.source.close(ignored);
}

} // namespace eelgrasslift::scenario
