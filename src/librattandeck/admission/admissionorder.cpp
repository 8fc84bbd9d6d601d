#include "Rattandeck/admissionorder.h"

#include <algorithm>

namespace Rattandeck {

// Standing of an organisation ----------------------------------------------------------------------------------------

/// An organisation is far above its share with more than this multiple of it. Allowances are about 1.6 times the usual
/// rate, and hot organisations send 3 times their usual rate and more.
constexpr double farAboveFactor = 2;
/// Calls above that. An organisation that sends a few calls a second sends less than one in some seconds through each
/// gateway, so that two or three calls at once tell nothing.
constexpr double farAboveMargin = 3;
/// The share of served calls is kept above a quarter of that of all. The difference is for the delay with which a
/// change of the order shows in the sums.
constexpr double owedRatio = 0.3;
/// Fewer calls tell nothing.
constexpr double minOwedCalls = 4;

static double offeredOf(const OrganisationCalls& calls) { return calls.firstTurns.offered + calls.others.offered; }

bool isFarAboveShare(const OrganisationCalls& own, const TotalUse& all)
{
    if (all.organisations < 2 || own.weight <= 0)
        return false;
    const double offered = offeredOf(own);
    const double othersCalls = std::max(0.0, all.weighedCalls - offered / own.weight);
    const double share = othersCalls / static_cast<double>(all.organisations - 1) * own.weight;
    return offered > farAboveFactor * share + farAboveMargin;
}

bool isOwed(const OfferedCalls& own, const OfferedCalls& all)
{
    if (own.offered < minOwedCalls || all.offered <= 0)
        return false;
    return own.served / own.offered < owedRatio * all.served / all.offered;
}

// Order --------------------------------------------------------------------------------------------------------------

AdmissionOrder admissionOrder(const AdmissionCall& call)
{
    return { call.isResumption ? 0U : 1U, call.rank, call.isFirstTurn ? 1U : 0U, 0, 0 };
}

AdmissionOrder admissionOrder(const AdmissionCall& call, const OrganisationStanding& standing)
{
    return { call.isResumption ? 0U : 1U, call.isFirstTurn ? 1U : 0U, standing.isOwed ? 0U : 1U, call.rank,
        standing.isFarAboveShare ? 1U : 0U };
}

// Refusal ------------------------------------------------------------------------------------------------------------

std::optional<Milliseconds> expectedQueueWait(const QueueView& queue)
{
    if (queue.ahead == 0)
        return Milliseconds(0);
    if (!queue.servedPerSecond)
        return std::nullopt;
    constexpr double millisecondsPerSecond = 1000;
    constexpr double maxWait = 3600 * millisecondsPerSecond;
    const double wait
        = static_cast<double>(queue.ahead) / std::max(*queue.servedPerSecond, 1e-6) * millisecondsPerSecond;
    return Milliseconds(static_cast<std::int64_t>(std::min(wait, maxWait)));
}

bool isWaitTooLong(Milliseconds expectedWait, Milliseconds maxWait)
{
    // The rate at which calls leave the queue varies by about this factor. With 1, calls were refused that would have
    // found room in time.
    constexpr std::int64_t uncertainty = 2;
    return expectedWait > maxWait * uncertainty;
}

Milliseconds spreadRetry(const RetryInput& input)
{
    constexpr std::int64_t honouredPart = 3;
    const Milliseconds honoured = std::max(input.timeLeft / honouredPart, Milliseconds(0));
    const Milliseconds last = std::min(input.least + std::max(input.expectedWait, input.least), honoured);
    // A caller with little time left comes back sooner than the least delay rather than not at all.
    const Milliseconds first = std::min(input.least, last);
    const auto position = static_cast<std::int64_t>(std::min(input.position, retryPositions - 1));
    return first + (last - first) * position / static_cast<std::int64_t>(retryPositions);
}

}
