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
    if (found == this->shards.end() || !found->second.serving || !this->hasAuthority())
        return nullptr;
    return &found->second;
}

void EntryCore::Impl::serveShard(ShardId shard)
{
    this->shards.at(shard).serving = true;
    HomeShard& home = this->shards.at(shard);
    for (auto& [id, program] : home.programs) {
        if (program.ended)
            this->releaseEnded(home, program);
    }
}

void EntryCore::Impl::dropShard(ShardId shard)
{
    const auto found = this->shards.find(shard);
    if (found == this->shards.end())
        return;
    this->log("shard dropped", "shard " + std::to_string(shard.value) + " has another home");
    // Out of the way first: the replies below may bring new requests.
    HomeShard home = std::move(found->second);
    this->shards.erase(found);
    this->recoveries.erase(shard);
    this->missed.erase(shard);
    this->receivedAnswers.erase(shard);
    this->gapsUnwritten.erase(shard);
    this->storeOwnFacts(home);

    const auto refuseAll = [&](const ProgramCall& call, bool mayHaveRun) {
        const Ran ran = mayHaveRun ? Ran::Unknown : ranIfRefused(call.request);
        this->replyAll(call.callers, Problem { ProblemKind::NotServing, ran, takeoverRetry, "the home has changed" });
    };
    for (auto& [id, program] : home.programs) {
        if (program.current) {
            const ProgramCall& call = *program.current;
            this->timers.cancel(call.deadlineTimer);
            if (call.order)
                this->orders.erase(call.order->id);
            if (call.stage == CallStage::Ordered) {
                --this->runningTotal;
                --this->runningOf[program.header.organisation];
            }
            refuseAll(call, call.mayHaveRun || call.stage != CallStage::Waiting);
        }
        for (const std::unique_ptr<ProgramCall>& waiting : program.queue) {
            this->timers.cancel(waiting->deadlineTimer);
            refuseAll(*waiting, false);
        }
        this->replyAll(program.endCallers,
            Problem { ProblemKind::NotServing, Ran::Unknown, takeoverRetry, "the home has changed" });
    }
}

// Whether and when to claim ----------------------------------------------------------------------------------------

bool EntryCore::Impl::holdsLease() const
{
    return !this->superseded && this->storeReachable && this->now() < this->lease.validUntil;
}

bool EntryCore::Impl::mayTakeShards() const
{
    const bool ready = this->selfRegistered && this->membersListed && this->configListed && this->leaseFirstHeld;
    if (!ready || this->shuttingDown || this->releaseWanted)
        return false;
    return this->holdsLease() && this->now() >= *this->leaseFirstHeld + settlingTime;
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

// Why a shard may be claimed, and from when; before the wait of the lower ranks.
std::optional<EntryCore::Impl::ClaimGround> EntryCore::Impl::groundFor(ShardId shard, const ShardSlot& slot)
{
    ClaimGround ground;
    ground.claim.holder = slot.home;
    if (slot.home.value.empty()) {
        ground.from = *this->leaseFirstHeld + settlingTime;
        return ground;
    }
    if (!slot.next.value.empty()) {
        ground.from = this->handedOverSince.try_emplace(shard, this->now()).first->second;
        ground.ranked = slot.next != this->settings.node;
        if (ground.ranked)
            ground.from += this->settings.leaseDuration;
        ground.claim.handedOver = true;
        ground.claim.completeThrough = slot.homeCompleteThrough;
        ground.claim.knowing = slot.homeIncarnation;
        return ground;
    }
    if (slot.home == this->settings.node) {
        // A claim of this process whose answer was lost, or shards of the former process.
        ground.ranked = false;
        ground.claim.completeThrough = this->writtenCompleteThrough();
        if (!this->formerLease)
            return ground;
        // This process's own lease has taken the place of the former one, which can't be renewed any more.
        ground.claim.lease = this->formerLease->lease;
        ground.claim.leaseVersion = this->formerLease->version;
        ground.from = this->formerLease->expiresAt(this->settings.clockMargin);
        ground.claim.mustRelease = !ground.claim.lease.released && !ground.claim.lease.grantors.empty();
        return ground;
    }
    const auto seen = this->observed.find(slot.home);
    if (seen == this->observed.end()) {
        const TimePoint since = this->homeMissingSince.try_emplace(slot.home, this->now()).first->second;
        ground.from = since + this->settings.leaseDuration + this->settings.clockMargin;
        ground.claim.mustRevoke = true;
        return ground;
    }
    ground.claim.lease = seen->second.lease;
    if (seen->second.lease.released)
        ground.claim.knowing = seen->second.lease.incarnation;
    ground.claim.leaseVersion = seen->second.version;
    ground.claim.completeThrough = seen->second.lease.completeThrough;
    ground.claim.mustRevoke = !seen->second.lease.released && !seen->second.lease.revoked;
    ground.claim.mustRelease = !seen->second.lease.released && !seen->second.lease.grantors.empty();
    ground.from = seen->second.expiresAt(this->settings.clockMargin);
    return ground;
}

std::optional<EntryCore::Impl::Claim> EntryCore::Impl::claimFor(ShardId shard, const ShardSlot& slot)
{
    if (this->shards.contains(shard))
        return std::nullopt;
    const std::optional<ClaimGround> ground = this->groundFor(shard, slot);
    if (!ground || this->now() < ground->from)
        return std::nullopt;
    if (ground->ranked) {
        const std::size_t rank = successorRank(shard, this->settings.node, this->liveEntries(slot.home));
        if (this->now() < ground->from + rankDelay * rank)
            return std::nullopt;
    }
    return ground->claim;
}

void EntryCore::Impl::reviewShards()
{
    // An entry that leaves takes no shards, but its successors rely on what the map says of its gaps.
    if (this->holdsLease() && !this->claim && !this->gapsUnwritten.empty())
        this->writeGap(*this->gapsUnwritten.begin());
    if (!this->mayTakeShards() || this->claim)
        return;
    if (this->map.slots.empty()) {
        this->readMap([](bool) {});
        return;
    }
    const bool formerOver
        = this->formerLease && this->now() >= this->formerLease->expiresAt(this->settings.clockMargin);
    if (formerOver && this->ownSlotsTaken())
        this->formerLease.reset();
    // One holder at a time: its releases and its lease are asked for once.
    std::map<std::pair<NodeId, ObjectVersion>, Claim> claims;
    for (std::uint32_t i = 0; i < this->map.slots.size(); ++i) {
        const ShardId shard(i);
        const std::optional<Claim> possible = this->claimFor(shard, this->map.slots[i]);
        if (!possible)
            continue;
        const auto [found, created] = claims.try_emplace({ possible->holder, possible->completeThrough }, *possible);
        if (found->second.handedOver == possible->handedOver)
            found->second.shards.push_back(shard);
    }
    if (!claims.empty())
        return this->beginClaim(claims.begin()->second);
    this->handOver();
}

// True when this entry serves, or takes a census of, every shard that the map says is its own.
bool EntryCore::Impl::ownSlotsTaken() const
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
    this->claim->begun = this->now();
    if (this->claim->mustRevoke)
        return this->revokeLease();
    this->releasesNext();
}

void EntryCore::Impl::abandonClaim() { this->claim.reset(); }

// Writes the lease at exactly the version that was watched, so that a renewal still under way fails. After a lost
// answer the watch, or the next read, shows whether it was written; a broken lease may be claimed by anyone.
void EntryCore::Impl::revokeLease()
{
    const Claim& open = *this->claim;
    LeaseObject revoked = open.lease;
    revoked.entry = open.holder;
    revoked.revoked = true;
    const ObjectKey key { "lease", open.holder.value };
    const ObjectPut put { key, open.leaseVersion, formatLease(revoked) };
    this->callObjects(put, [this, key, serial = open.serial](const ObjectOutcome& outcome) {
        const bool ours = this->claimIs(serial);
        if (outcome && !outcome->objects.empty()) {
            this->observeLease(outcome->objects.front());
            if (!ours)
                return;
            this->claim->leaseVersion = outcome->objects.front().version;
            return this->releasesNext();
        }
        if (ours)
            this->abandonClaim();
        this->callObjects(ObjectGet { key }, [this](const ObjectOutcome& found) {
            if (found && !found->objects.empty())
                this->observeLease(found->objects.front());
        });
    });
}

void EntryCore::Impl::releasesNext()
{
    if (this->claim->mustRelease)
        return this->askReleases();
    this->lowerCompleteThrough();
}

void EntryCore::Impl::askReleases()
{
    Claim& open = *this->claim;
    const auto seen = this->observed.find(open.holder);
    const bool renewed = seen != this->observed.end() && seen->second.version != open.leaseVersion;
    const bool tooLong = this->now() > open.begun + 3 * this->settings.promiseLifetime;
    if (renewed || tooLong)
        return this->abandonClaim();
    open.request = ++this->lastPromiseReleaseRequest;
    for (const NodeId& grantor : open.lease.grantors) {
        const auto node = this->nodes.find(grantor);
        const bool linked = node != this->nodes.end() && node->second.linked;
        const bool unlisted = this->instancesListed && !this->listedNodes.contains(grantor);
        if (grantor == this->settings.node) {
            if (this->promises.release(open.holder, open.leaseVersion, this->now()).count() == 0)
                open.released.insert(grantor);
        } else if (linked)
            this->send(grantor, PromiseReleaseRequest { open.request, open.holder, open.leaseVersion });
        else if (unlisted && this->now() >= open.begun + this->settings.promiseLifetime)
            open.released.insert(grantor);
    }
    this->after(releaseRetry, [this, serial = open.serial, request = open.request] {
        if (this->claimIs(serial) && this->claim->request == request)
            this->askReleases();
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

// A successor of this entry will go by this entry's lease, which must not claim more for the new shards than the
// former home did.
void EntryCore::Impl::lowerCompleteThrough()
{
    const Claim& open = *this->claim;
    const bool neverHeld = open.holder.value.empty();
    if (neverHeld || open.completeThrough >= this->writtenCompleteThrough())
        return this->readBeforeClaim();
    this->limitCompleteThrough(open.completeThrough);
    this->afterRenewal.emplace_back([this, serial = open.serial](bool written) {
        if (!this->claimIs(serial))
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
        if (!this->claimIs(serial))
            return;
        if (!read)
            return this->abandonClaim();
        Claim& open = *this->claim;
        open.base = this->map;
        std::erase_if(open.shards, [&](ShardId shard) {
            const ShardSlot slot = open.base.slot(shard);
            const bool changed = slot.home != open.holder || slot.next.value.empty() == open.handedOver;
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
    ShardMap claimed = open.base;
    claimed.writer = this->writerName();
    for (const ShardId shard : open.shards) {
        ShardSlot& slot = claimed.slots[shard.value];
        slot.home = this->settings.node;
        ++slot.epoch.value;
        slot.next = NodeId();
    }
    this->claimInDoubt = open.base.version;
    const ObjectPut put { { "shardmap", "main" }, open.base.version, formatShardMap(claimed) };
    this->callObjects(put, [this, serial = open.serial](const ObjectOutcome& outcome) {
        if (!this->claimIs(serial))
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
        this->claimTaken();
    });
}

void EntryCore::Impl::readClaimBack()
{
    this->readMap([this, serial = this->claim->serial](bool read) {
        if (!this->claimIs(serial))
            return;
        if (read)
            return this->claimTaken();
        this->after(reviewInterval, [this, serial] {
            if (this->claimIs(serial))
                this->readClaimBack();
        });
    });
}

void EntryCore::Impl::claimTaken()
{
    Claim taken = std::move(*this->claim);
    this->claim.reset();
    std::erase_if(taken.shards, [&](ShardId shard) {
        const ShardSlot slot = this->map.slot(shard);
        const bool epochMatches = slot.epoch.value == taken.base.slot(shard).epoch.value + 1;
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
        std::to_string(taken.shards.size()) + " from " + (taken.holder.value.empty() ? "nobody" : taken.holder.value));
    if (taken.holder.value.empty()) {
        for (const ShardId shard : taken.shards)
            this->serveShard(shard);
        return;
    }
    if (!taken.handedOver)
        this->counters.takeovers += taken.shards.size();
    this->beginRecovery(taken);
}

// Planned hand-over ------------------------------------------------------------------------------------------------

// Gives away what exceeds this entry's even share. All entries go by the same map, so one of two that act at once
// fails, and nothing is written any more when the shares are even.
void EntryCore::Impl::handOver()
{
    if (this->handOverOpen || this->now() < this->handOverTriedAt + handOverInterval || !this->hasAuthority())
        return;
    this->handOverTriedAt = this->now();
    const std::optional<HandOver> wanted = this->wantedHandOver();
    if (!wanted)
        return;
    std::vector<ShardId> given;
    for (auto& [id, shard] : this->shards) {
        const bool busy = std::any_of(shard.programs.begin(), shard.programs.end(), [](const auto& item) {
            return item.second.current || !item.second.queue.empty() || !item.second.endCallers.empty();
        });
        if (shard.serving && !busy && !this->gapsUnwritten.contains(id) && given.size() < wanted->count)
            given.push_back(id);
    }
    if (given.empty())
        return;
    ShardMap changed = this->map;
    changed.writer = this->writerName();
    for (const ShardId id : given) {
        this->shards.at(id).serving = false;
        changed.slots[id.value].next = wanted->to;
        changed.slots[id.value].homeCompleteThrough = this->writtenCompleteThrough();
        changed.slots[id.value].homeIncarnation = this->settings.incarnation;
    }
    this->handOverOpen = true;
    const ObjectVersion base = this->map.version;
    const ObjectPut put { { "shardmap", "main" }, base, formatShardMap(changed) };
    this->callObjects(put, [this, given, base](const ObjectOutcome& outcome) {
        if (outcome) {
            this->handOverOpen = false;
            for (const StoredObject& object : outcome->objects)
                this->onObjectChanged(object);
            return;
        }
        this->settleHandOver(given, base);
    });
}

std::optional<EntryCore::Impl::HandOver> EntryCore::Impl::wantedHandOver() const
{
    std::map<NodeId, std::size_t> owned { { this->settings.node, 0 } };
    for (const NodeId& entry : this->liveEntries({}))
        owned[entry] = 0;
    for (const ShardSlot& slot : this->map.slots) {
        const auto home = owned.find(slot.home);
        // One change at a time: hand-overs and takeovers under way come first.
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

// A hand-over whose answer was lost may take effect until the map has a later version; the shards stay idle until then.
void EntryCore::Impl::settleHandOver(const std::vector<ShardId>& given, ObjectVersion base)
{
    const auto again = [this, given, base] {
        this->after(reviewInterval, [this, given, base] { this->settleHandOver(given, base); });
    };
    this->readMap([this, given, base, again](bool read) {
        if (!read)
            return again();
        if (this->map.version > base) {
            this->handOverOpen = false;
            for (const ShardId id : given) {
                const auto found = this->shards.find(id);
                if (found != this->shards.end())
                    found->second.serving = true;
            }
            return;
        }
        ShardMap rewritten = this->map;
        rewritten.writer = this->writerName();
        const ObjectPut put { { "shardmap", "main" }, base, formatShardMap(rewritten) };
        this->callObjects(put, [again](const ObjectOutcome&) { again(); });
    });
}

}
