#include "Rattandeck/limits.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Weight of one call in the moving average of the service time, and in the slow increase of the base time.
    constexpr double averageWeight = 0.1;
    constexpr double baseWeight = 0.001;
    // Change of the limit per call. A low limit grows by a share of itself, so that one fast call does not double it.
    constexpr double maxGrowth = 1;
    constexpr double growthShare = 0.125;
    constexpr double decreaseShare = 0.02;

}

ConcurrencyLimit limitAfterCall(ConcurrencyLimit limit, double seconds, std::uint32_t running)
{
    if (limit.baseSeconds <= 0) {
        limit.baseSeconds = seconds;
        limit.currentSeconds = seconds;
    }
    // The base time increases slowly, so that it adapts to a lasting change of the endpoint.
    limit.baseSeconds = std::min(seconds, limit.baseSeconds + baseWeight * (seconds - limit.baseSeconds));
    limit.currentSeconds += averageWeight * (seconds - limit.currentSeconds);

    if (limit.currentSeconds > serviceTimeTolerance * limit.baseSeconds)
        limit.limit *= 1 - decreaseShare;
    else if (running >= growthUtilisation * limit.limit)
        limit.limit += std::min(maxGrowth, growthShare * limit.limit);
    limit.limit = std::clamp(limit.limit, limit.minLimit, limit.maxLimit);
    return limit;
}

ConcurrencyLimit limitAfterRejection(ConcurrencyLimit limit, std::uint32_t running)
{
    limit.limit = std::clamp(static_cast<double>(running), limit.minLimit, limit.maxLimit);
    return limit;
}

void depositFirstAttempt(RetryBudget& budget)
{
    budget.tokens = std::min(budget.maxTokens, budget.tokens + budget.ratio);
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
    // An upper bound is needed because the wait is estimated from the rate of placed calls, which keeps halving
    // while no calls are placed.
    constexpr double maximumSeconds = 60;
    const double spread = 0.5 + static_cast<double>(seed % 1000) / 1000;
    return Milliseconds(
        static_cast<std::int64_t>(1000 * spread * std::clamp(queueSeconds, minimumSeconds, maximumSeconds)));
}

}
