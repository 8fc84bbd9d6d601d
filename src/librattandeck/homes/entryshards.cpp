#include "entryimpl.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    constexpr Milliseconds releaseRetry { 300 };
    constexpr Milliseconds handOverInterval { 3000 };

}

// The shard map ----------------------------------------------------------------------------------------------------

std::string EntryCore::Impl::writerName()
{
    return this->settings.node.value + "#" + std::to_string(this->settings.incarnation.value) + "#"
        + std::to_string(++this->mapWrites);
}

void EntryCore::Impl::applyMap(const ShardMap& newer)
{
    if (newer.version <= this->map.version)
        return;
    this->map = newer;
    std::erase_if(
        this->handedOverSince, [&](const auto& since) { return this->map.slot(since.first).next.value.empty(); });
    std::vector<ShardId> lost;
    for (const auto& [id, shard] : this->shards) {
        const ShardSlot slot = this->map.slot(id);
        if (slot.home != this->settings.node || slot.epoch != shard.epoch || !slot.next.value.empty())
            lost.push_back(id);
    }
    for (const ShardId id : lost)
        this->dropShard(id);
}

void EntryCore::Impl::readMap(std::function<void(bool)> done)
{
    const ObjectKey key { "shardmap", "main" };
    this->callObjects(ObjectGet { key }, [this, key, done = std::move(done)](const ObjectOutcome& outcome) {
        if (outcome && !outcome->objects.empty() && !outcome->objects.front().deleted) {
            this->onObjectChanged(outcome->objects.front());
            return done(true);
        }
        const bool missing = outcome || outcome.error() == ObjectError::NotFound;
        if (!missing)
            return done(false);
        ShardMap empty;
        empty.slots.resize(this->settings.shardCount);
        empty.writer = this->writerName();
        this->callObjects(
            ObjectPut { key, ObjectVersion(0), formatShardMap(empty) }, [this, done](const ObjectOutcome& written) {
                if (written) {
                    for (const StoredObject& object : written->objects)
                        this->onObjectChanged(object);
                }
                done(written.has_value());
            });
    });
}

HomeShard* EntryCore::Impl::servedShard(ShardId shard)
{
    const auto found = this->shards.find(shard);
    if (found == this->shards.end() || !found->second.isServing || !this->hasAuthority())
        return nullptr;
    return &found->second;
}

void EntryCore::Impl::beginServing(ShardId shard)
{
    this->shards.at(shard).isServing = true;
    HomeShard& home = this->shards.at(shard);
    for (auto& [id, program] : home.programs) {
        if (program.ended)
            this->releaseEndedProgram(home, program);
    }
}

void EntryCore::Impl::dropShard(ShardId shard)
{
    const auto found = this->shards.find(shard);
    if (found == this->shards.end())
        return;
    this->log("shard dropped", "shard " + std::to_string(shard.value) + " has another home");
    // The shard is removed first, since the replies below may cause new requests to arrive.
    HomeShard home = std::move(found->second);
    this->shards.erase(found);
    this->recoveries.erase(shard);
    this->unansweredProcesses.erase(shard);
    this->receivedAnswers.erase(shard);
    this->unwrittenGaps.erase(shard);
    this->storeAsReplica(home);

    const auto refuseAll = [&](const ProgramCall& call, bool mayHaveRun) {
        const Ran ran = mayHaveRun ? Ran::Unknown : ranIfRefused(call.request);
        this->replyAll(
            call.callers, Problem { ProblemKind::NotServing, ran, takeoverRetryDelay, "the home has changed" });
    };
    for (auto& [id, program] : home.programs) {
        if (program.current) {
            const ProgramCall& call = *program.current;
            this->timers.cancel(call.deadlineTimer);
            if (call.order)
                this->orders.erase(call.order->id);
            if (call.stage == CallStage::Ordered) {
                --this->runningTotal;
                --this->runningByOrganisation[program.header.organisation];
            }
            refuseAll(call, call.mayHaveRun || call.stage != CallStage::Waiting);
        }
        for (const std::unique_ptr<ProgramCall>& waiting : program.queue) {
            this->timers.cancel(waiting->deadlineTimer);
            refuseAll(*waiting, false);
        }
        this->replyAll(program.endingCallers,
            Problem { ProblemKind::NotServing, Ran::Unknown, takeoverRetryDelay, "the home has changed" });
    }
}

// Eligibility of claims --------------------------------------------------------------------------------------------

bool EntryCore::Impl::hasStoredLease() const
{
    return !this->isSuperseded && this->isStoreReachable && this->now() < this->lease.validUntil;
}

bool EntryCore::Impl::canClaimShards() const
{
    const bool ready = this->isSelfRegistered && this->hasMemberList && this->hasConfigList && this->leaseFirstHeld;
    if (!ready || this->isShuttingDown || this->isReleasingLease)
        return false;
    return this->hasStoredLease() && this->now() >= *this->leaseFirstHeld + startupDelay;
}

std::vector<NodeId> EntryCore::Impl::liveEntries(const NodeId& except) const
{
    std::vector<NodeId> live;
    for (const auto& [entry, lease] : this->observed) {
        if (entry != except && !lease.hasExpired(this->now(), this->settings.clockMargin))
            live.push_back(entry);
    }
    return live;
}

ObjectVersion EntryCore::Impl::writtenCompleteThrough() const
{
    if (!this->completeThroughLimit)
        return this->completeThrough;
    return std::min(this->completeThrough, *this->completeThroughLimit);
}

// Returns the reason for which a shard may be claimed and the earliest time for it, before the delay for the
// successor's rank is added.
std::optional<EntryCore::Impl::ClaimEligibility> EntryCore::Impl::eligibilityOf(ShardId shard, const ShardSlot& slot)
{
    ClaimEligibility eligibility;
    eligibility.claim.holder = slot.home;
    if (slot.home.value.empty()) {
        eligibility.eligibleFrom = *this->leaseFirstHeld + startupDelay;
        return eligibility;
    }
    if (!slot.next.value.empty()) {
        eligibility.eligibleFrom = this->handedOverSince.try_emplace(shard, this->now()).first->second;
        eligibility.ranked = slot.next != this->settings.node;
        if (eligibility.ranked)
            eligibility.eligibleFrom += this->settings.leaseDuration;
        eligibility.claim.isHandedOver = true;
        eligibility.claim.completeThrough = slot.homeCompleteThrough;
        eligibility.claim.cleanStopIncarnation = slot.homeIncarnation;
        return eligibility;
    }
    if (slot.home == this->settings.node) {
        // The map names this node: either the response to a claim of this process was lost, or the shards were those of
        // this node's previous process.
        eligibility.ranked = false;
        eligibility.claim.completeThrough = this->writtenCompleteThrough();
        if (!this->formerLease)
            return eligibility;
        // The lease of this process has replaced the previous one, which therefore can't be renewed any more.
        eligibility.claim.lease = this->formerLease->lease;
        eligibility.claim.leaseVersion = this->formerLease->version;
        eligibility.eligibleFrom = this->formerLease->expiresAt(this->settings.clockMargin);
        eligibility.claim.needsPromiseReleases
            = !eligibility.claim.lease.released && !eligibility.claim.lease.grantors.empty();
        return eligibility;
    }
    const auto seen = this->observed.find(slot.home);
    if (seen == this->observed.end()) {
        const TimePoint since = this->homeLeaseMissingSince.try_emplace(slot.home, this->now()).first->second;
        eligibility.eligibleFrom = since + this->settings.leaseDuration + this->settings.clockMargin;
        eligibility.claim.mustRevokeLease = true;
        return eligibility;
    }
    eligibility.claim.lease = seen->second.lease;
    if (seen->second.lease.released)
        eligibility.claim.cleanStopIncarnation = seen->second.lease.incarnation;
    eligibility.claim.leaseVersion = seen->second.version;
    eligibility.claim.completeThrough = seen->second.lease.completeThrough;
    eligibility.claim.mustRevokeLease = !seen->second.lease.released && !seen->second.lease.revoked;
    eligibility.claim.needsPromiseReleases = !seen->second.lease.released && !seen->second.lease.grantors.empty();
    eligibility.eligibleFrom = seen->second.expiresAt(this->settings.clockMargin);
    return eligibility;
}

std::optional<EntryCore::Impl::Claim> EntryCore::Impl::dueClaim(ShardId shard, const ShardSlot& slot)
{
    if (this->shards.contains(shard))
        return std::nullopt;
    const std::optional<ClaimEligibility> eligibility = this->eligibilityOf(shard, slot);
    if (!eligibility || this->now() < eligibility->eligibleFrom)
        return std::nullopt;
    if (eligibility->ranked) {
        const std::size_t rank = successorRank(shard, this->settings.node, this->liveEntries(slot.home));
        if (this->now() < eligibility->eligibleFrom + rankDelay * rank)
            return std::nullopt;
    }
    return eligibility->claim;
}

void EntryCore::Impl::checkShards()
{
    // Gaps are written to the map also during a shutdown, in which no shards are claimed, because the successors of
    // this entry read them there.
    if (this->hasStoredLease() && !this->claim && !this->unwrittenGaps.empty())
        this->writeGap(*this->unwrittenGaps.begin());
    if (!this->canClaimShards() || this->claim)
        return;
    if (this->map.slots.empty()) {
        this->readMap([](bool) {});
        return;
    }
    const bool isFormerLeaseExpired
        = this->formerLease && this->now() >= this->formerLease->expiresAt(this->settings.clockMargin);
    if (isFormerLeaseExpired && this->holdsAllOwnSlots())
        this->formerLease.reset();
    // Shards are claimed from one holder at a time, so that its lease is revoked, and its releases are requested, once.
    std::map<std::pair<NodeId, ObjectVersion>, Claim> claims;
    for (std::uint32_t i = 0; i < this->map.slots.size(); ++i) {
        const ShardId shard(i);
        const std::optional<Claim> possible = this->dueClaim(shard, this->map.slots[i]);
        if (!possible)
            continue;
        const auto [found, created] = claims.try_emplace({ possible->holder, possible->completeThrough }, *possible);
        if (found->second.isHandedOver == possible->isHandedOver)
            found->second.shards.push_back(shard);
    }
    if (!claims.empty())
        return this->beginClaim(claims.begin()->second);
    this->handOver();
}

// True when this entry serves or recovers every shard that the map assigns to it.
bool EntryCore::Impl::holdsAllOwnSlots() const
{
    for (std::uint32_t i = 0; i < this->map.slots.size(); ++i) {
        if (this->map.slots[i].home == this->settings.node && !this->shards.contains(ShardId(i)))
            return false;
    }
    return true;
}

// Taking over ------------------------------------------------------------------------------------------------------

void EntryCore::Impl::beginClaim(Claim claim)
{
    this->claim = std::move(claim);
    this->claim->serial = ++this->lastClaim;
    this->claim->startedAt = this->now();
    if (this->claim->mustRevokeLease)
        return this->revokeLease();
    this->continueClaim();
}

void EntryCore::Impl::abandonClaim() { this->claim.reset(); }

// Writes the lease with the observed version as the expected one, so that a renewal in flight fails. If the response is
// lost, the watch or the next read shows whether the write took effect. Any entry may claim after a revoked lease.
void EntryCore::Impl::revokeLease()
{
    const Claim& open = *this->claim;
    LeaseObject revoked = open.lease;
    revoked.entry = open.holder;
    revoked.revoked = true;
    const ObjectKey key { "lease", open.holder.value };
    const ObjectPut put { key, open.leaseVersion, formatLease(revoked) };
    this->callObjects(put, [this, key, serial = open.serial](const ObjectOutcome& outcome) {
        const bool isOwnClaim = this->isCurrentClaim(serial);
        if (outcome && !outcome->objects.empty()) {
            this->observeLease(outcome->objects.front());
            if (!isOwnClaim)
                return;
            this->claim->leaseVersion = outcome->objects.front().version;
            return this->continueClaim();
        }
        if (isOwnClaim)
            this->abandonClaim();
        this->callObjects(ObjectGet { key }, [this](const ObjectOutcome& found) {
            if (found && !found->objects.empty())
                this->observeLease(found->objects.front());
        });
    });
}

void EntryCore::Impl::continueClaim()
{
    if (this->claim->needsPromiseReleases)
        return this->requestReleases();
    this->lowerCompleteThrough();
}

void EntryCore::Impl::requestReleases()
{
    Claim& open = *this->claim;
    const auto seen = this->observed.find(open.holder);
    const bool isRenewed = seen != this->observed.end() && seen->second.version != open.leaseVersion;
    const bool isTimedOut = this->now() > open.startedAt + 3 * this->settings.promiseLifetime;
    if (isRenewed || isTimedOut)
        return this->abandonClaim();
    open.request = ++this->lastPromiseReleaseRequest;
    for (const NodeId& grantor : open.lease.grantors) {
        const auto node = this->nodes.find(grantor);
        const bool linked = node != this->nodes.end() && node->second.linked;
        const bool isUnlisted = this->hasInstanceList && !this->listedNodes.contains(grantor);
        if (grantor == this->settings.node) {
            if (this->promises.release(open.holder, open.leaseVersion, this->now()).count() == 0)
                open.released.insert(grantor);
        } else if (linked)
            this->send(grantor, PromiseReleaseRequest { open.request, open.holder, open.leaseVersion });
        else if (isUnlisted && this->now() >= open.startedAt + this->settings.promiseLifetime)
            open.released.insert(grantor);
    }
    this->after(releaseRetry, [this, serial = open.serial, request = open.request] {
        if (this->isCurrentClaim(serial) && this->claim->request == request)
            this->requestReleases();
    });
    this->checkReleases();
}

void EntryCore::Impl::onPromiseReleaseAnswer(const NodeId& from, const PromiseReleaseAnswer& answer)
{
    if (!this->claim || this->claim->request != answer.request || answer.request == 0 || !answer.released)
        return;
    this->claim->released.insert(from);
    this->checkReleases();
}

void EntryCore::Impl::checkReleases()
{
    if (this->claim->released.size() < quorumSize(this->claim->lease.grantors.size()))
        return;
    this->claim->request = 0;
    this->lowerCompleteThrough();
}

// A successor of this entry relies on the `completeThrough` value in this entry's lease. The value must therefore not
// be higher than that of the shards' former home. If it is higher, it is lowered, and the claim continues only after
// the lease has been written.
void EntryCore::Impl::lowerCompleteThrough()
{
    const Claim& open = *this->claim;
    const bool neverHeld = open.holder.value.empty();
    if (neverHeld || open.completeThrough >= this->writtenCompleteThrough())
        return this->readBeforeClaim();
    this->limitCompleteThrough(open.completeThrough);
    this->renewalCallbacks.emplace_back([this, serial = open.serial](bool written) {
        if (!this->isCurrentClaim(serial))
            return;
        if (written)
            this->readBeforeClaim();
        else
            this->abandonClaim();
    });
    this->renewLease();
}

void EntryCore::Impl::readBeforeClaim()
{
    this->readMap([this, serial = this->claim->serial](bool read) {
        if (!this->isCurrentClaim(serial))
            return;
        if (!read)
            return this->abandonClaim();
        Claim& open = *this->claim;
        open.baseMap = this->map;
        std::erase_if(open.shards, [&](ShardId shard) {
            const ShardSlot slot = open.baseMap.slot(shard);
            const bool changed = slot.home != open.holder || slot.next.value.empty() == open.isHandedOver;
            return changed || this->shards.contains(shard);
        });
        if (open.shards.empty())
            return this->abandonClaim();
        this->writeClaim();
    });
}

void EntryCore::Impl::writeClaim()
{
    const Claim& open = *this->claim;
    ShardMap updatedMap = open.baseMap;
    updatedMap.writer = this->writerName();
    for (const ShardId shard : open.shards) {
        ShardSlot& slot = updatedMap.slots[shard.value];
        slot.home = this->settings.node;
        ++slot.epoch.value;
        slot.next = NodeId();
    }
    this->unresolvedClaimBase = open.baseMap.version;
    const ObjectPut put { { "shardmap", "main" }, open.baseMap.version, formatShardMap(updatedMap) };
    this->callObjects(put, [this, serial = open.serial](const ObjectOutcome& outcome) {
        if (!this->isCurrentClaim(serial))
            return;
        if (!outcome && outcome.error() == ObjectError::Conflict) {
            constexpr std::uint32_t maxConflicts = 5;
            if (++this->claim->conflicts < maxConflicts)
                return this->readBeforeClaim();
            return this->abandonClaim();
        }
        if (!outcome || outcome->objects.empty())
            return this->readClaimBack();
        this->onObjectChanged(outcome->objects.front());
        this->onClaimWritten();
    });
}

void EntryCore::Impl::readClaimBack()
{
    this->readMap([this, serial = this->claim->serial](bool read) {
        if (!this->isCurrentClaim(serial))
            return;
        if (read)
            return this->onClaimWritten();
        this->after(periodicCheckInterval, [this, serial] {
            if (this->isCurrentClaim(serial))
                this->readClaimBack();
        });
    });
}

void EntryCore::Impl::onClaimWritten()
{
    Claim taken = std::move(*this->claim);
    this->claim.reset();
    std::erase_if(taken.shards, [&](ShardId shard) {
        const ShardSlot slot = this->map.slot(shard);
        const bool epochMatches = slot.epoch.value == taken.baseMap.slot(shard).epoch.value + 1;
        return slot.home != this->settings.node || !epochMatches || !slot.next.value.empty();
    });
    for (const ShardId shard : taken.shards) {
        HomeShard home;
        home.shard = shard;
        home.epoch = this->map.slot(shard).epoch;
        home.gap = this->map.slot(shard).gap;
        home.gapSince = this->now();
        this->shards.insert_or_assign(shard, std::move(home));
        this->fences[shard] = this->map.slot(shard).epoch;
        this->handedOverSince.erase(shard);
    }
    if (taken.shards.empty())
        return;
    this->log("shards taken",
        std::to_string(taken.shards.size()) + " from "
            + (taken.holder.value.empty() ? "no former home" : taken.holder.value));
    if (taken.holder.value.empty()) {
        for (const ShardId shard : taken.shards)
            this->beginServing(shard);
        return;
    }
    if (!taken.isHandedOver)
        this->counters.takeovers += taken.shards.size();
    this->recoverShards(taken);
}

// Planned hand-over ------------------------------------------------------------------------------------------------

// Hands over the shards that exceed this entry's even share. All entries write the same map, so one of two concurrent
// writes fails, and the writes stop when the shares are even.
void EntryCore::Impl::handOver()
{
    if (this->isHandOverInFlight || this->now() < this->handOverAttemptedAt + handOverInterval || !this->hasAuthority())
        return;
    this->handOverAttemptedAt = this->now();
    const std::optional<HandOver> wanted = this->planHandOver();
    if (!wanted)
        return;
    std::vector<ShardId> handedOver;
    for (auto& [id, shard] : this->shards) {
        const bool busy = std::any_of(shard.programs.begin(), shard.programs.end(), [](const auto& item) {
            return item.second.current || !item.second.queue.empty() || !item.second.endingCallers.empty();
        });
        if (shard.isServing && !busy && !this->unwrittenGaps.contains(id) && handedOver.size() < wanted->count)
            handedOver.push_back(id);
    }
    if (handedOver.empty())
        return;
    ShardMap changed = this->map;
    changed.writer = this->writerName();
    for (const ShardId id : handedOver) {
        this->shards.at(id).isServing = false;
        changed.slots[id.value].next = wanted->to;
        changed.slots[id.value].homeCompleteThrough = this->writtenCompleteThrough();
        changed.slots[id.value].homeIncarnation = this->settings.incarnation;
    }
    this->isHandOverInFlight = true;
    const ObjectVersion base = this->map.version;
    const ObjectPut put { { "shardmap", "main" }, base, formatShardMap(changed) };
    this->callObjects(put, [this, handedOver, base](const ObjectOutcome& outcome) {
        if (outcome) {
            this->isHandOverInFlight = false;
            for (const StoredObject& object : outcome->objects)
                this->onObjectChanged(object);
            return;
        }
        this->resolveHandOver(handedOver, base);
    });
}

std::optional<EntryCore::Impl::HandOver> EntryCore::Impl::planHandOver() const
{
    std::map<NodeId, std::size_t> owned { { this->settings.node, 0 } };
    for (const NodeId& entry : this->liveEntries({}))
        owned[entry] = 0;
    for (const ShardSlot& slot : this->map.slots) {
        const auto home = owned.find(slot.home);
        // One change at a time: hand-overs and takeovers in progress are completed first.
        if (home == owned.end() || !slot.next.value.empty())
            return std::nullopt;
        ++home->second;
    }
    const auto fewest = std::min_element(
        owned.begin(), owned.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    const std::size_t own = owned.at(this->settings.node);
    const std::size_t floor = this->map.slots.size() / owned.size();
    const std::size_t ceiling = floor + (this->map.slots.size() % owned.size() == 0 ? 0 : 1);
    const auto recipient = this->nodes.find(fewest->first);
    if (recipient == this->nodes.end() || !recipient->second.linked)
        return std::nullopt;
    if (own > ceiling) {
        const std::size_t missing = std::max<std::size_t>(1, floor - std::min(floor, fewest->second));
        return HandOver { fewest->first, std::min(own - ceiling, missing) };
    }
    if (own > floor && fewest->second < floor)
        return HandOver { fewest->first, 1 };
    return std::nullopt;
}

// When the response to the map write of a hand-over was lost, that write may still take effect while the map is at
// version `base`. The shards are not served until the map has a later version. To reach one, the map is rewritten
// unchanged: both writes expect version `base`, so at most one of them succeeds.
void EntryCore::Impl::resolveHandOver(const std::vector<ShardId>& handedOver, ObjectVersion base)
{
    const auto retryLater = [this, handedOver, base] {
        this->after(periodicCheckInterval, [this, handedOver, base] { this->resolveHandOver(handedOver, base); });
    };
    this->readMap([this, handedOver, base, retryLater](bool read) {
        if (!read)
            return retryLater();
        if (this->map.version > base) {
            this->isHandOverInFlight = false;
            for (const ShardId id : handedOver) {
                const auto found = this->shards.find(id);
                if (found != this->shards.end())
                    found->second.isServing = true;
            }
            return;
        }
        ShardMap rewritten = this->map;
        rewritten.writer = this->writerName();
        const ObjectPut put { { "shardmap", "main" }, base, formatShardMap(rewritten) };
        this->callObjects(put, [retryLater](const ObjectOutcome&) { retryLater(); });
    });
}

}
