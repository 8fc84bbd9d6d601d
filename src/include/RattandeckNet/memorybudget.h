#pragma once

#include "Rattandeck/timer.h"
#include "RattandeckNet/connectionpolicy.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>
#include <unordered_set>

namespace RattandeckNet {

class MemoryShare;

/// Why a connection was refused or closed.
enum class RefusalCause { Memory, Stalled, TooSlow, TooLarge, TooManyFields, TooManyConnections, Malformed };
constexpr std::size_t refusalCauses = 7;
/// Returns a name without spaces, which ends with a null character.
std::string_view describe(RefusalCause cause);

/// A connection that holds memory of a budget.
class MemoryHolder {
public:
    virtual ~MemoryHolder() = default;
    virtual ConnectionUse memoryUse() const = 0;
    /// Frees what the connection holds: refuses its request, or closes it. Must not destroy the holder at once.
    virtual void reclaimMemory() = 0;
};

/// Memory that all connections of a process may hold together. What they hold is reserved here first.
///
/// When a reservation doesn't fit, connections that `chooseConnectionsToClose` names are reclaimed; if that is not
/// enough, the reservation fails. A part of the budget is kept for small requests, so that ordinary callers are served
/// while large ones fill the rest.
///
/// Thread safety: use from the loop's thread. Precondition: outlives the shares and the connections that hold them.
class MemoryBudget {
public:
    /// Without a bound, until `setLimit` is called.
    MemoryBudget() = default;
    explicit MemoryBudget(std::size_t limitBytes)
        : limitBytes(limitBytes)
    {
    }
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    void setLimit(std::size_t bytes) { this->limitBytes = bytes; }
    std::size_t limit() const { return this->limitBytes; }
    std::size_t used() const { return this->usedBytes; }

    /// Counts a connection that was refused or closed. Kept here, for all servers of a process together.
    void countRefusal(RefusalCause cause) { ++this->refusals[static_cast<std::size_t>(cause)]; }
    std::uint64_t refused(RefusalCause cause) const { return this->refusals[static_cast<std::size_t>(cause)]; }

    /// A share that grows to at most this size may use the whole budget, a larger one three quarters of it.
    static constexpr std::size_t smallShare = 64UL * 1024;

private:
    friend class MemoryShare;

    bool reserve(std::size_t more, std::size_t allowed, const MemoryHolder* holder, Rattandeck::TimePoint now);
    /// The part of the budget that shares of this size may use.
    std::size_t allowedFor(std::size_t bytes) const;
    bool reclaim(std::size_t bytes, const MemoryHolder* except, Rattandeck::TimePoint now);

    std::size_t limitBytes = std::numeric_limits<std::size_t>::max();
    std::size_t usedBytes = 0;
    std::array<std::uint64_t, refusalCauses> refusals {};
    std::unordered_set<MemoryHolder*> holders;
    /// Until then no connection can be reclaimed, by the last search.
    Rattandeck::TimePoint nextSearch;
    bool isReclaiming = false;
};

/// The part of a budget that one connection holds; returned to the budget at its end.
class MemoryShare {
public:
    MemoryShare(MemoryBudget& budget, MemoryHolder& holder);
    ~MemoryShare();
    MemoryShare(const MemoryShare&) = delete;
    MemoryShare& operator=(const MemoryShare&) = delete;

    /// Reserves memory, so that the share has at least `bytes`. Returns false, without a change, if there is not
    /// enough.
    bool reserve(std::size_t bytes, Rattandeck::TimePoint now);
    /// Same as `reserve`, also from the part that is kept for small shares: for the links of our own processes.
    bool reserveWhole(std::size_t bytes, Rattandeck::TimePoint now);
    /// Sets the share to what is held, possibly beyond the budget: for memory that is in use already.
    void set(std::size_t bytes);
    /// Same as `set`, and reclaims memory of others if the budget is exceeded. Returns false if that didn't help.
    bool setAndReclaim(std::size_t bytes, Rattandeck::TimePoint now);
    std::size_t bytes() const { return this->held; }

private:
    bool reserveWithin(std::size_t bytes, std::size_t allowed, Rattandeck::TimePoint now);

    MemoryBudget& budget;
    MemoryHolder& holder;
    std::size_t held = 0;
};

}
