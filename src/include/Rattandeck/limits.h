#pragma once

#include "Rattandeck/types.h"

/// Limits on concurrency, retries and shares: pure functions over plain state.
namespace Rattandeck {

/// Concurrency limit of one endpoint, which follows the measured service time.
struct ConcurrencyLimit {
    double limit = 8;
    double minimum = 1;
    double maximum = 64;
    /// Shortest recent time per token, or per call of a plain service.
    double baseSeconds = 0;
    /// Smoothed current one.
    double currentSeconds = 0;
};

/// Share of the limit from which on it binds, and may grow.
constexpr double bindingShare = 0.8;
/// A call may take this multiple of the base time before the limit falls.
constexpr double serviceTimeTolerance = 5;

/// The limit after one more call took `seconds` (per token, or per call) while `running` calls ran.
ConcurrencyLimit limitAfterCall(ConcurrencyLimit limit, double seconds, std::uint32_t running);

/// The limit after the endpoint had no room for a call beside `running` others, for want of memory or batch slots.
ConcurrencyLimit limitAfterRejection(ConcurrencyLimit limit, std::uint32_t running);

/// Allows repeats as a share of first attempts, so that a fault can't feed an overload.
struct RetryBudget {
    double ratio = 0.1;
    double ceiling = 10;
    double tokens = 10;
};

void depositFirstAttempt(RetryBudget& budget);
/// Takes a token for one repeat. Returns false, and takes nothing, when there is none.
bool tryWithdrawRetry(RetryBudget& budget);

/// Time after which a refused caller should come back: `queueSeconds` of work ahead, spread by `seed`, so that the
/// refused don't come back together. Never 0.
Milliseconds retryAfter(double queueSeconds, std::uint64_t seed);

}
