#include "librouting/admissionqueue.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

// One priority level per 3 s: a report of priority 2 overtakes new labels of priority 1 after at most 3 s.
constexpr Duration AgeingStep = std::chrono::seconds{3};
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
    const uint32_t atLeastOne = std::max(share, 1U);
    this->shares.insert_or_assign(std::string(account), atLeastOne);
    for (auto &[name, queueClass] : this->classes) {
        for (auto &[key, line] : queueClass.lines) {
            if (key.first == account)
                line.share = atLeastOne;
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
    request.deadline = now + queueClass.settings.deadline;

    const Duration wait = this->expectedWait(queueClass, now);
    if (wait > queueClass.settings.deadline) {
        const Duration late = wait - queueClass.settings.deadline;
        return QueueRefused{request.id, QueueRefused::Reason::DeadlineWouldPass,
                            std::clamp<Duration>(late, MinRetryAfter, MaxRetryAfter)};
    }
    Queued queued;
    if (auto refused = this->makeRoom(queueClass, request, now, queued.displaced))
        return *refused;

    Line &line = queueClass.lines[{request.account, request.requiresIsolation}];
    if (line.requests.empty()) {
        line.account = request.account;
        line.requiresIsolation = request.requiresIsolation;
        line.share = this->shareOf(request.account);
        line.served = std::max(line.served, queueClass.served);
    }
    line.requests.push_back(std::move(request));
    ++queueClass.size;
    ++this->total;
    return queued;
}

Duration AdmissionQueue::expectedWait(const Class &queueClass, TimePoint now) const
{
    // A class that was not yet sent at a steady rate, or that has stopped, gives no basis for a refusal.
    const double age = toSeconds(now - queueClass.dispatchRateAt);
    const double rate = queueClass.dispatchRate * std::exp(-age / RateTimeConstantSeconds);
    if (rate * RateTimeConstantSeconds < 2 || queueClass.size < 4)
        return Duration{0};
    return fromSeconds(static_cast<double>(queueClass.size) / rate);
}

AdmissionQueue::Victim AdmissionQueue::victim(uint32_t worseThan, Class *only)
{
    Victim found;
    for (auto &[name, queueClass] : this->classes) {
        if (only ? &queueClass != only : queueClass.settings.priority <= worseThan)
            continue;
        if (found.owner && queueClass.settings.priority < found.owner->settings.priority)
            continue;
        for (auto &[key, line] : queueClass.lines) {
            if (line.requests.empty())
                continue;
            const bool isWorseClass =
                    !found.owner || queueClass.settings.priority > found.owner->settings.priority;
            if (isWorseClass ||
                line.requests.size() * found.line->share > found.line->requests.size() * line.share)
                found = {&queueClass, &line};
        }
    }
    return found;
}

std::optional<QueueRefused> AdmissionQueue::makeRoom(Class &queueClass, const WaitingRequest &request,
                                                     TimePoint now, std::vector<QueueRefused> &displaced)
{
    const bool isClassFull = queueClass.size >= queueClass.settings.limit;
    if (!isClassFull && this->total < this->totalLimit)
        return std::nullopt;

    const Duration wait =
            std::clamp<Duration>(this->expectedWait(queueClass, now), MinRetryAfter, MaxRetryAfter);
    Victim found;
    if (!isClassFull)
        found = this->victim(queueClass.settings.priority, nullptr);
    QueueRefused::Reason reason = QueueRefused::Reason::Shed;
    if (!found.line) {
        // No worse class waits: the account that exceeds its share most within the class gives way.
        found = this->victim(0, &queueClass);
        reason = QueueRefused::Reason::AccountShare;
        const auto own = queueClass.lines.find({request.account, request.requiresIsolation});
        const size_t ownSize = own == queueClass.lines.end() ? 0 : own->second.requests.size();
        const size_t share = this->shareOf(request.account);
        if (!found.line || (ownSize + 1) * found.line->share >= found.line->requests.size() * share) {
            const bool isOwn = found.line && found.line->account == request.account;
            return QueueRefused{request.id,
                                isOwn ? QueueRefused::Reason::AccountShare : QueueRefused::Reason::QueueFull,
                                wait};
        }
    }
    displaced.push_back({found.line->requests.back().id, reason, wait});
    found.line->requests.pop_back();
    --found.owner->size;
    --this->total;
    return std::nullopt;
}

std::vector<AdmissionQueue::Class *> AdmissionQueue::classesInOrder(TimePoint now)
{
    struct Ranked
    {
        Class *queueClass;
        int64_t rank;
    };
    std::vector<Ranked> ranked;
    for (auto &[name, queueClass] : this->classes) {
        if (queueClass.size == 0)
            continue;
        TimePoint oldest = TimePoint::max();
        for (const auto &[key, line] : queueClass.lines) {
            if (!line.requests.empty())
                oldest = std::min(oldest, line.requests.front().enqueuedAt);
        }
        ranked.push_back({&queueClass, queueClass.settings.priority - (now - oldest) / AgeingStep});
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        if (left.rank != right.rank)
            return left.rank < right.rank;
        return left.queueClass->settings.priority < right.queueClass->settings.priority;
    });
    std::vector<Class *> order;
    order.reserve(ranked.size());
    for (const Ranked &entry : ranked)
        order.push_back(entry.queueClass);
    return order;
}

std::optional<WaitingRequest> AdmissionQueue::dispatch(TimePoint now, const Offer &offer)
{
    if (this->total == 0)
        return std::nullopt;
    for (Class *queueClass : this->classesInOrder(now)) {
        if (auto sent = this->dispatchFrom(*queueClass, now, offer))
            return sent;
    }
    return std::nullopt;
}

std::optional<WaitingRequest> AdmissionQueue::dispatchFrom(Class &queueClass, TimePoint now,
                                                           const Offer &offer)
{
    std::vector<Line *> order;
    for (auto &[key, line] : queueClass.lines) {
        if (!line.requests.empty())
            order.push_back(&line);
    }
    const size_t offers = std::min(order.size(), MaxOffersPerClass);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(offers), order.end(),
                      [](const Line *left, const Line *right) { return left->served < right->served; });
    for (size_t i = 0; i < offers; ++i) {
        Line &line = *order[i];
        WaitingRequest &head = line.requests.front();
        if (now >= head.deadline || !offer(head))
            continue;
        queueClass.served = std::max(queueClass.served, line.served);
        line.served += std::max(head.cost, 1.0) / line.share;
        WaitingRequest sent = std::move(head);
        line.requests.pop_front();
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
        for (auto &[key, line] : queueClass.lines) {
            const auto request = std::find_if(line.requests.begin(), line.requests.end(),
                                              [id](const WaitingRequest &entry) { return entry.id == id; });
            if (request == line.requests.end())
                continue;
            line.requests.erase(request);
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
        for (auto &[key, line] : queueClass.lines) {
            // Requests of one line share the class's deadline, so the oldest is due first.
            while (!line.requests.empty() && line.requests.front().deadline <= now) {
                expired.push_back({line.requests.front().id, QueueRefused::Reason::DeadlinePassed, wait});
                line.requests.pop_front();
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
        for (const auto &[key, line] : queueClass.lines) {
            if (!line.requests.empty() && (!next || line.requests.front().deadline < *next))
                next = line.requests.front().deadline;
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
        for (const auto &[key, line] : queueClass.lines)
            bytes += sizeof(key) + sizeof(line) + NodeBytes + line.requests.size() * sizeof(WaitingRequest);
    }
    return bytes;
}

} // namespace eelgrasslift
