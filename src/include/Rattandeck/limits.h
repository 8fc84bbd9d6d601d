#pragma once

#include "Rattandeck/types.h"

/// Concurrency limits and retry budgets: pure functions over plain state.
namespace Rattandeck {

/// Adaptive concurrency limit of one endpoint, controlled by the measured service time.
struct ConcurrencyLimit {
    double limit = 8;
    double minLimit = 1;
    double maxLimit = 64;
    /// Shortest recent service time, per token or, for a plain service, per call.
    double baseSeconds = 0;
    /// Moving average of the service time.
    double currentSeconds = 0;
};

/// The limit grows only while at least this share of it is in use.
constexpr double growthUtilisation = 0.8;
/// The limit decreases when the average service time exceeds this multiple of the base time.
constexpr double serviceTimeTolerance = 5;

/// Returns the limit updated by a call that took `seconds` (per token, or per call) while `running` calls ran.
ConcurrencyLimit limitAfterCall(ConcurrencyLimit limit, double seconds, std::uint32_t running);

/// Returns the limit after the endpoint rejected a call while `running` others ran, because it had no free memory or
/// batch slots.
ConcurrencyLimit limitAfterRejection(ConcurrencyLimit limit, std::uint32_t running);

/// Token bucket that limits retries to a share of the first attempts, so that a fault does not grow into an overload.
struct RetryBudget {
    double ratio = 0.1;
    double maxTokens = 10;
    double tokens = 10;
};

void depositFirstAttempt(RetryBudget& budget);
/// Withdraws one token for a retry. Returns false, and withdraws nothing, when less than one token is left.
bool tryWithdrawRetry(RetryBudget& budget);

/// Time after which a refused caller should retry: `queueSeconds` of queued work, with jitter from `seed`, so that
/// refused callers don't all retry at the same moment. Never 0.
Milliseconds retryAfter(double queueSeconds, std::uint64_t seed);

}
