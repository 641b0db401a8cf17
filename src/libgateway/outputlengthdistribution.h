#pragma once

namespace eelgrasslift {

/// What a generation is expected to need.
struct GenerationSize
{
    double promptTokens = 0;
    /// Estimate; good at the median, often far off.
    double outputTokens = 0;
    /// The engine ends the generation here; 0 if unknown.
    double maxOutputTokens = 0;
};

/// Distribution of a generation's output length around the caller's estimate: lognormal, cut off at the
/// maximum.
///
/// Load pattern: half of all generations outlive their estimate, some of them several times over. Taking the
/// estimate as the length underrates what an old generation still needs.
class OutputLengthDistribution
{
public:
    explicit OutputLengthDistribution(const GenerationSize &size);

    /// Probability that more than the tokens are made.
    double survival(double tokens) const;

    /// Probability that a generation that has made some tokens makes more than so many.
    double survival(double tokens, double madeTokens) const;

    /// Mean of the tokens that are still to come after some were made.
    double expectedRemaining(double madeTokens) const;

    /// Mean of the whole length of a generation that has made some tokens.
    double expectedLength(double madeTokens) const
    {
        return madeTokens + this->expectedRemaining(madeTokens);
    }

private:
    double median = 1;
    double maximum = 0;
};

} // namespace eelgrasslift
