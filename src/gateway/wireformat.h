#pragma once

#include "eelgrasslift/responsestatus.h"
#include "libgateway/gateway.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

using RequestHeader = boost::beast::http::request_header<boost::beast::http::fields>;
using ResponseHeader = boost::beast::http::response_header<boost::beast::http::fields>;

/// What the header of a caller's request states beside method, path and host.
struct RequestMetadata
{
    /// Id that the caller has assigned to the request: another one for each retry of the caller, the same for
    /// all attempts of the gateway. Empty if the header has none.
    std::string id;
    /// How long the caller waits for the response; absent if the header does not say.
    std::optional<Duration> maxWait;
    /// API key of a client account; empty if the header has none.
    std::string apiKey;
    /// Id of the last event that the caller received of an interrupted stream that it resumes.
    std::optional<std::string> lastEventId;
    /// Set for requests of generations only.
    std::optional<GenerationSize> size;
    /// Ids of the parts of the prompt that other requests may share, in their order.
    std::vector<std::string> sharedPromptParts;
};

/// Parts of a prompt that are read from a request; a prompt has two or three that others share.
constexpr size_t MaxSharedPromptParts = 16;

/// Whether the response only precedes the final one; it has no body.
inline bool isInterim(const ResponseHeader &header)
{
    return statusClass(header.result_int()) == StatusClass::Interim;
}

/// Interim responses that are skipped before the final one; a runner that sends more is in trouble.
constexpr int MaxInterimResponses = 2;

/// Late responses to earlier requests that are skipped on a connection before the expected one.
constexpr int MaxStrayResponses = 2;

/// Header fields that the gateway sets on each attempt to send a request to a runner. Empty and absent values
/// are not sent.
struct AttemptHeaders
{
    /// Time until the deadline of the request.
    Duration remainingTime{};
    /// The runner that the gateway expects at the address; another one rejects the request with status 421.
    std::string_view runnerId;
    /// Name of the client account.
    std::string_view account;
    /// Scheduling priority at the runner.
    std::optional<uint32_t> priority;
    /// ip:port of the runner that keeps an incremental copy of the generation's KV cache.
    std::string_view backupAddress;
    /// Copy of the KV cache from which the runner continues the generation; see WireFormat::copyReference().
    std::string_view continueFrom;
    /// Id of the last event that the caller has received; the runner resumes the stream after it.
    std::optional<std::string_view> lastEventId;
};

/// What the header of a response states beside the status.
struct ResponseMetadata
{
    /// RequestMetadata::id of the request to which the response belongs; empty if the header has none.
    std::string requestId;
    /// The runner states that it has not executed the request.
    bool isNotRun = false;
    /// The response has the header that only runners set.
    bool isSealed = false;
    /// How long the runner keeps an idle connection open.
    std::optional<Duration> keepAlive;
    /// The peer closes the connection after this response.
    bool isClosing = false;
    /// The runner states that it is leaving: it will be stopped and expects no new work.
    bool isRunnerLeaving = false;
    /// The header has the field for isRunnerLeaving with a value that is not specified, which has no effect.
    bool hasUnknownLeavingValue = false;
    /// Id of the runner that has sent the response; empty if the header has none.
    std::string runnerId;
    /// The runner has refused the request and wants no other one from this gateway for so long; positive and
    /// at most MaxRunnerPause.
    std::optional<Duration> pause;
};

/// Returns whether the response to a request for the runner with the id comes from that runner.
inline AnswerSender senderOf(unsigned status, const ResponseMetadata &metadata, std::string_view runnerId)
{
    const bool isOther = status == 421 || (!metadata.runnerId.empty() && metadata.runnerId != runnerId);
    return isOther ? AnswerSender::Other : AnswerSender::Expected;
}

/// HTTP request to a runner, the platform or a coordinator, without the address.
struct OutgoingCall
{
    std::string method;
    /// Path and query.
    std::string target;
    std::string body;
};

/// Request to a runner to copy the KV cache of a running generation to another runner.
struct CopyRequest
{
    /// RequestMetadata::id of the generation's request.
    std::string requestId;
    /// ip:port of the runner that receives the copy.
    std::string destination;
    /// The runner ends the run before it copies, also if the copy then fails.
    bool endsRun = false;
};

/// Result of a CopyRequest.
struct CopyResult
{
    /// Name of the copy.
    std::string handle;
    /// Events that the generation had produced when it was copied.
    uint64_t generatedEvents = 0;
};

/// Failure to decode a body from the platform or a runner.
struct DecodeError
{
    /// What could not be decoded, for the log.
    std::string subject;
};

/// One page of the platform's list of runners.
struct FleetPage
{
    std::vector<RunnerEntry> entries;
    /// Token to request the next page; absent on the last page.
    std::optional<std::string> nextToken;
    /// Number of entries left out because a field is missing, mistyped or unknown.
    uint32_t skippedEntries = 0;
};

/// The platform's HTTP protocol: header fields, paths and bodies of requests and responses. Implemented in
/// platform/; gateways and coordinators use no other part of the platform.
class WireFormat
{
public:
    virtual ~WireFormat() = default;

    /// Reads a caller's request header; malformed values count as absent.
    virtual RequestMetadata decodeRequest(const RequestHeader &header) const = 0;
    /// Turns the header of a caller's request into that of an attempt: removes hop-by-hop fields and fields
    /// that only the gateway may set, then sets those of the attempt.
    virtual void encodeAttempt(RequestHeader &header, const AttemptHeaders &attempt) const = 0;
    /// Reads the header of a runner's response.
    virtual ResponseMetadata decodeResponse(const ResponseHeader &header) const = 0;

    /// Decodes and validates a configuration; returns the first error found.
    virtual Result<ServingConfig, ConfigError> decodeConfig(std::string_view body) const = 0;

    /// Request to the platform for a page of the list of runners; without a token for the first page.
    virtual OutgoingCall fleetCall(const std::optional<std::string> &pageToken) const = 0;
    /// Decodes the response to fleetCall().
    virtual Result<FleetPage, DecodeError> decodeFleet(std::string_view body) const = 0;

    /// Request to a model runner for its load report.
    virtual OutgoingCall reportCall() const = 0;
    /// Decodes the response to reportCall().
    virtual Result<RunnerReport, DecodeError> decodeReport(std::string_view body) const = 0;

    /// Whether the response to a health check reports the runner as healthy; nothing if the response says
    /// nothing about that, or comes from another runner at the same address.
    virtual std::optional<bool> decodeHealth(const ResponseHeader &header,
                                             std::string_view runnerId) const = 0;

    /// Request to the runner of a generation to copy its KV cache.
    virtual OutgoingCall copyCall(const CopyRequest &request) const = 0;
    /// Decodes the response to copyCall().
    virtual Result<CopyResult, DecodeError> decodeCopyResult(std::string_view body) const = 0;
    /// Decodes the response to copyCall() for a request that ends the run.
    virtual RunStopReply decodeRunStopReply(const ResponseHeader &header, std::string_view body) const = 0;
    /// Request to a runner to free the copy with the given handle.
    virtual OutgoingCall releaseCopyCall(std::string_view handle) const = 0;
    /// Value of AttemptHeaders::continueFrom for a copy. address is the ip:port of the runner that holds the
    /// copy, name its handle; a backup is named by the id of the request.
    virtual std::string copyReference(std::string_view address, std::string_view name) const = 0;

    /// Whether the header is that of the load balancer's readiness check.
    virtual bool isReadinessCheck(const RequestHeader &header) const = 0;
    /// Whether the header is that of an operator's request to read the configuration.
    virtual bool isConfigRead(const RequestHeader &header) const = 0;
    /// Whether the header is that of an operator's request to replace the configuration.
    virtual bool isConfigWrite(const RequestHeader &header) const = 0;
    /// The change of an evacuation that an operator's request asks for; nothing if it is another request.
    virtual std::optional<EvacuationChange> decodeEvacuation(const RequestHeader &header) const = 0;
    /// Path of the requests that read and replace the configuration.
    virtual std::string configPath() const = 0;
};

} // namespace eelgrasslift
