#pragma once

#include "libgateway/gateway.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace eelgrasslift {

using RequestHeader = boost::beast::http::request_header<boost::beast::http::fields>;
using ResponseHeader = boost::beast::http::response_header<boost::beast::http::fields>;

/// What a caller says of its request beside method, path and body.
struct RequestMetadata
{
    /// Id of this client attempt; empty if the caller sent none.
    std::string id;
    /// How long the caller waits.
    std::optional<Duration> maxWait;
    std::string apiKey;
    /// Last event that the caller has received of an earlier stream.
    std::optional<std::string> lastEventId;
    /// Set for generations.
    std::optional<GenerationSize> size;
};

/// What the gateway adds to a request that it sends to a runner.
struct AttemptHeaders
{
    Duration remainingTime{};
    std::string_view runnerId;
    std::string_view account;
    std::optional<uint32_t> priority;
    /// Address of the runner that keeps a growing copy of the run's memory.
    std::string_view backupAddress;
    /// Where the run goes on: address and name of the copy.
    std::string_view continueFrom;
    std::optional<std::string_view> lastEventId;
};

/// What a runner's answer says beside status and body.
struct ResponseMetadata
{
    std::string requestId;
    /// The runner states that it did not run the request.
    bool isNotRun = false;
    /// Proof that the answer comes from a runner.
    bool isSealed = false;
    /// How long the runner keeps an idle connection open.
    std::optional<Duration> keepAlive;
    bool isClosing = false;
};

/// A call to a runner or the platform, without address.
struct OutgoingCall
{
    std::string method;
    std::string target;
    std::string body;
};

struct CopyRequest
{
    std::string requestId;
    std::string destination;
};

/// A copy of a run's memory that a runner made.
struct CopyResult
{
    std::string handle;
    uint64_t generatedEvents = 0;
};

struct DecodeError
{
    std::string subject;
};

struct FleetPage
{
    std::vector<RunnerEntry> entries;
    std::optional<std::string> nextToken;
    /// Entries that could not be read and name no runner to use.
    uint32_t skippedEntries = 0;
};

/// The platform's protocol, as far as processes outside platform/ have to speak it.
class WireFormat
{
public:
    virtual ~WireFormat() = default;

    virtual RequestMetadata decodeRequest(const RequestHeader &header) const = 0;
    /// Turns a caller's header into one for a runner: what belongs to the connection or is the gateway's to
    /// set is replaced.
    virtual void encodeAttempt(RequestHeader &header, const AttemptHeaders &attempt) const = 0;
    virtual ResponseMetadata decodeResponse(const ResponseHeader &header) const = 0;

    virtual Result<ServingConfig, ConfigError> decodeConfig(std::string_view body) const = 0;

    virtual OutgoingCall fleetCall(const std::optional<std::string> &pageToken) const = 0;
    virtual Result<FleetPage, DecodeError> decodeFleet(std::string_view body) const = 0;

    virtual OutgoingCall reportCall() const = 0;
    virtual Result<RunnerReport, DecodeError> decodeReport(std::string_view body) const = 0;

    /// What an answer to a health check says of the runner; nothing if it is not that runner's statement.
    virtual std::optional<bool> decodeHealth(const ResponseHeader &header,
                                             std::string_view runnerId) const = 0;

    virtual OutgoingCall copyCall(const CopyRequest &order) const = 0;
    virtual Result<CopyResult, DecodeError> decodeCopyResult(std::string_view body) const = 0;
    virtual OutgoingCall releaseCopyCall(std::string_view handle) const = 0;
    /// Value of AttemptHeaders::continueFrom for a copy at the address.
    virtual std::string copyReference(std::string_view address, std::string_view name) const = 0;

    virtual bool isReadinessCheck(const RequestHeader &header) const = 0;
    virtual bool isConfigRead(const RequestHeader &header) const = 0;
    virtual bool isConfigWrite(const RequestHeader &header) const = 0;
    /// Path of the calls that read and write the configuration.
    virtual std::string configPath() const = 0;
};

} // namespace eelgrasslift
