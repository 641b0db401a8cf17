#include "relayconnection.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace eelgrasslift::scenario {

namespace net = boost::asio;
using boost::system::error_code;

RelayConnection::RelayConnection(LinkTable &links, Socket client, Socket target,
                                 const std::string &clientName, const std::string &targetName)
    : links(links)
    , pumps{Pump{std::move(client), clientName, targetName, {}, 0, {}, false},
            Pump{std::move(target), targetName, clientName, {}, 0, {}, false}}
{
    error_code ignored;
    for (Pump &pump : this->pumps)
        pump.source.set_option(net::ip::tcp::no_delay(true), ignored);
}

void RelayConnection::start()
{
    this->read(0);
    this->read(1);
}

void RelayConnection::resume()
{
    for (const size_t side : {0U, 1U}) {
        Pump &pump = this->pumps[side];
        if (this->isCut(side))
            continue;
        if (pump.heldBytes > 0)
            this->write(side, std::exchange(pump.heldBytes, 0));
        else if (pump.heldEnd)
            this->forwardEnd(side, std::exchange(pump.heldEnd, {}));
    }
}

bool RelayConnection::isCut(size_t side)
{
    return this->links.isCut(this->pumps[side].from, this->pumps[side].to);
}

void RelayConnection::read(size_t side)
{
    Pump &pump = this->pumps[side];
    pump.source.async_read_some(net::buffer(pump.buffer),
                                [self = shared_from_this(), side](error_code error, size_t size) {
                                    self->onRead(side, error, size);
                                });
}

void RelayConnection::onRead(size_t side, error_code error, size_t size)
{
    if (error == net::error::operation_aborted)
        return;
    if (error && this->isCut(side))
        this->pumps[side].heldEnd = error;
    else if (error)
        this->forwardEnd(side, error);
    else if (this->isCut(side))
        this->pumps[side].heldBytes = size;
    else
        this->write(side, size);
}

void RelayConnection::forwardEnd(size_t side, error_code error)
{
    if (side == 1 && this->targetEndHandler)
        this->targetEndHandler();
    if (error != net::error::eof)
        return this->close();
    error_code ignored;
    this->pumps[side].isEnded = true;
    this->pumps[1 - side].source.shutdown(Socket::shutdown_send, ignored);
    if (this->pumps[1 - side].isEnded)
        this->close();
}

void RelayConnection::write(size_t side, size_t size)
{
    net::async_write(this->pumps[1 - side].source, net::buffer(this->pumps[side].buffer, size),
                     [self = shared_from_this(), side](error_code error, size_t) {
                         if (error)
                             return self->close();
                         self->read(side);
                     });
}

void RelayConnection::close()
{
    error_code ignored;
    for (Pump &pump : this->pumps)
        pump.source.close(ignored);
}

} // namespace eelgrasslift::scenario
