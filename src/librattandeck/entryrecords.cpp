#include "entryimpl.h"
#include "startedrecord.h"

#include "Rattandeck/cachepolicy.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    constexpr std::uint32_t unlimitedAttempts = ~0U;
    constexpr std::uint32_t openAttemptCopies = 3;
    // A caller whose endpoint was lost may come back so soon.
    constexpr Milliseconds lostAttemptRetry { 100 };

}

// What a sidecar says about an order -------------------------------------------------------------------------------

void EntryCore::Impl::onOrderTokens(const NodeId& from, const OrderTokens& tokens)
{
    const auto order = this->orders.find(tokens.id);
    if (order == this->orders.end() || !this->hasAuthority())
        return;
    HomeProgram* program = this->shards.at(order->second.shard).find(order->second);
    ProgramCall& call = *program->current;
    // After a lost link the sidecar sends its parts again. Behind a gap nothing is streamed until the part comes.
    if (call.sidecar != from || tokens.part != call.nextPart)
        return;
    ++call.nextPart;
    call.streamedBytes += tokens.text.size();
    this->replyAll(call.streaming, AnswerTokens { tokens.text, tokens.tokens });
}

// Takes a call back from its sidecar; the order is open no more.
void EntryCore::Impl::takeBack(HomeProgram& program, ProgramCall& call)
{
    this->orders.erase(call.order->id);
    this->sidecarPool.onOrderDone(call.sidecar, call.order->id);
    --this->runningTotal;
    std::uint32_t& running = this->runningOf[program.header.organisation];
    if (--running == 0)
        this->runningOf.erase(program.header.organisation);
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
    // A later process of the sidecar can't tell what its former one did.
    if (call.sidecar != from || call.process != this->nodes.at(from).process)
        return;
    ++this->counters.ordersRefused;
    this->takeBack(program, call);
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
        // The record may be one of this very request, copied there from a sidecar that is lost.
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
    if (!tryWithdrawRetry(this->retries))
        return fail(ProblemKind::Overloaded, "the endpoints are overloaded");
    this->placeCall(shard, program);
}

void EntryCore::Impl::onOrderEnded(const NodeId& from, const OrderEnded& ended)
{
    const auto found = this->orders.find(ended.id);
    if (found == this->orders.end()) {
        this->lateRecord(from, ended.record);
        return;
    }
    const ProgramId id = found->second;
    HomeShard& shard = this->shards.at(id.shard);
    HomeProgram& program = *shard.find(id);
    ProgramCall& call = *program.current;
    const TurnRecord& record = ended.record;
    const bool ours = call.sidecar == from && record.program == id && record.turn == call.turn
        && record.request == call.digest && hasValidDigest(record) && record.state != RecordState::Started;
    if (!ours) {
        this->log("record ignored", "order " + std::to_string(ended.id.value) + " of " + from.value);
        return;
    }
    if (ended.endpointCrashed)
        this->noteCrash(call.fingerprint, call.request.service);
    if (record.state == RecordState::Finished)
        this->sidecarPool.recordSuccess(from);
    else
        this->sidecarPool.recordFailure(from);

    this->takeBack(program, call);
    if (record.state == RecordState::NotRun) {
        call.tried.push_back(from);
        const bool wanted = !call.callers.empty() && tryWithdrawRetry(this->retries);
        if (wanted)
            return this->placeCall(shard, program);
        const Problem problem { ProblemKind::NoCapacity, Ran::No, takeoverRetry,
            "the endpoint did not start the call" };
        return this->failCall(shard, program, problem);
    }
    const bool mayRunAgain = record.state == RecordState::Failed && ended.endpointCrashed;
    if (mayRunAgain) {
        call.otherAttempts.push_back(record);
        if (this->retryElsewhere(shard, program))
            return;
        if (record.idempotent && !this->isQuarantined(call.fingerprint)) {
            const Problem crashed { ProblemKind::EndpointFailed, Ran::Unknown, lostAttemptRetry,
                "the endpoint crashed" };
            return this->leaveOpen(shard, program, crashed);
        }
        call.otherAttempts.pop_back();
    }
    call.cachedTokens = ended.cachedTokens;
    call.prefilledTokens = ended.prefilledTokens;
    const ProcessIndex process = this->nodes.at(from).process;
    this->settle(shard, program, { record, { process }, false, {} });
}

// Lost sidecars ----------------------------------------------------------------------------------------------------

std::vector<std::pair<ProgramId, std::uint64_t>> EntryCore::Impl::callsAt(const NodeId& sidecar)
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
    for (const auto& [id, serial] : this->callsAt(node)) {
        HomeShard* shard = nullptr;
        HomeProgram* program = nullptr;
        this->findCall(id, serial, &shard, &program)->linkDownSince = this->now();
        this->after(reconnectTime, [this, id = id, serial = serial, since = this->now()] {
            HomeShard* later = nullptr;
            HomeProgram* lost = nullptr;
            const ProgramCall* call = this->findCall(id, serial, &later, &lost);
            if (call && call->linkDownSince == since)
                this->sidecarLost(id, serial, false);
        });
    }
}

void EntryCore::Impl::onSidecarLinked(const NodeId& node, bool sameProcess)
{
    for (const auto& [id, serial] : this->callsAt(node)) {
        if (!sameProcess) {
            this->sidecarLost(id, serial, true);
            continue;
        }
        HomeShard* shard = nullptr;
        HomeProgram* program = nullptr;
        ProgramCall* call = this->findCall(id, serial, &shard, &program);
        if (!call || !this->hasAuthority())
            continue;
        // Asks for the record. The sidecar runs an order id once at most, and only while its credit lives.
        call->linkDownSince.reset();
        call->order->timeLeft = std::chrono::duration_cast<Milliseconds>(call->deadline - this->now());
        Order repeated = *call->order;
        repeated.history = historyText(*program, repeated.service);
        repeated.historyTokens = estimateTokens(repeated.history);
        this->send(node, repeated);
    }
}

void EntryCore::Impl::sidecarLost(const ProgramId& id, std::uint64_t serial, bool forGood)
{
    HomeShard* shard = nullptr;
    HomeProgram* program = nullptr;
    ProgramCall* call = this->findCall(id, serial, &shard, &program);
    if (!call || call->stage != CallStage::Ordered)
        return;
    this->sidecarPool.recordFailure(call->sidecar);
    const Problem lostAttempt { ProblemKind::EndpointFailed, Ran::Unknown, lostAttemptRetry, "the endpoint was lost" };
    if (call->request.idempotent && !call->callers.empty()) {
        const TurnRecord attempt = this->openRecord(*program, *call);
        this->takeBack(*program, *call);
        call->otherAttempts.push_back(attempt);
        if (this->retryElsewhere(*shard, *program))
            return;
        return this->leaveOpen(*shard, *program, lostAttempt);
    }
    if (call->request.idempotent)
        return this->giveUp(*shard, *program, lostAttempt);
    if (forGood)
        this->settleUnknown(*shard, *program);
}

void EntryCore::Impl::giveUp(HomeShard& shard, HomeProgram& program, const Problem& problem)
{
    ProgramCall& call = *program.current;
    if (!call.request.idempotent)
        return this->settleUnknown(shard, program);
    const TurnRecord attempt = this->openRecord(program, call);
    this->takeBack(program, call);
    call.otherAttempts.push_back(attempt);
    this->leaveOpen(shard, program, problem);
}

// Precondition: the call was taken back, and its last attempt is the last of `otherAttempts`.
void EntryCore::Impl::leaveOpen(HomeShard& shard, HomeProgram& program, const Problem& problem)
{
    const std::unique_ptr<ProgramCall> call = std::move(program.current);
    this->timers.cancel(call->deadlineTimer);
    const bool chargedBefore = call->reserved.value == 0;
    this->releaseReservation(shard, program, *call, chargedBefore ? TokenCount(0) : call->otherAttempts.back().charged);
    program.unresolvedAttempts = call->otherAttempts;
    program.openTried = call->tried;
    program.openTried.push_back(call->sidecar);

    CopyRecords facts;
    facts.shard = shard.shard;
    facts.epoch = shard.epoch;
    facts.programs.push_back(program.header);
    for (TurnRecord attempt : program.unresolvedAttempts) {
        attempt.state = RecordState::Started;
        facts.records.push_back(std::move(attempt));
    }
    this->copyFacts(std::move(facts), openAttemptCopies, {}, [](std::optional<ProcessIndex>) {});
    const std::vector<Caller> callers = call->callers;
    this->startNext(shard, program);
    this->replyAll(callers, problem);
}

// Precondition: the call was taken back, and its last attempt is the last of `otherAttempts`.
bool EntryCore::Impl::retryElsewhere(HomeShard& shard, HomeProgram& program)
{
    ProgramCall& call = *program.current;
    BudgetAccount& account = shard.account(program.header);
    const TokenCount charged = call.otherAttempts.back().charged;
    const bool affordable = charged.value <= account.left().value;
    // A caller that has part of one answer can't be given the rest of another.
    const bool allowed = call.request.idempotent && !call.callers.empty() && call.nextPart == 0
        && call.deadline > this->now() && affordable && !this->isQuarantined(call.fingerprint) && this->hasAuthority();
    if (!allowed || !tryWithdrawRetry(this->retries))
        return false;
    account.spent.value += charged.value;
    call.mayHaveRun = true;
    call.tried.push_back(call.sidecar);
    ++this->counters.ordersRetried;
    this->placeCall(shard, program);
    return true;
}

TurnRecord EntryCore::Impl::openRecord(const HomeProgram& program, const ProgramCall& call) const
{
    TurnRecord record = startedRecord(*call.order);
    record.program = program.header.id;
    record.state = RecordState::Unknown;
    record.request = call.digest;
    record.charged = call.reserved;
    return record;
}

// Settling ---------------------------------------------------------------------------------------------------------

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
        Problem told = problem;
        told.ran = Ran::Unknown;
        // Every attempt was charged when the next one took its place.
        this->releaseReservation(shard, program, *program.current, TokenCount(0));
        return this->leaveOpen(shard, program, told);
    }
    const std::unique_ptr<ProgramCall> call = std::move(program.current);
    this->timers.cancel(call->deadlineTimer);
    this->releaseReservation(shard, program, *call, TokenCount(0));
    const ProgramId id = program.header.id;
    Problem told = this->tell(shard, id, problem);
    if (!call->otherAttempts.empty()) {
        // Earlier calls left the turn open, and it stays so.
        const bool repeated = std::any_of(call->otherAttempts.begin(), call->otherAttempts.end(),
            [&](const TurnRecord& attempt) { return attempt.request == call->digest; });
        told.ran = repeated ? Ran::Unknown : told.ran;
        program.unresolvedAttempts = call->otherAttempts;
        program.openTried = call->tried;
    }
    this->startNext(shard, program);
    forgetIfEmpty(shard, id);
    this->replyAll(call->callers, told);
}

// The turn counts as taken, and its reservation as spent. Precondition: the current call is ordered.
void EntryCore::Impl::settleUnknown(HomeShard& shard, HomeProgram& program)
{
    ProgramCall& call = *program.current;
    const TurnRecord record = this->openRecord(program, call);
    this->takeBack(program, call);
    program.blockedUntil = call.deadline + this->settings.creditLifetime;
    this->settle(shard, program, { record, {}, false, {} });
}

void EntryCore::Impl::settle(HomeShard& shard, HomeProgram& program, HeldRecord held)
{
    ProgramCall& call = *program.current;
    this->releaseReservation(shard, program, call, held.record.charged);
    program.attainedService += this->now() - call.sentAt;
    call.stage = CallStage::Copying;
    call.turn = held.record.turn;
    held.onChain = extendsChain(program, held.record);
    held.otherAttempts = call.otherAttempts;
    for (const ProcessIndex holder : held.holders)
        program.headerHolders.push_back(holder);
    const HeldRecord& stored = addRecord(program, std::move(held));
    const ProgramId id = program.header.id;
    const std::uint64_t serial = call.serial;
    if (this->stands(stored.holders) && stored.otherAttempts.empty())
        return this->finishCall(id, serial);

    CopyRecords facts;
    facts.shard = shard.shard;
    facts.epoch = shard.epoch;
    facts.programs.push_back(program.header);
    facts.records.push_back(stored.record);
    facts.records.insert(facts.records.end(), stored.otherAttempts.begin(), stored.otherAttempts.end());
    this->copyFacts(std::move(facts), unlimitedAttempts, {}, [this, id, serial](std::optional<ProcessIndex> holder) {
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
        answer = Problem { ProblemKind::NotServing, Ran::Unknown, takeoverRetry, "the lease has lapsed" };
    if (held.onChain && call->request.service == program->header.service) {
        std::erase_if(program->prefixes, [&](const PrefixLocation& prefix) { return prefix.sidecar == call->sidecar; });
        const OrderId order = call->order ? call->order->id : OrderId();
        program->prefixes.push_back({ call->sidecar, program->historyTokens, order });
    }
    this->pausePrefix(*shard, *program, *call);
    AnswerTokens rest;
    const std::string& output = held.record.output;
    const bool partLost = call->nextPart > 0 && output.size() > call->streamedBytes;
    if (partLost && std::holds_alternative<AnswerDone>(answer))
        rest.text = output.substr(call->streamedBytes);
    const bool oneCall = id.openedIn == Epoch(0);
    this->startNext(*shard, *program);
    if (oneCall && !program->current && !program->ended)
        this->recordEnd(*shard, *program);
    // Parts that were lost on the way, so that what was streamed is the whole answer, too.
    if (!rest.text.empty())
        this->replyAll(call->streaming, rest);
    this->replyAll(call->callers, answer);
}

void EntryCore::Impl::pausePrefix(HomeShard& shard, HomeProgram& program, const ProgramCall& call)
{
    if (call.request.expectedPause.count() <= 0 || program.prefixes.empty())
        return;
    PausedPrefix prefix;
    prefix.tokens = program.historyTokens;
    prefix.expectedPause = call.request.expectedPause;
    if (choosePrefixAction(prefix, {}) == PrefixAction::Drop)
        return this->releaseEngines(shard, program, false);
    for (const PrefixLocation& held : program.prefixes)
        this->send(held.sidecar, HoldPrefix { program.header.id, call.request.expectedPause });
}

// A record whose order nobody awaits any more: kept for repeats, and for the budget.
bool EntryCore::Impl::lateRecord(const NodeId& from, const TurnRecord& record)
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
    const bool certain = record.state == RecordState::Finished || record.state == RecordState::Failed;
    const bool saysMore = certain ? !isKnown || known->second.record.state == RecordState::Unknown : !isKnown;
    if (!saysMore || record.state == RecordState::NotRun)
        return true;

    HeldRecord held { record, { this->nodes.at(from).process }, extendsChain(*program, record), {} };
    if (held.record.state == RecordState::Started)
        held.record.state = RecordState::Unknown;
    BudgetAccount& account = owned->second.account(program->header);
    if (isKnown) {
        account.spent.value -= known->second.record.charged.value;
        held.otherAttempts = known->second.otherAttempts;
    } else if (record.turn.value == program->lastTurn.value + 1) {
        // One of the attempts that left the turn open has an outcome now.
        held.otherAttempts = std::move(program->unresolvedAttempts);
        program->unresolvedAttempts.clear();
        program->openTried.clear();
        std::erase_if(held.otherAttempts, [&](const TurnRecord& attempt) {
            const bool same = attempt.attempt == record.attempt;
            account.spent.value -= same ? attempt.charged.value : 0;
            return same;
        });
    }
    account.spent.value += record.charged.value;
    addRecord(*program, std::move(held));
    this->recopyWanted = true;
    return true;
}

}
