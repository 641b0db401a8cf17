#pragma once

#include "journal.h"

#include <map>
#include <string>
#include <string_view>

namespace eelgrasslift::soak {

/// contact_ms of the platform: time in which gateways and coordinators must have told each other of a crash.
inline constexpr Duration ContactTime = std::chrono::seconds{3};

/// Content of requests that end each runner that begins to run them; nothing else begins like this.
inline constexpr std::string_view CrashContentPrefix = "crash-";
/// The same for parts of prompts, which end each runner that begins to respond to a request with them.
inline constexpr std::string_view CrashPartPrefix = "crash-part-";

/// What requests that end their runners have reached, by the content or the part of the prompt that they have
/// in common. Their ids differ.
class Crashes
{
public:
    explicit Crashes(Journal &runJournal)
        : journal(runJournal)
    {}

    /// A request with the content has reached a runner. More than three of them later than ContactTime after
    /// the third crash, or the fifth one under a part of prompts, break a promise.
    void recordArrival(const std::string &content, const std::string &requestId);
    /// A runner has ended under a request with the content.
    void recordCrash(const std::string &content);

private:
    struct Content
    {
        uint32_t crashes = 0;
        /// When the last runner ended that may end before the bound holds.
        TimePoint boundSince;
        /// Requests that have reached a runner although gateways must know the content.
        uint32_t lateArrivals = 0;
    };

    Journal &journal;
    std::map<std::string, Content> contents;
};

} // namespace eelgrasslift::soak
