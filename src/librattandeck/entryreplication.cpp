#include "entryimpl.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Programs copied at a time after a holder was lost.
    constexpr std::uint32_t recopyLimit = 256;
    constexpr std::uint32_t unlimitedAttempts = ~0U;

    template <typename Container> bool contains(const Container& container, const NodeId& node)
    {
        return std::find(container.begin(), container.end(), node) != container.end();
    }

}

// Holders ----------------------------------------------------------------------------------------------------------

bool EntryCore::Impl::otherDomainKnown() const
{
    // By the members list: an entry that can't reach anyone must not take itself for the only one.
    if (this->membersElsewhere > 0)
        return true;
    return std::any_of(this->nodes.begin(), this->nodes.end(),
        [&](const auto& item) { return item.second.linked && item.second.hello.domain != this->settings.domain; });
}

bool EntryCore::Impl::isElsewhere(ProcessIndex process) const
{
    const Process& holder = this->processes[process.value];
    return !holder.lost && holder.domain != this->settings.domain;
}

bool EntryCore::Impl::stands(const std::vector<ProcessIndex>& holders) const
{
    const auto elsewhere = [&](ProcessIndex process) { return this->isElsewhere(process); };
    if (std::any_of(holders.begin(), holders.end(), elsewhere))
        return true;
    const auto alive = [&](ProcessIndex process) {
        const Process& holder = this->processes[process.value];
        return !holder.lost && holder.node != this->settings.node;
    };
    return std::any_of(holders.begin(), holders.end(), alive) && !this->otherDomainKnown();
}

std::optional<NodeId> EntryCore::Impl::pickHolder(ShardId shard, const std::vector<NodeId>& excluded) const
{
    const bool elsewhere = this->otherDomainKnown();
    std::vector<NodeId> candidates;
    const auto consider = [&](const NodeId& id, const Node& node) {
        const bool usable = node.linked && this->isRegistered(id, node.hello.incarnation) && !contains(excluded, id);
        if (usable && !(elsewhere && node.hello.domain == this->settings.domain))
            candidates.push_back(id);
    };
    for (const NodeId& id : this->entryNodes)
        consider(id, this->nodes.at(id));
    // There are many sidecars: they are looked at only where no entry is left.
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

// Copying ----------------------------------------------------------------------------------------------------------

void EntryCore::Impl::copyFacts(
    CopyRecords facts, std::uint32_t attempts, std::vector<NodeId> excluded, CopiedCallback done)
{
    const auto owned = this->shards.find(facts.shard);
    if (attempts == 0 || owned == this->shards.end() || owned->second.epoch != facts.epoch)
        return done(std::nullopt);
    const std::optional<NodeId> holder = this->pickHolder(facts.shard, excluded);
    const std::uint32_t left = attempts == unlimitedAttempts ? attempts : attempts - 1;
    if (!holder) {
        if (excluded.empty() && !this->otherDomainKnown())
            return done(std::nullopt);
        this->after(copyRetryDelay,
            [this, facts = std::move(facts), left, done = std::move(done)] { this->copyFacts(facts, left, {}, done); });
        return;
    }
    const std::uint64_t id = ++this->lastCopy;
    facts.copy = id;
    const ProcessIndex process = this->nodes.at(*holder).process;
    const CopyRecords message = facts;
    excluded.push_back(*holder);
    this->copies[id] = { *holder, process,
        [this, facts = std::move(facts), left, excluded = std::move(excluded), process, done = std::move(done)](
            bool accepted) {
            if (accepted)
                return done(process);
            this->copyFacts(facts, left, excluded, done);
        } };
    this->after(copyTimeout, [this, id] {
        const auto open = this->copies.find(id);
        if (open == this->copies.end())
            return;
        const auto retry = std::move(open->second.done);
        this->copies.erase(open);
        retry(false);
    });
    this->send(*holder, message);
}

void EntryCore::Impl::onCopyAnswer(const NodeId& from, const CopyAnswer& answer)
{
    const auto open = this->copies.find(answer.copy);
    if (open == this->copies.end() || open->second.node != from)
        return;
    const PendingCopy copy = std::move(open->second);
    this->copies.erase(open);
    if (answer.refused)
        this->readMap([](bool) {});
    // A holder that has forgotten the copy since doesn't count.
    const bool sameProcess = this->nodes.at(from).process == copy.process;
    copy.done(!answer.refused && sameProcess);
}

void EntryCore::Impl::copyProgram(HomeShard& shard, HomeProgram& program)
{
    CopyRecords facts;
    facts.shard = shard.shard;
    facts.epoch = shard.epoch;
    facts.programs.push_back(program.header);
    if (program.ended)
        facts.endedPrograms.push_back(program.header.id);
    std::vector<TurnNumber> turns;
    for (const auto& [turn, held] : program.records) {
        facts.records.push_back(held.record);
        facts.records.insert(facts.records.end(), held.otherAttempts.begin(), held.otherAttempts.end());
        turns.push_back(turn);
    }
    if (program.current && program.current->stage == CallStage::Ordered) {
        TurnRecord open = this->openRecord(program, *program.current);
        open.state = RecordState::Started;
        facts.records.push_back(std::move(open));
    }
    for (TurnRecord attempt : program.unresolvedAttempts) {
        attempt.state = RecordState::Started;
        facts.records.push_back(std::move(attempt));
    }
    ++this->recopiesOpen;
    const ProgramId id = program.header.id;
    this->copyFacts(std::move(facts), 3, {}, [this, id, turns](std::optional<ProcessIndex> holder) {
        --this->recopiesOpen;
        // The next batch follows at once; without a holder it waits for the next review.
        if (holder && this->recopiesOpen == 0 && this->recopyWanted)
            this->after(Milliseconds(1), [this] { this->reviewCopies(); });
        const auto home = this->shards.find(id.shard);
        HomeProgram* copied = home == this->shards.end() ? nullptr : home->second.find(id);
        if (!holder || !copied)
            return;
        copied->headerHolders.push_back(*holder);
        for (const TurnNumber turn : turns) {
            const auto record = copied->records.find(turn);
            if (record != copied->records.end())
                record->second.holders.push_back(*holder);
        }
    });
}

// Copies whatever has lost its other holder, and says in the lease up to where that is done.
void EntryCore::Impl::reviewCopies()
{
    const bool settled = !this->claim && this->recoveries.empty() && this->gapsUnwritten.empty();
    if (!this->hasAuthority() || !settled || this->recopiesOpen > 0)
        return;
    const Duration listInterval = std::max<Duration>(
        this->settings.leaseDuration / 3, listTimePerMember * static_cast<std::int64_t>(this->members.size()));
    const bool listDue = this->shuttingDown || this->now() >= this->throughListedAt + listInterval;
    if (this->membersChanged && this->membersListed && !this->throughListOpen && listDue) {
        this->membersChanged = false;
        this->throughListedAt = this->now();
        this->throughListOpen = true;
        this->listMembers([this](std::optional<ObjectVersion> revision) {
            this->throughListOpen = false;
            this->membersChanged = !revision;
            if (revision)
                this->throughWanted = revision;
            this->recopyWanted = true;
        });
        return;
    }
    bool allStand = true;
    if (this->recopyWanted) {
        for (auto& [shardId, shard] : this->shards) {
            for (auto& [id, program] : shard.programs) {
                const bool recordsStand = std::all_of(program.records.begin(), program.records.end(),
                    [&](const auto& item) { return this->stands(item.second.holders); });
                if (recordsStand && (this->stands(program.headerHolders) || program.ended))
                    continue;
                allStand = false;
                if (this->recopiesOpen < recopyLimit)
                    this->copyProgram(shard, program);
            }
        }
    }
    if (!allStand)
        return;
    this->recopyWanted = false;
    if (!this->throughWanted || this->throughListOpen || !this->ownSlotsTaken()
        || this->map.version <= this->claimInDoubt)
        return;
    this->completeThrough = std::max(this->completeThrough, *this->throughWanted);
    this->completeThroughLimit.reset();
    this->throughWanted.reset();
}

// Facts that come from a former home stand elsewhere only as far as its lease said. The next review of the members
// lifts the limit, once all of them have been copied.
void EntryCore::Impl::limitCompleteThrough(ObjectVersion limit)
{
    this->completeThroughLimit = limit;
    this->membersChanged = true;
}

bool EntryCore::Impl::membersLeaving() const
{
    return std::any_of(this->nodes.begin(), this->nodes.end(), [&](const auto& item) {
        const Node& node = item.second;
        return node.leaving && !node.linked && this->isRegistered(item.first, node.hello.incarnation);
    });
}

// True when every fact of this home stands elsewhere, and its lease says so for all members that have left.
bool EntryCore::Impl::factsSettled() const
{
    const bool copying = this->recopyWanted || this->recopiesOpen > 0;
    const bool listing = this->membersChanged || this->throughWanted || this->throughListOpen;
    return !copying && !listing && this->gapsUnwritten.empty() && !this->membersLeaving();
}

// Holding copies for other homes -----------------------------------------------------------------------------------

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
    CopyStore& store = this->copyStores[copy.shard];
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
    CopyStore& store = this->copyStores[release.shard];
    if (store.ended.insert(release.program).second)
        store.endedAt.emplace_back(this->now(), release.program);
    // Keys stay for the retention time, and so does what tells a sub-agent's spending.
    const auto header = store.programs.find(release.program);
    if (header != store.programs.end() && header->second.root != release.program)
        return;
    std::erase_if(store.records,
        [&](const auto& item) { return std::get<0>(item.first) == release.program && item.second.key.value.empty(); });
}

void EntryCore::Impl::purgeCopies()
{
    for (auto& [shard, store] : this->copyStores) {
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
