#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <mutex>
#include <utility>

namespace eelgrasslift {

/// Posts work from gRPC's threads to the thread of an io_context until it is closed. A gRPC call can end
/// after its owner and the io_context are destroyed, so it holds a shared pointer to this object instead of
/// the io_context.
class ClosableExecutor
{
public:
    explicit ClosableExecutor(boost::asio::io_context &io)
        : io(&io)
    {}

    /// Queues work to run on the thread of the io_context. Returns false, and does nothing, after close().
    /// Can be called from any thread.
    template <typename Work>
    bool post(Work &&work)
    {
        const std::lock_guard lock{this->mutex};
        if (this->io != nullptr)
            boost::asio::post(*this->io, std::forward<Work>(work));
        return this->io != nullptr;
    }

    /// Rejects all further work. Must be called before the io_context is destroyed.
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
