#include "RattandeckNet/memorybudget.h"

#include <algorithm>

namespace RattandeckNet {

using Rattandeck::TimePoint;

/// A search for connections to reclaim that has found too little is not repeated for this long: under a steady shortage
/// it would take a scan of all connections for each request.
constexpr std::chrono::milliseconds searchInterval { 50 };
/// A search frees this part of the budget in addition to what is needed, so that the next one is not needed soon.
constexpr std::size_t sparePart = 8;
/// The part of the budget that is kept for small shares.
constexpr std::size_t smallPart = 4;

std::string_view describe(RefusalCause cause)
{
    switch (cause) {
    case RefusalCause::Memory:
        return "memory";
    case RefusalCause::Stalled:
        return "stalled";
    case RefusalCause::TooSlow:
        return "too_slow";
    case RefusalCause::TooLarge:
        return "too_large";
    case RefusalCause::TooManyFields:
        return "too_many_fields";
    case RefusalCause::TooManyConnections:
        return "too_many_connections";
    case RefusalCause::Malformed:
        return "malformed";
    }
    return "unknown";
}

// MemoryBudget -------------------------------------------------------------------------------------------------------

std::size_t MemoryBudget::allowedFor(std::size_t bytes) const
{
    return bytes > smallShare ? this->limitBytes - this->limitBytes / smallPart : this->limitBytes;
}

bool MemoryBudget::reserve(std::size_t more, std::size_t allowed, const MemoryHolder* holder, TimePoint now)
{
    // Nothing that is reclaimed would be enough.
    if (more > allowed)
        return false;
    if (this->usedBytes <= allowed - more)
        return true;
    this->reclaim(this->usedBytes - (allowed - more), holder, now);
    return this->usedBytes <= allowed - more;
}

bool MemoryBudget::reclaim(std::size_t bytes, const MemoryHolder* except, TimePoint now)
{
    // Reclaiming a connection must not reclaim others for the bytes of its refusal.
    if (this->isReclaiming || now < this->nextSearch)
        return false;
    std::vector<MemoryHolder*> candidates;
    std::vector<ConnectionUse> uses;
    for (MemoryHolder* holder : this->holders) {
        if (holder == except)
            continue;
        candidates.push_back(holder);
        uses.push_back(holder->memoryUse());
    }
    const std::size_t before = this->usedBytes;
    this->isReclaiming = true;
    for (const std::size_t index : chooseConnectionsToClose(uses, bytes + this->limitBytes / sparePart)) {
        this->countRefusal(RefusalCause::Memory);
        candidates[index]->reclaimMemory();
    }
    this->isReclaiming = false;
    const bool isEnough = before - std::min(before, this->usedBytes) >= bytes;
    if (!isEnough)
        this->nextSearch = now + searchInterval;
    return isEnough;
}

// MemoryShare --------------------------------------------------------------------------------------------------------

MemoryShare::MemoryShare(MemoryBudget& budget, MemoryHolder& holder)
    : budget(budget)
    , holder(holder)
{
    this->budget.holders.insert(&holder);
}

MemoryShare::~MemoryShare()
{
    this->set(0);
    this->budget.holders.erase(&this->holder);
}

bool MemoryShare::reserve(std::size_t bytes, TimePoint now)
{
    return this->reserveWithin(bytes, this->budget.allowedFor(bytes), now);
}

bool MemoryShare::reserveWhole(std::size_t bytes, TimePoint now)
{
    return this->reserveWithin(bytes, this->budget.limitBytes, now);
}

bool MemoryShare::reserveWithin(std::size_t bytes, std::size_t allowed, TimePoint now)
{
    if (bytes <= this->held)
        return true;
    if (!this->budget.reserve(bytes - this->held, allowed, &this->holder, now))
        return false;
    this->set(bytes);
    return true;
}

void MemoryShare::set(std::size_t bytes)
{
    this->budget.usedBytes += bytes;
    this->budget.usedBytes -= this->held;
    this->held = bytes;
}

bool MemoryShare::setAndReclaim(std::size_t bytes, TimePoint now)
{
    this->set(bytes);
    if (this->budget.usedBytes <= this->budget.limitBytes)
        return true;
    return this->budget.reclaim(this->budget.usedBytes - this->budget.limitBytes, &this->holder, now);
}

}
