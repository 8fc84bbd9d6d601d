#include "entryimpl.h"
#include "startedrecord.h"

#include "Rattandeck/cachepolicy.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    constexpr std::uint32_t unlimitedAttempts = ~0U;
    constexpr std::uint32_t maxUnresolvedAttempts = 3;
    // Retry delay for a caller whose endpoint was lost.
    constexpr Milliseconds lostAttemptRetryDelay { 100 };

}

// Reports of sidecars about orders ---------------------------------------------------------------------------------

void EntryCore::Impl::onOrderTokens(const NodeId& from, const OrderTokens& tokens)
{
    const auto order = this->orders.find(tokens.id);
    if (order == this->orders.end() || !this->hasAuthority())
        return;
    HomeProgram* program = this->shards.at(order->second.shard).find(order->second);
    ProgramCall& call = *program->current;
    // After a lost link the sidecar sends its parts again. Parts after a missing one are not streamed until it arrives.
    if (call.sidecar != from || tokens.part != call.nextPart)
        return;
    ++call.nextPart;
    call.streamedBytes += tokens.text.size();
    this->replyAll(call.streaming, AnswerTokens { tokens.text, tokens.tokens });
}

// Closes the order of a call, which returns to the stage `Waiting`.
void EntryCore::Impl::detachOrder(HomeProgram& program, ProgramCall& call)
{
    this->orders.erase(call.order->id);
    this->sidecarPool.onOrderDone(call.sidecar, call.order->id);
    --this->runningTotal;
    std::uint32_t& running = this->runningByOrganisation[program.header.organisation];
    if (--running == 0)
        this->runningByOrganisation.erase(program.header.organisation);
    call.stage = CallStage::Waiting;
    call.linkDownSince.reset();
}

void EntryCore::Impl::onOrderRefused(const NodeId& from, const OrderRefused& refused)
{
    const auto found = this->orders.find(refused.id);
    if (found == this->orders.end())
        return;
    const ProgramId id = found->second;
    HomeShard& shard = this->shards.at(id.shard);
    HomeProgram& program = *shard.find(id);
    ProgramCall& call = *program.current;
    // A refusal by a later process of the sidecar is ignored, since that process doesn't know whether the previous one
    // ran the order.
    if (call.sidecar != from || call.process != this->nodes.at(from).process)
        return;
    ++this->counters.ordersRefused;
    this->detachOrder(program, call);
    const auto fail = [&](ProblemKind kind, const std::string& detail) {
        this->failCall(shard, program, Problem { kind, Ran::No, refused.retryAfter, detail });
    };
    switch (refused.reason) {
    case RefusalReason::StaleEpoch: {
        const ShardId lost = id.shard;
        this->dropShard(lost);
        this->readMap([](bool) {});
        return;
    }
    case RefusalReason::TooLate:
        return fail(ProblemKind::DeadlineExceeded, "the endpoint can't meet the deadline");
    case RefusalReason::Quarantined:
        this->quarantined.insert(call.fingerprint);
        return fail(ProblemKind::Quarantined, "requests like this one have crashed endpoints");
    case RefusalReason::Conflict: {
        // The refusing sidecar may hold a record of this same request, replicated from a sidecar that was lost, so it
        // is unknown whether the call ran.
        const bool keyed = !call.request.key.value.empty();
        const ProblemKind kind = keyed ? ProblemKind::KeyReused : ProblemKind::OutOfOrder;
        return this->failCall(shard, program, Problem { kind, Ran::Unknown, {}, "the endpoint has another record" });
    }
    case RefusalReason::HistoryMismatch:
        return fail(ProblemKind::HistoryMismatch, "the endpoint has another history");
    case RefusalReason::NoCredit:
    case RefusalReason::Overloaded:
    case RefusalReason::Leaving:
        break;
    }
    this->sidecarPool.dropCredits(from);
    if (call.callers.empty())
        return fail(ProblemKind::DeadlineExceeded, "nobody waits for the answer");
    if (!tryWithdrawRetry(this->retryBudget))
        return fail(ProblemKind::Overloaded, "the endpoints are overloaded");
    this->placeCall(shard, program);
}

void EntryCore::Impl::onOrderEnded(const NodeId& from, const OrderEnded& ended)
{
    const auto found = this->orders.find(ended.id);
    if (found == this->orders.end()) {
        this->addLateRecord(from, ended.record);
        return;
    }
    const ProgramId id = found->second;
    HomeShard& shard = this->shards.at(id.shard);
    HomeProgram& program = *shard.find(id);
    ProgramCall& call = *program.current;
    const TurnRecord& record = ended.record;
    const bool matchesCall = call.sidecar == from && record.program == id && record.turn == call.turn
        && record.request == call.digest && hasValidDigest(record) && record.state != RecordState::Started;
    if (!matchesCall) {
        this->log(
            "record ignored", "order " + std::to_string(ended.id.value) + ": mismatched record from " + from.value);
        return;
    }
    if (ended.endpointCrashed)
        this->recordCrash(call.fingerprint, call.request.service);
    if (record.state == RecordState::Finished)
        this->sidecarPool.recordSuccess(from);
    else
        this->sidecarPool.recordFailure(from);

    this->detachOrder(program, call);
    if (record.state == RecordState::NotRun) {
        call.triedSidecars.push_back(from);
        const bool canRetry = !call.callers.empty() && tryWithdrawRetry(this->retryBudget);
        if (canRetry)
            return this->placeCall(shard, program);
        const Problem problem { ProblemKind::NoCapacity, Ran::No, takeoverRetryDelay,
            "the endpoint did not start the call" };
        return this->failCall(shard, program, problem);
    }
    const bool mayRunAgain = record.state == RecordState::Failed && ended.endpointCrashed;
    if (mayRunAgain) {
        call.otherAttempts.push_back(record);
        if (this->retryElsewhere(shard, program))
            return;
        if (record.idempotent && !this->isQuarantined(call.fingerprint)) {
            const Problem crashed { ProblemKind::EndpointFailed, Ran::Unknown, lostAttemptRetryDelay,
                "the endpoint crashed" };
            return this->leaveUnresolved(shard, program, crashed);
        }
        call.otherAttempts.pop_back();
    }
    call.cachedTokens = ended.cachedTokens;
    call.prefilledTokens = ended.prefilledTokens;
    const ProcessIndex process = this->nodes.at(from).process;
    this->recordOutcome(shard, program, { record, { process }, false, {} });
}

// Lost sidecars ----------------------------------------------------------------------------------------------------

std::vector<std::pair<ProgramId, std::uint64_t>> EntryCore::Impl::callsOrderedAt(const NodeId& sidecar)
{
    std::vector<std::pair<ProgramId, std::uint64_t>> calls;
    for (const auto& [order, id] : this->orders) {
        const ProgramCall& call = *this->shards.at(id.shard).find(id)->current;
        if (call.sidecar == sidecar)
            calls.emplace_back(id, call.serial);
    }
    return calls;
}

void EntryCore::Impl::onSidecarUnlinked(const NodeId& node)
{
    for (const auto& [id, serial] : this->callsOrderedAt(node)) {
        HomeShard* shard = nullptr;
        HomeProgram* program = nullptr;
        this->findCall(id, serial, &shard, &program)->linkDownSince = this->now();
        this->after(reconnectTimeout, [this, id = id, serial = serial, since = this->now()] {
            HomeShard* later = nullptr;
            HomeProgram* lost = nullptr;
            const ProgramCall* call = this->findCall(id, serial, &later, &lost);
            if (call && call->linkDownSince == since)
                this->onSidecarLost(id, serial, false);
        });
    }
}

void EntryCore::Impl::onSidecarLinked(const NodeId& node, bool isSameProcess)
{
    for (const auto& [id, serial] : this->callsOrderedAt(node)) {
        if (!isSameProcess) {
            this->onSidecarLost(id, serial, true);
            continue;
        }
        HomeShard* shard = nullptr;
        HomeProgram* program = nullptr;
        ProgramCall* call = this->findCall(id, serial, &shard, &program);
        if (!call || !this->hasAuthority())
            continue;
        // Sends the order again to get its record. The sidecar runs an order id at most once, and only while its credit
        // is valid.
        call->linkDownSince.reset();
        call->order->timeLeft = std::chrono::duration_cast<Milliseconds>(call->deadline - this->now());
        Order repeated = *call->order;
        repeated.history = historyText(*program, repeated.service);
        repeated.historyTokens = estimateTokens(repeated.history);
        this->send(node, repeated);
    }
}

void EntryCore::Impl::onSidecarLost(const ProgramId& id, std::uint64_t serial, bool forGood)
{
    HomeShard* shard = nullptr;
    HomeProgram* program = nullptr;
    ProgramCall* call = this->findCall(id, serial, &shard, &program);
    if (!call || call->stage != CallStage::Ordered)
        return;
    this->sidecarPool.recordFailure(call->sidecar);
    const Problem lostAttempt { ProblemKind::EndpointFailed, Ran::Unknown, lostAttemptRetryDelay,
        "the endpoint was lost" };
    if (call->request.idempotent && !call->callers.empty()) {
        const TurnRecord attempt = this->unresolvedRecordOf(*program, *call);
        this->detachOrder(*program, *call);
        call->otherAttempts.push_back(attempt);
        if (this->retryElsewhere(*shard, *program))
            return;
        return this->leaveUnresolved(*shard, *program, lostAttempt);
    }
    if (call->request.idempotent)
        return this->abandonCall(*shard, *program, lostAttempt);
    if (forGood)
        this->recordUnknownOutcome(*shard, *program);
}

void EntryCore::Impl::abandonCall(HomeShard& shard, HomeProgram& program, const Problem& problem)
{
    ProgramCall& call = *program.current;
    if (!call.request.idempotent)
        return this->recordUnknownOutcome(shard, program);
    const TurnRecord attempt = this->unresolvedRecordOf(program, call);
    this->detachOrder(program, call);
    call.otherAttempts.push_back(attempt);
    this->leaveUnresolved(shard, program, problem);
}

// Precondition: `detachOrder` was called, and the last attempt is the last of `otherAttempts`.
void EntryCore::Impl::leaveUnresolved(HomeShard& shard, HomeProgram& program, const Problem& problem)
{
    const std::unique_ptr<ProgramCall> call = std::move(program.current);
    this->timers.cancel(call->deadlineTimer);
    const bool chargedBefore = call->reserved.value == 0;
    this->releaseReservation(shard, program, *call, chargedBefore ? TokenCount(0) : call->otherAttempts.back().charged);
    program.unresolvedAttempts = call->otherAttempts;
    program.unresolvedTried = call->triedSidecars;
    program.unresolvedTried.push_back(call->sidecar);

    CopyRecords state;
    state.shard = shard.shard;
    state.epoch = shard.epoch;
    state.programs.push_back(program.header);
    for (TurnRecord attempt : program.unresolvedAttempts) {
        attempt.state = RecordState::Started;
        state.records.push_back(std::move(attempt));
    }
    this->replicate(std::move(state), maxUnresolvedAttempts, {}, [](std::optional<ProcessIndex>) {});
    const std::vector<Caller> callers = call->callers;
    this->startNext(shard, program);
    this->replyAll(callers, problem);
}

// Precondition: `detachOrder` was called, and the last attempt is the last of `otherAttempts`.
bool EntryCore::Impl::retryElsewhere(HomeShard& shard, HomeProgram& program)
{
    ProgramCall& call = *program.current;
    BudgetAccount& account = shard.account(program.header);
    const TokenCount charged = call.otherAttempts.back().charged;
    const bool isAffordable = charged.value <= account.left().value;
    // A caller that has received part of one answer can't be sent the rest of a different one.
    const bool isAllowed = call.request.idempotent && !call.callers.empty() && call.nextPart == 0
        && call.deadline > this->now() && isAffordable && !this->isQuarantined(call.fingerprint)
        && this->hasAuthority();
    if (!isAllowed || !tryWithdrawRetry(this->retryBudget))
        return false;
    account.spent.value += charged.value;
    call.mayHaveRun = true;
    call.triedSidecars.push_back(call.sidecar);
    ++this->counters.ordersRetried;
    this->placeCall(shard, program);
    return true;
}

TurnRecord EntryCore::Impl::unresolvedRecordOf(const HomeProgram& program, const ProgramCall& call) const
{
    TurnRecord record = startedRecord(*call.order);
    record.program = program.header.id;
    record.state = RecordState::Unknown;
    record.request = call.digest;
    record.charged = call.reserved;
    return record;
}

// Recording outcomes -----------------------------------------------------------------------------------------------

void EntryCore::Impl::releaseReservation(HomeShard& shard, HomeProgram& program, ProgramCall& call, TokenCount charged)
{
    BudgetAccount& account = shard.account(program.header);
    account.reserved.value -= call.reserved.value;
    account.spent.value += charged.value;
    call.reserved = TokenCount(0);
}

void EntryCore::Impl::failCall(HomeShard& shard, HomeProgram& program, const Problem& problem)
{
    if (program.current->mayHaveRun) {
        Problem reported = problem;
        reported.ran = Ran::Unknown;
        // Each attempt was already charged when the next one replaced it.
        this->releaseReservation(shard, program, *program.current, TokenCount(0));
        return this->leaveUnresolved(shard, program, reported);
    }
    const std::unique_ptr<ProgramCall> call = std::move(program.current);
    this->timers.cancel(call->deadlineTimer);
    this->releaseReservation(shard, program, *call, TokenCount(0));
    const ProgramId id = program.header.id;
    Problem reported = this->problemForCaller(shard, id, problem);
    if (!call->otherAttempts.empty()) {
        // The attempts of earlier calls are still unresolved.
        const bool repeated = std::any_of(call->otherAttempts.begin(), call->otherAttempts.end(),
            [&](const TurnRecord& attempt) { return attempt.request == call->digest; });
        reported.ran = repeated ? Ran::Unknown : reported.ran;
        program.unresolvedAttempts = call->otherAttempts;
        program.unresolvedTried = call->triedSidecars;
    }
    this->startNext(shard, program);
    removeIfEmpty(shard, id);
    this->replyAll(call->callers, reported);
}

// Marks the turn as used with an unknown outcome, and charges its reservation. Precondition: the current call is
// ordered.
void EntryCore::Impl::recordUnknownOutcome(HomeShard& shard, HomeProgram& program)
{
    ProgramCall& call = *program.current;
    const TurnRecord record = this->unresolvedRecordOf(program, call);
    this->detachOrder(program, call);
    program.blockedUntil = call.deadline + this->settings.creditLifetime;
    this->recordOutcome(shard, program, { record, {}, false, {} });
}

void EntryCore::Impl::recordOutcome(HomeShard& shard, HomeProgram& program, HeldRecord held)
{
    ProgramCall& call = *program.current;
    this->releaseReservation(shard, program, call, held.record.charged);
    program.attainedService += this->now() - call.sentAt;
    call.stage = CallStage::Replicating;
    call.turn = held.record.turn;
    held.isOnChain = extendsChain(program, held.record);
    held.otherAttempts = call.otherAttempts;
    for (const ProcessIndex holder : held.holders)
        program.headerHolders.push_back(holder);
    const HeldRecord& stored = addRecord(program, std::move(held));
    const ProgramId id = program.header.id;
    const std::uint64_t serial = call.serial;
    if (this->isReplicated(stored.holders) && stored.otherAttempts.empty())
        return this->finishCall(id, serial);

    CopyRecords state;
    state.shard = shard.shard;
    state.epoch = shard.epoch;
    state.programs.push_back(program.header);
    state.records.push_back(stored.record);
    state.records.insert(state.records.end(), stored.otherAttempts.begin(), stored.otherAttempts.end());
    this->replicate(std::move(state), unlimitedAttempts, {}, [this, id, serial](std::optional<ProcessIndex> holder) {
        HomeShard* owned = nullptr;
        HomeProgram* known = nullptr;
        const ProgramCall* open = this->findCall(id, serial, &owned, &known);
        if (!open)
            return;
        if (holder)
            known->records.at(open->turn).holders.push_back(*holder);
        this->finishCall(id, serial);
    });
}

void EntryCore::Impl::finishCall(const ProgramId& id, std::uint64_t serial)
{
    HomeShard* shard = nullptr;
    HomeProgram* program = nullptr;
    if (!this->findCall(id, serial, &shard, &program))
        return;
    const std::unique_ptr<ProgramCall> call = std::move(program->current);
    this->timers.cancel(call->deadlineTimer);
    const HeldRecord& held = program->records.at(call->turn);
    CallerEvent answer = answerOf(held, shard->account(program->header).left());
    if (auto* done = std::get_if<AnswerDone>(&answer)) {
        done->cachedTokens = call->cachedTokens;
        done->prefilledTokens = call->prefilledTokens;
    }
    if (this->isQuarantined(call->fingerprint) && held.record.state == RecordState::Failed)
        answer
            = Problem { ProblemKind::Quarantined, Ran::Unknown, {}, "requests like this one have crashed endpoints" };
    if (!this->hasAuthority())
        answer = Problem { ProblemKind::NotServing, Ran::Unknown, takeoverRetryDelay, "the lease has lapsed" };
    if (held.isOnChain && call->request.service == program->header.service) {
        std::erase_if(program->prefixes, [&](const PrefixLocation& prefix) { return prefix.sidecar == call->sidecar; });
        const OrderId order = call->order ? call->order->id : OrderId();
        program->prefixes.push_back({ call->sidecar, program->historyTokens, order });
    }
    this->applyPausePolicy(*shard, *program, *call);
    AnswerTokens rest;
    const std::string& output = held.record.output;
    const bool hasMissingParts = call->nextPart > 0 && output.size() > call->streamedBytes;
    if (hasMissingParts && std::holds_alternative<AnswerDone>(answer))
        rest.text = output.substr(call->streamedBytes);
    const bool isKeyedCallProgram = id.openedIn == Epoch(0);
    this->startNext(*shard, *program);
    if (isKeyedCallProgram && !program->current && !program->ended)
        this->markEnded(*shard, *program);
    // Sends the parts that were lost, so that the streamed answer is complete as well.
    if (!rest.text.empty())
        this->replyAll(call->streaming, rest);
    this->replyAll(call->callers, answer);
}

void EntryCore::Impl::applyPausePolicy(HomeShard& shard, HomeProgram& program, const ProgramCall& call)
{
    if (call.request.expectedPause.count() <= 0 || program.prefixes.empty())
        return;
    PausedPrefix prefix;
    prefix.tokens = program.historyTokens;
    prefix.expectedPause = call.request.expectedPause;
    if (choosePrefixAction(prefix, {}) == PrefixAction::Drop)
        return this->releaseHolders(shard, program, false);
    for (const PrefixLocation& held : program.prefixes)
        this->send(held.sidecar, HoldPrefix { program.header.id, call.request.expectedPause });
}

// The record of an order that is no longer open. It is kept for repeated calls and for the budget.
bool EntryCore::Impl::addLateRecord(const NodeId& from, const TurnRecord& record)
{
    const auto owned = this->shards.find(record.program.shard);
    HomeProgram* program = owned == this->shards.end() ? nullptr : owned->second.find(record.program);
    if (!program || !hasValidDigest(record) || program->ended)
        return true;
    const auto known = program->records.find(record.turn);
    const bool isKnown = known != program->records.end();
    if (isKnown && known->second.record.request != record.request)
        return false;
    const bool taken
        = program->current && program->current->turn == record.turn && program->current->stage != CallStage::Waiting;
    if (taken)
        return program->current->digest == record.request;
    const bool hasOutcome = record.state == RecordState::Finished || record.state == RecordState::Failed;
    const bool addsInformation = hasOutcome ? !isKnown || known->second.record.state == RecordState::Unknown : !isKnown;
    if (!addsInformation || record.state == RecordState::NotRun)
        return true;

    HeldRecord held { record, { this->nodes.at(from).process }, extendsChain(*program, record), {} };
    if (held.record.state == RecordState::Started)
        held.record.state = RecordState::Unknown;
    BudgetAccount& account = owned->second.account(program->header);
    if (isKnown) {
        account.spent.value -= known->second.record.charged.value;
        held.otherAttempts = known->second.otherAttempts;
    } else if (record.turn.value == program->lastTurn.value + 1) {
        // One of the unresolved attempts of the next turn has an outcome now.
        held.otherAttempts = std::move(program->unresolvedAttempts);
        program->unresolvedAttempts.clear();
        program->unresolvedTried.clear();
        std::erase_if(held.otherAttempts, [&](const TurnRecord& attempt) {
            const bool same = attempt.attempt == record.attempt;
            account.spent.value -= same ? attempt.charged.value : 0;
            return same;
        });
    }
    account.spent.value += record.charged.value;
    addRecord(*program, std::move(held));
    this->isReplicationDue = true;
    return true;
}

}
