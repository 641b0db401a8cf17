#include "journal.h"

#include "gateway/clock.h"

#include <iostream>
#include <sstream>

namespace eelgrasslift::soak {

Journal::Journal(uint64_t seed, const std::filesystem::path &folder)
    : seed(seed)
    , startedAt(steadyNow())
    , file(folder / "soak.log")
{}

std::string Journal::elapsed() const
{
    std::ostringstream text;
    text.setf(std::ios::fixed);
    text.precision(3);
    text << toSeconds(steadyNow() - this->startedAt) << " s";
    return text.str();
}

void Journal::note(std::string_view text)
{
    this->file << this->elapsed() << "  " << text << std::endl;
}

void Journal::recordBreach(std::string_view requestId, std::string_view text)
{
    ++this->breaches;
    std::ostringstream line;
    line << "broken promise: seed " << this->seed << ", " << this->elapsed() << ", request "
         << (requestId.empty() ? "none" : requestId) << ": " << text;
    std::cout << line.str() << std::endl;
    this->note(line.str());
}

} // namespace eelgrasslift::soak
