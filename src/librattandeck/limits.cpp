#include "Rattandeck/limits.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Weight of one call in the smoothed service time, and in the slow rise of the base.
    constexpr double currentGain = 0.1;
    constexpr double baseGain = 0.001;
    // Change of the limit per call: a low limit grows by a share of itself, so that one fast call doesn't double it.
    constexpr double mostGrowth = 1;
    constexpr double growthShare = 0.125;
    constexpr double shrinkage = 0.02;

}

ConcurrencyLimit limitAfterCall(ConcurrencyLimit limit, double seconds, std::uint32_t running)
{
    if (limit.baseSeconds <= 0) {
        limit.baseSeconds = seconds;
        limit.currentSeconds = seconds;
    }
    // The base rises slowly, so that a lasting change of the endpoint becomes the new normal.
    limit.baseSeconds = std::min(seconds, limit.baseSeconds + baseGain * (seconds - limit.baseSeconds));
    limit.currentSeconds += currentGain * (seconds - limit.currentSeconds);

    if (limit.currentSeconds > serviceTimeTolerance * limit.baseSeconds)
        limit.limit *= 1 - shrinkage;
    else if (running >= bindingShare * limit.limit)
        limit.limit += std::min(mostGrowth, growthShare * limit.limit);
    limit.limit = std::clamp(limit.limit, limit.minimum, limit.maximum);
    return limit;
}

ConcurrencyLimit limitAfterRejection(ConcurrencyLimit limit, std::uint32_t running)
{
    limit.limit = std::clamp(static_cast<double>(running), limit.minimum, limit.maximum);
    return limit;
}

void depositFirstAttempt(RetryBudget& budget)
{
    budget.tokens = std::min(budget.ceiling, budget.tokens + budget.ratio);
}

bool tryWithdrawRetry(RetryBudget& budget)
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

Milliseconds retryAfter(double queueSeconds, std::uint64_t seed)
{
    constexpr double minimumSeconds = 0.1;
    // The rate that a wait is estimated from halves while nothing is placed: the estimate has no bound of its own.
    constexpr double maximumSeconds = 60;
    const double spread = 0.5 + static_cast<double>(seed % 1000) / 1000;
    return Milliseconds(
        static_cast<std::int64_t>(1000 * spread * std::clamp(queueSeconds, minimumSeconds, maximumSeconds)));
}

}
