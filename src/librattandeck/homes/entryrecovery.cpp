#include "entryimpl.h"

#include "Rattandeck/digest.h"

#include <algorithm>

namespace Rattandeck {

// Requesting answers -----------------------------------------------------------------------------------------------

void EntryCore::Impl::recoverShards(const Claim& claim)
{
    this->listMembers([this, claim](std::optional<ObjectVersion> revision) {
        const auto isOwnClaim = [&](ShardId shard) {
            const auto home = this->shards.find(shard);
            return home != this->shards.end() && home->second.epoch.value == claim.baseMap.slot(shard).epoch.value + 1;
        };
        if (!revision) {
            this->after(periodicCheckInterval, [this, claim] { this->recoverShards(claim); });
            return;
        }
        // The former home need not answer, since the state that it held has replicas on other nodes.
        std::vector<Member> others;
        for (const auto& [id, member] : this->members) {
            if (id != claim.holder)
                others.push_back(member);
        }
        const RecoveryScope scope = recoveryScope(others, claim.completeThrough);
        for (const ShardId shard : claim.shards) {
            if (isOwnClaim(shard) && !this->shards.at(shard).isServing)
                this->startRecovery(shard, scope, claim);
        }
    });
}

void EntryCore::Impl::startRecovery(ShardId shard, const RecoveryScope& scope, const Claim& claim)
{
    Recovery& recovery = this->recoveries[shard];
    recovery = Recovery {};
    recovery.shard = shard;
    recovery.epoch = this->shards.at(shard).epoch;
    recovery.processesLost = scope.processesLost;
    recovery.serial = ++this->lastRecovery;
    for (const Member& member : scope.mustAnswer) {
        const bool self = member.node == this->settings.node && member.incarnation == this->settings.incarnation;
        if (!self)
            recovery.pendingNodes[member.node] = member.incarnation;
    }
    for (const Member& member : scope.removed) {
        const auto node = this->nodes.find(member.node);
        const bool mayAnswer
            = node != this->nodes.end() && node->second.linked && node->second.hello.incarnation == member.incarnation;
        if (mayAnswer)
            recovery.pendingNodes[member.node] = member.incarnation;
        else
            ++recovery.processesLost;
    }
    const auto former = this->nodes.find(claim.holder);
    if (former != this->nodes.end() && former->second.linked) {
        recovery.pendingNodes[claim.holder] = former->second.hello.incarnation;
        recovery.optionalNodes.insert(claim.holder);
        const Incarnation process = former->second.hello.incarnation;
        recovery.isFormerHomeComplete = claim.cleanStopIncarnation.value != 0 && claim.cleanStopIncarnation == process;
    }
    const ProcessIndex ownProcess
        = this->processIndexOf(this->settings.node, this->settings.incarnation, this->settings.domain);
    recovery.answers.push_back({ ownProcess, this->settings.node, this->ownAnswer(shard, recovery.epoch) });

    this->after(this->settings.recoveryTimeout, [this, shard, serial = recovery.serial] {
        const auto open = this->recoveries.find(shard);
        if (open != this->recoveries.end() && open->second.serial == serial)
            this->finishRecovery(shard);
    });
    if (recovery.pendingNodes.empty())
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
    const ProcessIndex process = this->processIndexOf(from, answer.incarnation, this->nodes.at(from).hello.domain);
    const auto open = this->recoveries.find(answer.shard);
    if (open == this->recoveries.end()) {
        auto& unanswered = this->unansweredProcesses[answer.shard];
        const auto lateProcess = unanswered.find(from);
        if (lateProcess == unanswered.end())
            return;
        if (lateProcess->second == answer.incarnation)
            unanswered.erase(lateProcess);
        return this->mergeLateAnswer(home->second, { process, from, answer });
    }
    Recovery& recovery = open->second;
    recovery.answers.push_back({ process, from, answer });
    const auto pendingNode = recovery.pendingNodes.find(from);
    if (pendingNode != recovery.pendingNodes.end() && pendingNode->second == answer.incarnation)
        recovery.pendingNodes.erase(pendingNode);
    if (recovery.pendingNodes.empty())
        this->finishRecovery(answer.shard);
}

// Merging ----------------------------------------------------------------------------------------------------------

void EntryCore::Impl::finishRecovery(ShardId shard)
{
    Recovery recovery = std::move(this->recoveries.at(shard));
    this->recoveries.erase(shard);
    HomeShard& home = this->shards.at(shard);
    for (const NodeId& node : recovery.optionalNodes) {
        const bool received = recovery.pendingNodes.erase(node) == 0;
        // A home that stopped serving cleanly has the complete state of the shard.
        if (received && recovery.isFormerHomeComplete) {
            recovery.pendingNodes.clear();
            recovery.processesLost = 0;
        }
    }
    const bool complete = recovery.pendingNodes.empty() && recovery.processesLost == 0;
    if (!complete) {
        home.gapBeforeRecovery = home.gap;
        home.gap = home.epoch;
        home.gapSince = this->now();
        home.processesLost = recovery.processesLost;
        home.unansweredCount = static_cast<std::uint32_t>(recovery.pendingNodes.size()) + recovery.processesLost;
        ++this->counters.gaps;
        this->unwrittenGaps.insert(shard);
        this->log("gap",
            "shard " + std::to_string(shard.value) + ": " + std::to_string(recovery.pendingNodes.size())
                + " members did not answer, " + std::to_string(recovery.processesLost) + " processes lost");
    }
    if (!recovery.pendingNodes.empty()) {
        // An order that the former home sent just before its end can be accepted until its credit expires, and can
        // then wait in the sidecar's queue.
        const Milliseconds queued = this->settings.queueLimit;
        home.lateOrdersUntil = this->now() + this->settings.creditLifetime + queued + this->settings.clockMargin;
        this->unansweredProcesses[shard] = recovery.pendingNodes;
        this->receivedAnswers[shard] = recovery.answers;
    }
    MergedShard merged = mergeAnswers(recovery.answers, complete);
    for (auto& [id, program] : merged.programs)
        this->installProgram(home, std::move(program));
    // The replicas held here have been merged into the home.
    this->replicaStores.erase(shard);
    this->isReplicationDue = true;
    this->beginServing(shard);
}

void EntryCore::Impl::installProgram(HomeShard& shard, MergedProgram merged)
{
    const ProgramId id = merged.program.header.id;
    HomeProgram& program = shard.programs[id];
    program = std::move(merged.program);
    program.openedAt = this->now();
    shard.addToAccount(program);
    this->chargeRecoveredProgram(shard, program);
    if (program.ended) {
        program.endedAt = this->now();
        shard.ended.push_back(id);
    }
    if (merged.running)
        this->adoptRunningCall(shard, program, *merged.running);
}

void EntryCore::Impl::adoptRunningCall(HomeShard& shard, HomeProgram& program, const AdoptedCall& running)
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
    call->triedSidecars.push_back(running.sidecar);
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
    ++this->runningByOrganisation[program.header.organisation];
    program.current = std::move(call);
    this->armDeadline(program.header.id, *program.current);
}

void EntryCore::Impl::chargeRecoveredProgram(HomeShard& shard, HomeProgram& program)
{
    const bool charged = shard.mayLackRecords(program.header.id, this->now()) && !program.ended;
    const std::int64_t possibleCalls = charged ? std::max(1U, shard.unansweredCount) : 0;
    program.provisionalCharge = TokenCount(possibleCalls * maxTokensPerCall);
    shard.account(program.header).spent.value += chargedTokens(program).value + program.provisionalCharge.value;
}

// Merges an answer that arrived after the shard was served again. A damaged program without calls in progress is
// replaced by a new merge of all answers. For other programs the records are kept for repeated calls and the budget.
void EntryCore::Impl::mergeLateAnswer(HomeShard& shard, const ReceivedAnswer& received)
{
    std::vector<ReceivedAnswer>& answers = this->receivedAnswers[shard.shard];
    answers.push_back(received);
    const bool complete = this->unansweredProcesses[shard.shard].empty();
    MergedShard remerged = mergeAnswers(answers, false);
    for (auto& [id, merged] : remerged.programs) {
        HomeProgram* known = shard.find(id);
        if (!known) {
            this->installProgram(shard, std::move(merged));
            continue;
        }
        const bool idle = !known->current && known->queue.empty() && !known->ended && !known->ending;
        if (known->isDamaged && idle) {
            shard.account(known->header).spent.value -= chargedTokens(*known).value + known->provisionalCharge.value;
            const TimePoint openedAt = known->openedAt;
            shard.removeFromAccount(*known);
            *known = std::move(merged.program);
            known->openedAt = openedAt;
            shard.addToAccount(*known);
            this->chargeRecoveredProgram(shard, *known);
            if (known->ended) {
                known->endedAt = this->now();
                shard.ended.push_back(id);
                this->releaseEndedProgram(shard, *known);
            }
            if (merged.running)
                this->adoptRunningCall(shard, *known, *merged.running);
            continue;
        }
        bool isMerged = !merged.running || this->adoptLateCall(shard, *known, *merged.running);
        for (auto& [turn, held] : merged.program.records)
            isMerged = this->addLateRecord(received.node, held.record) && isMerged;
        shard.hasLateConflict = shard.hasLateConflict || !isMerged;
    }
    this->isReplicationDue = true;
    if (!complete)
        return;
    this->receivedAnswers.erase(shard.shard);
    this->unansweredProcesses.erase(shard.shard);
    if (shard.processesLost == 0 && !shard.hasLateConflict)
        this->closeGap(shard);
}

// Adds a call that still runs at a member whose answer came late, before any other call can start. Returns false when
// another request has taken its turn in the meantime.
bool EntryCore::Impl::adoptLateCall(HomeShard& shard, HomeProgram& program, const AdoptedCall& running)
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
        this->adoptRunningCall(shard, program, running);
        return true;
    }
    TurnRecord unknown = record;
    unknown.state = RecordState::Unknown;
    shard.account(program.header).spent.value += unknown.charged.value;
    addRecord(program, { unknown, { running.process }, false, {} });
    return true;
}

// Called when every process that did not answer during recovery has answered after all.
void EntryCore::Impl::closeGap(HomeShard& shard)
{
    this->log("gap closed", "shard " + std::to_string(shard.shard.value));
    shard.gap = shard.gapBeforeRecovery;
    shard.unansweredCount = 0;
    shard.lateOrdersUntil = TimePoint {};
    this->unwrittenGaps.insert(shard.shard);
    for (auto& [id, program] : shard.programs) {
        shard.account(program.header).spent.value -= program.provisionalCharge.value;
        program.provisionalCharge = TokenCount(0);
    }
}

void EntryCore::Impl::removeUnreachable(const Member& member)
{
    std::vector<ShardId> finishedShards;
    for (auto& [shard, processes] : this->unansweredProcesses) {
        const auto process = processes.find(member.node);
        const bool ended = process != processes.end() && (member.removed || process->second < member.incarnation);
        if (!ended)
            continue;
        processes.erase(process);
        ++this->shards.at(shard).processesLost;
        if (processes.empty())
            finishedShards.push_back(shard);
    }
    for (const ShardId shard : finishedShards) {
        this->unansweredProcesses.erase(shard);
        this->receivedAnswers.erase(shard);
    }
}

Problem EntryCore::Impl::problemForCaller(
    const HomeShard& shard, const ProgramId& program, const Problem& problem) const
{
    Problem reported = asUncertain(problem, shard.mayLackRecords(program, this->now()));
    const bool lost = reported.kind == ProblemKind::HistoryLost;
    if (!lost || !this->unansweredProcesses.contains(shard.shard))
        return reported;
    return { ProblemKind::NotServing, Ran::Unknown, takeoverRetryDelay,
        "records of this program can't be reached now" };
}

void EntryCore::Impl::writeGap(ShardId shard)
{
    const auto home = this->shards.find(shard);
    if (this->isGapWriteInFlight || home == this->shards.end())
        return;
    this->isGapWriteInFlight = true;
    ShardMap changed = this->map;
    changed.writer = this->writerName();
    std::vector<ShardId> written;
    for (const ShardId id : this->unwrittenGaps) {
        changed.slots[id.value].gap = this->shards.at(id).gap;
        written.push_back(id);
    }
    const ObjectPut put { { "shardmap", "main" }, this->map.version, formatShardMap(changed) };
    this->callObjects(put, [this, written](const ObjectOutcome& outcome) {
        this->isGapWriteInFlight = false;
        if (!outcome) {
            this->readMap([](bool) {});
            return;
        }
        for (const StoredObject& object : outcome->objects)
            this->onObjectChanged(object);
        for (const ShardId id : written) {
            const auto owned = this->shards.find(id);
            if (owned != this->shards.end() && this->map.slot(id).gap == owned->second.gap)
                this->unwrittenGaps.erase(id);
        }
    });
}

// Answering requests -----------------------------------------------------------------------------------------------

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
    const auto store = this->replicaStores.find(shard);
    if (store == this->replicaStores.end())
        return answer;
    for (const auto& [id, header] : store->second.programs)
        answer.programs.push_back(header);
    answer.endedPrograms.assign(store->second.ended.begin(), store->second.ended.end());
    for (const auto& [key, record] : store->second.records)
        answer.records.push_back(record);
    return answer;
}

// A former home keeps its state as replicas, so that the new home can request them.
void EntryCore::Impl::storeAsReplica(const HomeShard& shard)
{
    ReplicaStore& store = this->replicaStores[shard.shard];
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
        TurnRecord open = this->unresolvedRecordOf(program, *program.current);
        open.state = RecordState::Started;
        storeRecord(open);
    }
}

}
