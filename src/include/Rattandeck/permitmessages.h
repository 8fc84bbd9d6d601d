#pragma once

#include "Rattandeck/types.h"

#include <vector>

/// Messages about permits for instances that state a limit; see `ratelimit.h`.
namespace Rattandeck {

/// Number of values of a call's urgency; 0 is the most urgent.
constexpr std::size_t urgencyLevels = 6;

/// What a gateway knows of one instance's limit, and the permits that it wants.
struct PermitRequest {
    EndpointId endpoint;
    /// Start time of the instance's process, in milliseconds since 1970.
    std::int64_t startedAt = 0;
    bool isLimited = false;
    CallRate limit;
    /// Time since the answer that stated this, or that stated no limit.
    Milliseconds age { 0 };
    /// Permits that the gateway has received on this link, and those of them that it will not use.
    std::uint64_t received = 0;
    std::uint64_t unused = 0;
    /// Number of permits wanted at each urgency. Replaces the numbers of earlier requests.
    std::vector<std::uint32_t> wanted;
    bool operator==(const PermitRequest&) const = default;
};

/// Gateway to journal.
struct PermitRequests {
    /// Number of this message on its link, starting at 1.
    std::uint64_t ticket = 0;
    std::vector<PermitRequest> requests;
    bool operator==(const PermitRequests&) const = default;
};

/// Permits for one instance, and what the journal knows of its limit.
struct PermitGrant {
    EndpointId endpoint;
    std::int64_t startedAt = 0;
    bool isLimited = false;
    CallRate limit;
    Milliseconds age { 0 };
    std::uint32_t permits = 0;
    /// The last request of the gateway for this instance, and how long the journal had it when it issued the permits.
    std::uint64_t ticket = 0;
    Milliseconds heldFor { 0 };
    /// Time until a further permit can be issued at each urgency, behind those that are wanted already. Empty if
    /// unknown.
    std::vector<Milliseconds> backlog;
    bool operator==(const PermitGrant&) const = default;
};

/// Journal to gateway: issued permits, or, without permits, news of limits.
struct PermitGrants {
    std::vector<PermitGrant> grants;
    bool operator==(const PermitGrants&) const = default;
};

/// Journal to gateway: the number of gateways that are linked to the journal.
struct GatewaysLinked {
    std::uint32_t count = 0;
    bool operator==(const GatewaysLinked&) const = default;
};

}
