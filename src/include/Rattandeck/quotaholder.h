#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/quotapolicy.h"
#include "Rattandeck/timer.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Rattandeck {

/// What an issuer contributes to a token.
struct QuotaPart {
    NodeId issuer;
    /// Identifies the part's issue at its issuer.
    std::uint64_t stamp = 0;
    double amount = 1;
};

/// Permission to send one call of an organisation.
struct QuotaToken {
    /// Make up one token together.
    std::vector<QuotaPart> parts;
    /// The call must be written to its connection before this time.
    TimePoint useBy;
};

struct QuotaRefusal {
    /// No issuer is linked, or none has answered. Otherwise the allowance is used.
    bool isUnavailable = false;
    /// Time until an issuer expects to have a token, and the time over which callers should be spread after it, since
    /// many of them are refused.
    Milliseconds wait { 0 };
    Milliseconds spread { 0 };
};

/// The part of a gateway that holds the tokens to send calls of organisations with an allowance; see `quotapolicy.h`.
/// It asks its home issuer in advance for the calls that it expects. A call that finds no token asks the home issuer,
/// and then all others at once. It sends nothing while no organisation with an allowance is seen.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class QuotaHolder {
public:
    /// Identifies a call that waits; chosen by the caller.
    using WaiterId = std::uint64_t;
    using Outcome = tl::expected<QuotaToken, QuotaRefusal>;

    struct Io {
        /// Returns false when no link to the journal is up.
        std::function<bool(const NodeId& node, const Message& message)> send;
        /// A waiting call has got a token, or is refused. Called from `onMessage`, `onLinkDown` and timers.
        std::function<void(WaiterId waiter, const Outcome& outcome)> onOutcome;
    };

    struct Counts {
        /// Calls that got a token, and those of them that waited for it.
        std::uint64_t taken = 0;
        std::uint64_t waited = 0;
        /// Sum of the times that calls waited for a token or a refusal.
        Duration waitedFor { 0 };
        std::uint64_t refused = 0;
        std::uint64_t unavailable = 0;
        /// Tokens that were not used.
        double unused = 0;
        std::uint64_t messages = 0;
    };

    QuotaHolder(TimerService& timers, NodeId self, Io io, QuotaSettings settings = {});
    ~QuotaHolder();
    QuotaHolder(const QuotaHolder&) = delete;
    QuotaHolder& operator=(const QuotaHolder&) = delete;

    // Journals

    void setMembers(const std::vector<JournalMember>& members);
    void onLinkUp(const NodeId& journal);
    void onLinkDown(const NodeId& journal);
    /// Ignores messages of other types.
    void onMessage(const NodeId& from, const Message& message);

    // Calls

    /// Takes a token for a call, or refuses it, or returns an empty value: then `waiter` waits, and `Io::onOutcome`
    /// tells what becomes of it. Precondition: `waiter` does not wait.
    tl::expected<std::optional<QuotaToken>, QuotaRefusal> acquire(
        const OrganisationId& organisation, const CallAllowance& allowance, QuotaKind kind, WaiterId waiter);
    /// Takes a token if one is held.
    std::optional<QuotaToken> tryTake(const OrganisationId& organisation);
    /// The call does not wait any more. Ignored if it doesn't.
    void cancel(const OrganisationId& organisation, WaiterId waiter);
    /// The token has not been used and will not be.
    void giveBack(const OrganisationId& organisation, const QuotaToken& token);
    bool isValid(const QuotaToken& token) const;
    /// Whether calls of all kinds are refused without asking, and why.
    std::optional<QuotaRefusal> refusal(const OrganisationId& organisation) const;

    const Counts& counts() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
