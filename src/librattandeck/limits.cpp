#include "Rattandeck/limits.h"

#include <algorithm>

namespace Rattandeck {

ConcurrencyLimit afterCall(ConcurrencyLimit limit, double /*seconds*/, std::uint32_t /*running*/) { return limit; }

void noteFirstAttempt(RetryBudget& budget) { budget.tokens = std::min(budget.ceiling, budget.tokens + budget.ratio); }

bool takeRetry(RetryBudget& budget)
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

Milliseconds retryAfter(double queueSeconds, std::uint64_t seed)
{
    constexpr double minimumSeconds = 0.1;
    const double spread = 0.5 + static_cast<double>(seed % 1000) / 1000;
    return Milliseconds(static_cast<std::int64_t>(1000 * spread * std::max(minimumSeconds, queueSeconds)));
}

}
