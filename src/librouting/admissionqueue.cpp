#include "librouting/admissionqueue.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

// Waiting time of its oldest request that raises the priority of a class by one level. A class of priority 2
// overtakes new requests of priority 1 after 6 s: after 3 s the levels are equal, and the class of higher
// priority goes first.
constexpr Duration AgeingInterval = std::chrono::seconds{3};
// Bounds the cost of one dispatch when many accounts wait and no target has headroom.
constexpr size_t MaxOffersPerClass = 8;
constexpr double RateTimeConstantSeconds = 10;
constexpr Duration MinRetryAfter = std::chrono::seconds{1};
constexpr Duration MaxRetryAfter = std::chrono::seconds{60};

} // namespace

std::string_view toString(QueueRefused::Reason reason)
{
    switch (reason) {
    case QueueRefused::Reason::UnknownClass:
        return "unknown-class";
    case QueueRefused::Reason::QueueFull:
        return "queue-full";
    case QueueRefused::Reason::AccountShare:
        return "account-share";
    case QueueRefused::Reason::DeadlineWouldPass:
        return "deadline-would-pass";
    case QueueRefused::Reason::DeadlinePassed:
        return "deadline-passed";
    case QueueRefused::Reason::Shed:
        return "shed";
    }
    return "unknown";
}

double WaitingRequest::urgency(TimePoint now) const
{
    const double limit = toSeconds(this->deadline - this->enqueuedAt);
    return limit <= 0 ? 1.0 : std::clamp(toSeconds(now - this->enqueuedAt) / limit, 0.0, 1.0);
}

AdmissionQueue::AdmissionQueue(uint32_t totalLimit)
    : totalLimit(totalLimit)
{}

void AdmissionQueue::setClass(std::string_view className, const QueueClass &settings)
{
    this->classes.try_emplace(std::string(className)).first->second.settings = settings;
}

void AdmissionQueue::setShare(std::string_view account, uint32_t share)
{
    const uint32_t effectiveShare = std::max(share, 1U);
    this->shares.insert_or_assign(std::string(account), effectiveShare);
    for (auto &[name, queueClass] : this->classes) {
        for (auto &[key, accountQueue] : queueClass.accountQueues) {
            if (key.first == account)
                accountQueue.share = effectiveShare;
        }
    }
}

uint32_t AdmissionQueue::shareOf(std::string_view account) const
{
    const auto entry = this->shares.find(account);
    return entry == this->shares.end() ? 1 : entry->second;
}

Result<Queued, QueueRefused> AdmissionQueue::push(WaitingRequest request, TimePoint now)
{
    const auto entry = this->classes.find(request.className);
    if (entry == this->classes.end())
        return QueueRefused{request.id, QueueRefused::Reason::UnknownClass, MinRetryAfter};
    Class &queueClass = entry->second;
    request.enqueuedAt = now;
    request.deadline = now + queueClass.settings.maxWait;

    const Duration wait = this->expectedWait(queueClass, now);
    if (wait > queueClass.settings.maxWait) {
        const Duration excess = wait - queueClass.settings.maxWait;
        return QueueRefused{request.id, QueueRefused::Reason::DeadlineWouldPass,
                            std::clamp<Duration>(excess, MinRetryAfter, MaxRetryAfter)};
    }
    Queued queued;
    if (auto refused = this->ensureCapacity(queueClass, request, now, queued.displaced))
        return *refused;

    AccountQueue &accountQueue = queueClass.accountQueues[{request.account, request.requiresIsolation}];
    if (accountQueue.requests.empty()) {
        accountQueue.account = request.account;
        accountQueue.requiresIsolation = request.requiresIsolation;
        accountQueue.share = this->shareOf(request.account);
        accountQueue.virtualTime = std::max(accountQueue.virtualTime, queueClass.virtualTime);
    }
    accountQueue.requests.push_back(std::move(request));
    ++queueClass.size;
    ++this->total;
    return queued;
}

Duration AdmissionQueue::expectedWait(const Class &queueClass, TimePoint now) const
{
    // Without a steady dispatch rate there is no estimate, and so no reason for a refusal.
    const double age = toSeconds(now - queueClass.dispatchRateAt);
    const double rate = queueClass.dispatchRate * std::exp(-age / RateTimeConstantSeconds);
    if (rate * RateTimeConstantSeconds < 2 || queueClass.size < 4)
        return Duration{0};
    return fromSeconds(static_cast<double>(queueClass.size) / rate);
}

AdmissionQueue::Victim AdmissionQueue::selectVictim(uint32_t thresholdPriority, Class *onlyClass)
{
    Victim found;
    for (auto &[name, queueClass] : this->classes) {
        if (onlyClass ? &queueClass != onlyClass : queueClass.settings.priority <= thresholdPriority)
            continue;
        if (found.owner && queueClass.settings.priority < found.owner->settings.priority)
            continue;
        for (auto &[key, accountQueue] : queueClass.accountQueues) {
            if (accountQueue.requests.empty())
                continue;
            const bool isLowerPriority =
                    !found.owner || queueClass.settings.priority > found.owner->settings.priority;
            if (isLowerPriority || accountQueue.requests.size() * found.accountQueue->share >
                                           found.accountQueue->requests.size() * accountQueue.share)
                found = {&queueClass, &accountQueue};
        }
    }
    return found;
}

std::optional<QueueRefused> AdmissionQueue::ensureCapacity(Class &queueClass, const WaitingRequest &request,
                                                           TimePoint now,
                                                           std::vector<QueueRefused> &displaced)
{
    const bool isClassFull = queueClass.size >= queueClass.settings.limit;
    if (!isClassFull && this->total < this->totalLimit)
        return std::nullopt;

    const Duration wait =
            std::clamp<Duration>(this->expectedWait(queueClass, now), MinRetryAfter, MaxRetryAfter);
    Victim found;
    if (!isClassFull)
        found = this->selectVictim(queueClass.settings.priority, nullptr);
    QueueRefused::Reason reason = QueueRefused::Reason::Shed;
    if (!found.accountQueue) {
        // No class of lower priority waits: sheds from the account of this class with the most requests per
        // share.
        found = this->selectVictim(0, &queueClass);
        reason = QueueRefused::Reason::AccountShare;
        const auto requestQueue = queueClass.accountQueues.find({request.account, request.requiresIsolation});
        const size_t requestQueueSize =
                requestQueue == queueClass.accountQueues.end() ? 0 : requestQueue->second.requests.size();
        const size_t share = this->shareOf(request.account);
        if (!found.accountQueue || (requestQueueSize + 1) * found.accountQueue->share >=
                                           found.accountQueue->requests.size() * share) {
            const bool isSameAccount = found.accountQueue && found.accountQueue->account == request.account;
            return QueueRefused{request.id,
                                isSameAccount ? QueueRefused::Reason::AccountShare
                                              : QueueRefused::Reason::QueueFull,
                                wait};
        }
    }
    displaced.push_back({found.accountQueue->requests.back().id, reason, wait});
    found.accountQueue->requests.pop_back();
    --found.owner->size;
    --this->total;
    return std::nullopt;
}

std::vector<AdmissionQueue::Class *> AdmissionQueue::classesInDispatchOrder(TimePoint now)
{
    struct RankedClass
    {
        Class *queueClass;
        int64_t effectivePriority;
    };
    std::vector<RankedClass> ranked;
    for (auto &[name, queueClass] : this->classes) {
        if (queueClass.size == 0)
            continue;
        TimePoint oldest = TimePoint::max();
        for (const auto &[key, accountQueue] : queueClass.accountQueues) {
            if (!accountQueue.requests.empty())
                oldest = std::min(oldest, accountQueue.requests.front().enqueuedAt);
        }
        ranked.push_back({&queueClass, queueClass.settings.priority - (now - oldest) / AgeingInterval});
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const RankedClass &left, const RankedClass &right) {
        if (left.effectivePriority != right.effectivePriority)
            return left.effectivePriority < right.effectivePriority;
        return left.queueClass->settings.priority < right.queueClass->settings.priority;
    });
    std::vector<Class *> order;
    order.reserve(ranked.size());
    for (const RankedClass &entry : ranked)
        order.push_back(entry.queueClass);
    return order;
}

std::optional<WaitingRequest> AdmissionQueue::dispatch(TimePoint now, const Offer &offer)
{
    if (this->total == 0)
        return std::nullopt;
    for (Class *queueClass : this->classesInDispatchOrder(now)) {
        if (auto sent = this->dispatchFrom(*queueClass, now, offer))
            return sent;
    }
    return std::nullopt;
}

std::optional<WaitingRequest> AdmissionQueue::dispatchFrom(Class &queueClass, TimePoint now,
                                                           const Offer &offer)
{
    std::vector<AccountQueue *> order;
    for (auto &[key, accountQueue] : queueClass.accountQueues) {
        if (!accountQueue.requests.empty())
            order.push_back(&accountQueue);
    }
    const size_t offerCount = std::min(order.size(), MaxOffersPerClass);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(offerCount), order.end(),
                      [](const AccountQueue *left, const AccountQueue *right) {
                          return left->virtualTime < right->virtualTime;
                      });
    for (size_t i = 0; i < offerCount; ++i) {
        AccountQueue &accountQueue = *order[i];
        WaitingRequest &head = accountQueue.requests.front();
        if (now >= head.deadline || !offer(head))
            continue;
        queueClass.virtualTime = std::max(queueClass.virtualTime, accountQueue.virtualTime);
        accountQueue.virtualTime += std::max(head.cost, 1.0) / accountQueue.share;
        WaitingRequest sent = std::move(head);
        accountQueue.requests.pop_front();
        --queueClass.size;
        --this->total;
        const double age = toSeconds(now - queueClass.dispatchRateAt);
        queueClass.dispatchRate = queueClass.dispatchRate * std::exp(-age / RateTimeConstantSeconds) +
                                  1 / RateTimeConstantSeconds;
        queueClass.dispatchRateAt = now;
        return sent;
    }
    return std::nullopt;
}

bool AdmissionQueue::remove(uint64_t id)
{
    for (auto &[name, queueClass] : this->classes) {
        for (auto &[key, accountQueue] : queueClass.accountQueues) {
            const auto request = std::find_if(accountQueue.requests.begin(), accountQueue.requests.end(),
                                              [id](const WaitingRequest &entry) { return entry.id == id; });
            if (request == accountQueue.requests.end())
                continue;
            accountQueue.requests.erase(request);
            --queueClass.size;
            --this->total;
            return true;
        }
    }
    return false;
}

std::vector<QueueRefused> AdmissionQueue::expire(TimePoint now)
{
    std::vector<QueueRefused> expired;
    for (auto &[name, queueClass] : this->classes) {
        const Duration wait =
                std::clamp<Duration>(this->expectedWait(queueClass, now), MinRetryAfter, MaxRetryAfter);
        for (auto &[key, accountQueue] : queueClass.accountQueues) {
            // All requests of a queue have the same maximum wait, so the oldest expires first.
            while (!accountQueue.requests.empty() && accountQueue.requests.front().deadline <= now) {
                expired.push_back(
                        {accountQueue.requests.front().id, QueueRefused::Reason::DeadlinePassed, wait});
                accountQueue.requests.pop_front();
                --queueClass.size;
                --this->total;
            }
        }
    }
    return expired;
}

std::optional<TimePoint> AdmissionQueue::nextDeadline() const
{
    std::optional<TimePoint> next;
    for (const auto &[name, queueClass] : this->classes) {
        for (const auto &[key, accountQueue] : queueClass.accountQueues) {
            if (!accountQueue.requests.empty() && (!next || accountQueue.requests.front().deadline < *next))
                next = accountQueue.requests.front().deadline;
        }
    }
    return next;
}

size_t AdmissionQueue::size(std::string_view className) const
{
    const auto entry = this->classes.find(className);
    return entry == this->classes.end() ? 0 : entry->second.size;
}

size_t AdmissionQueue::byteSize() const
{
    constexpr size_t NodeBytes = 4 * sizeof(void *);
    size_t bytes = sizeof(*this) + this->shares.size() * (sizeof(std::string) + 8 + NodeBytes);
    for (const auto &[name, queueClass] : this->classes) {
        bytes += sizeof(queueClass) + sizeof(std::string) + NodeBytes;
        for (const auto &[key, accountQueue] : queueClass.accountQueues)
            bytes += sizeof(key) + sizeof(accountQueue) + NodeBytes +
                     accountQueue.requests.size() * sizeof(WaitingRequest);
    }
    return bytes;
}

} // namespace eelgrasslift
