#pragma once

namespace eelgrasslift {

/// Size of a generation in tokens, as known when its request arrives.
struct GenerationSize
{
    double promptTokens = 0;
    /// Estimate; correct at the median, often far off for a single generation.
    double outputTokens = 0;
    /// The engine ends the generation at this length; 0 if unknown.
    double maxOutputTokens = 0;
};

/// Distribution of a generation's output length: lognormal with the caller's estimate as median, truncated at
/// the maximum. All lengths are in output tokens.
///
/// Load pattern: half of all generations exceed their estimate, some of them several times over. Using the
/// estimate as the length underestimates the remaining length of a long-running generation.
class OutputLengthDistribution
{
public:
    explicit OutputLengthDistribution(const GenerationSize &size);

    /// Probability that the output is longer than the given number of tokens.
    double survival(double tokens) const;

    /// Probability that the output is longer than the given number of tokens, after some have been generated.
    double survival(double tokens, double generatedTokens) const;

    /// Expected number of tokens still to generate, after some have been generated.
    double expectedRemaining(double generatedTokens) const;

    /// Expected total output length, after some tokens have been generated.
    double expectedLength(double generatedTokens) const
    {
        return generatedTokens + this->expectedRemaining(generatedTokens);
    }

private:
    double median = 1;
    double maximum = 0;
};

} // namespace eelgrasslift
