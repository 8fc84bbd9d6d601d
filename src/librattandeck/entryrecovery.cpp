#include "entryimpl.h"

#include "Rattandeck/digest.h"

#include <algorithm>

namespace Rattandeck {

// Asking -----------------------------------------------------------------------------------------------------------

void EntryCore::Impl::beginRecovery(const Claim& claim)
{
    this->listMembers([this, claim](std::optional<ObjectVersion> revision) {
        const auto isOurs = [&](ShardId shard) {
            const auto home = this->shards.find(shard);
            return home != this->shards.end() && home->second.epoch.value == claim.base.slot(shard).epoch.value + 1;
        };
        if (!revision) {
            this->after(reviewInterval, [this, claim] { this->beginRecovery(claim); });
            return;
        }
        // What the former home held stands elsewhere, too.
        std::vector<Member> others;
        for (const auto& [id, member] : this->members) {
            if (id != claim.holder)
                others.push_back(member);
        }
        const RecoveryScope roll = recoveryScope(others, claim.completeThrough);
        for (const ShardId shard : claim.shards) {
            if (isOurs(shard) && !this->shards.at(shard).serving)
                this->startRecovery(shard, roll, claim);
        }
    });
}

void EntryCore::Impl::startRecovery(ShardId shard, const RecoveryScope& roll, const Claim& claim)
{
    Recovery& recovery = this->recoveries[shard];
    recovery = Recovery {};
    recovery.shard = shard;
    recovery.epoch = this->shards.at(shard).epoch;
    recovery.processesLost = roll.processesLost;
    recovery.serial = ++this->lastRecovery;
    for (const Member& member : roll.mustAnswer) {
        const bool self = member.node == this->settings.node && member.incarnation == this->settings.incarnation;
        if (!self)
            recovery.awaited[member.node] = member.incarnation;
    }
    for (const Member& member : roll.removed) {
        const auto node = this->nodes.find(member.node);
        const bool mayAnswer
            = node != this->nodes.end() && node->second.linked && node->second.hello.incarnation == member.incarnation;
        if (mayAnswer)
            recovery.awaited[member.node] = member.incarnation;
        else
            ++recovery.processesLost;
    }
    const auto former = this->nodes.find(claim.holder);
    if (former != this->nodes.end() && former->second.linked) {
        recovery.awaited[claim.holder] = former->second.hello.incarnation;
        recovery.welcome.insert(claim.holder);
        const Incarnation process = former->second.hello.incarnation;
        recovery.formerKnowsAll = claim.knowing.value != 0 && claim.knowing == process;
    }
    const ProcessIndex ownLife
        = this->processOf(this->settings.node, this->settings.incarnation, this->settings.domain);
    recovery.answers.push_back({ ownLife, this->settings.node, this->ownAnswer(shard, recovery.epoch) });

    this->after(this->settings.recoveryTimeout, [this, shard, serial = recovery.serial] {
        const auto open = this->recoveries.find(shard);
        if (open != this->recoveries.end() && open->second.serial == serial)
            this->finishRecovery(shard);
    });
    if (recovery.awaited.empty())
        return this->finishRecovery(shard);
    for (const auto& [id, node] : this->nodes)
        this->send(id, RecoveryRequest { shard, recovery.epoch });
}

void EntryCore::Impl::onRecoveryAnswer(const NodeId& from, const RecoveryAnswer& answer)
{
    const auto home = this->shards.find(answer.shard);
    if (home == this->shards.end() || home->second.epoch != answer.epoch)
        return;
    if (answer.refused) {
        this->dropShard(answer.shard);
        this->readMap([](bool) {});
        return;
    }
    const ProcessIndex process = this->processOf(from, answer.incarnation, this->nodes.at(from).hello.domain);
    const auto open = this->recoveries.find(answer.shard);
    if (open == this->recoveries.end()) {
        auto& missing = this->missed[answer.shard];
        const auto late = missing.find(from);
        if (late == missing.end())
            return;
        if (late->second == answer.incarnation)
            missing.erase(late);
        return this->mergeLate(home->second, { process, from, answer });
    }
    Recovery& recovery = open->second;
    recovery.answers.push_back({ process, from, answer });
    const auto awaited = recovery.awaited.find(from);
    if (awaited != recovery.awaited.end() && awaited->second == answer.incarnation)
        recovery.awaited.erase(awaited);
    if (recovery.awaited.empty())
        this->finishRecovery(answer.shard);
}

// Merging ----------------------------------------------------------------------------------------------------------

void EntryCore::Impl::finishRecovery(ShardId shard)
{
    Recovery recovery = std::move(this->recoveries.at(shard));
    this->recoveries.erase(shard);
    HomeShard& home = this->shards.at(shard);
    for (const NodeId& node : recovery.welcome) {
        const bool heard = recovery.awaited.erase(node) == 0;
        // A home that has stopped in order knows everything of the shard.
        if (heard && recovery.formerKnowsAll) {
            recovery.awaited.clear();
            recovery.processesLost = 0;
        }
    }
    const bool complete = recovery.awaited.empty() && recovery.processesLost == 0;
    if (!complete) {
        home.formerGap = home.gap;
        home.gap = home.epoch;
        home.gapSince = this->now();
        home.processesLost = recovery.processesLost;
        home.missedProcesses = static_cast<std::uint32_t>(recovery.awaited.size()) + recovery.processesLost;
        ++this->counters.gaps;
        this->gapsUnwritten.insert(shard);
        this->log("gap",
            "shard " + std::to_string(shard.value) + ": " + std::to_string(recovery.awaited.size())
                + " members not heard, " + std::to_string(recovery.processesLost) + " processes lost");
    }
    if (!recovery.awaited.empty()) {
        // An order that the former home sent just before its end can start until its credit has run out, and then
        // wait in the sidecar's queue.
        const Milliseconds queued = this->settings.queueLimit;
        home.doubtfulFrom = this->now() + this->settings.creditLifetime + queued + this->settings.clockMargin;
        this->missed[shard] = recovery.awaited;
        this->receivedAnswers[shard] = recovery.answers;
    }
    MergedShard merged = mergeAnswers(recovery.answers, complete);
    for (auto& [id, program] : merged.programs)
        this->installProgram(home, std::move(program));
    // What this entry held as a copy stands in the home now.
    this->copyStores.erase(shard);
    this->recopyWanted = true;
    this->serveShard(shard);
}

void EntryCore::Impl::installProgram(HomeShard& shard, MergedProgram merged)
{
    const ProgramId id = merged.program.header.id;
    HomeProgram& program = shard.programs[id];
    program = std::move(merged.program);
    program.openedAt = this->now();
    shard.join(program);
    this->chargeMerged(shard, program);
    if (program.ended) {
        program.endedAt = this->now();
        shard.ended.push_back(id);
    }
    if (merged.running)
        this->adopt(shard, program, *merged.running);
}

void EntryCore::Impl::adopt(HomeShard& shard, HomeProgram& program, const AdoptedCall& running)
{
    const TurnRecord& record = running.record;
    auto call = std::make_unique<ProgramCall>();
    call->serial = ++this->lastCall;
    call->request.organisation = program.header.organisation;
    call->request.program = program.header.id;
    call->request.service = record.service;
    call->request.key = record.key;
    call->request.idempotent = record.idempotent;
    call->request.input = record.input;
    call->request.turn = record.turn;
    call->digest = record.request;
    call->fingerprint = crashFingerprint(call->request.service, call->request.input);
    call->turn = record.turn;
    call->attempt = record.attempt;
    call->arrived = this->now();
    call->sentAt = this->now();
    call->deadline = this->now() + defaultTimeLeft;
    call->stage = CallStage::Ordered;
    call->mayHaveRun = true;
    call->reserved = record.charged;
    call->sidecar = running.sidecar;
    call->process = running.process;
    call->tried.push_back(running.sidecar);
    Order order;
    order.id = running.order;
    order.shard = shard.shard;
    order.epoch = shard.epoch;
    order.program = program.header;
    order.turn = record.turn;
    order.attempt = record.attempt;
    order.service = record.service;
    order.key = record.key;
    order.idempotent = record.idempotent;
    order.request = record.request;
    order.headBefore = record.headBefore;
    order.input = record.input;
    order.reserved = record.charged;
    call->order = std::move(order);
    shard.account(program.header).reserved.value += record.charged.value;
    this->orders[running.order] = program.header.id;
    ++this->runningTotal;
    ++this->runningOf[program.header.organisation];
    program.current = std::move(call);
    this->armDeadline(program.header.id, *program.current);
}

void EntryCore::Impl::chargeMerged(HomeShard& shard, HomeProgram& program)
{
    const bool charged = shard.doubtful(program.header.id, this->now()) && !program.ended;
    const std::int64_t lostCalls = charged ? std::max(1U, shard.missedProcesses) : 0;
    program.doubtCharge = TokenCount(lostCalls * maxTokensPerCall);
    shard.account(program.header).spent.value += chargedTokens(program).value + program.doubtCharge.value;
}

// An answer that came after the shard was served again. A program that nothing was added to since is merged anew; for
// the others the records are kept for repeats, and for the budget.
void EntryCore::Impl::mergeLate(HomeShard& shard, const ReceivedAnswer& heard)
{
    std::vector<ReceivedAnswer>& answers = this->receivedAnswers[shard.shard];
    answers.push_back(heard);
    const bool complete = this->missed[shard.shard].empty();
    MergedShard late = mergeAnswers(answers, false);
    for (auto& [id, merged] : late.programs) {
        HomeProgram* known = shard.find(id);
        if (!known) {
            this->installProgram(shard, std::move(merged));
            continue;
        }
        const bool idle = !known->current && known->queue.empty() && !known->ended && !known->ending;
        if (known->damaged && idle) {
            shard.account(known->header).spent.value -= chargedTokens(*known).value + known->doubtCharge.value;
            const TimePoint openedAt = known->openedAt;
            shard.leave(*known);
            *known = std::move(merged.program);
            known->openedAt = openedAt;
            shard.join(*known);
            this->chargeMerged(shard, *known);
            if (known->ended) {
                known->endedAt = this->now();
                shard.ended.push_back(id);
                this->releaseEnded(shard, *known);
            }
            if (merged.running)
                this->adopt(shard, *known, *merged.running);
            continue;
        }
        bool taken = !merged.running || this->takeLateRunning(shard, *known, *merged.running);
        for (auto& [turn, held] : merged.program.records)
            taken = this->lateRecord(heard.node, held.record) && taken;
        shard.lateConflict = shard.lateConflict || !taken;
    }
    this->recopyWanted = true;
    if (!complete)
        return;
    this->receivedAnswers.erase(shard.shard);
    this->missed.erase(shard.shard);
    if (shard.processesLost == 0 && !shard.lateConflict)
        this->liftGap(shard);
}

// A call that still runs at a member that was heard late enters the program before anything else can. Returns false
// when its turn was taken meanwhile.
bool EntryCore::Impl::takeLateRunning(HomeShard& shard, HomeProgram& program, const AdoptedCall& running)
{
    const TurnRecord& record = running.record;
    const bool isCurrent = program.current && program.current->turn == record.turn;
    if (isCurrent)
        return program.current->digest == record.request;
    const auto known = program.records.find(record.turn);
    if (known != program.records.end())
        return known->second.record.request == record.request;
    const bool isNext = record.turn.value == program.lastTurn.value + 1 && record.headBefore == program.head;
    if (isNext && !program.current && !program.ended && !program.ending) {
        this->adopt(shard, program, running);
        return true;
    }
    TurnRecord unknown = record;
    unknown.state = RecordState::Unknown;
    shard.account(program.header).spent.value += unknown.charged.value;
    addRecord(program, { unknown, { running.process }, false, {} });
    return true;
}

// Every process that the census had missed was heard after all.
void EntryCore::Impl::liftGap(HomeShard& shard)
{
    this->log("gap closed", "shard " + std::to_string(shard.shard.value));
    shard.gap = shard.formerGap;
    shard.missedProcesses = 0;
    shard.doubtfulFrom = TimePoint {};
    this->gapsUnwritten.insert(shard.shard);
    for (auto& [id, program] : shard.programs) {
        shard.account(program.header).spent.value -= program.doubtCharge.value;
        program.doubtCharge = TokenCount(0);
    }
}

void EntryCore::Impl::forgetMissed(const Member& member)
{
    std::vector<ShardId> heardOut;
    for (auto& [shard, processes] : this->missed) {
        const auto process = processes.find(member.node);
        const bool ended = process != processes.end() && (member.removed || process->second < member.incarnation);
        if (!ended)
            continue;
        processes.erase(process);
        ++this->shards.at(shard).processesLost;
        if (processes.empty())
            heardOut.push_back(shard);
    }
    for (const ShardId shard : heardOut) {
        this->missed.erase(shard);
        this->receivedAnswers.erase(shard);
    }
}

Problem EntryCore::Impl::tell(const HomeShard& shard, const ProgramId& program, const Problem& problem) const
{
    Problem told = inDoubt(problem, shard.doubtful(program, this->now()));
    const bool lost = told.kind == ProblemKind::HistoryLost;
    if (!lost || !this->missed.contains(shard.shard))
        return told;
    return { ProblemKind::NotServing, Ran::Unknown, takeoverRetry, "records of this program can't be reached now" };
}

void EntryCore::Impl::writeGap(ShardId shard)
{
    const auto home = this->shards.find(shard);
    if (this->gapWriteOpen || home == this->shards.end())
        return;
    this->gapWriteOpen = true;
    ShardMap changed = this->map;
    changed.writer = this->writerName();
    std::vector<ShardId> written;
    for (const ShardId id : this->gapsUnwritten) {
        changed.slots[id.value].gap = this->shards.at(id).gap;
        written.push_back(id);
    }
    const ObjectPut put { { "shardmap", "main" }, this->map.version, formatShardMap(changed) };
    this->callObjects(put, [this, written](const ObjectOutcome& outcome) {
        this->gapWriteOpen = false;
        if (!outcome) {
            this->readMap([](bool) {});
            return;
        }
        for (const StoredObject& object : outcome->objects)
            this->onObjectChanged(object);
        for (const ShardId id : written) {
            const auto owned = this->shards.find(id);
            if (owned != this->shards.end() && this->map.slot(id).gap == owned->second.gap)
                this->gapsUnwritten.erase(id);
        }
    });
}

// Being asked ------------------------------------------------------------------------------------------------------

void EntryCore::Impl::onRecoveryRequest(const NodeId& from, const RecoveryRequest& request)
{
    Epoch& fence = this->fences[request.shard];
    if (request.epoch < fence) {
        RecoveryAnswer refusal;
        refusal.shard = request.shard;
        refusal.epoch = request.epoch;
        refusal.incarnation = this->settings.incarnation;
        refusal.refused = true;
        this->send(from, refusal);
        return;
    }
    fence = request.epoch;
    const auto home = this->shards.find(request.shard);
    if (home != this->shards.end() && home->second.epoch < request.epoch) {
        this->dropShard(request.shard);
        this->readMap([](bool) {});
    }
    this->send(from, this->ownAnswer(request.shard, request.epoch));
}

RecoveryAnswer EntryCore::Impl::ownAnswer(ShardId shard, Epoch epoch) const
{
    RecoveryAnswer answer;
    answer.shard = shard;
    answer.epoch = epoch;
    answer.incarnation = this->settings.incarnation;
    const auto store = this->copyStores.find(shard);
    if (store == this->copyStores.end())
        return answer;
    for (const auto& [id, header] : store->second.programs)
        answer.programs.push_back(header);
    answer.endedPrograms.assign(store->second.ended.begin(), store->second.ended.end());
    for (const auto& [key, record] : store->second.records)
        answer.records.push_back(record);
    return answer;
}

// A former home keeps what it knew as a holder of copies, so that the new one can ask for it.
void EntryCore::Impl::storeOwnFacts(const HomeShard& shard)
{
    CopyStore& store = this->copyStores[shard.shard];
    const auto storeRecord = [&](const TurnRecord& record) {
        store.records[{ record.program, record.turn, record.attempt }] = record;
    };
    for (const auto& [id, program] : shard.programs) {
        store.programs[id] = program.header;
        if (program.ended && store.ended.insert(id).second)
            store.endedAt.emplace_back(this->now(), id);
        for (const auto& [turn, held] : program.records) {
            storeRecord(held.record);
            for (const TurnRecord& other : held.otherAttempts)
                storeRecord(other);
        }
        for (TurnRecord attempt : program.unresolvedAttempts) {
            attempt.state = RecordState::Started;
            storeRecord(attempt);
        }
        const bool ordered = program.current && program.current->order && program.current->stage == CallStage::Ordered;
        if (!ordered)
            continue;
        TurnRecord open = this->openRecord(program, *program.current);
        open.state = RecordState::Started;
        storeRecord(open);
    }
}

}
