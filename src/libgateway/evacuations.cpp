#include "libgateway/evacuations.h"

namespace eelgrasslift {

bool Evacuations::apply(const EvacuationChange &change)
{
    if (this->contains(change.domain) == change.isEvacuated)
        return false;
    if (change.isEvacuated)
        this->domains.insert(change.domain);
    else
        this->domains.erase(change.domain);
    ++this->sequence;
    return true;
}

bool Evacuations::update(const Evacuations &other)
{
    if (other.sequence <= this->sequence)
        return false;
    *this = other;
    return true;
}

std::string Evacuations::describe() const
{
    std::string text;
    for (const std::string &domain : this->domains)
        text += (text.empty() ? "" : ",") + domain;
    return text.empty() ? "none" : text;
}

} // namespace eelgrasslift
