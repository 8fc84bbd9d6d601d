#include "entryimpl.h"

namespace Rattandeck {

namespace {

    // Maximum random delay before an entry registers a sidecar. The delay is random, since every entry with a link to
    // the sidecar tries to register it.
    constexpr std::uint64_t maxRegistrationDelayMs = 200;

}

// Processes --------------------------------------------------------------------------------------------------------

ProcessIndex EntryCore::Impl::processIndexOf(const NodeId& node, Incarnation incarnation, const FailureDomain& domain)
{
    const ProcessIndex next(static_cast<std::uint32_t>(this->processes.size()));
    const auto [found, created] = this->processIndexes.try_emplace({ node, incarnation }, next);
    if (created)
        this->processes.push_back({ node, incarnation, domain, false });
    return found->second;
}

void EntryCore::Impl::markProcessLost(ProcessIndex process)
{
    Process& lost = this->processes[process.value];
    if (lost.lost)
        return;
    lost.lost = true;
    this->isReplicationDue = true;
    this->hasMemberChanges = true;
}

bool EntryCore::Impl::isRegistered(const NodeId& node, Incarnation incarnation) const
{
    const auto found = this->members.find(node);
    return found != this->members.end() && found->second.incarnation == incarnation && !found->second.removed;
}

// Registration -----------------------------------------------------------------------------------------------------

void EntryCore::Impl::onMemberObject(const StoredObject& object)
{
    const auto member = parseMember(object.value, object.version);
    if (!member || object.deleted)
        return;
    Member& known = this->members[member->node];
    if (member->changed <= known.changed)
        return;
    const auto isInOtherDomain = [this](const Member& candidate) {
        return candidate.changed.value != 0 && !candidate.removed && candidate.domain != this->settings.domain;
    };
    this->membersInOtherDomains -= isInOtherDomain(known) ? 1 : 0;
    this->membersInOtherDomains += isInOtherDomain(*member) ? 1 : 0;
    known = *member;
    this->hasMemberChanges = true;
    this->removeUnreachable(*member);
    if (member->node == this->settings.node) {
        this->isSelfRegistered = this->isRegistered(this->settings.node, this->settings.incarnation);
        return;
    }
    const auto node = this->nodes.find(member->node);
    if (!member->removed && member->role == Role::Sidecar)
        this->sidecarPool.onRegistered(member->node, member->incarnation);
    if (member->removed)
        this->sidecarPool.onRegistered(member->node, Incarnation(0));
    const bool hasLeft
        = member->removed && node != this->nodes.end() && node->second.hello.incarnation == member->incarnation;
    if (hasLeft)
        this->markProcessLost(node->second.process);
    const bool otherProcess = node != this->nodes.end() && node->second.hello.incarnation < member->incarnation;
    if (otherProcess)
        this->markProcessLost(node->second.process);
    const bool isRegisteredWrongly = node != this->nodes.end() && node->second.linked && !otherProcess
        && !this->isRegistered(member->node, node->second.hello.incarnation);
    if (isRegisteredWrongly && node->second.hello.role == Role::Sidecar)
        this->registerSidecar(member->node);
    if (node != this->nodes.end() && node->second.linked)
        this->dispatchQueue(node->second.hello.service);
}

void EntryCore::Impl::putMember(const Member& member, ObjectVersion expected, std::function<void(bool)> done)
{
    this->memberWritesInFlight.insert(member.node);
    const ObjectPut put { { "member", member.node.value }, expected, formatMember(member) };
    this->callObjects(put, [this, node = member.node, done = std::move(done)](const ObjectOutcome& outcome) {
        this->memberWritesInFlight.erase(node);
        if (outcome) {
            for (const StoredObject& object : outcome->objects)
                this->onMemberObject(object);
        }
        done(outcome.has_value());
    });
}

void EntryCore::Impl::registerSelf()
{
    if (this->memberWritesInFlight.contains(this->settings.node))
        return;
    this->memberWritesInFlight.insert(this->settings.node);
    const ObjectKey key { "member", this->settings.node.value };
    this->callObjects(ObjectGet { key }, [this](const ObjectOutcome& outcome) {
        this->memberWritesInFlight.erase(this->settings.node);
        if (!outcome && outcome.error() != ObjectError::NotFound)
            return;
        if (outcome) {
            for (const StoredObject& object : outcome->objects)
                this->onMemberObject(object);
        }
        const Member known = this->members[this->settings.node];
        if (this->isSelfRegistered || known.incarnation > this->settings.incarnation)
            return;
        Member self;
        self.node = this->settings.node;
        self.incarnation = this->settings.incarnation;
        self.domain = this->settings.domain;
        self.address = this->settings.address;
        self.role = Role::Entry;
        replaceMember(known, self);
        this->putMember(self, known.changed, [](bool) {});
    });
}

void EntryCore::Impl::unregisterSelf()
{
    const auto self = this->members.find(this->settings.node);
    if (self == this->members.end() || self->second.incarnation != this->settings.incarnation)
        return;
    Member removed = self->second;
    removed.removed = true;
    this->putMember(removed, removed.changed, [this](bool written) {
        if (written)
            this->ownRemovalRevision = this->members.at(this->settings.node).changed;
        else
            this->after(periodicCheckInterval, [this] { this->unregisterSelf(); });
    });
}

void EntryCore::Impl::registerSidecar(const NodeId& node)
{
    const std::uint64_t delay = 1 + this->nextRandomSeed() % maxRegistrationDelayMs;
    this->after(Milliseconds(delay), [this, node] {
        const Node& known = this->nodes.at(node);
        const Hello& hello = known.hello;
        if (!known.linked || this->isRegistered(node, hello.incarnation) || this->memberWritesInFlight.contains(node))
            return;
        const auto retryLater
            = [this, node] { this->after(periodicCheckInterval, [this, node] { this->registerSidecar(node); }); };
        this->memberWritesInFlight.insert(node);
        this->callObjects(
            ObjectGet { { "member", node.value } }, [this, node, hello, retryLater](const ObjectOutcome& outcome) {
                this->memberWritesInFlight.erase(node);
                if (!outcome && outcome.error() != ObjectError::NotFound)
                    return retryLater();
                if (outcome) {
                    for (const StoredObject& object : outcome->objects)
                        this->onMemberObject(object);
                }
                const Member stored = this->members[node];
                if (this->isRegistered(node, hello.incarnation) || stored.incarnation > hello.incarnation)
                    return;
                Member member;
                member.node = node;
                member.incarnation = hello.incarnation;
                member.domain = hello.domain;
                member.service = hello.service;
                member.address = hello.address;
                replaceMember(stored, member);
                this->putMember(member, stored.changed, [retryLater](bool written) {
                    if (!written)
                        retryLater();
                });
            });
    });
}

void EntryCore::Impl::listMembers(std::function<void(std::optional<ObjectVersion>)> done)
{
    this->callObjects(ObjectList { "member" }, [this, done = std::move(done)](const ObjectOutcome& outcome) {
        if (!outcome)
            return done(std::nullopt);
        for (const StoredObject& object : outcome->objects)
            this->onMemberObject(object);
        done(outcome->revision);
    });
}

// Periodic checks --------------------------------------------------------------------------------------------------

void EntryCore::Impl::checkMembers()
{
    if (!this->isSelfRegistered && !this->isReleasingLease)
        this->registerSelf();
    if (!this->hasMemberList && !this->isMemberListInFlight) {
        this->isMemberListInFlight = true;
        this->listLeases();
        this->listMembers([this](std::optional<ObjectVersion> revision) {
            this->isMemberListInFlight = false;
            if (!revision)
                return;
            this->hasMemberList = true;
            // This entry has no shards yet, so no state of its shards can have been lost.
            if (this->shards.empty())
                this->completeThrough = *revision;
        });
        return;
    }
    if (!this->isStoreReachable || !this->hasMemberList)
        return;
    const bool isGracePeriodOver = this->hasInstanceList && this->now() >= this->startedAt + memberRemovalTimeout;
    std::vector<Member> lostMembers;
    for (const auto& [id, member] : this->members) {
        const auto node = this->nodes.find(id);
        const bool known = node != this->nodes.end();
        const bool isReachable
            = known && (node->second.linked || this->now() < node->second.downSince + memberRemovalTimeout);
        const bool hasLeft = known && node->second.isLeaving && !node->second.linked
            && node->second.hello.incarnation == member.incarnation;
        const bool isMissing = isGracePeriodOver && !isReachable && !this->listedNodes.contains(id);
        const bool isSelf = id == this->settings.node;
        if (!member.removed && !isSelf && (hasLeft || isMissing) && !this->memberWritesInFlight.contains(id))
            lostMembers.push_back(member);
    }
    for (Member& member : lostMembers) {
        member.removed = true;
        this->putMember(member, member.changed, [](bool) {});
    }
}

}
