#include "entryimpl.h"

namespace Rattandeck {

namespace {

    // Spread of the registrations of one sidecar by the entries that see it.
    constexpr std::uint64_t registrationSpreadMs = 200;

}

// Processes
// ------------------------------------------------------------------------------------------------------------

ProcessIndex EntryCore::Impl::processOf(const NodeId& node, Incarnation incarnation, const FailureDomain& domain)
{
    const ProcessIndex next(static_cast<std::uint32_t>(this->processes.size()));
    const auto [found, created] = this->lifeIndexes.try_emplace({ node, incarnation }, next);
    if (created)
        this->processes.push_back({ node, incarnation, domain, false });
    return found->second;
}

void EntryCore::Impl::loseProcess(ProcessIndex process)
{
    Process& lost = this->processes[process.value];
    if (lost.lost)
        return;
    lost.lost = true;
    this->recopyWanted = true;
    this->membersChanged = true;
}

bool EntryCore::Impl::isRegistered(const NodeId& node, Incarnation incarnation) const
{
    const auto found = this->members.find(node);
    return found != this->members.end() && found->second.incarnation == incarnation && !found->second.removed;
}

// Registration -----------------------------------------------------------------------------------------------------

void EntryCore::Impl::memberSeen(const StoredObject& object)
{
    const auto member = parseMember(object.value, object.version);
    if (!member || object.deleted)
        return;
    Member& known = this->members[member->node];
    if (member->changed <= known.changed)
        return;
    const auto isElsewhere = [this](const Member& candidate) {
        return candidate.changed.value != 0 && !candidate.removed && candidate.domain != this->settings.domain;
    };
    this->membersElsewhere -= isElsewhere(known) ? 1 : 0;
    this->membersElsewhere += isElsewhere(*member) ? 1 : 0;
    known = *member;
    this->membersChanged = true;
    this->forgetMissed(*member);
    if (member->node == this->settings.node) {
        this->selfRegistered = this->isRegistered(this->settings.node, this->settings.incarnation);
        return;
    }
    const auto node = this->nodes.find(member->node);
    if (!member->removed && member->role == Role::Sidecar)
        this->sidecarPool.onRegistered(member->node, member->incarnation);
    if (member->removed)
        this->sidecarPool.onRegistered(member->node, Incarnation(0));
    const bool left
        = member->removed && node != this->nodes.end() && node->second.hello.incarnation == member->incarnation;
    if (left)
        this->loseProcess(node->second.process);
    const bool otherProcess = node != this->nodes.end() && node->second.hello.incarnation < member->incarnation;
    if (otherProcess)
        this->loseProcess(node->second.process);
    const bool wrongly = node != this->nodes.end() && node->second.linked && !otherProcess
        && !this->isRegistered(member->node, node->second.hello.incarnation);
    if (wrongly && node->second.hello.role == Role::Sidecar)
        this->registerSidecar(member->node);
    if (node != this->nodes.end() && node->second.linked)
        this->pump(node->second.hello.service);
}

void EntryCore::Impl::putMember(const Member& member, ObjectVersion expected, std::function<void(bool)> done)
{
    this->memberPutsOpen.insert(member.node);
    const ObjectPut put { { "member", member.node.value }, expected, formatMember(member) };
    this->callObjects(put, [this, node = member.node, done = std::move(done)](const ObjectOutcome& outcome) {
        this->memberPutsOpen.erase(node);
        if (outcome) {
            for (const StoredObject& object : outcome->objects)
                this->memberSeen(object);
        }
        done(outcome.has_value());
    });
}

void EntryCore::Impl::registerSelf()
{
    if (this->memberPutsOpen.contains(this->settings.node))
        return;
    this->memberPutsOpen.insert(this->settings.node);
    const ObjectKey key { "member", this->settings.node.value };
    this->callObjects(ObjectGet { key }, [this](const ObjectOutcome& outcome) {
        this->memberPutsOpen.erase(this->settings.node);
        if (!outcome && outcome.error() != ObjectError::NotFound)
            return;
        if (outcome) {
            for (const StoredObject& object : outcome->objects)
                this->memberSeen(object);
        }
        const Member known = this->members[this->settings.node];
        if (this->selfRegistered || known.incarnation > this->settings.incarnation)
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
            this->ownEnd = this->members.at(this->settings.node).changed;
        else
            this->after(reviewInterval, [this] { this->unregisterSelf(); });
    });
}

void EntryCore::Impl::registerSidecar(const NodeId& node)
{
    const std::uint64_t delay = 1 + this->nextSeed() % registrationSpreadMs;
    this->after(Milliseconds(delay), [this, node] {
        const Node& known = this->nodes.at(node);
        const Hello& hello = known.hello;
        if (!known.linked || this->isRegistered(node, hello.incarnation) || this->memberPutsOpen.contains(node))
            return;
        const auto again = [this, node] { this->after(reviewInterval, [this, node] { this->registerSidecar(node); }); };
        this->memberPutsOpen.insert(node);
        this->callObjects(
            ObjectGet { { "member", node.value } }, [this, node, hello, again](const ObjectOutcome& outcome) {
                this->memberPutsOpen.erase(node);
                if (!outcome && outcome.error() != ObjectError::NotFound)
                    return again();
                if (outcome) {
                    for (const StoredObject& object : outcome->objects)
                        this->memberSeen(object);
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
                this->putMember(member, stored.changed, [again](bool written) {
                    if (!written)
                        again();
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
            this->memberSeen(object);
        done(outcome->revision);
    });
}

// Review -----------------------------------------------------------------------------------------------------------

void EntryCore::Impl::reviewMembers()
{
    if (!this->selfRegistered && !this->releaseWanted)
        this->registerSelf();
    if (!this->membersListed && !this->membersListOpen) {
        this->membersListOpen = true;
        this->listLeases();
        this->listMembers([this](std::optional<ObjectVersion> revision) {
            this->membersListOpen = false;
            if (!revision)
                return;
            this->membersListed = true;
            // Nothing is held yet, so nothing can have been lost.
            if (this->shards.empty())
                this->completeThrough = *revision;
        });
        return;
    }
    if (!this->storeReachable || !this->membersListed)
        return;
    const bool settled = this->instancesListed && this->now() >= this->startedAt + goneAfter;
    std::vector<Member> lost;
    for (const auto& [id, member] : this->members) {
        const auto node = this->nodes.find(id);
        const bool known = node != this->nodes.end();
        const bool reachable = known && (node->second.linked || this->now() < node->second.downSince + goneAfter);
        const bool left = known && node->second.leaving && !node->second.linked
            && node->second.hello.incarnation == member.incarnation;
        const bool vanished = settled && !reachable && !this->listedNodes.contains(id);
        const bool own = id == this->settings.node;
        if (!member.removed && !own && (left || vanished) && !this->memberPutsOpen.contains(id))
            lost.push_back(member);
    }
    for (Member& member : lost) {
        member.removed = true;
        this->putMember(member, member.changed, [](bool) {});
    }
}

}
