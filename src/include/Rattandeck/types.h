#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/// Identifiers, units and time. All types are plain values, copyable and comparable. Different objects can be used by
/// different threads, and one object can be read by several threads at once.
namespace Rattandeck {

/// Strong typedef: identifiers or units with the same representation but different tags don't convert to each other.
template <typename Tag, typename Rep> struct Strong {
    Rep value {};

    Strong() = default;
    explicit Strong(Rep initial)
        : value(std::move(initial))
    {
    }
    auto operator<=>(const Strong&) const = default;
};

using NodeId = Strong<struct NodeIdTag, std::string>;
using FailureDomain = Strong<struct FailureDomainTag, std::string>;
using OrganisationId = Strong<struct OrganisationIdTag, std::string>;
using ServiceName = Strong<struct ServiceNameTag, std::string>;
/// Version of an instance's software, as the instance states it. Versions are compared for equality only.
using SoftwareVersion = Strong<struct SoftwareVersionTag, std::string>;
/// The caller's key for a call that must run at most once. Empty: no key.
using IdempotencyKey = Strong<struct IdempotencyKeyTag, std::string>;
/// SHA-256 in lower-case hexadecimal. Empty: the digest of an empty history.
using Digest = Strong<struct DigestTag, std::string>;

using ShardId = Strong<struct ShardIdTag, std::uint32_t>;
/// Fencing number of a shard, incremented with each change of home. Requests of a lower epoch are refused.
using Epoch = Strong<struct EpochTag, std::uint64_t>;
/// Distinguishes successive processes with the same `NodeId`; a later process has a higher number.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
/// Number of a call within its program, starting at 1.
using TurnNumber = Strong<struct TurnNumberTag, std::uint32_t>;
using OrderId = Strong<struct OrderIdTag, std::uint64_t>;
using CreditId = Strong<struct CreditIdTag, std::uint64_t>;
/// Version of an object in the object API, or revision of the whole store; 0 means that the object does not exist.
using ObjectVersion = Strong<struct ObjectVersionTag, std::uint64_t>;
/// Identifies a caller's pending request at the entry that received it.
using CallerTicket = Strong<struct CallerTicketTag, std::uint64_t>;
/// Identifies an endpoint instance.
using EndpointId = Strong<struct EndpointIdTag, std::string>;
/// Calls per second.
using CallRate = Strong<struct CallRateTag, double>;
using TokenCount = Strong<struct TokenCountTag, std::int64_t>;

/// Clock that keeps running while the machine is suspended. It has no `now()`: `TimerService` supplies the time.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard
};
using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;
using Milliseconds = std::chrono::milliseconds;

/// Identifies a program. `openedIn` is the epoch of the shard when the program was opened; when records of earlier
/// epochs may have been lost, programs opened later are known to be unaffected. A keyed call without a program has
/// `openedIn` 0.
struct ProgramId {
    ShardId shard;
    Epoch openedIn;
    std::uint64_t serial = 0;
    auto operator<=>(const ProgramId&) const = default;
};

/// Text form, such as "s12.e3.n45".
std::string toString(const ProgramId&);
/// Parses the text form. Returns false and leaves `program` unchanged when `text` is malformed.
bool parseProgramId(const std::string& text, ProgramId& program);

}

template <typename Tag, typename Rep> struct std::hash<Rattandeck::Strong<Tag, Rep>> {
    std::size_t operator()(const Rattandeck::Strong<Tag, Rep>& id) const { return std::hash<Rep>()(id.value); }
};

template <> struct std::hash<Rattandeck::ProgramId> {
    std::size_t operator()(const Rattandeck::ProgramId& id) const
    {
        return std::hash<std::uint64_t>()(
            id.serial * 0x9e3779b97f4a7c15U + (id.openedIn.value << 20U) + id.shard.value);
    }
};
