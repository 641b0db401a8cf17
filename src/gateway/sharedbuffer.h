#pragma once

#include <cstddef>

namespace eelgrasslift {

/// Counts the bytes of a message that a gateway keeps until it has been handled, for as long as the object
/// exists. Messages of one kind share a limit of the gateway's memory, so that many large ones, or some
/// without end, do not exhaust it.
class SharedBuffer
{
public:
    /// total is the number of bytes that all objects of the kind count, maxTotal their limit.
    SharedBuffer(size_t &total, size_t maxTotal)
        : total(total)
        , maxTotal(maxTotal)
    {}
    ~SharedBuffer() { this->total -= this->size; }
    SharedBuffer(const SharedBuffer &) = delete;
    SharedBuffer &operator=(const SharedBuffer &) = delete;

    /// Counts newSize bytes from now on. Returns false if the message is large and exceeds the limit.
    bool resize(size_t newSize)
    {
        this->total += newSize - this->size;
        this->size = newSize;
        return this->size <= SmallMessageBytes || this->total <= this->maxTotal;
    }

    /// Messages of this size are always kept.
    static constexpr size_t SmallMessageBytes = size_t{64} << 10;

private:
    size_t &total;
    size_t maxTotal;
    size_t size = 0;
};

/// Memory for responses that are being received.
constexpr size_t MaxBufferedResponseBytes = size_t{24} << 20;
/// Memory for the bodies of requests in progress. With that for responses it leaves a third of the smallest
/// VM, of 88 MB, for everything else.
constexpr size_t MaxBufferedRequestBytes = size_t{32} << 20;

} // namespace eelgrasslift
