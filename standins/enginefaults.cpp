#include "enginefaults.h"

#include <string>

namespace eelgrasslift::standins {

bool EngineFaults::set(const nlohmann::json &request, TimePoint now, uint64_t nextStreamSerial)
{
    const auto fault = request.value("fault", std::string{});
    const Duration duration = std::chrono::milliseconds{request.value("ms", int64_t{0})};
    const uint64_t count = request.value("count", uint64_t{1});
    if (fault == "none") {
        *this = {};
    } else if (fault == "stall") {
        this->stallUntil = now + duration;
        this->stallBelowSerial = nextStreamSerial;
    } else if (fault == "stall-all") {
        this->stallAllUntil = now + duration;
    } else if (fault == "pause") {
        this->pauseUntil = now + duration;
    } else if (fault == "close-at") {
        this->closeAtIndex = request.value("index", uint64_t{0});
    } else if (fault == "delay") {
        this->delay = duration;
        this->delayCount = count;
    } else if (fault == "foreign") {
        this->foreignCount = count;
    } else if (fault == "duplicate") {
        this->duplicateCount = count;
    } else if (fault == "skip") {
        this->skipCount = count;
    } else if (fault == "refuse") {
        this->refuseCount = count;
    } else {
        return false;
    }
    return true;
}

} // namespace eelgrasslift::standins
