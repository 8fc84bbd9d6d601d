#pragma once

#include "Rattandeck/types.h"

#include <vector>

/// Messages about the allowances of organisations; see `quotapolicy.h`.
namespace Rattandeck {

/// Tokens that a gateway asks for, for the calls of one organisation.
struct QuotaDemand {
    OrganisationId organisation;
    /// For calls that are expected.
    std::uint32_t advance = 0;
    /// For calls that wait: all but first turns, and first turns.
    std::uint32_t waiting = 0;
    std::uint32_t waitingFirstTurns = 0;
    /// Parts of tokens for such calls: an equal share of what they need, of which the other issuers are asked the same.
    double waitingPart = 0;
    double firstTurnPart = 0;
    bool operator==(const QuotaDemand&) const = default;
};

/// Tokens that a gateway will not use.
struct QuotaReturn {
    OrganisationId organisation;
    /// Stamp of the message that issued them.
    std::uint64_t stamp = 0;
    double tokens = 0;
    bool operator==(const QuotaReturn&) const = default;
};

/// Gateway to journal.
struct QuotaRequests {
    /// Number of this message, unique for the gateway's process.
    std::uint64_t ticket = 0;
    std::vector<QuotaDemand> demands;
    /// Processed before the demands.
    std::vector<QuotaReturn> returned;
    /// Calls and first turns with a token since the last message, of all organisations together.
    std::uint32_t calls = 0;
    std::uint32_t firstTurns = 0;
    bool operator==(const QuotaRequests&) const = default;
};

/// Tokens of one organisation.
struct QuotaGrant {
    OrganisationId organisation;
    std::uint32_t tokens = 0;
    /// The tokens may be used for first turns, too.
    bool includesFirstTurns = false;
    /// Tokens in addition, for first turns that wait.
    std::uint32_t firstTurnTokens = 0;
    /// Parts of tokens for calls and first turns that wait. Parts of several issuers make up a token.
    double part = 0;
    double firstTurnPart = 0;
    /// Time until the issuer expects to have a token for a call, and for a first turn; 0 if it has one.
    Milliseconds wait { 0 };
    Milliseconds firstTurnWait { 0 };
    bool operator==(const QuotaGrant&) const = default;
};

/// Journal to gateway: the answer to a request that contains demands.
struct QuotaGrants {
    std::uint64_t ticket = 0;
    /// The journal issues tokens. Otherwise it is no member of the set, or may have been replaced.
    bool isIssuing = true;
    /// Identifies this message in returns to the same process of the journal. Increases.
    std::uint64_t stamp = 0;
    std::vector<QuotaGrant> grants;
    bool operator==(const QuotaGrants&) const = default;
};

}
