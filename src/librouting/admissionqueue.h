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

/// Queue settings of one request class.
struct QueueClass
{
    /// 0 is served first, 9 last.
    uint32_t priority = 5;
    /// Maximum time in the queue; a request that waits longer expires.
    Duration maxWait = std::chrono::seconds{30};
    /// Maximum number of waiting requests of this class.
    uint32_t limit = 200;
};

/// A request in the admission queue.
struct WaitingRequest
{
    /// Chosen by the code that calls push(); unique among waiting requests.
    uint64_t id = 0;
    std::string account;
    std::string className;
    /// Expected work in tokens of prompt and output; the unit in which accounts share the dispatch capacity.
    double cost = 1;
    /// Suspect of CrashQuarantine. Suspects wait in a queue of their own, so that they do not block the
    /// account's other requests.
    bool requiresIsolation = false;
    /// Set by push(), like the deadline.
    TimePoint enqueuedAt{};
    TimePoint deadline{};

    /// Fraction of the maximum wait that has passed, 0..1.
    double urgency(TimePoint now) const;
};

/// A request that the queue did not accept, or that it removed without dispatching it.
struct QueueRefused
{
    enum class Reason {
        UnknownClass,      ///< The class was not set.
        QueueFull,         ///< The class or the whole queue is full.
        AccountShare,      ///< No capacity, and the account has the most requests of the class per share.
        DeadlineWouldPass, ///< At the current dispatch rate the request would miss its deadline.
        DeadlinePassed,    ///< The request waited until its deadline.
        Shed,              ///< Displaced by a request of a class of higher priority.
    };

    /// WaitingRequest::id.
    uint64_t id = 0;
    Reason reason = Reason::QueueFull;
    /// Time until the queue is expected to have capacity, 1 s to 60 s.
    Duration retryAfter{0};
};

/// Stable name for logs, metrics and error documents.
std::string_view toString(QueueRefused::Reason reason);

/// Success value of AdmissionQueue::push().
struct Queued
{
    /// Waiting requests that were removed in favour of the new one; the caller of push() must refuse them.
    std::vector<QueueRefused> displaced;
};

/// Bounded queue of requests that wait for a target with headroom.
///
/// Order: class of highest priority first. A class gains one priority level for every 3 s that its oldest
/// request has waited, so that a class of higher priority cannot starve one of lower priority. Within a
/// class, weighted fair queueing applies: the account with the least dispatched work per share goes first. A
/// request that no target accepts does not block the requests of other accounts.
///
/// Load shedding when the queue is full: class of lowest priority first, within it the account with the most
/// requests per share, and of that account the newest request. When only the class of the new request is
/// full, it sheds within that class.
///
/// Single-threaded. The caller passes the time, which must not go backwards.
class AdmissionQueue
{
public:
    /// Tries to place a request on a target; returns true if the request was placed.
    using Offer = std::function<bool(const WaitingRequest &)>;

    /// `totalLimit` is the maximum number of waiting requests of all classes together.
    explicit AdmissionQueue(uint32_t totalLimit = 2000);

    /// Adds a class or changes its settings. Requests that wait already keep their deadline.
    void setClass(std::string_view className, const QueueClass &settings);

    /// Sets the weight of an account in every class. The default is 1; 0 counts as 1.
    void setShare(std::string_view account, uint32_t share);

    /// Enqueues a request, or refuses it when its class is unknown, the queue is full or the expected wait
    /// exceeds the class's maximum. A full queue may remove other requests instead, see Queued::displaced.
    Result<Queued, QueueRefused> push(WaitingRequest request, TimePoint now);

    /// Offers waiting requests in order until `offer` places one; removes that request and returns it. Call
    /// dispatch() until it returns nothing whenever a run ends, a load report arrives or a request is pushed.
    /// One call offers at most 8 requests per class, the oldest of each account.
    std::optional<WaitingRequest> dispatch(TimePoint now, const Offer &offer);

    /// Removes a request, for example when its caller disconnects. Returns false if the request is not
    /// waiting.
    bool remove(uint64_t id);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<QueueRefused> expire(TimePoint now);

    /// Earliest deadline of the waiting requests, when expire() is due next; nullopt if none waits.
    std::optional<TimePoint> nextDeadline() const;

    /// Number of waiting requests.
    size_t size() const { return this->total; }
    /// Number of waiting requests of one class; 0 for an unknown class.
    size_t size(std::string_view className) const;

    /// Approximate memory use in bytes.
    size_t byteSize() const;

private:
    /// The waiting requests of one account in one class, oldest first. Suspects have a separate queue.
    struct AccountQueue
    {
        std::string account;
        bool requiresIsolation = false;
        uint32_t share = 1;
        /// Dispatched work per share; the queue with the lowest value is served first.
        double virtualTime = 0;
        std::deque<WaitingRequest> requests;
    };

    struct Class
    {
        QueueClass settings;
        /// By account and WaitingRequest::requiresIsolation.
        std::map<std::pair<std::string, bool>, AccountQueue> accountQueues;
        size_t size = 0;
        /// Highest virtual time of a queue at its dispatch. A queue that becomes active starts here, so that
        /// it gets no credit for its idle time.
        double virtualTime = 0;
        /// Dispatched requests per second, as a decaying average.
        double dispatchRate = 0;
        TimePoint dispatchRateAt{};
    };

    /// Queue whose newest request is shed.
    struct Victim
    {
        Class *owner = nullptr;
        AccountQueue *accountQueue = nullptr;
    };

    uint32_t shareOf(std::string_view account) const;
    Duration expectedWait(const Class &queueClass, TimePoint now) const;
    /// Finds the queue with the most requests per share, in the class of lowest priority. Considers only
    /// `onlyClass` if that is set, otherwise only classes of lower priority than `thresholdPriority`.
    Victim selectVictim(uint32_t thresholdPriority, Class *onlyClass);
    /// Sheds a waiting request if the class or the whole queue is full. Returns a refusal if the new request
    /// must be refused instead.
    std::optional<QueueRefused> ensureCapacity(Class &queueClass, const WaitingRequest &request,
                                               TimePoint now, std::vector<QueueRefused> &displaced);
    std::vector<Class *> classesInDispatchOrder(TimePoint now);
    std::optional<WaitingRequest> dispatchFrom(Class &queueClass, TimePoint now, const Offer &offer);

    uint32_t totalLimit;
    size_t total = 0;
    std::map<std::string, Class, std::less<>> classes;
    std::map<std::string, uint32_t, std::less<>> shares;
};

} // namespace eelgrasslift
