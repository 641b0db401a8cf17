#include "workload.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace eelgrasslift::bench {

namespace {

// Fraction of the requests per account: a few large accounts and many small ones.
constexpr std::array<double, AccountCount> AccountShares{0.28, 0.20, 0.12, 0.08, 0.08,
                                                         0.06, 0.06, 0.05, 0.04, 0.03};
// Fraction of the requests per failure domain. They differ because the load balancer in front of the entries
// prefers the domain nearest to the caller.
constexpr std::array<double, DomainCount> DomainShares{0.42, 0.33, 0.25};
// Ratio of the median output length of an account to that of the class.
constexpr std::array<double, AccountCount> LengthFactors{1.0, 1.6, 0.7, 1.2, 0.5, 1.0, 2.0, 0.8, 1.3, 0.6};
// Prompts of the same account and class share a prefix, such as a catalogue or statutes. This fraction of the
// prompt can be cached.
constexpr double SharedPromptFraction = 0.6;
// Number of different prefixes per account and class.
constexpr uint32_t TemplatesPerClass = 3;
constexpr double PromptSigma = 0.4;

template <size_t Count>
uint32_t drawIndex(const std::array<double, Count> &shares, Random &random)
{
    double remaining = random.uniform();
    for (uint32_t i = 0; i + 1 < Count; ++i) {
        remaining -= shares[i];
        if (remaining < 0)
            return i;
    }
    return Count - 1;
}

uint32_t drawLength(double median, double sigma, double maximum, Random &random)
{
    return static_cast<uint32_t>(std::clamp(median * std::exp(sigma * random.normal()), 1.0, maximum));
}

void addPrefixHashes(TraceRequest &request, Random &random)
{
    const uint64_t templateIndex = (request.account * 16ULL + request.classIndex) * TemplatesPerClass +
                                   random.below(TemplatesPerClass);
    const auto blocks = static_cast<uint32_t>(request.promptTokens * SharedPromptFraction / TokensPerBlock);
    for (uint32_t block = 0; block < blocks; ++block)
        request.prefixHashes.push_back((templateIndex + 1) * 1000 + block);
}

} // namespace

RequestMix plovdivMix()
{
    RequestMix mix;
    mix.name = "plovdiv";
    mix.nominalRate = 6.0;
    mix.classes = {{"label", 1, std::chrono::seconds{20}, true, 0.7, 200, 40, 0.6},
                   {"report", 2, std::chrono::seconds{60}, false, 0.3, 1500, 1500, 1.0}};
    return mix;
}

RequestMix steinerMix()
{
    RequestMix mix;
    mix.name = "steiner";
    mix.nominalRate = 2.6;
    mix.classes = {{"note", 1, std::chrono::seconds{20}, true, 0.5, 400, 80, 0.7},
                   {"summary", 2, std::chrono::seconds{60}, false, 0.5, 2500, 2200, 0.9}};
    return mix;
}

std::vector<TraceRequest> makeTrace(const RequestMix &mix, double load, Duration length, uint64_t seed)
{
    Random random{seed};
    std::vector<TraceRequest> trace;
    const double rate = mix.nominalRate * load;
    for (double time = random.exponential(1 / rate); time < toSeconds(length);
         time += random.exponential(1 / rate)) {
        TraceRequest request;
        request.arrival = TimePoint{fromSeconds(time)};
        request.account = drawIndex(AccountShares, random);
        request.classIndex = random.chance(mix.classes[0].shareOfRequests) ? 0 : 1;
        const uint32_t domain = drawIndex(DomainShares, random);
        request.entry = domain * (EntryCount / DomainCount) +
                        static_cast<uint32_t>(random.below(EntryCount / DomainCount));
        const ClassSpec &spec = mix.classes[request.classIndex];
        request.promptTokens = drawLength(spec.promptMedian, PromptSigma, 8192, random);
        request.outputTokens = drawLength(spec.outputMedian * LengthFactors[request.account],
                                          spec.outputSigma, MaxOutputTokens, random);
        addPrefixHashes(request, random);
        trace.push_back(std::move(request));
    }
    return trace;
}

std::string accountName(uint32_t account)
{
    return "account-" + std::to_string(account);
}

} // namespace eelgrasslift::bench
