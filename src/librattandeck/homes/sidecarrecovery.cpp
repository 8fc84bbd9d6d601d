#include "sidecarimpl.h"

#include <algorithm>
#include <set>

namespace Rattandeck {

// Takeover ---------------------------------------------------------------------------------------------------------

void SidecarCore::Impl::observeEpoch(ShardId shard, Epoch epoch, const NodeId& home)
{
    if (!raiseFence(this->fence, shard, epoch, home))
        return;
    // With 0, the next report to the new home contains every prefix of its shards.
    if (EntryLink* link = this->findLink(home))
        link->reportedChange = 0;
    std::vector<OrderId> stale;
    for (const auto& [id, call] : this->calls) {
        if (!call.running && call.order.shard == shard && call.order.epoch < epoch)
            stale.push_back(id);
    }
    for (const OrderId id : stale)
        this->refuseCall(id, RefusalReason::StaleEpoch);
}

void SidecarCore::Impl::onRecoveryRequest(const NodeId& from, const RecoveryRequest& request)
{
    if (!isCurrentEpoch(this->fence, request.shard, request.epoch)) {
        RecoveryAnswer refusal { request.shard, this->fence.homes.at(request.shard).epoch, this->settings.incarnation };
        refusal.refused = true;
        this->sendTo(from, refusal);
        return;
    }
    this->observeEpoch(request.shard, request.epoch, from);
    this->redirectCalls(request.shard, from);
    this->sendTo(from, this->buildRecoveryAnswer(request.shard, request.epoch));
}

RecoveryAnswer SidecarCore::Impl::buildRecoveryAnswer(ShardId shard, Epoch epoch) const
{
    RecoveryAnswer answer { shard, epoch, this->settings.incarnation };
    std::set<std::pair<ProgramId, TurnNumber>> running;
    for (const auto& [id, call] : this->calls) {
        if (!call.running || call.order.shard != shard)
            continue;
        const ProgramRecords& program = this->records.programs.at(call.order.program.id);
        answer.running.push_back({ call.order.id, program.turns.at(call.order.turn) });
        running.insert({ call.order.program.id, call.order.turn });
    }
    for (const auto& [id, program] : this->records.programs) {
        if (id.shard != shard)
            continue;
        if (program.header.root != ProgramId {})
            answer.programs.push_back(program.header);
        if (program.ended)
            answer.endedPrograms.push_back(id);
        for (const auto& [turn, record] : program.turns) {
            if (!running.contains({ id, turn }))
                answer.records.push_back(record);
        }
    }
    return answer;
}

// The new home is notified of the end of running calls, but it receives their tokens only after it has sent the order
// again.
void SidecarCore::Impl::redirectCalls(ShardId shard, const NodeId& home)
{
    const Incarnation incarnation = this->links.at(home).hello.incarnation;
    for (auto& [id, call] : this->calls) {
        if (call.order.shard != shard)
            continue;
        const bool isSubscribed = std::ranges::any_of(call.subscribers, [&](const Subscriber& subscriber) {
            return subscriber.node == home && subscriber.incarnation == incarnation;
        });
        if (isSubscribed)
            continue;
        Subscriber subscriber { home, incarnation, call.order.id };
        subscriber.streams = false;
        call.subscribers.assign(1, subscriber);
    }
}

// Copies -----------------------------------------------------------------------------------------------------------

void SidecarCore::Impl::onCopy(const NodeId& from, const CopyRecords& copy)
{
    CopyAnswer answer { copy.copy };
    answer.refused = !isCurrentEpoch(this->fence, copy.shard, copy.epoch);
    if (!answer.refused) {
        this->observeEpoch(copy.shard, copy.epoch, from);
        for (const ProgramHeader& header : copy.programs) {
            if (header.id.shard == copy.shard)
                upsertProgram(this->records, header, this->now());
        }
        for (const TurnRecord& record : copy.records) {
            if (record.program.shard == copy.shard && !this->isRunning(record.program, record.turn))
                mergeRecord(this->records, record, this->now());
        }
        for (const ProgramId& program : copy.endedPrograms) {
            if (program.shard == copy.shard)
                this->endProgramHere(program);
        }
    }
    this->sendTo(from, answer);
}

// Ends of programs -------------------------------------------------------------------------------------------------

void SidecarCore::Impl::onRelease(const ReleaseProgram& release)
{
    if (release.shard != release.program.shard || !isCurrentEpoch(this->fence, release.shard, release.epoch))
        return;
    // The release is sent to the engine even when no prefix of the program is in the table: the engine may hold one
    // from the time of an earlier incarnation of this sidecar.
    if (!this->isActive(release.program))
        this->releasePrefix(release.program);
    if (release.ended)
        this->endProgramHere(release.program);
}

void SidecarCore::Impl::endProgramHere(const ProgramId& program)
{
    const auto found
        = std::ranges::find_if(this->calls, [&](const auto& item) { return item.second.order.program.id == program; });
    if (found != this->calls.end()) {
        SidecarCall& call = found->second;
        call.programEnded = true;
        if (!call.running)
            this->refuseCall(call.id, RefusalReason::Conflict);
        else if (call.order.idempotent)
            return this->cancelRunning(call);
        else
            return;
    }
    endProgram(this->records, program, this->now());
    this->previouslyHeld.erase(program);
    if (this->prefixes.held.contains(program))
        this->releasePrefix(program);
}

// Configuration ----------------------------------------------------------------------------------------------------

void SidecarCore::Impl::onConfig(const ConfigUpdate& update)
{
    for (const ConfigObject& object : this->config.applyUpdate(update)) {
        // An operator has lifted the quarantine of the request.
        if (object.kind == "quarantine" && object.deleted)
            this->crashCounts.erase(Digest(object.name));
    }
    if (this->isLeaving)
        return;
    std::vector<OrderId> held;
    for (const auto& [id, call] : this->calls) {
        if (!call.running && this->isQuarantined(call.fingerprint))
            held.push_back(id);
    }
    for (const OrderId id : held)
        this->refuseCall(id, RefusalReason::Quarantined);
}

}
