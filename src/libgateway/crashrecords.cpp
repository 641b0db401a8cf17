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
    const bool isPart = this->subject == CrashSubject::PromptPart;
    return this->crashes.size() >= (isPart ? PromptPartCrashLimit : CrashLimit) && !this->isExpired(now);
}

CrashRecords::Change CrashRecords::recordCrash(const Sha256 &fingerprint, const RunnerIncarnation &runner,
                                               TimePoint now)
{
    return this->update(fingerprint,
                        {CrashSubject::Request, 0, {{runner, Crash{now}}}, this->completionOf(fingerprint)},
                        now);
}

CrashRecords::Change CrashRecords::recordPromptPartCrash(const Sha256 &part, uint32_t position,
                                                         const Sha256 &request,
                                                         const RunnerIncarnation &runner, TimePoint now)
{
    const std::optional<TimePoint> completedAt = this->completionOf(part);
    // Parts that are served all the time would be reported with each crash.
    if (completedAt && now < *completedAt + PromptPartProtection)
        return Change::None;
    return this->update(part,
                        {CrashSubject::PromptPart,
                         position,
                         {{runner, Crash{now, shortFingerprint(request)}}},
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
    for (const CrashReport::Crash &crash : report.crashes)
        added.crashes.emplace(crash.runner, Crash{now - crash.age, crash.request});
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
    const size_t previousCount = record.crashes.size();
    bool isChanged = false;
    record.subject = added.subject;
    record.position = std::max(record.position, added.position);
    if (added.completedAt &&
        (!record.completedAt || *added.completedAt > *record.completedAt + CompletionTolerance)) {
        record.completedAt = added.completedAt;
        isChanged = true;
    }
    for (const auto &[runner, crash] : added.crashes) {
        if (record.crashes.size() < MaxCrashes)
            record.crashes.emplace(runner, crash);
    }
    if (record.completedAt) {
        std::erase_if(record.crashes, [&](const auto &crash) {
            return crash.second.at < *record.completedAt + record.protection();
        });
    }
    isChanged = isChanged || record.crashes.size() != previousCount;
    if (record.isSuspect(now))
        this->refusals.insert(fingerprint);
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
    return this->unexplainedCrashes(fingerprint, record) >= CrashLimit;
}

size_t CrashRecords::unexplainedCrashes(const Sha256 &fingerprint, const Record &record) const
{
    if (this->blame.suspects(fingerprint))
        return record.crashes.size();
    return static_cast<size_t>(std::ranges::count_if(record.crashes, [this](const auto &crash) {
        return !this->blame.runners.contains(crash.first);
    }));
}

void CrashRecords::updateBlame(TimePoint now)
{
    std::vector<SuspectPromptPart> suspects;
    for (const Sha256 &fingerprint : this->refusals) {
        const auto found = this->records.find(fingerprint);
        if (found == this->records.end() || found->second.subject != CrashSubject::PromptPart ||
            !found->second.isSuspect(now))
            continue;
        const Record &record = found->second;
        SuspectPromptPart suspect{fingerprint, {}, 0, record.completedAt, record.position};
        std::set<uint64_t> requests;
        for (const auto &[runner, crash] : record.crashes) {
            suspect.runners.insert(runner);
            requests.insert(crash.request);
        }
        suspect.requestCount = requests.size();
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
    return this->unexplainedCrashes(fingerprint, found->second);
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
        for (const auto &[runner, crash] : item->second.crashes)
            report.crashes.push_back({runner, now - crash.at, crash.request});
        if (item->second.completedAt)
            report.completedAge = now - *item->second.completedAt;
        result.reports.push_back(std::move(report));
    }
    return result;
}

} // namespace eelgrasslift
