#include "libgateway/crashrecords.h"

#include <algorithm>
#include <cstring>

namespace eelgrasslift {

namespace {

// A completion is news only if it is later than the known one by more than this: each process that passes
// its age on adds the delay of the network.
constexpr Duration CompletionTolerance = std::chrono::seconds{1};

// Crashes beyond the limit change nothing; a few of them help to read the log.
constexpr size_t MaxCrashes = 32;

// Of the requests with a part that are lost at one runner, some suffice to find parts that they share.
constexpr size_t MaxCrashRequests = 4;

} // namespace

uint64_t shortFingerprint(const Sha256 &fingerprint)
{
    uint64_t number = 0;
    std::memcpy(&number, fingerprint.data(), sizeof number);
    return number;
}

std::string_view toString(CrashSubject subject)
{
    return subject == CrashSubject::PromptPart ? "prompt-part" : "request";
}

std::string fingerprintText(const Sha256 &fingerprint)
{
    constexpr size_t LoggedBytes = 8;
    return toHex(std::span(fingerprint).first(LoggedBytes));
}

Sha256 promptPartFingerprint(std::string_view id)
{
    return sha256("prompt part " + std::string(id));
}

TimePoint CrashRecords::Record::lastCrashAt() const
{
    // A record without crashes only tells others about the completion.
    TimePoint last = this->crashes.empty() ? this->completedAt.value_or(TimePoint{}) : TimePoint{};
    for (const auto &[runner, crash] : this->crashes)
        last = std::max(last, crash.at);
    return last;
}

bool CrashRecords::Record::isSuspect(TimePoint now) const
{
    if (this->isExpired(now))
        return false;
    if (this->subject == CrashSubject::Request)
        return this->crashes.size() >= CrashLimit;
    return this->answeredCrashes() >= PromptPartCrashLimit || this->separateCrashes() >= PromptPartCrashLimit;
}

bool CrashRecords::Record::hasSettled(Duration time, TimePoint now) const
{
    return this->suspectSince && now - *this->suspectSince >= time;
}

size_t CrashRecords::Record::answeredCrashes() const
{
    return static_cast<size_t>(
            std::ranges::count_if(this->crashes, [](const auto &crash) { return crash.second.isAnswered; }));
}

size_t CrashRecords::Record::separateCrashes() const
{
    std::vector<TimePoint> times;
    const TimePoint first = this->lastCrashAt() - MaxCrashSpan;
    for (const auto &[runner, crash] : this->crashes) {
        if (crash.at >= first)
            times.push_back(crash.at);
    }
    std::ranges::sort(times);
    size_t count = 0;
    std::optional<TimePoint> last;
    for (const TimePoint at : times) {
        if (last && at - *last < MinCrashInterval)
            continue;
        last = at;
        ++count;
    }
    return count;
}

bool CrashRecords::Record::add(const RunnerIncarnation &runner, const Crash &crash)
{
    const auto found = this->crashes.find(runner);
    if (found == this->crashes.end()) {
        if (this->crashes.size() >= MaxCrashes)
            return false;
        this->crashes.emplace(runner, crash);
        return true;
    }
    Crash &known = found->second;
    const bool isNews = crash.isAnswered && !known.isAnswered;
    known.isAnswered = known.isAnswered || crash.isAnswered;
    const size_t requestCount = known.requests.size();
    for (const uint64_t request : crash.requests) {
        if (known.requests.size() < MaxCrashRequests)
            known.requests.insert(request);
    }
    return isNews || known.requests.size() != requestCount;
}

CrashRecords::Change CrashRecords::recordCrash(const Sha256 &fingerprint, const RunnerIncarnation &runner,
                                               TimePoint now)
{
    return this->update(
            fingerprint,
            {CrashSubject::Request, 0, {{runner, Crash{now, {}}}}, this->completionOf(fingerprint)}, now);
}

CrashRecords::Change CrashRecords::recordPromptPartCrash(const Sha256 &part, uint32_t position,
                                                         const Sha256 &request,
                                                         const RunnerIncarnation &runner, TimePoint now,
                                                         bool isAnswered)
{
    const std::optional<TimePoint> completedAt = this->completionOf(part);
    // Parts that are served all the time would be reported with each crash.
    if (completedAt && now < *completedAt + PromptPartProtection)
        return Change::None;
    return this->update(part,
                        {CrashSubject::PromptPart,
                         position,
                         {{runner, Crash{now, {shortFingerprint(request)}, isAnswered}}},
                         completedAt},
                        now);
}

CrashRecords::Change CrashRecords::recordCompletion(const Sha256 &fingerprint, TimePoint now)
{
    const auto [completion, isNew] = this->completions.insert_or_assign(fingerprint, now);
    if (isNew)
        this->completionOrder.push_back(fingerprint);
    if (this->completionOrder.size() > MaxCompletions) {
        this->completions.erase(this->completionOrder.front());
        this->completionOrder.pop_front();
    }
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end())
        return Change::None;
    const Record &record = found->second;
    // A part without crashes has nothing to clear, here or elsewhere.
    if (record.subject == CrashSubject::PromptPart && record.crashes.empty())
        return Change::None;
    return this->update(fingerprint, {record.subject, record.position, {}, now}, now);
}

CrashRecords::Change CrashRecords::merge(const CrashReport &report, TimePoint now)
{
    Record added{report.subject, report.position, {}, this->completionOf(report.fingerprint)};
    for (const CrashReport::Crash &crash : report.crashes) {
        // Crashes of whole requests name none.
        const auto requests = crash.request == 0 ? std::set<uint64_t>{} : std::set{crash.request};
        added.add(crash.runner, Crash{now - crash.age, requests, crash.isAnswered});
    }
    if (report.completedAge)
        added.completedAt =
                std::max<TimePoint>(now - *report.completedAge, added.completedAt.value_or(TimePoint::min()));
    return this->update(report.fingerprint, added, now);
}

CrashRecords::Change CrashRecords::update(const Sha256 &fingerprint, const Record &added, TimePoint now)
{
    if (!this->records.contains(fingerprint))
        this->makeRoom(now);
    Record &record = this->records[fingerprint];
    if (record.isExpired(now))
        record = Record{};
    const bool wasQuarantined = this->isQuarantined(fingerprint, record, now);
    bool isChanged = false;
    record.subject = added.subject;
    record.position = std::max(record.position, added.position);
    if (added.completedAt &&
        (!record.completedAt || *added.completedAt > *record.completedAt + CompletionTolerance)) {
        record.completedAt = added.completedAt;
        isChanged = true;
    }
    const auto isBeforeCompletion = [&record](const auto &crash) {
        return record.completedAt && crash.second.at < *record.completedAt + record.protection();
    };
    for (const auto &crash : added.crashes) {
        if (!isBeforeCompletion(crash))
            isChanged = record.add(crash.first, crash.second) || isChanged;
    }
    isChanged = std::erase_if(record.crashes, isBeforeCompletion) > 0 || isChanged;
    if (record.isSuspect(now))
        this->refusals.insert(fingerprint);
    if (!record.isSuspect(now))
        record.suspectSince.reset();
    else if (!record.suspectSince)
        record.suspectSince = now;
    if (!isChanged)
        return Change::None;
    record.changedIn = ++this->currentVersion;
    if (record.subject == CrashSubject::PromptPart)
        this->updateBlame(now);
    const bool isRefused = this->isQuarantined(fingerprint, record, now);
    if (isRefused == wasQuarantined)
        return Change::Recorded;
    return isRefused ? Change::Quarantined : Change::Cleared;
}

bool CrashRecords::isQuarantined(const Sha256 &fingerprint, const Record &record, TimePoint now) const
{
    if (!record.isSuspect(now))
        return false;
    if (record.subject == CrashSubject::PromptPart)
        return this->blame.suspects(fingerprint);
    return this->unexplainedCrashes(fingerprint, record, now) >= CrashLimit;
}

size_t CrashRecords::unexplainedCrashes(const Sha256 &fingerprint, const Record &record, TimePoint now) const
{
    const bool isSuspected = this->blame.suspects(fingerprint);
    const bool countsAll = record.subject == CrashSubject::Request || record.hasSettled(SettleTime, now);
    return static_cast<size_t>(std::ranges::count_if(record.crashes, [&](const auto &crash) {
        return (countsAll || crash.second.isAnswered) &&
               (isSuspected || !this->blame.runners.contains(crash.first));
    }));
}

std::vector<Sha256> CrashRecords::settle(TimePoint now)
{
    std::vector<Sha256> refused;
    if (!this->nextSettleAt || now < *this->nextSettleAt)
        return refused;
    const CrashBlame previous = this->blame;
    this->updateBlame(now);
    for (const std::set<Sha256> &group : this->blame.groups) {
        for (const Sha256 &part : group) {
            if (!previous.suspects(part))
                refused.push_back(part);
        }
    }
    return refused;
}

bool CrashRecords::hasAlternative(const SuspectPromptPart &suspect) const
{
    return std::ranges::any_of(this->records, [&](const auto &item) {
        const auto &[fingerprint, record] = item;
        if (record.subject != CrashSubject::PromptPart || fingerprint == suspect.fingerprint)
            return false;
        size_t unexplained = 0;
        for (const auto &[runner, requests] : suspect.requestsByRunner) {
            const auto found = record.crashes.find(runner);
            // A part of the same request is no other explanation.
            const bool explains =
                    found != record.crashes.end() && !found->second.isAnswered &&
                    std::ranges::none_of(found->second.requests, [&known = requests](uint64_t request) {
                        return known.contains(request);
                    });
            if (!explains && ++unexplained > MaxCrashDifference)
                return false;
        }
        return true;
    });
}

void CrashRecords::updateBlame(TimePoint now)
{
    std::vector<SuspectPromptPart> suspects;
    this->nextSettleAt.reset();
    // Parts with a crash less may explain those of others: a waiting request is lost beside one that had
    // begun.
    const auto mayExplain = [](const Record &record) {
        return record.crashes.size() + MaxCrashDifference >= PromptPartCrashLimit &&
               record.answeredCrashes() < record.crashes.size();
    };
    for (const auto &[fingerprint, record] : this->records) {
        if (record.subject != CrashSubject::PromptPart || record.isExpired(now))
            continue;
        const bool isSuspect = record.isSuspect(now);
        if (!isSuspect && !mayExplain(record))
            continue;
        SuspectPromptPart suspect{fingerprint, {}, 0, record.completedAt, record.position};
        std::set<uint64_t> requests;
        for (const auto &[runner, crash] : record.crashes) {
            suspect.runners.insert(runner);
            suspect.requestsByRunner.emplace(runner, crash.requests);
            requests.insert(crash.requests.begin(), crash.requests.end());
        }
        suspect.requestCount = requests.size();
        const bool hadBegun = record.answeredCrashes() >= PromptPartCrashLimit;
        Duration settleTime = SettleTime;
        if (hadBegun)
            settleTime = this->hasAlternative(suspect) ? AlternativeSettleTime : this->answeredSettleTime;
        suspect.isRefusable = isSuspect && record.hasSettled(settleTime, now);
        if (!suspect.isRefusable && record.suspectSince) {
            const TimePoint settledAt = *record.suspectSince + settleTime;
            this->nextSettleAt = std::min(this->nextSettleAt.value_or(settledAt), settledAt);
        }
        suspects.push_back(std::move(suspect));
    }
    this->blame = attributeCrashes(std::move(suspects));
}

std::optional<TimePoint> CrashRecords::completionOf(const Sha256 &fingerprint) const
{
    const auto found = this->completions.find(fingerprint);
    return found == this->completions.end() ? std::nullopt : std::optional(found->second);
}

void CrashRecords::makeRoom(TimePoint now)
{
    if (this->records.size() < MaxRecords)
        return;
    std::erase_if(this->records, [now](const auto &item) { return item.second.isExpired(now); });
    if (this->records.size() >= MaxRecords) {
        this->records.erase(std::ranges::min_element(this->records, {}, [](const auto &item) {
            return std::pair(item.second.crashes.size(), item.second.lastCrashAt());
        }));
    }
    std::erase_if(this->refusals,
                  [this](const Sha256 &fingerprint) { return !this->records.contains(fingerprint); });
}

std::optional<TimePoint> CrashRecords::quarantinedUntil(const Sha256 &fingerprint, TimePoint now) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || !this->isQuarantined(fingerprint, found->second, now))
        return std::nullopt;
    if (found->second.subject == CrashSubject::PromptPart && !this->blame.refuses(std::span(&fingerprint, 1)))
        return std::nullopt;
    return found->second.lastCrashAt() + Lifetime;
}

std::optional<CrashRecords::Quarantine> CrashRecords::quarantineOf(std::span<const Sha256> promptParts,
                                                                   TimePoint now) const
{
    if (!this->blame.refuses(promptParts))
        return std::nullopt;
    std::optional<Quarantine> result;
    for (const Sha256 &part : promptParts) {
        const auto found = this->records.find(part);
        if (found == this->records.end() || !this->isQuarantined(part, found->second, now))
            continue;
        const TimePoint until = found->second.lastCrashAt() + Lifetime;
        if (!result || until > result->until)
            result = Quarantine{part, until};
    }
    return result;
}

size_t CrashRecords::crashCount(const Sha256 &fingerprint, TimePoint now) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || found->second.isExpired(now))
        return 0;
    return this->unexplainedCrashes(fingerprint, found->second, now);
}

std::string CrashRecords::crashedRunners(const Sha256 &fingerprint) const
{
    std::string ids;
    if (const auto found = this->records.find(fingerprint); found != this->records.end()) {
        for (const auto &[runner, crash] : found->second.crashes)
            ids += (ids.empty() ? "" : ",") + runner.id;
    }
    return ids;
}

CrashChanges CrashRecords::changesSince(uint64_t version, TimePoint now) const
{
    if (version == this->currentVersion)
        return {version, {}};
    std::vector<const RecordItem *> items;
    for (const RecordItem &item : this->records)
        items.push_back(&item);
    return this->changesAmong(std::move(items), version, now);
}

CrashChanges CrashRecords::refusalsSince(uint64_t version, TimePoint now) const
{
    if (version == this->currentVersion)
        return {version, {}};
    std::vector<const RecordItem *> items;
    for (const Sha256 &fingerprint : this->refusals) {
        if (const auto found = this->records.find(fingerprint); found != this->records.end())
            items.push_back(&*found);
    }
    return this->changesAmong(std::move(items), version, now);
}

CrashChanges CrashRecords::changesAmong(std::vector<const RecordItem *> items, uint64_t version,
                                        TimePoint now) const
{
    // A version of another process, or of an earlier one, says nothing about this one.
    if (version > this->currentVersion)
        version = 0;
    std::erase_if(items, [&](const RecordItem *item) {
        return item->second.changedIn <= version || item->second.isExpired(now);
    });
    std::ranges::sort(items, {}, [](const RecordItem *item) { return item->second.changedIn; });
    CrashChanges result{this->currentVersion, {}};
    if (items.size() > MaxReports) {
        items.resize(MaxReports);
        result.version = items.back()->second.changedIn;
    }
    for (const RecordItem *item : items) {
        CrashReport report;
        report.fingerprint = item->first;
        report.subject = item->second.subject;
        report.position = item->second.position;
        for (const auto &[runner, crash] : item->second.crashes) {
            if (crash.requests.empty())
                report.crashes.push_back({runner, now - crash.at, 0, crash.isAnswered});
            for (const uint64_t request : crash.requests)
                report.crashes.push_back({runner, now - crash.at, request, crash.isAnswered});
        }
        if (item->second.completedAt)
            report.completedAge = now - *item->second.completedAt;
        result.reports.push_back(std::move(report));
    }
    return result;
}

} // namespace eelgrasslift
