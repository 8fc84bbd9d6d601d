#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/// Identifiers, units and time. Everything here is a plain value: copyable, comparable, safe to share between threads
/// as any value is.
namespace Rattandeck {

/// An identifier or unit that does not mix with others of the same representation.
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
/// The caller's key for a call that must not run twice. Empty: the call has none.
using IdempotencyKey = Strong<struct IdempotencyKeyTag, std::string>;
/// SHA-256 in lower-case hexadecimal. Empty: the digest of an empty history.
using Digest = Strong<struct DigestTag, std::string>;

using ShardId = Strong<struct ShardIdTag, std::uint32_t>;
/// Counts the homes that a shard has had. A higher epoch fences off a lower one.
using Epoch = Strong<struct EpochTag, std::uint64_t>;
/// Tells apart two processes that have run under the same `NodeId`; a later one has a higher number.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
/// Number of a call within its program, from 1.
using TurnNumber = Strong<struct TurnNumberTag, std::uint32_t>;
using OrderId = Strong<struct OrderIdTag, std::uint64_t>;
using CreditId = Strong<struct CreditIdTag, std::uint64_t>;
/// Version of one object in the object API, or a revision of the whole store; 0 is "does not exist".
using ObjectVersion = Strong<struct ObjectVersionTag, std::uint64_t>;
/// A caller's request that awaits its answer at this entry.
using CallerTicket = Strong<struct CallerTicketTag, std::uint64_t>;
using TokenCount = Strong<struct TokenCountTag, std::int64_t>;

/// Clock that also runs while the machine is suspended. It has no `now()`: the time comes from `TimerService`.
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

/// Names a program. `openedIn` is the epoch of the shard at its opening, so that a gap in the records of earlier epochs
/// puts only programs opened before it in doubt. A keyed call without a program gets `openedIn` 0.
struct ProgramId {
    ShardId shard;
    Epoch openedIn;
    std::uint64_t serial = 0;
    auto operator<=>(const ProgramId&) const = default;
};

/// Text form, such as "s12.e3.n45".
std::string toString(const ProgramId&);
/// Reads the text form. Returns false and leaves `program` alone on anything else.
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
