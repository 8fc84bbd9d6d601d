#pragma once

#include "Rattandeck/messages.h"

#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

/// Credits that a sidecar hands out. All times are on the sidecar's own clock.
namespace Rattandeck {

struct IssuedGrant {
    CreditId id;
    NodeId holder;
    std::uint32_t left = 0;
    TimePoint expires {};
};

struct CreditBook {
    /// Ids grow, so that the holder can tell a later grant from a repeated one.
    CreditId lastId;
    /// In the order of issue, which is that of expiry, too.
    std::deque<IssuedGrant> grants;
};

/// Credits that can still be spent, of all holders.
std::uint32_t liveCredits(CreditBook& book, TimePoint now);
std::unordered_map<NodeId, std::uint32_t> liveCreditsByHolder(CreditBook& book, TimePoint now);
/// Precondition: `lifetime` is the same for all grants of a book.
CreditGrant issueCredits(
    CreditBook& book, const NodeId& holder, std::uint32_t count, Milliseconds lifetime, TimePoint now);
/// Takes one credit. Returns false when the grant isn't live, is used up, or was given to another node.
bool spendCredit(CreditBook& book, CreditId id, const NodeId& holder, TimePoint now);
void revokeCredits(CreditBook& book, const NodeId& holder);

struct CreditClaim {
    /// Share relative to the other claims.
    double weight = 1;
    /// Live credits that the claimant has already.
    std::uint32_t held = 0;
    /// The claimant has sent orders lately, or is the home of programs whose prefixes are held here.
    bool likely = false;
};

/// Divides `room` further credits among the claims by weight, the likely ones first; some are kept for the others, and
/// the others never hold all, so that an entry that begins to order finds credits left. The sum of the result is at
/// most `room`. When there are too few, claimants that have none go first, beginning at index `first`.
std::vector<std::uint32_t> divideCredits(std::uint32_t room, std::span<const CreditClaim> claims, std::size_t first);

}
