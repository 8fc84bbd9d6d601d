#pragma once

#include "Rattandeck/messages.h"

#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

/// Credits that a sidecar issues to entries. All times are of the sidecar's own clock.
namespace Rattandeck {

struct IssuedGrant {
    CreditId id;
    NodeId holder;
    std::uint32_t left = 0;
    TimePoint expires {};
};

struct CreditTable {
    /// Ids increase, so that the holder can distinguish a new grant from a repeated one.
    CreditId lastId;
    /// In the order of issue, which is also the order of expiry.
    std::deque<IssuedGrant> grants;
};

/// Number of credits that can still be spent, of all holders together.
std::uint32_t outstandingCredits(CreditTable& table, TimePoint now);
std::unordered_map<NodeId, std::uint32_t> outstandingCreditsByHolder(CreditTable& table, TimePoint now);
/// Precondition: `lifetime` is the same for all grants of a table.
CreditGrant issueCredits(
    CreditTable& table, const NodeId& holder, std::uint32_t count, Milliseconds lifetime, TimePoint now);
/// Takes one credit. Returns false when the grant is unknown, expired or used up, or was issued to another node.
bool spendCredit(CreditTable& table, CreditId id, const NodeId& holder, TimePoint now);
void revokeCredits(CreditTable& table, const NodeId& holder);

struct CreditClaim {
    /// Share relative to the other claims.
    double weight = 1;
    /// Outstanding credits of the claimant.
    std::uint32_t held = 0;
    /// The claimant has sent orders recently, or is the home of programs whose prefixes are held by this sidecar.
    bool likely = false;
};

/// Divides `available` further credits among the claims by weight, beginning with the claims marked `likely`. Neither
/// the likely claims nor the others get all credits, so that an entry that starts to send orders can still get some.
/// The sum of the result is at most `available`. When there are too few credits, claimants that hold none come first,
/// starting at index `first`.
std::vector<std::uint32_t> divideCredits(
    std::uint32_t available, std::span<const CreditClaim> claims, std::size_t first);

}
