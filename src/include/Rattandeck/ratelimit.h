#pragma once

#include "Rattandeck/journalmessages.h"

#include <optional>
#include <vector>

/// Rates that several processes share: token buckets, and the choice of the journals that issue permits.
///
/// An instance may state how many calls a second it takes from all gateways together. A gateway sends it a call only
/// with a permit, which one of two journals issues: the primary issues at the stated rate, the standby, for gateways
/// that have no link to the primary, at a fixed part of it. Both parts together, the permits that are still valid and
/// the bursts of the buckets stay within 1.5 times the limit and five calls in any 4 s, whatever gateways and journals
/// know of each other, so that no agreement is needed. `PermitIssuer` runs at journals, `PermitHolder` at gateways.
namespace Rattandeck {

struct PermitSettings {
    /// A call must be written to its connection within this time after its permit was issued.
    Milliseconds permitLifetime { 400 };
    /// Part of the rate that the standby issues.
    double standbyShare = 0.2;
    /// Unused permits that are saved up, in addition to those that accrue in `burstTime`.
    double burstPermits = 2;
    Milliseconds burstTime { 100 };
    /// Rate of permits for an instance that states less, also zero: the answers to these calls show when the limit is
    /// over.
    CallRate minRate { 0.2 };
    /// A stated limit that no answer has confirmed for this long is forgotten.
    Milliseconds statementLifetime { 30000 };
    /// A statement that another process passes on looks younger by the time that the messages took. It counts as newer
    /// than a known one only beyond this difference.
    Milliseconds relayTolerance { 200 };
    /// A gateway repeats its request at this interval while calls wait.
    Milliseconds requestInterval { 150 };
    /// Time for which requests of a gateway are collected, and permits at a journal.
    Milliseconds batchInterval { 5 };
    /// Seed of the times that are drawn. It has to differ between gateways.
    std::uint32_t seed = 1;
    /// Time for which news of limits and of the number of gateways are collected.
    Milliseconds newsInterval { 200 };
};

// Token bucket ---------------------------------------------------------------------------------------------------

struct TokenBucket {
    double tokens = 0;
    TimePoint updatedAt;
};

/// Largest number of tokens that a bucket with this rate holds.
double bucketSize(CallRate rate, const PermitSettings& settings);
/// Adds the tokens that have accrued until `now`.
void refill(TokenBucket& bucket, CallRate rate, const PermitSettings& settings, TimePoint now);
/// Adds tokens that were taken and not used.
void giveBack(TokenBucket& bucket, double tokens, CallRate rate, const PermitSettings& settings);
/// Time until the bucket holds one token. Precondition: `rate` is positive.
Duration timeToNextToken(const TokenBucket& bucket, CallRate rate);

// Issuers --------------------------------------------------------------------------------------------------------

/// Journals that issue permits for an instance; empty ids where the set has too few members.
struct PermitIssuers {
    NodeId primary;
    NodeId standby;
};

/// Chooses by rendezvous hashing (Thaler and Ravishankar, 1998), so that a change of the set moves few instances.
PermitIssuers issuersOf(const std::vector<JournalMember>& members, const EndpointId& endpoint);

/// Rate at which `node` issues permits for an instance that states `limit`; 0 if it is none of its issuers.
CallRate issuingRate(const PermitIssuers& issuers, const NodeId& node, CallRate limit, const PermitSettings& settings);

// Stated limits --------------------------------------------------------------------------------------------------

/// What a process knows of the limit of an instance.
struct StatedLimit {
    /// Start time of the instance's process, in milliseconds since 1970.
    std::int64_t startedAt = 0;
    /// Empty when the latest answer stated none.
    std::optional<CallRate> limit;
    /// When the answer was received.
    TimePoint statedAt;
};

/// Whether `update` replaces `known`: it is about a later process of the instance, or about the same one and newer.
bool supersedes(const StatedLimit& update, const StatedLimit& known);
/// As `supersedes`, for an update that another process has passed on.
bool relayedSupersedes(const StatedLimit& update, const StatedLimit& known, const PermitSettings& settings);

}
