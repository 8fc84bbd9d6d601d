#include "Rattandeck/ratelimit.h"

#include "Rattandeck/digest.h"

#include <algorithm>

namespace Rattandeck {

static double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

// Token bucket -------------------------------------------------------------------------------------------------------

double bucketSize(CallRate rate, const PermitSettings& settings)
{
    return settings.burstPermits + rate.value * seconds(settings.burstTime);
}

void refill(TokenBucket& bucket, CallRate rate, const PermitSettings& settings, TimePoint now)
{
    const double accrued = rate.value * std::max(0.0, seconds(now - bucket.updatedAt));
    bucket.tokens = std::min(bucket.tokens + accrued, bucketSize(rate, settings));
    bucket.updatedAt = std::max(bucket.updatedAt, now);
}

void giveBack(TokenBucket& bucket, double tokens, CallRate rate, const PermitSettings& settings)
{
    bucket.tokens = std::min(bucket.tokens + tokens, bucketSize(rate, settings));
}

Duration timeToNextToken(const TokenBucket& bucket, CallRate rate)
{
    const std::chrono::duration<double> wait(std::max(0.0, 1 - bucket.tokens) / rate.value);
    return std::chrono::ceil<Milliseconds>(wait);
}

// Issuers ------------------------------------------------------------------------------------------------------------

PermitIssuers issuersOf(const std::vector<JournalMember>& members, const EndpointId& endpoint)
{
    PermitIssuers issuers;
    std::uint64_t highest = 0;
    std::uint64_t second = 0;
    const std::uint64_t key = hash64(endpoint.value);
    for (const JournalMember& member : members) {
        const std::uint64_t hash = rendezvousWeight(key, member.node.value);
        if (issuers.primary.value.empty() || hash > highest) {
            issuers.standby = std::exchange(issuers.primary, member.node);
            second = std::exchange(highest, hash);
        } else if (issuers.standby.value.empty() || hash > second) {
            issuers.standby = member.node;
            second = hash;
        }
    }
    return issuers;
}

CallRate issuingRate(const PermitIssuers& issuers, const NodeId& node, CallRate limit, const PermitSettings& settings)
{
    const double rate = std::max(limit.value, settings.minRate.value);
    if (node == issuers.primary)
        return CallRate(rate);
    return CallRate(node == issuers.standby ? rate * settings.standbyShare : 0);
}

// Stated limits ------------------------------------------------------------------------------------------------------

bool supersedes(const StatedLimit& update, const StatedLimit& known)
{
    if (update.startedAt != known.startedAt)
        return update.startedAt > known.startedAt;
    return update.statedAt > known.statedAt;
}

bool relayedSupersedes(const StatedLimit& update, const StatedLimit& known, const PermitSettings& settings)
{
    StatedLimit earliest = update;
    earliest.statedAt -= settings.relayTolerance;
    return supersedes(earliest, known);
}

}
