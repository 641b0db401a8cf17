#include "commands.h"

#include <chrono>
#include <iomanip>
#include <iostream>

namespace eelgrasslift::bench {

namespace {

constexpr int Repetitions = 2000;

/// Calls `call` with 0 to count - 1 and returns the mean time of one call in microseconds.
template <typename Call>
double meanMicroseconds(int count, Call call)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i)
        call(i);
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / count;
}

void printRow(const std::string &label, uint32_t size, double microsecondsPerCall, double bytesPerItem)
{
    std::cout << std::left << std::setw(44) << label << std::right << std::setw(8) << size << std::fixed
              << std::setprecision(2) << std::setw(14) << microsecondsPerCall << std::setprecision(0)
              << std::setw(14) << bytesPerItem << "\n";
}

/// An estimator with 1,000 samples of one account and class.
LengthEstimator makeLengthEstimator(Random &random)
{
    LengthEstimator lengths;
    for (int i = 0; i < 1000; ++i)
        lengths.record("account-0", "report", 100 + static_cast<uint32_t>(random.exponential(2000)));
    return lengths;
}

SelectRequest makeReportRequest()
{
    SelectRequest request;
    request.model = "planner";
    request.account = "account-0";
    request.className = "report";
    request.promptTokens = 1500;
    return request;
}

/// Measures a selector with `count` targets in one failure domain and two runs of this entry on each.
void measureSelector(uint32_t count, Random &random)
{
    const LengthEstimator lengths = makeLengthEstimator(random);
    SelectorOptions options;
    options.ownDomain = domainName(0);
    TargetSelector selector(options, lengths);
    const SelectRequest request = makeReportRequest();
    const TimePoint start{std::chrono::hours{1}};
    for (uint32_t i = 0; i < count; ++i) {
        TargetSettings target;
        target.id = engineName(i);
        target.domain = domainName(0);
        target.models = {"planner"};
        selector.upsertTarget(target, TimePoint{});
    }
    const size_t bytesWithoutRuns = selector.byteSize();
    std::vector<RunId> runs;
    for (uint32_t i = 0; i < 2 * count; ++i)
        runs.push_back(selector.start(engineName(i % count), request, start));
    const auto perRun = static_cast<double>(selector.byteSize() - bytesWithoutRuns) / (2.0 * count);
    printRow("start of a run; bytes per open request", count, 0, perRun);

    TimePoint now = start;
    const double report = meanMicroseconds(Repetitions, [&](int i) {
        now += std::chrono::microseconds{500};
        selector.applyReport(engineName(static_cast<uint32_t>(i) % count),
                             {1, i + 1, 6, 0, 20000, FakeEngine::Memory, 0}, now);
    });
    printRow("load report", count, report, 0);
    const double progress = meanMicroseconds(Repetitions, [&](int i) {
        selector.recordProgress(runs[static_cast<size_t>(i) % runs.size()], 10, now);
    });
    printRow("progress of a run", count, progress, 0);
    const double select = meanMicroseconds(Repetitions, [&](int) {
        now += std::chrono::milliseconds{2};
        selector.select(request, now, random);
    });
    const auto perTarget = static_cast<double>(bytesWithoutRuns) / count;
    printRow("select; bytes per target", count, select, perTarget);
}

/// Measures selection when none of the `count` targets has headroom.
void measureFullSelector(uint32_t count, Random &random)
{
    const LengthEstimator lengths = makeLengthEstimator(random);
    SelectorOptions options;
    options.ownDomain = domainName(0);
    TargetSelector selector(options, lengths);
    TimePoint now{std::chrono::hours{1}};
    for (uint32_t i = 0; i < count; ++i) {
        TargetSettings target;
        target.id = engineName(i);
        target.domain = domainName(i % 2);
        target.models = {"planner"};
        selector.upsertTarget(target, TimePoint{});
        selector.applyReport(target.id, {1, 1, 16, 4, 59000, FakeEngine::Memory, 0}, now);
    }
    const SelectRequest request = makeReportRequest();
    const double select = meanMicroseconds(Repetitions, [&](int) { selector.select(request, now, random); });
    printRow("select, all targets full", count, select, 0);
}

/// Measures the admission queue with four waiting requests per account.
void measureQueue(uint32_t accounts, Random &random)
{
    AdmissionQueue queue(1000000);
    queue.setClass("label", {1, std::chrono::seconds{20}, 1000000});
    queue.setClass("report", {2, std::chrono::seconds{60}, 1000000});
    const TimePoint now{std::chrono::hours{1}};
    const size_t emptyBytes = queue.byteSize();
    const int waiting = static_cast<int>(accounts) * 4;
    const double push = meanMicroseconds(waiting, [&](int i) {
        WaitingRequest request;
        request.id = static_cast<uint64_t>(i);
        request.account = accountName(static_cast<uint32_t>(i) / 2 % accounts);
        request.className = i % 2 == 0 ? "label" : "report";
        request.cost = random.exponential(1000);
        queue.push(std::move(request), now);
    });
    const auto bytes = static_cast<double>(queue.byteSize() - emptyBytes) / waiting;
    printRow("admission push; bytes per waiting request", accounts, push, bytes);
    const double refused = meanMicroseconds(
            200, [&](int) { queue.dispatch(now, [](const WaitingRequest &) { return false; }); });
    printRow("admission dispatch, nothing fits", accounts, refused, 0);
    const double dispatch = meanMicroseconds(
            waiting / 2, [&](int) { queue.dispatch(now, [](const WaitingRequest &) { return true; }); });
    printRow("admission dispatch", accounts, dispatch, 0);
}

/// Measures the limiter of one entry in a fleet of `entries`.
void measureLimiter(uint32_t accounts, uint32_t entries)
{
    AccountLimiter limiter;
    std::vector<std::string> peers;
    for (uint32_t i = 1; i < entries; ++i)
        peers.push_back("entry-" + std::to_string(i));
    TimePoint now{std::chrono::hours{1}};
    limiter.setPeers(peers, now);
    std::vector<AccountUsage> usage;
    for (uint32_t i = 0; i < accounts; ++i) {
        limiter.setAccount(accountName(i), {50, 100, 100}, now);
        usage.push_back({accountName(i), 1, 1});
    }
    const auto bytes = static_cast<double>(limiter.byteSize()) / accounts;
    const double admit = meanMicroseconds(Repetitions, [&](int i) {
        now += std::chrono::milliseconds{1};
        const std::string account = accountName(static_cast<uint32_t>(i) % accounts);
        if (std::holds_alternative<Admitted>(limiter.admit(account, now)))
            limiter.release(account, now);
    });
    const std::string size = " (" + std::to_string(entries) + " entries)";
    printRow("limiter admit; bytes per account" + size, accounts, admit, bytes);
    const double apply = meanMicroseconds(20, [&](int) { limiter.applyPeerUsage("entry-1", usage, now); });
    printRow("limiter peer usage, all accounts" + size, accounts, apply, 0);
}

void measureLengths(uint32_t accounts, Random &random)
{
    LengthEstimator lengths;
    for (uint32_t i = 0; i < accounts; ++i)
        lengths.record(accountName(i), "report", 1000);
    const double record = meanMicroseconds(Repetitions, [&](int i) {
        lengths.record(accountName(static_cast<uint32_t>(i) % accounts), "report",
                       static_cast<uint32_t>(random.exponential(1000)));
    });
    const auto bytes = static_cast<double>(lengths.byteSize()) / accounts;
    printRow("length record; bytes per account x class", accounts, record, bytes);
}

} // namespace

int runSlopes(uint64_t seed)
{
    Random random{seed};
    std::cout << std::left << std::setw(44) << "operation" << std::right << std::setw(8) << "size"
              << std::setw(14) << "us/call" << std::setw(14) << "bytes/item"
              << "\n";
    for (const uint32_t targets : {10U, 100U, 1000U, 2000U}) {
        measureSelector(targets, random);
        measureFullSelector(targets, random);
    }
    for (const uint32_t accounts : {10U, 100U, 600U})
        measureQueue(accounts, random);
    for (const uint32_t accounts : {10U, 100U, 600U}) {
        measureLimiter(accounts, EntryCount);
        measureLengths(accounts, random);
    }
    measureLimiter(600, 400);
    return 0;
}

} // namespace eelgrasslift::bench
