#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/quotapolicy.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>
#include <vector>

namespace Rattandeck {

/// The part of a journal that issues tokens for calls of organisations with an allowance; see `quotapolicy.h`. It keeps
/// no record: after a restart, and after a pause of its process, it starts with empty buckets.
///
/// It issues only while it is a member of the set and has links to a majority of it, or had them shortly before.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class QuotaIssuer {
public:
    /// Returns false when no link to the process is up.
    using Send = std::function<bool(const NodeId& node, const Message& message)>;

    struct Counts {
        double granted = 0;
        double returned = 0;
        /// Tokens for waiting calls that were not granted.
        std::uint64_t denied = 0;
    };

    QuotaIssuer(TimerService& timers, NodeId self, Send send, QuotaSettings settings = {});
    ~QuotaIssuer();
    QuotaIssuer(const QuotaIssuer&) = delete;
    QuotaIssuer& operator=(const QuotaIssuer&) = delete;

    /// Replaces the organisations. Buckets of known ones keep their tokens, up to their new size.
    void setOrganisations(const std::vector<Organisation>& organisations);
    /// The first set holds at once; when a later one enlarges this issuer's share, that holds after
    /// `QuotaSettings::growthDelay`.
    void setMembers(const std::vector<JournalMember>& members);
    /// Ignores links to processes that are not journals.
    void onLinkUp(const NodeId& node, Role role);
    void onLinkDown(const NodeId& node);
    /// Ignores messages of other types.
    void onMessage(const NodeId& from, const Message& message);

    bool isIssuing() const;
    /// Number of organisations with an allowance.
    std::size_t limitedOrganisations() const;
    const Counts& counts() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
