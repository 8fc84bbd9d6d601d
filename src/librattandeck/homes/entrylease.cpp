#include "entryimpl.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    constexpr std::size_t maxGrantors = 3;
    // Renewals per lease duration, so that two may fail before the lease expires.
    constexpr int renewalsPerLease = 3;

    bool sameGrantors(const std::vector<PromiseGrantor>& a, const std::vector<PromiseGrantor>& b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& left, const auto& right) {
            return left.node == right.node && left.incarnation == right.incarnation;
        });
    }

    bool isMissing(const ObjectOutcome& outcome)
    {
        if (!outcome)
            return outcome.error() == ObjectError::NotFound;
        return outcome->objects.empty() || outcome->objects.front().deleted;
    }

}

// Holder -----------------------------------------------------------------------------------------------------------

bool EntryCore::Impl::hasAuthority() const
{
    return !this->isSuperseded && !this->isReleasingLease && this->lease.holds(this->now());
}

void EntryCore::Impl::renewLease()
{
    if (this->isSuperseded || this->isLeaseReleased || this->isLeaseCallInFlight)
        return;
    const Duration interval = this->settings.leaseDuration / renewalsPerLease;
    const bool isRenewalWanted
        = !this->renewalCallbacks.empty() || this->isStoredLeaseUnknown || this->isReleasingLease;
    if (!isRenewalWanted && this->now() < this->leaseAttemptedAt + interval && this->isStoreReachable)
        return;
    this->leaseAttemptedAt = this->now();
    if (this->isStoredLeaseUnknown)
        this->readLeaseBack();
    else
        this->writeLease();
}

void EntryCore::Impl::readLeaseBack()
{
    this->isLeaseCallInFlight = true;
    const ObjectKey key { "lease", this->settings.node.value };
    this->callObjects(ObjectGet { key }, [this](const ObjectOutcome& outcome) {
        this->isLeaseCallInFlight = false;
        if (isMissing(outcome)) {
            this->lease.version = ObjectVersion(0);
            this->isStoredLeaseUnknown = false;
            return this->writeLease();
        }
        if (!outcome)
            return;
        const StoredObject& stored = outcome->objects.front();
        const auto value = parseLease(stored.value);
        if (value && value->incarnation > this->settings.incarnation) {
            this->isSuperseded = true;
            return this->onLeaseLost("a later incarnation of this entry holds it");
        }
        if (value && value->revoked && value->incarnation == this->settings.incarnation)
            this->onLeaseLost("a successor has revoked it");
        if (value && value->incarnation < this->settings.incarnation) {
            this->formerLease = ObservedLease { stored.version, *value, this->now() };
            this->limitCompleteThrough(value->completeThrough);
        }
        this->lease.version = stored.version;
        this->isStoredLeaseUnknown = false;
        this->writeLease();
    });
}

void EntryCore::Impl::onLeaseLost(const std::string& reason)
{
    this->log("lease lost", reason);
    this->lease = HeldLease {};
    while (!this->shards.empty())
        this->dropShard(this->shards.begin()->first);
}

std::vector<PromiseGrantor> EntryCore::Impl::chooseGrantors() const
{
    // A write whose outcome is unknown may have stored its set of grantors. It must not be replaced by a third set.
    if (this->lease.unconfirmedGrantors)
        return *this->lease.unconfirmedGrantors;
    std::vector<PromiseGrantor> chosen;
    std::set<FailureDomain> domains { this->settings.domain };
    const auto consider = [&](const NodeId& id, bool anyDomain) {
        const auto found = this->nodes.find(id);
        if (chosen.size() >= maxGrantors || found == this->nodes.end() || !found->second.linked)
            return;
        const Hello& hello = found->second.hello;
        const bool taken
            = std::any_of(chosen.begin(), chosen.end(), [&](const auto& grantor) { return grantor.node == id; });
        const bool usable = hello.role == Role::Entry && hello.domain != this->settings.domain && !taken;
        if (!usable || (!anyDomain && domains.contains(hello.domain)))
            return;
        domains.insert(hello.domain);
        chosen.push_back({ id, hello.incarnation });
    };
    // The current grantors are preferred, so that the set seldom changes.
    for (const PromiseGrantor& grantor : this->lease.grantors)
        consider(grantor.node, true);
    for (const auto& [id, lease] : this->observed)
        consider(id, false);
    for (const auto& [id, lease] : this->observed)
        consider(id, true);
    return chosen;
}

void EntryCore::Impl::writeLease()
{
    const std::vector<PromiseGrantor> chosenGrantors = this->chooseGrantors();
    LeaseObject value;
    value.entry = this->settings.node;
    value.incarnation = this->settings.incarnation;
    value.duration = this->settings.leaseDuration;
    value.domain = this->settings.domain;
    value.address = this->settings.address;
    for (const PromiseGrantor& grantor : chosenGrantors)
        value.grantors.push_back(grantor.node);
    value.completeThrough = this->completeThrough;
    if (this->completeThroughLimit)
        value.completeThrough = std::min(value.completeThrough, *this->completeThroughLimit);
    value.renewal = ++this->leaseRenewals;
    value.released = this->isReleasingLease;

    const TimePoint writeStartedAt = this->now();
    if (!sameGrantors(chosenGrantors, this->lease.grantors))
        this->lease.unconfirmedGrantors = chosenGrantors;
    this->isLeaseCallInFlight = true;
    const ObjectPut put { { "lease", this->settings.node.value }, this->lease.version, formatLease(value) };
    this->callObjects(
        put, [this, writeStartedAt, chosenGrantors, released = value.released](const ObjectOutcome& outcome) {
            this->isLeaseCallInFlight = false;
            if (outcome && released) {
                this->isLeaseReleased = true;
                this->leaseReleasedAt = this->now();
                this->unregisterSelf();
            }
            this->onLeaseWritten(outcome, writeStartedAt, chosenGrantors);
        });
}

void EntryCore::Impl::onLeaseWritten(
    const ObjectOutcome& outcome, TimePoint writeStartedAt, std::vector<PromiseGrantor> chosenGrantors)
{
    std::vector<std::function<void(bool)>> callbacks;
    callbacks.swap(this->renewalCallbacks);
    const bool written = outcome && !outcome->objects.empty();
    if (written) {
        this->lease.onWritten(
            outcome->objects.front().version, writeStartedAt, this->settings.leaseDuration, std::move(chosenGrantors));
        if (!this->leaseFirstHeld)
            this->leaseFirstHeld = this->now();
    } else {
        this->isStoredLeaseUnknown = true;
        // The store answered, so the stored lease can be read at once. When the store is unreachable, reading would
        // fail too.
        if (outcome || outcome.error() == ObjectError::Conflict)
            this->readLeaseBack();
    }
    for (const auto& callback : callbacks)
        callback(written);
}

void EntryCore::Impl::releaseLease()
{
    if (!this->isShuttingDown || this->isLeaseReleased)
        return;
    const auto isBusy = [](const auto& item) {
        const HomeProgram& program = item.second;
        return program.current || !program.queue.empty() || !program.endingCallers.empty();
    };
    for (const auto& [id, shard] : this->shards) {
        if (std::any_of(shard.programs.begin(), shard.programs.end(), isBusy))
            return;
    }
    if (!this->tickets.empty() || !this->callers.empty())
        return;
    // Successors rely on this entry's answer alone, so its gaps must be in the map before the release.
    if (!this->unwrittenGaps.empty() && this->isStoreReachable)
        return;
    if (!this->isFullyReplicated() && this->isStoreReachable
        && this->now() < this->shutdownStartedAt + finalReplicationTimeout)
        return;
    this->isReleasingLease = true;
    this->renewLease();
    // While the store is unreachable the lease can't be released. It is treated as released once it has expired.
    if (!this->isStoreReachable && !this->lease.holds(this->now()) && !this->isLeaseReleased) {
        this->isLeaseReleased = true;
        this->leaseReleasedAt = this->now();
    }
}

bool EntryCore::Impl::isTakeoverComplete() const
{
    const std::vector<NodeId> others = this->liveEntries(this->settings.node);
    const bool isTimedOut = this->now() >= this->leaseReleasedAt + maxDrainTime;
    if (isTimedOut)
        return true;
    // No shard can be claimed now. A successor will request the state held here once the store is reachable again.
    if (!this->isStoreReachable)
        return false;
    // There is no other live entry, so this one waits for a successor to start.
    if (others.empty())
        return false;
    const bool areReplicasCovered = std::all_of(others.begin(), others.end(), [&](const NodeId& entry) {
        return this->observed.at(entry).lease.completeThrough >= this->ownRemovalRevision;
    });
    // A shard whose home has failed needs the replicas held here until a successor has claimed it.
    const bool areShardsClaimed
        = std::all_of(this->map.slots.begin(), this->map.slots.end(), [&](const ShardSlot& slot) {
              return slot.home.value.empty() || std::find(others.begin(), others.end(), slot.home) != others.end();
          });
    return this->ownRemovalRevision.value != 0 && areReplicasCovered && areShardsClaimed;
}

// Promises ---------------------------------------------------------------------------------------------------------

void EntryCore::Impl::requestPromises()
{
    const bool isRenewalOverdue = this->now() + this->settings.leaseDuration / 2 > this->lease.validUntil;
    const bool isRequestDue = this->now() >= this->promisesRequestedAt + this->settings.promiseLifetime / 3;
    if (this->shards.empty() || this->isStoreReachable || !isRenewalOverdue || !isRequestDue || this->isSuperseded)
        return;
    this->promisesRequestedAt = this->now();
    const std::uint64_t request = ++this->lastPromiseRequest;
    this->promiseRequests[request] = this->now();
    std::erase_if(this->promiseRequests,
        [&](const auto& sent) { return sent.second + this->settings.promiseLifetime < this->now(); });
    std::set<NodeId> grantors;
    for (const PromiseGrantor& grantor : this->lease.grantors)
        grantors.insert(grantor.node);
    if (this->lease.unconfirmedGrantors) {
        for (const PromiseGrantor& grantor : *this->lease.unconfirmedGrantors)
            grantors.insert(grantor.node);
    }
    for (const NodeId& grantor : grantors)
        this->send(grantor, PromiseRequest { request, this->settings.incarnation, this->lease.version });
}

void EntryCore::Impl::onPromiseRequest(const NodeId& from, const PromiseRequest& request)
{
    const auto answer = [this, from, request] {
        // A previous process of this grantor may have released its promise to an entry that takes over the lease. That
        // entry revokes the lease before it asks for a release, so no promise is given for a revoked lease.
        const auto read = this->observed.find(from);
        const bool isUnrevoked = read != this->observed.end() && !read->second.lease.revoked;
        const bool granted
            = !this->isStoreReachable && isUnrevoked && this->promises.promise(from, request.leaseVersion, this->now());
        this->send(from, PromiseAnswer { request.request, granted, this->settings.promiseLifetime });
    };
    if (!this->isStoreReachable)
        return answer();
    // `isStoreReachable` reflects the last call, which may be old, so another call is made before the request is
    // denied.
    const ObjectKey key { "lease", this->settings.node.value };
    this->callObjects(ObjectGet { key }, [answer](const ObjectOutcome&) { answer(); });
}

void EntryCore::Impl::onPromiseAnswer(const NodeId& from, const PromiseAnswer& answer)
{
    const auto sent = this->promiseRequests.find(answer.request);
    if (!answer.granted || sent == this->promiseRequests.end())
        return;
    const bool wasOnPromises = this->lease.reliesOnPromises(this->now());
    const Milliseconds lifetime = std::min(answer.lifetime, this->settings.promiseLifetime);
    this->lease.onPromise(from, this->nodes.at(from).hello.incarnation, sent->second + lifetime);
    if (!wasOnPromises && this->lease.reliesOnPromises(this->now()))
        this->log("on promises", "the object API is unreachable; the promises of the grantors replace the lease");
}

void EntryCore::Impl::onPromiseReleaseRequest(const NodeId& from, const PromiseReleaseRequest& request)
{
    const Milliseconds left = this->promises.release(request.holder, request.leaseVersion, this->now());
    this->send(from, PromiseReleaseAnswer { request.request, left.count() == 0, left });
}

// Observer ---------------------------------------------------------------------------------------------------------

void EntryCore::Impl::observeLease(const StoredObject& object)
{
    const NodeId entry(object.key.name);
    const auto value = parseLease(object.value);
    if (object.deleted || !value)
        return;
    if (entry == this->settings.node) {
        // Writes by this incarnation are known already. The stored lease has to be read again only after a write by a
        // later incarnation or after a revocation.
        if (value->incarnation > this->settings.incarnation || value->revoked)
            this->isStoredLeaseUnknown = true;
        return;
    }
    const bool newer = this->observed[entry].onSeen(object.version, *value, this->now());
    if (newer && (value->released || value->revoked))
        this->checkShards();
}

void EntryCore::Impl::listLeases()
{
    this->callObjects(ObjectList { "lease" }, [this](const ObjectOutcome& outcome) {
        if (!outcome)
            return;
        for (const StoredObject& object : outcome->objects)
            this->observeLease(object);
    });
}

}
