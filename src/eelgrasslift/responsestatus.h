#pragma once

namespace eelgrasslift {

/// What the status code of an HTTP response says about the response.
enum class StatusClass {
    Interim, ///< The final response follows.
    Final,
    Invalid ///< No response to a request that was sent; its other contents mean nothing either.
};

/// Codes outside 100 to 599 are invalid (RFC 9110, section 15), and so is a switch of protocols, for which no
/// request asks.
constexpr StatusClass statusClass(unsigned status)
{
    constexpr unsigned SwitchingProtocols = 101;
    if (status < 100 || status > 599 || status == SwitchingProtocols)
        return StatusClass::Invalid;
    return status < 200 ? StatusClass::Interim : StatusClass::Final;
}

} // namespace eelgrasslift
