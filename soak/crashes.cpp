#include "crashes.h"

#include "gateway/clock.h"

namespace eelgrasslift::soak {

namespace {

// The platform binds gateways from the third crash under a request on, and from the fifth one under a part of
// prompts, and allows three more requests.
constexpr uint32_t CrashesBeforeBound = 3;
constexpr uint32_t CrashesBeforePartBound = 5;
constexpr uint32_t MaxLateArrivals = 3;

uint32_t crashesBeforeBound(std::string_view content)
{
    return content.starts_with(CrashPartPrefix) ? CrashesBeforePartBound : CrashesBeforeBound;
}

} // namespace

void Crashes::recordArrival(const std::string &content, const std::string &requestId)
{
    this->journal.count("crashing requests at runners");
    Content &known = this->contents[content];
    if (known.crashes < crashesBeforeBound(content) || steadyNow() <= known.boundSince + ContactTime)
        return;
    if (++known.lateArrivals <= MaxLateArrivals)
        return;
    this->journal.recordBreach(requestId,
                               content + " was sent to a runner " + std::to_string(known.lateArrivals) +
                                       " times more although " + std::to_string(crashesBeforeBound(content)) +
                                       " runners had ended under it; " + std::to_string(known.crashes) +
                                       " ended in all");
}

void Crashes::recordCrash(const std::string &content)
{
    this->journal.count("crashes");
    Content &known = this->contents[content];
    if (++known.crashes == crashesBeforeBound(content))
        known.boundSince = steadyNow();
    this->journal.note("runner " + std::to_string(known.crashes) + " ended under " + content);
}

} // namespace eelgrasslift::soak
