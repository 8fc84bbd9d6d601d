#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/ratelimit.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>

namespace Rattandeck {

/// The part of a journal that issues permits for calls to instances that state a limit; see `ratelimit.h`. It keeps no
/// record: after a restart it starts with empty buckets and learns the limits from the requests of gateways.
///
/// Permits that can't be issued at once are issued as the rate allows, the most urgent first, to gateways in turn. All
/// linked gateways are told when a limit becomes known, changes or ends.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class PermitIssuer {
public:
    /// Returns false when no link to the process is up.
    using Send = std::function<bool(const NodeId& node, const Message& message)>;

    PermitIssuer(TimerService& timers, NodeId self, Send send, PermitSettings settings = {});
    ~PermitIssuer();
    PermitIssuer(const PermitIssuer&) = delete;
    PermitIssuer& operator=(const PermitIssuer&) = delete;

    void setMembers(const std::vector<JournalMember>& members);
    /// Ignores links to processes that are not gateways.
    void onLinkUp(const NodeId& node, Role role);
    void onLinkDown(const NodeId& node);
    /// Ignores messages of other types.
    void onMessage(const NodeId& from, const Message& message);

    std::size_t limitedInstances() const;
    std::uint64_t issuedPermits() const;
    /// The largest share of a stated limit that was issued since the last call, in units of the limit.
    double takeLargestUse();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
