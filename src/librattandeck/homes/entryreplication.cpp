#include "entryimpl.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Maximum number of programs that are replicated at a time after a holder was lost.
    constexpr std::uint32_t maxReplicationsInFlight = 256;
    constexpr std::uint32_t unlimitedAttempts = ~0U;

    template <typename Container> bool contains(const Container& container, const NodeId& node)
    {
        return std::find(container.begin(), container.end(), node) != container.end();
    }

}

// Holders ----------------------------------------------------------------------------------------------------------

bool EntryCore::Impl::isOtherDomainKnown() const
{
    // The list of members is checked in addition to the links, since an entry that has lost all its links must not
    // conclude that it is the only one.
    if (this->membersInOtherDomains > 0)
        return true;
    return std::any_of(this->nodes.begin(), this->nodes.end(),
        [&](const auto& item) { return item.second.linked && item.second.hello.domain != this->settings.domain; });
}

bool EntryCore::Impl::isInOtherDomain(ProcessIndex process) const
{
    const Process& holder = this->processes[process.value];
    return !holder.lost && holder.domain != this->settings.domain;
}

bool EntryCore::Impl::isReplicated(const std::vector<ProcessIndex>& holders) const
{
    const auto inOtherDomain = [&](ProcessIndex process) { return this->isInOtherDomain(process); };
    if (std::any_of(holders.begin(), holders.end(), inOtherDomain))
        return true;
    const auto alive = [&](ProcessIndex process) {
        const Process& holder = this->processes[process.value];
        return !holder.lost && holder.node != this->settings.node;
    };
    return std::any_of(holders.begin(), holders.end(), alive) && !this->isOtherDomainKnown();
}

std::optional<NodeId> EntryCore::Impl::chooseHolder(ShardId shard, const std::vector<NodeId>& excluded) const
{
    const bool inOtherDomain = this->isOtherDomainKnown();
    std::vector<NodeId> candidates;
    const auto consider = [&](const NodeId& id, const Node& node) {
        const bool usable = node.linked && this->isRegistered(id, node.hello.incarnation) && !contains(excluded, id);
        if (usable && !(inOtherDomain && node.hello.domain == this->settings.domain))
            candidates.push_back(id);
    };
    for (const NodeId& id : this->entryNodes)
        consider(id, this->nodes.at(id));
    // There may be many sidecars, so they are considered only when no entry is available.
    if (candidates.empty()) {
        for (const auto& [id, node] : this->nodes) {
            if (node.hello.role == Role::Sidecar && this->sidecarPool.isUsable(id))
                consider(id, node);
        }
    }
    for (const NodeId& candidate : candidates) {
        if (successorRank(shard, candidate, candidates) == 0)
            return candidate;
    }
    return std::nullopt;
}

// Replicating ------------------------------------------------------------------------------------------------------

void EntryCore::Impl::replicate(
    CopyRecords state, std::uint32_t attempts, std::vector<NodeId> excluded, ReplicationCallback done)
{
    const auto owned = this->shards.find(state.shard);
    if (attempts == 0 || owned == this->shards.end() || owned->second.epoch != state.epoch)
        return done(std::nullopt);
    const std::optional<NodeId> holder = this->chooseHolder(state.shard, excluded);
    const std::uint32_t left = attempts == unlimitedAttempts ? attempts : attempts - 1;
    if (!holder) {
        if (excluded.empty() && !this->isOtherDomainKnown())
            return done(std::nullopt);
        this->after(replicationRetryDelay,
            [this, state = std::move(state), left, done = std::move(done)] { this->replicate(state, left, {}, done); });
        return;
    }
    const std::uint64_t id = ++this->lastReplication;
    state.copy = id;
    const ProcessIndex process = this->nodes.at(*holder).process;
    const CopyRecords message = state;
    excluded.push_back(*holder);
    this->pendingReplications[id] = { *holder, process,
        [this, state = std::move(state), left, excluded = std::move(excluded), process, done = std::move(done)](
            bool accepted) {
            if (accepted)
                return done(process);
            this->replicate(state, left, excluded, done);
        } };
    this->after(replicationTimeout, [this, id] {
        const auto open = this->pendingReplications.find(id);
        if (open == this->pendingReplications.end())
            return;
        const auto retry = std::move(open->second.done);
        this->pendingReplications.erase(open);
        retry(false);
    });
    this->send(*holder, message);
}

void EntryCore::Impl::onCopyAnswer(const NodeId& from, const CopyAnswer& answer)
{
    const auto open = this->pendingReplications.find(answer.copy);
    if (open == this->pendingReplications.end() || open->second.node != from)
        return;
    const PendingReplication copy = std::move(open->second);
    this->pendingReplications.erase(open);
    if (answer.refused)
        this->readMap([](bool) {});
    // A holder that has restarted since the request has lost the replica.
    const bool isSameProcess = this->nodes.at(from).process == copy.process;
    copy.done(!answer.refused && isSameProcess);
}

void EntryCore::Impl::replicateProgram(HomeShard& shard, HomeProgram& program)
{
    CopyRecords state;
    state.shard = shard.shard;
    state.epoch = shard.epoch;
    state.programs.push_back(program.header);
    if (program.ended)
        state.endedPrograms.push_back(program.header.id);
    std::vector<TurnNumber> turns;
    for (const auto& [turn, held] : program.records) {
        state.records.push_back(held.record);
        state.records.insert(state.records.end(), held.otherAttempts.begin(), held.otherAttempts.end());
        turns.push_back(turn);
    }
    if (program.current && program.current->stage == CallStage::Ordered) {
        TurnRecord open = this->unresolvedRecordOf(program, *program.current);
        open.state = RecordState::Started;
        state.records.push_back(std::move(open));
    }
    for (TurnRecord attempt : program.unresolvedAttempts) {
        attempt.state = RecordState::Started;
        state.records.push_back(std::move(attempt));
    }
    ++this->replicationsInFlight;
    const ProgramId id = program.header.id;
    this->replicate(std::move(state), 3, {}, [this, id, turns](std::optional<ProcessIndex> holder) {
        --this->replicationsInFlight;
        // The next batch starts at once. Without a holder it waits for the next periodic check.
        if (holder && this->replicationsInFlight == 0 && this->isReplicationDue)
            this->after(Milliseconds(1), [this] { this->checkReplicas(); });
        const auto home = this->shards.find(id.shard);
        HomeProgram* localProgram = home == this->shards.end() ? nullptr : home->second.find(id);
        if (!holder || !localProgram)
            return;
        localProgram->headerHolders.push_back(*holder);
        for (const TurnNumber turn : turns) {
            const auto record = localProgram->records.find(turn);
            if (record != localProgram->records.end())
                record->second.holders.push_back(*holder);
        }
    });
}

// Replicates state whose other holder was lost, then advances `completeThrough`, which the lease publishes.
void EntryCore::Impl::checkReplicas()
{
    const bool isSettled = !this->claim && this->recoveries.empty() && this->unwrittenGaps.empty();
    if (!this->hasAuthority() || !isSettled || this->replicationsInFlight > 0)
        return;
    const Duration memberListInterval = std::max<Duration>(
        this->settings.leaseDuration / 3, listIntervalPerMember * static_cast<std::int64_t>(this->members.size()));
    const bool listDue = this->isShuttingDown || this->now() >= this->completeThroughListedAt + memberListInterval;
    if (this->hasMemberChanges && this->hasMemberList && !this->isCompleteThroughListInFlight && listDue) {
        this->hasMemberChanges = false;
        this->completeThroughListedAt = this->now();
        this->isCompleteThroughListInFlight = true;
        this->listMembers([this](std::optional<ObjectVersion> revision) {
            this->isCompleteThroughListInFlight = false;
            this->hasMemberChanges = !revision;
            if (revision)
                this->pendingCompleteThrough = revision;
            this->isReplicationDue = true;
        });
        return;
    }
    bool allReplicated = true;
    if (this->isReplicationDue) {
        for (auto& [shardId, shard] : this->shards) {
            for (auto& [id, program] : shard.programs) {
                const bool recordsReplicated = std::all_of(program.records.begin(), program.records.end(),
                    [&](const auto& item) { return this->isReplicated(item.second.holders); });
                if (recordsReplicated && (this->isReplicated(program.headerHolders) || program.ended))
                    continue;
                allReplicated = false;
                if (this->replicationsInFlight < maxReplicationsInFlight)
                    this->replicateProgram(shard, program);
            }
        }
    }
    if (!allReplicated)
        return;
    this->isReplicationDue = false;
    if (!this->pendingCompleteThrough || this->isCompleteThroughListInFlight || !this->holdsAllOwnSlots()
        || this->map.version <= this->unresolvedClaimBase)
        return;
    this->completeThrough = std::max(this->completeThrough, *this->pendingCompleteThrough);
    this->completeThroughLimit.reset();
    this->pendingCompleteThrough.reset();
}

// State taken over from a former home is replicated only up to the revision in that home's lease. The limit is removed
// after the next list of the members, when all state has been replicated.
void EntryCore::Impl::limitCompleteThrough(ObjectVersion limit)
{
    this->completeThroughLimit = limit;
    this->hasMemberChanges = true;
}

bool EntryCore::Impl::hasLeavingMembers() const
{
    return std::any_of(this->nodes.begin(), this->nodes.end(), [&](const auto& item) {
        const Node& node = item.second;
        return node.isLeaving && !node.linked && this->isRegistered(item.first, node.hello.incarnation);
    });
}

// True when all state of this home is replicated, and `completeThrough` covers all members that have left.
bool EntryCore::Impl::isFullyReplicated() const
{
    const bool copying = this->isReplicationDue || this->replicationsInFlight > 0;
    const bool listing = this->hasMemberChanges || this->pendingCompleteThrough || this->isCompleteThroughListInFlight;
    return !copying && !listing && this->unwrittenGaps.empty() && !this->hasLeavingMembers();
}

// Holding replicas for other homes ---------------------------------------------------------------------------------

void EntryCore::Impl::onCopyRecords(const NodeId& from, const CopyRecords& copy)
{
    Epoch& fence = this->fences[copy.shard];
    if (copy.epoch < fence) {
        this->send(from, CopyAnswer { copy.copy, true });
        return;
    }
    fence = copy.epoch;
    const auto home = this->shards.find(copy.shard);
    if (home != this->shards.end() && home->second.epoch < copy.epoch) {
        this->dropShard(copy.shard);
        this->readMap([](bool) {});
    }
    ReplicaStore& store = this->replicaStores[copy.shard];
    for (const ProgramHeader& header : copy.programs)
        store.programs[header.id] = header;
    for (const TurnRecord& record : copy.records)
        store.records[{ record.program, record.turn, record.attempt }] = record;
    for (const ProgramId& id : copy.endedPrograms) {
        if (store.ended.insert(id).second)
            store.endedAt.emplace_back(this->now(), id);
    }
    this->send(from, CopyAnswer { copy.copy, false });
}

void EntryCore::Impl::onReleaseProgram(const ReleaseProgram& release)
{
    if (release.epoch < this->fences[release.shard] || !release.ended)
        return;
    ReplicaStore& store = this->replicaStores[release.shard];
    if (store.ended.insert(release.program).second)
        store.endedAt.emplace_back(this->now(), release.program);
    // Records with a key are kept for the retention time, and so are the records of sub-agents, which show their
    // charges.
    const auto header = store.programs.find(release.program);
    if (header != store.programs.end() && header->second.root != release.program)
        return;
    std::erase_if(store.records,
        [&](const auto& item) { return std::get<0>(item.first) == release.program && item.second.key.value.empty(); });
}

void EntryCore::Impl::purgeReplicas()
{
    for (auto& [shard, store] : this->replicaStores) {
        while (!store.endedAt.empty() && store.endedAt.front().first + keyRetention < this->now()) {
            const ProgramId id = store.endedAt.front().second;
            store.endedAt.pop_front();
            store.ended.erase(id);
            store.programs.erase(id);
            const auto first = store.records.lower_bound({ id, TurnNumber(0), 0 });
            auto last = first;
            while (last != store.records.end() && std::get<0>(last->first) == id)
                ++last;
            store.records.erase(first, last);
        }
    }
}

}
