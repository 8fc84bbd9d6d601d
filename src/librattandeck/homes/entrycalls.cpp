#include "entryimpl.h"

#include "Rattandeck/digest.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    constexpr std::uint32_t maxOpeningAttempts = 3;
    // Maximum number of unsent releases for each node whose link is down. The oldest ones are discarded.
    constexpr std::size_t maxUnsentReleases = 4096;
    constexpr std::uint32_t unlimitedAttempts = ~0U;

    bool isKeyedCall(const CallerRequest& request)
    {
        return request.kind == CallKind::Call && request.program.serial == 0;
    }

    AnswerDone stateOf(const HomeProgram& program, TokenCount budgetLeft)
    {
        AnswerDone done;
        done.program = program.header.id;
        done.turn = program.lastTurn;
        done.head = program.head;
        done.budgetLeft = budgetLeft;
        return done;
    }

}

// Routing ----------------------------------------------------------------------------------------------------------

HomeShard* EntryCore::Impl::anyOwnShard()
{
    const std::size_t count = this->map.slots.size();
    for (std::size_t i = 0; i < count; ++i) {
        const ShardId shard(static_cast<std::uint32_t>(++this->nextOwnShard % count));
        if (HomeShard* home = this->servedShard(shard))
            return home;
    }
    return nullptr;
}

std::optional<NodeId> EntryCore::Impl::anyOtherHome()
{
    std::vector<NodeId> homes;
    for (const NodeId& id : this->entryNodes) {
        if (this->nodes.at(id).linked)
            homes.push_back(id);
    }
    std::erase_if(homes, [&](const NodeId& id) {
        return std::none_of(this->map.slots.begin(), this->map.slots.end(),
            [&](const ShardSlot& slot) { return slot.home == id && slot.next.value.empty(); });
    });
    if (homes.empty())
        return std::nullopt;
    return homes[this->nextRandomSeed() % homes.size()];
}

void EntryCore::Impl::route(const Caller& caller, CallerRequest request, bool forwarded)
{
    if (request.timeLeft.count() <= 0)
        request.timeLeft = defaultTimeLeft;
    request.timeLeft = std::min(request.timeLeft, maxTimeLeft);
    if (this->isShuttingDown && !forwarded)
        return this->refuse(
            caller, ProblemKind::ShuttingDown, ranIfRefused(request), otherEntryRetryDelay, "this entry is leaving");
    if (this->map.slots.empty())
        return this->refuse(caller, ProblemKind::NotServing, ranIfRefused(request), takeoverRetryDelay,
            "the shard map is not known yet");

    const bool rootOpening = request.kind == CallKind::OpenProgram && request.program.serial == 0;
    if (rootOpening) {
        if (!this->isShuttingDown && this->anyOwnShard())
            return this->openProgram(caller, request);
        const std::optional<NodeId> other = forwarded ? std::nullopt : this->anyOtherHome();
        if (other)
            return this->forward(caller, *other, request);
        return this->refuse(caller, ProblemKind::NotServing, Ran::No, takeoverRetryDelay, "no shard is served here");
    }
    if (isKeyedCall(request)) {
        if (request.key.value.empty())
            return this->refuse(
                caller, ProblemKind::BadRequest, Ran::No, {}, "a call without a program needs an idempotency key");
        const auto count = static_cast<std::uint32_t>(this->map.slots.size());
        request.program.shard = shardOfKey(request.organisation, request.key, count);
        request.program.openedIn = Epoch(0);
    }
    const ShardId shard = request.program.shard;
    if (shard.value >= this->map.slots.size())
        return this->refuse(caller, ProblemKind::UnknownProgram, Ran::No, {}, "no such shard");
    const NodeId home = this->map.slots[shard.value].home;
    if (home == this->settings.node)
        return this->handleAtHome(caller, std::move(request));
    const auto node = this->nodes.find(home);
    const bool linked = node != this->nodes.end() && node->second.linked;
    if (forwarded || !linked)
        return this->refuse(caller, ProblemKind::NotServing, ranIfRefused(request), takeoverRetryDelay,
            forwarded ? "this entry is not the program's home" : "the program's home can't be reached");
    this->forward(caller, home, request);
}

void EntryCore::Impl::forward(const Caller& caller, const NodeId& home, const CallerRequest& request)
{
    const TimerId timer = this->after(request.timeLeft + forwardGracePeriod, [this, ticket = caller.ticket] {
        const auto open = this->forwarded.find(ticket);
        if (open == this->forwarded.end())
            return;
        this->send(open->second.home, ForwardCancel { ticket });
        this->forwarded.erase(open);
        this->refuse({ {}, ticket }, ProblemKind::DeadlineExceeded, Ran::Unknown, {}, "the home has not answered");
    });
    const Ran ranIfLost = request.kind == CallKind::Call ? Ran::Unknown : ranIfRefused(request);
    this->forwarded[caller.ticket] = { home, ranIfLost, timer };
    this->send(home, ForwardRequest { caller.ticket, request });
}

void EntryCore::Impl::onCallerDisconnected(const Caller& caller)
{
    const auto found = this->callers.find(caller);
    if (found == this->callers.end())
        return;
    const ProgramId id = found->second;
    this->callers.erase(found);
    const auto shard = this->shards.find(id.shard);
    HomeProgram* program = shard == this->shards.end() ? nullptr : shard->second.find(id);
    if (!program)
        return;
    std::erase(program->endingCallers, caller);
    for (auto waiting = program->queue.begin(); waiting != program->queue.end(); ++waiting) {
        std::erase((*waiting)->callers, caller);
        if ((*waiting)->callers.empty()) {
            this->timers.cancel((*waiting)->deadlineTimer);
            program->queue.erase(waiting);
            return;
        }
    }
    if (!program->current)
        return;
    ProgramCall& call = *program->current;
    std::erase(call.streaming, caller);
    if (std::erase(call.callers, caller) == 0 || !call.callers.empty())
        return;
    if (call.stage == CallStage::Ordered)
        this->send(call.sidecar, CancelOrder { call.order->id });
    else if (call.stage == CallStage::Waiting)
        this->failCall(
            shard->second, *program, Problem { ProblemKind::DeadlineExceeded, Ran::No, {}, "the caller left" });
}

void EntryCore::Impl::armWaitTimeout(const Caller& caller, Milliseconds timeLeft)
{
    this->after(timeLeft, [this, caller] {
        if (!this->callers.contains(caller))
            return;
        this->onCallerDisconnected(caller);
        this->refuse(caller, ProblemKind::DeadlineExceeded, Ran::Unknown, takeoverRetryDelay, "the time is over");
    });
}

// Requests at the home ---------------------------------------------------------------------------------------------

void EntryCore::Impl::refuseUnknownProgram(const Caller& caller, const HomeShard& shard, const CallerRequest& request)
{
    if (shard.mayLackRecords(request.program, this->now())) {
        const Problem lost { ProblemKind::HistoryLost, Ran::Unknown, {}, "records of this program may be lost" };
        this->reply(caller, this->problemForCaller(shard, request.program, lost));
        return;
    }
    this->refuse(caller, ProblemKind::UnknownProgram, ranIfRefused(request), {}, "no such program");
}

void EntryCore::Impl::handleAtHome(const Caller& caller, CallerRequest request)
{
    HomeShard* shard = this->servedShard(request.program.shard);
    if (!shard)
        return this->refuse(caller, ProblemKind::NotServing, ranIfRefused(request), takeoverRetryDelay,
            "the shard is being taken over, or the lease has lapsed");
    if (isKeyedCall(request)) {
        request.program.serial = serialOfKey(request.organisation, request.key);
        if (request.service.value.empty())
            return this->refuse(
                caller, ProblemKind::BadRequest, Ran::No, {}, "a call without a program needs a service");
        HomeProgram& program = shard->programs[request.program];
        if (program.header.id.serial == 0) {
            program.header.id = request.program;
            program.header.root = request.program;
            program.header.organisation = request.organisation;
            program.header.service = request.service;
            program.header.budget = TokenCount(maxTokensPerCall);
            program.openedAt = this->now();
            shard->addToAccount(program);
        }
    }
    HomeProgram* program = shard->find(request.program);
    // If the request names an organisation, a program of another organisation is treated as unknown, so that a wrong id
    // can't reach it.
    const bool hasOrganisation = !request.organisation.value.empty();
    if (!program || (hasOrganisation && program->header.organisation != request.organisation))
        return this->refuseUnknownProgram(caller, *shard, request);
    switch (request.kind) {
    case CallKind::OpenProgram:
        return this->openSubAgent(caller, request);
    case CallKind::Call:
        return this->callProgram(caller, *shard, *program, std::move(request));
    case CallKind::EndProgram:
        this->endProgram(caller, *shard, *program);
        return this->armWaitTimeout(caller, request.timeLeft);
    case CallKind::GetProgram:
        return this->getProgram(caller, *shard, *program);
    }
}

void EntryCore::Impl::getProgram(const Caller& caller, HomeShard& shard, HomeProgram& program)
{
    AnswerDone done = stateOf(program, shard.account(program.header).left());
    // A record that is still being replicated must not be reported yet.
    if (program.current && program.current->stage == CallStage::Replicating) {
        const HeldRecord& last = program.records.at(program.current->turn);
        done.turn = TurnNumber(last.record.turn.value - 1);
        done.head = last.record.headBefore;
    }
    this->reply(caller, done);
}

// Opening ----------------------------------------------------------------------------------------------------------

void EntryCore::Impl::openProgram(const Caller& caller, const CallerRequest& request)
{
    const bool valid
        = !request.organisation.value.empty() && !request.service.value.empty() && request.budget.value > 0;
    if (!valid)
        return this->refuse(
            caller, ProblemKind::BadRequest, Ran::No, {}, "a program needs an organisation, a service and a budget");
    const ServicePressure pressure = this->sidecarPool.pressure(request.service);
    const auto refused
        = this->programAdmission.decide(request.organisation, pressure, this->now(), this->nextRandomSeed());
    if (refused)
        return this->refuse(
            caller, ProblemKind::Overloaded, Ran::No, *refused, "too many programs are under way for this service");
    HomeShard& shard = *this->anyOwnShard();
    const ProgramId id { shard.shard, shard.epoch, ++shard.lastSerial };
    HomeProgram& program = shard.programs[id];
    program.header = { id, id, request.organisation, request.service, request.latencyTarget, request.budget };
    this->replicateOpening(caller, shard, id);
}

void EntryCore::Impl::openSubAgent(const Caller& caller, const CallerRequest& request)
{
    HomeShard& shard = this->shards.at(request.program.shard);
    const HomeProgram& parent = *shard.find(request.program);
    if (this->isShuttingDown)
        return this->refuse(caller, ProblemKind::ShuttingDown, Ran::No, otherEntryRetryDelay, "this entry is leaving");
    if (parent.ended || parent.ending)
        return this->refuse(caller, ProblemKind::ProgramEnded, Ran::No, {}, "the parent has ended");
    const ProgramHeader parentHeader = parent.header;
    const ProgramId id { shard.shard, shard.epoch, ++shard.lastSerial };
    HomeProgram& program = shard.programs[id];
    program.header = parentHeader;
    program.header.id = id;
    if (!request.service.value.empty())
        program.header.service = request.service;
    if (request.latencyTarget.count() > 0)
        program.header.latencyTarget = request.latencyTarget;
    this->replicateOpening(caller, shard, id);
}

void EntryCore::Impl::replicateOpening(const Caller& caller, HomeShard& shard, const ProgramId& id)
{
    HomeProgram& program = shard.programs.at(id);
    program.openedAt = this->now();
    shard.addToAccount(program);
    CopyRecords state;
    state.shard = shard.shard;
    state.epoch = shard.epoch;
    state.programs.push_back(program.header);
    this->callers[caller] = id;
    const Epoch epoch = shard.epoch;
    this->replicate(state, maxOpeningAttempts, {}, [this, caller, id, epoch](std::optional<ProcessIndex> holder) {
        const auto owned = this->shards.find(id.shard);
        const bool isSameHome = owned != this->shards.end() && owned->second.epoch == epoch && this->hasAuthority();
        HomeProgram* opened = isSameHome ? owned->second.find(id) : nullptr;
        if (!opened || (!holder && this->isOtherDomainKnown())) {
            if (opened)
                owned->second.remove(id);
            return this->refuse(
                caller, ProblemKind::NotServing, Ran::No, takeoverRetryDelay, "the opening can't be kept");
        }
        if (holder)
            opened->headerHolders.push_back(*holder);
        this->reply(caller, stateOf(*opened, owned->second.account(opened->header).left()));
    });
}

// Ending -----------------------------------------------------------------------------------------------------------

void EntryCore::Impl::endProgram(const Caller& caller, HomeShard& shard, HomeProgram& program)
{
    if (program.ended)
        return this->reply(caller, stateOf(program, shard.account(program.header).left()));
    program.endingCallers.push_back(caller);
    this->callers[caller] = program.header.id;
    if (program.ending)
        return;
    program.ending = true;
    std::deque<std::unique_ptr<ProgramCall>> waiting;
    waiting.swap(program.queue);
    if (program.current && program.current->stage == CallStage::Ordered)
        this->send(program.current->sidecar, CancelOrder { program.current->order->id });
    if (program.current && program.current->stage == CallStage::Waiting)
        this->failCall(shard, program, Problem { ProblemKind::ProgramEnded, Ran::No, {}, "the program is ending" });
    else if (!program.current)
        this->replicateEnd(shard, program);
    for (const auto& call : waiting) {
        this->timers.cancel(call->deadlineTimer);
        this->replyAll(call->callers, Problem { ProblemKind::ProgramEnded, Ran::No, {}, "the program is ending" });
    }
}

// The end is replicated before engines and holders release the program. Otherwise a holder could keep the header alone,
// without the records and the end, and the program would look as if it had just been opened.
void EntryCore::Impl::replicateEnd(HomeShard& shard, HomeProgram& program)
{
    CopyRecords state;
    state.shard = shard.shard;
    state.epoch = shard.epoch;
    state.endedPrograms.push_back(program.header.id);
    const ProgramId id = program.header.id;
    const Epoch epoch = shard.epoch;
    this->replicate(std::move(state), unlimitedAttempts, {}, [this, id, epoch](std::optional<ProcessIndex>) {
        const auto owned = this->shards.find(id.shard);
        const bool isSameHome = owned != this->shards.end() && owned->second.epoch == epoch;
        HomeProgram* ended = isSameHome ? owned->second.find(id) : nullptr;
        if (!ended || ended->ended)
            return;
        this->markEnded(owned->second, *ended);
        const std::vector<Caller> callers = std::move(ended->endingCallers);
        ended->endingCallers.clear();
        const AnswerDone done = stateOf(*ended, owned->second.account(ended->header).left());
        if (this->hasAuthority())
            return this->replyAll(callers, done);
        this->replyAll(
            callers, Problem { ProblemKind::NotServing, Ran::Unknown, takeoverRetryDelay, "the lease has lapsed" });
    });
}

void EntryCore::Impl::markEnded(HomeShard& shard, HomeProgram& program)
{
    program.ended = true;
    program.endedAt = this->now();
    shard.ended.push_back(program.header.id);
    --shard.account(program.header).open;
    this->releaseEndedProgram(shard, program);
    HomeProgram* root = shard.find(program.header.root);
    if (root && root != &program && root->ended)
        this->releaseEndedProgram(shard, *root);
}

// The records of a root program are kept while its sub-agents are open, because they show the charges to the budget
// that the sub-agents share.
void EntryCore::Impl::releaseEndedProgram(HomeShard& shard, HomeProgram& program)
{
    const bool isRoot = program.header.root == program.header.id;
    const bool isBudgetInUse = isRoot && shard.account(program.header).open > 0;
    this->releaseHolders(shard, program, !isBudgetInUse);
    // Records with an idempotency key are kept to answer repeated calls, and records of sub-agents because they show
    // their charges to the root's budget.
    if (isRoot && !isBudgetInUse)
        std::erase_if(program.records, [](const auto& item) { return item.second.record.key.value.empty(); });
}

void EntryCore::Impl::releaseHolders(HomeShard& shard, HomeProgram& program, bool ended)
{
    std::set<NodeId> holders;
    for (const PrefixLocation& prefix : program.prefixes)
        holders.insert(prefix.sidecar);
    if (program.ended) {
        for (const ProcessIndex process : program.headerHolders)
            holders.insert(this->processes[process.value].node);
        for (const auto& [turn, held] : program.records) {
            for (const ProcessIndex process : held.holders)
                holders.insert(this->processes[process.value].node);
        }
    }
    holders.erase(this->settings.node);
    const ReleaseProgram release { shard.shard, shard.epoch, program.header.id, ended };
    for (const NodeId& holder : holders) {
        const auto node = this->nodes.find(holder);
        if (node != this->nodes.end() && node->second.linked) {
            this->send(holder, release);
            continue;
        }
        std::deque<ReleaseProgram>& pendingReleases = this->unsentReleases[holder];
        pendingReleases.push_back(release);
        if (pendingReleases.size() > maxUnsentReleases)
            pendingReleases.pop_front();
    }
    program.prefixes.clear();
}

void EntryCore::Impl::purgeEnded(HomeShard& shard)
{
    while (!shard.ended.empty()) {
        const ProgramId id = shard.ended.front();
        const HomeProgram* program = shard.find(id);
        if (program && this->now() < program->endedAt + keyRetention)
            return;
        shard.ended.pop_front();
        if (program && shard.account(program->header).open > 0) {
            shard.find(id)->endedAt = this->now();
            shard.ended.push_back(id);
            continue;
        }
        shard.remove(id);
    }
}

// Calling ----------------------------------------------------------------------------------------------------------

void EntryCore::Impl::callProgram(const Caller& caller, HomeShard& shard, HomeProgram& program, CallerRequest request)
{
    if (request.service.value.empty())
        request.service = program.header.service;
    const bool badOutput = request.maxOutputTokens.value < 0 || request.maxOutputTokens.value > maxTokensPerCall;
    if (badOutput || reservationFor(request).value > maxTokensPerCall)
        return this->refuse(caller, ProblemKind::BadRequest, Ran::No, {}, "the call is larger than any may be");
    const Digest digest = requestDigest(request);
    const bool mayLackRecords = shard.mayLackRecords(program.header.id, this->now());
    const CallClassification classification = classifyCall(program, request, digest, mayLackRecords);
    if (const auto* found = std::get_if<Problem>(&classification)) {
        const Problem problem = this->problemForCaller(shard, program.header.id, *found);
        removeIfEmpty(shard, program.header.id);
        this->reply(caller, problem);
        return;
    }
    if (const auto* repeated = std::get_if<RepeatedCall>(&classification))
        return this->answerRepeatedCall(caller, shard, program, repeated->record->record.turn);
    if (const auto* same = std::get_if<SameCall>(&classification)) {
        same->call->callers.push_back(caller);
        if (same->call->nextPart == 0)
            same->call->streaming.push_back(caller);
        this->callers[caller] = program.header.id;
        return this->armWaitTimeout(caller, request.timeLeft);
    }
    if (this->isShuttingDown)
        return this->refuse(caller, ProblemKind::ShuttingDown, mayLackRecords ? Ran::Unknown : Ran::No,
            takeoverRetryDelay, "the program's home is leaving");
    auto call = std::make_unique<ProgramCall>();
    call->serial = ++this->lastCall;
    call->callers.push_back(caller);
    call->streaming.push_back(caller);
    call->digest = digest;
    call->fingerprint = crashFingerprint(request.service, request.input);
    call->arrived = this->now();
    call->deadline = this->now() + request.timeLeft;
    call->turn = request.turn;
    call->request = std::move(request);
    this->callers[caller] = program.header.id;
    this->armDeadline(program.header.id, *call);
    program.queue.push_back(std::move(call));
    this->startNext(shard, program);
}

void EntryCore::Impl::answerRepeatedCall(const Caller& caller, HomeShard& shard, HomeProgram& program, TurnNumber turn)
{
    if (program.current && program.current->turn == turn) {
        program.current->callers.push_back(caller);
        this->callers[caller] = program.header.id;
        return;
    }
    const HeldRecord& held = program.records.at(turn);
    const CallerEvent answer = answerOf(held, shard.account(program.header).left());
    if (this->isReplicated(held.holders) || held.record.state == RecordState::Unknown) {
        this->reply(caller, answer);
        return;
    }
    CopyRecords state;
    state.shard = shard.shard;
    state.epoch = shard.epoch;
    state.programs.push_back(program.header);
    state.records.push_back(held.record);
    this->callers[caller] = program.header.id;
    const ProgramId id = program.header.id;
    const auto onReplicated = [this, caller, id, turn, answer](std::optional<ProcessIndex> holder) {
        HomeShard* owned = this->servedShard(id.shard);
        HomeProgram* known = owned ? owned->find(id) : nullptr;
        const bool isStored = holder || !this->isOtherDomainKnown();
        if (!known || !isStored)
            return this->refuse(caller, ProblemKind::NotServing, Ran::Unknown, takeoverRetryDelay,
                "the answer can't be kept in two places");
        const auto record = known->records.find(turn);
        if (holder && record != known->records.end())
            record->second.holders.push_back(*holder);
        this->reply(caller, answer);
    };
    this->replicate(std::move(state), maxOpeningAttempts, {}, onReplicated);
}

}
