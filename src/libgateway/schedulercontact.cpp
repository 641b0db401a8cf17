#include "libgateway/schedulercontact.h"

namespace eelgrasslift {

void SchedulerContact::recordStatus(std::string_view address, bool isLeader, std::string_view leaderAddress,
                                    TimePoint now)
{
    if (this->schedulerAddress != address && !isLeader && leaderAddress.empty())
        this->nextLeaderAttempt = now + LeaderAttemptInterval;
    this->schedulerAddress = address;
    this->isSchedulerLeader = isLeader;
    this->lastContact = now;
    if (isLeader)
        this->lastLeaderContact = now;
    this->namedLeader = isLeader || leaderAddress == address ? std::string_view{} : leaderAddress;
}

void SchedulerContact::recordRedirect(std::string_view address, std::string_view leaderAddress)
{
    this->recordFailure(address);
    if (leaderAddress == address)
        return;
    this->namedLeader = leaderAddress;
    this->nextLeaderAttempt = {};
}

void SchedulerContact::recordFailure(std::string_view address)
{
    if (this->schedulerAddress == address)
        this->schedulerAddress.clear();
    if (this->namedLeader == address)
        this->namedLeader.clear();
}

std::string SchedulerContact::nextAddress(TimePoint now)
{
    // A delegate that is cut off from the other coordinators names no leader for as long as that lasts.
    const bool isLookingForLeader =
            !this->namedLeader.empty() || (!this->schedulerAddress.empty() && !this->isSchedulerLeader);
    if (!isLookingForLeader || now < this->nextLeaderAttempt)
        return this->schedulerAddress;
    this->nextLeaderAttempt = now + LeaderAttemptInterval;
    return this->namedLeader;
}

} // namespace eelgrasslift
