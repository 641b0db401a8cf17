#pragma once

#include "libcore/result.h"
#include "libcore/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

struct QueueClass
{
    /// 0 is served first, 9 last.
    uint32_t priority = 5;
    Duration deadline = std::chrono::seconds{30};
    /// Most waiting requests of this class.
    uint32_t limit = 200;
};

struct WaitingRequest
{
    /// Given by the caller; unique among waiting requests.
    uint64_t id = 0;
    std::string account;
    std::string className;
    /// Expected work in tokens (prompt and output); accounts share the queue by this measure.
    double cost = 1;
    /// Suspects wait in a line of their own, so that they do not hold up their account.
    bool requiresIsolation = false;
    /// Set by push().
    TimePoint enqueuedAt{};
    TimePoint deadline{};

    /// Share of the queue deadline that has passed, 0..1.
    double urgency(TimePoint now) const;
};

struct QueueRefused
{
    enum class Reason {
        UnknownClass,
        QueueFull,         ///< The class or the whole queue is full.
        AccountShare,      ///< The queue is full and the account holds more than its share of it.
        DeadlineWouldPass, ///< At the present rate the request would not be sent before its deadline.
        DeadlinePassed,    ///< The request waited until its deadline.
        Shed,              ///< Displaced by a request of a better priority.
    };

    uint64_t id = 0;
    Reason reason = Reason::QueueFull;
    /// When the queue is expected to have room, at least 1 s.
    Duration retryAfter{0};
};

std::string_view toString(QueueRefused::Reason reason);

/// The request waits. `displaced` are waiting requests that were removed to make room and must be answered.
struct Queued
{
    std::vector<QueueRefused> displaced;
};

/// Bounded queue of requests that wait for a target with headroom.
///
/// Order: best priority first, where a request gains one priority level for every 3 s of waiting, so that a
/// better class cannot starve a worse one. Within a class, accounts share by weight: the account with the
/// least work sent per share goes first. A target that is full for one account's request does not hold up
/// others.
///
/// Shedding when full: the worst priority first, in it the account that exceeds its share most, its newest
/// request first.
class AdmissionQueue
{
public:
    using Offer = std::function<bool(const WaitingRequest &)>;

    explicit AdmissionQueue(uint32_t totalLimit = 2000);

    void setClass(std::string_view className, const QueueClass &settings);
    void setShare(std::string_view account, uint32_t share);

    Result<Queued, QueueRefused> push(WaitingRequest request, TimePoint now);

    /// Offers waiting requests in order until `offer` takes one (returns true); returns that one, removed.
    /// Call it again until it returns nothing, whenever a run ends, a load report arrives or a request is
    /// pushed. At most 8 requests per class are offered in one call.
    std::optional<WaitingRequest> dispatch(TimePoint now, const Offer &offer);

    /// Removes a request whose caller has gone.
    bool remove(uint64_t id);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<QueueRefused> expire(TimePoint now);

    std::optional<TimePoint> nextDeadline() const;
    size_t size() const { return this->total; }
    size_t size(std::string_view className) const;
    size_t byteSize() const;

private:
    struct Line
    {
        std::string account;
        bool requiresIsolation = false;
        uint32_t share = 1;
        /// Work sent per share; the line with the least goes first.
        double served = 0;
        std::deque<WaitingRequest> requests;
    };

    struct Class
    {
        QueueClass settings;
        std::map<std::pair<std::string, bool>, Line> lines;
        size_t size = 0;
        /// The `served` of the line that was sent last; a line that becomes active starts here, without
        /// credit for its idle time.
        double served = 0;
        /// Requests sent per second, averaged.
        double dispatchRate = 0;
        TimePoint dispatchRateAt{};
    };

    struct Victim
    {
        Class *owner = nullptr;
        Line *line = nullptr;
    };

    uint32_t shareOf(std::string_view account) const;
    Duration expectedWait(const Class &queueClass, TimePoint now) const;
    Victim victim(uint32_t worseThan, Class *only);
    std::optional<QueueRefused> makeRoom(Class &queueClass, const WaitingRequest &request, TimePoint now,
                                         std::vector<QueueRefused> &displaced);
    std::vector<Class *> classesInOrder(TimePoint now);
    std::optional<WaitingRequest> dispatchFrom(Class &queueClass, TimePoint now, const Offer &offer);

    uint32_t totalLimit;
    size_t total = 0;
    std::map<std::string, Class, std::less<>> classes;
    std::map<std::string, uint32_t, std::less<>> shares;
};

} // namespace eelgrasslift
