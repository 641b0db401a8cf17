#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <mutex>
#include <utility>

namespace eelgrasslift {

/// Posts work from gRPC's threads to the control-state thread until it is closed. Calls of gRPC can end
/// after their owner and its io_context are gone, so they hold the gate instead of the io_context.
class ControlGate
{
public:
    explicit ControlGate(boost::asio::io_context &io)
        : io(&io)
    {}

    /// Returns false, and does nothing, once the gate is closed.
    template <typename Work>
    bool post(Work &&work)
    {
        const std::lock_guard lock{this->mutex};
        if (this->io != nullptr)
            boost::asio::post(*this->io, std::forward<Work>(work));
        return this->io != nullptr;
    }

    void close()
    {
        const std::lock_guard lock{this->mutex};
        this->io = nullptr;
    }

private:
    std::mutex mutex;
    boost::asio::io_context *io;
};

} // namespace eelgrasslift
