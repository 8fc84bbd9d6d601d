#include "entryimpl.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    constexpr std::size_t maxGrantors = 3;
    // Renewals per lease, so that two may fail before it lapses.
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
    return !this->superseded && !this->releaseWanted && this->lease.holds(this->now());
}

void EntryCore::Impl::renewLease()
{
    if (this->superseded || this->leaseReleased || this->leaseCallOpen)
        return;
    const Duration interval = this->settings.leaseDuration / renewalsPerLease;
    const bool wanted = !this->afterRenewal.empty() || this->leaseInDoubt || this->releaseWanted;
    if (!wanted && this->now() < this->leaseTriedAt + interval && this->storeReachable)
        return;
    this->leaseTriedAt = this->now();
    if (this->leaseInDoubt)
        this->readLeaseBack();
    else
        this->writeLease();
}

void EntryCore::Impl::readLeaseBack()
{
    this->leaseCallOpen = true;
    const ObjectKey key { "lease", this->settings.node.value };
    this->callObjects(ObjectGet { key }, [this](const ObjectOutcome& outcome) {
        this->leaseCallOpen = false;
        if (isMissing(outcome)) {
            this->lease.version = ObjectVersion(0);
            this->leaseInDoubt = false;
            return this->writeLease();
        }
        if (!outcome)
            return;
        const StoredObject& stored = outcome->objects.front();
        const auto value = parseLease(stored.value);
        if (value && value->incarnation > this->settings.incarnation) {
            this->superseded = true;
            return this->leaveLease("a later incarnation of this entry holds it");
        }
        if (value && value->revoked && value->incarnation == this->settings.incarnation)
            this->leaveLease("a successor has broken it");
        if (value && value->incarnation < this->settings.incarnation) {
            this->formerLease = ObservedLease { stored.version, *value, this->now() };
            this->limitCompleteThrough(value->completeThrough);
        }
        this->lease.version = stored.version;
        this->leaseInDoubt = false;
        this->writeLease();
    });
}

void EntryCore::Impl::leaveLease(const std::string& reason)
{
    this->log("lease lost", reason);
    this->lease = HeldLease {};
    while (!this->shards.empty())
        this->dropShard(this->shards.begin()->first);
}

std::vector<PromiseGrantor> EntryCore::Impl::chooseGrantors() const
{
    // A set that may stand in the store already must not be replaced by a third one.
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
            = std::any_of(chosen.begin(), chosen.end(), [&](const auto& named) { return named.node == id; });
        const bool usable = hello.role == Role::Entry && hello.domain != this->settings.domain && !taken;
        if (!usable || (!anyDomain && domains.contains(hello.domain)))
            return;
        domains.insert(hello.domain);
        chosen.push_back({ id, hello.incarnation });
    };
    // Those named already stay, so that the set seldom changes.
    for (const PromiseGrantor& named : this->lease.grantors)
        consider(named.node, true);
    for (const auto& [id, lease] : this->observed)
        consider(id, false);
    for (const auto& [id, lease] : this->observed)
        consider(id, true);
    return chosen;
}

void EntryCore::Impl::writeLease()
{
    const std::vector<PromiseGrantor> named = this->chooseGrantors();
    LeaseObject value;
    value.entry = this->settings.node;
    value.incarnation = this->settings.incarnation;
    value.duration = this->settings.leaseDuration;
    value.domain = this->settings.domain;
    value.address = this->settings.address;
    for (const PromiseGrantor& grantor : named)
        value.grantors.push_back(grantor.node);
    value.completeThrough = this->completeThrough;
    if (this->completeThroughLimit)
        value.completeThrough = std::min(value.completeThrough, *this->completeThroughLimit);
    value.renewal = ++this->leaseRenewals;
    value.released = this->releaseWanted;

    const TimePoint begun = this->now();
    if (!sameGrantors(named, this->lease.grantors))
        this->lease.unconfirmedGrantors = named;
    this->leaseCallOpen = true;
    const ObjectPut put { { "lease", this->settings.node.value }, this->lease.version, formatLease(value) };
    this->callObjects(put, [this, begun, named, released = value.released](const ObjectOutcome& outcome) {
        this->leaseCallOpen = false;
        if (outcome && released) {
            this->leaseReleased = true;
            this->leaseReleasedAt = this->now();
            this->unregisterSelf();
        }
        this->onLeaseWritten(outcome, begun, named);
    });
}

void EntryCore::Impl::onLeaseWritten(const ObjectOutcome& outcome, TimePoint begun, std::vector<PromiseGrantor> named)
{
    std::vector<std::function<void(bool)>> callbacks;
    callbacks.swap(this->afterRenewal);
    const bool written = outcome && !outcome->objects.empty();
    if (written) {
        this->lease.onWritten(outcome->objects.front().version, begun, this->settings.leaseDuration, std::move(named));
        if (!this->leaseFirstHeld)
            this->leaseFirstHeld = this->now();
    } else {
        this->leaseInDoubt = true;
        // A conflict has an answer to be had at once; without the store there is none.
        if (outcome || outcome.error() == ObjectError::Conflict)
            this->readLeaseBack();
    }
    for (const auto& callback : callbacks)
        callback(written);
}

void EntryCore::Impl::releaseLease()
{
    if (!this->shuttingDown || this->leaseReleased)
        return;
    const auto isBusy = [](const auto& item) {
        const HomeProgram& program = item.second;
        return program.current || !program.queue.empty() || !program.endCallers.empty();
    };
    for (const auto& [id, shard] : this->shards) {
        if (std::any_of(shard.programs.begin(), shard.programs.end(), isBusy))
            return;
    }
    if (!this->tickets.empty() || !this->callers.empty())
        return;
    // Successors take this entry's word for the shards, so a gap must stand in the map.
    if (!this->gapsUnwritten.empty() && this->storeReachable)
        return;
    if (!this->factsSettled() && this->storeReachable && this->now() < this->shutdownBegun + lastCopiesTime)
        return;
    this->releaseWanted = true;
    this->renewLease();
    // Without the store the lease can only lapse.
    if (!this->storeReachable && !this->lease.holds(this->now()) && !this->leaseReleased) {
        this->leaseReleased = true;
        this->leaseReleasedAt = this->now();
    }
}

bool EntryCore::Impl::othersSettled() const
{
    const std::vector<NodeId> others = this->liveEntries(this->settings.node);
    const bool late = this->now() >= this->leaseReleasedAt + longestStay;
    if (late)
        return true;
    // Nobody can take a shard over now; its successor will ask for what this entry holds once the store is back.
    if (!this->storeReachable)
        return false;
    // The last one to leave stays for a successor that may come.
    if (others.empty())
        return false;
    const bool covered = std::all_of(others.begin(), others.end(),
        [&](const NodeId& entry) { return this->observed.at(entry).lease.completeThrough >= this->ownEnd; });
    // A shard whose home has died needs what this entry holds for it until its successor has asked.
    const bool taken = std::all_of(this->map.slots.begin(), this->map.slots.end(), [&](const ShardSlot& slot) {
        return slot.home.value.empty() || std::find(others.begin(), others.end(), slot.home) != others.end();
    });
    return this->ownEnd.value != 0 && covered && taken;
}

// Promises ---------------------------------------------------------------------------------------------------------

void EntryCore::Impl::requestPromises()
{
    const bool overdue = this->now() + this->settings.leaseDuration / 2 > this->lease.validUntil;
    const bool due = this->now() >= this->promisesRequestedAt + this->settings.promiseLifetime / 3;
    if (this->shards.empty() || this->storeReachable || !overdue || !due || this->superseded)
        return;
    this->promisesRequestedAt = this->now();
    const std::uint64_t request = ++this->lastPromiseRequest;
    this->promiseRequests[request] = this->now();
    std::erase_if(this->promiseRequests,
        [&](const auto& asked) { return asked.second + this->settings.promiseLifetime < this->now(); });
    std::set<NodeId> grantors;
    for (const PromiseGrantor& named : this->lease.grantors)
        grantors.insert(named.node);
    if (this->lease.unconfirmedGrantors) {
        for (const PromiseGrantor& named : *this->lease.unconfirmedGrantors)
            grantors.insert(named.node);
    }
    for (const NodeId& grantor : grantors)
        this->send(grantor, PromiseRequest { request, this->settings.incarnation, this->lease.version });
}

void EntryCore::Impl::onPromiseRequest(const NodeId& from, const PromiseRequest& request)
{
    const auto answer = [this, from, request] {
        // A former process of this guarantor may have released the lease; then it was broken before.
        const auto read = this->observed.find(from);
        const bool unbroken = read != this->observed.end() && !read->second.lease.revoked;
        const bool granted
            = !this->storeReachable && unbroken && this->promises.promise(from, request.leaseVersion, this->now());
        this->send(from, PromiseAnswer { request.request, granted, this->settings.promiseLifetime });
    };
    if (!this->storeReachable)
        return answer();
    // The last call may have been a while ago: try the store before saying that it can be reached.
    const ObjectKey key { "lease", this->settings.node.value };
    this->callObjects(ObjectGet { key }, [answer](const ObjectOutcome&) { answer(); });
}

void EntryCore::Impl::onPromiseAnswer(const NodeId& from, const PromiseAnswer& answer)
{
    const auto asked = this->promiseRequests.find(answer.request);
    if (!answer.granted || asked == this->promiseRequests.end())
        return;
    const bool before = this->lease.reliesOnPromises(this->now());
    const Milliseconds lifetime = std::min(answer.lifetime, this->settings.promiseLifetime);
    this->lease.onPromise(from, this->nodes.at(from).hello.incarnation, asked->second + lifetime);
    if (!before && this->lease.reliesOnPromises(this->now()))
        this->log("on promises", "the object API can't be reached; guarantors stand in for the lease");
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
        // Only a write of another incarnation says anything new.
        if (value->incarnation > this->settings.incarnation || value->revoked)
            this->leaseInDoubt = true;
        return;
    }
    const bool newer = this->observed[entry].onSeen(object.version, *value, this->now());
    if (newer && (value->released || value->revoked))
        this->reviewShards();
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
