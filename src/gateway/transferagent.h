#pragma once

#include "libgateway/gateway.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace eelgrasslift {

/// A gateway's wish to copy a generation away from a leaving runner.
struct TransferWish
{
    std::string sourceId;
    std::string service;
    GenerationSize size;
    /// Tokens in the source's memory now.
    double memoryTokens = 0;
};

/// The turn to copy.
struct TransferTurn
{
    uint64_t ticket = 0;
    std::string destinationId;
};

/// Asks whoever orders the copies of all gateways.
class TransferAgent
{
public:
    virtual ~TransferAgent() = default;

    /// Waits for the turn; nothing if nobody orders copies at present.
    virtual boost::asio::awaitable<std::optional<TransferTurn>> ask(TransferWish wish) = 0;
    virtual void finish(uint64_t ticket) = 0;
};

} // namespace eelgrasslift
