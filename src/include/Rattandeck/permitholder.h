#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/ratelimit.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Rattandeck {

/// Urgency of a call among those that wait for permits; 0 is the most urgent. Calls of programs under way go before
/// first turns of the same rank. `rank` is that of the call's route.
std::size_t urgencyOf(std::uint32_t rank, bool isFirstTurn);

/// The limit that an instance states has become known, has changed or has ended.
struct LimitChange {
    EndpointId endpoint;
    /// Empty when there was or is none.
    std::optional<CallRate> previous;
    std::optional<CallRate> limit;
    /// Time since the answer that stated it.
    Milliseconds age { 0 };
    /// "answer" if this process received that answer, "instance gone", or the journal that passed the news on.
    std::string learntFrom;
};

/// The part of a gateway that knows which instances state a limit, and holds the permits to send calls to them; see
/// `ratelimit.h`. Permits are requested for calls that wait for them (`want`).
///
/// While neither issuer of an instance is linked, one call is let through at long intervals, so that the end of the
/// limit is noticed.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class PermitHolder {
public:
    struct Io {
        /// Returns false when no link to the journal is up.
        std::function<bool(const NodeId& node, const Message& message)> send;
        /// Permits have arrived, limits have ended, or the expected waits have changed. Not called within a call of
        /// this class other than `onMessage`.
        std::function<void()> onChange;
        std::function<void(const LimitChange& change)> onLimit;
    };

    PermitHolder(TimerService& timers, Io io, PermitSettings settings = {});
    ~PermitHolder();
    PermitHolder(const PermitHolder&) = delete;
    PermitHolder& operator=(const PermitHolder&) = delete;

    // Journals

    void setMembers(const std::vector<JournalMember>& members);
    void onLinkUp(const NodeId& journal);
    void onLinkDown(const NodeId& journal);
    /// Ignores messages of other types.
    void onMessage(const NodeId& from, const Message& message);
    /// Number of gateways in the deployment, as the journals have told; empty before that.
    std::optional<std::uint32_t> gatewayCount() const;

    // Limits

    /// An answer of the instance's process `startedAt` to a call that was sent at `sentAt` states a limit, or none. An
    /// answer without a limit ends one only if its call was sent after the limit was stated last.
    void onAnswer(const EndpointId& endpoint, std::int64_t startedAt, std::optional<CallRate> limit, TimePoint sentAt);
    /// The instance has gone, or another process runs under its id.
    void forget(const EndpointId& endpoint);
    std::optional<CallRate> limitOf(const EndpointId& endpoint) const;
    std::size_t limitedInstances() const;

    // Permits

    /// Expected time until a call of this urgency may be sent to the instance, behind those that wait already. 0 if it
    /// may be sent now; empty if no permit is to be expected. With `isWaiting`, the call itself waits (`want`): it goes
    /// before the others of its urgency, which are to be asked after it.
    std::optional<Milliseconds> expectedWait(const EndpointId& endpoint, std::size_t urgency, bool isWaiting) const;
    /// A call waits for a permit.
    void want(const EndpointId& endpoint, std::size_t urgency);
    /// A call for which `want` was called does not wait any more.
    void unwant(const EndpointId& endpoint, std::size_t urgency);
    /// Uses a permit. Returns the time until which the call must be written to its connection.
    /// Precondition: `expectedWait` is 0, and the instance is limited.
    TimePoint take(const EndpointId& endpoint);
    /// Number of permits that are held for an instance.
    std::uint32_t heldPermits(const EndpointId& endpoint) const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
