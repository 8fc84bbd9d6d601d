#include "entryimpl.h"

#include "Rattandeck/ordering.h"

#include <algorithm>

namespace Rattandeck {

// From the program's queue to a sidecar ----------------------------------------------------------------------------

ProgramCall* EntryCore::Impl::findCall(
    const ProgramId& id, std::uint64_t call, HomeShard** shard, HomeProgram** program)
{
    const auto owned = this->shards.find(id.shard);
    if (owned == this->shards.end())
        return nullptr;
    HomeProgram* found = owned->second.find(id);
    if (!found || !found->current || found->current->serial != call)
        return nullptr;
    *shard = &owned->second;
    *program = found;
    return found->current.get();
}

void EntryCore::Impl::startNext(HomeShard& shard, HomeProgram& program)
{
    const ProgramId id = program.header.id;
    while (!program.current && !program.queue.empty()) {
        const std::unique_ptr<ProgramCall> call = std::move(program.queue.front());
        program.queue.pop_front();
        // The call is classified again, since the calls before it have changed the program.
        const bool mayLackRecords = shard.mayLackRecords(id, this->now());
        const CallClassification classification = classifyCall(program, call->request, call->digest, mayLackRecords);
        if (std::holds_alternative<NewCall>(classification)) {
            program.current = std::make_unique<ProgramCall>(std::move(*call));
            this->startCall(shard, program);
            return;
        }
        this->timers.cancel(call->deadlineTimer);
        if (const auto* problem = std::get_if<Problem>(&classification))
            this->replyAll(call->callers, this->problemForCaller(shard, id, *problem));
        if (const auto* repeated = std::get_if<RepeatedCall>(&classification)) {
            const TurnNumber turn = repeated->record->record.turn;
            for (const Caller& caller : call->callers)
                this->answerRepeatedCall(caller, shard, program, turn);
        }
        if (const auto* same = std::get_if<SameCall>(&classification))
            same->call->callers.insert(same->call->callers.end(), call->callers.begin(), call->callers.end());
    }
    if (!program.current && program.ending && !program.ended)
        this->replicateEnd(shard, program);
}

void EntryCore::Impl::startCall(HomeShard& shard, HomeProgram& program)
{
    ProgramCall& call = *program.current;
    const auto fail = [&](ProblemKind kind, const std::string& detail) {
        this->failCall(shard, program, Problem { kind, Ran::No, {}, detail });
    };
    if (this->isQuarantined(call.fingerprint))
        return fail(ProblemKind::Quarantined, "requests like this one have crashed endpoints");
    if (this->now() < program.blockedUntil) {
        const auto left = std::chrono::ceil<Milliseconds>(program.blockedUntil - this->now());
        const Problem problem { ProblemKind::NotServing, Ran::No, left, "an earlier call may still start" };
        return this->failCall(shard, program, problem);
    }
    if (!call.request.head.value.empty() && call.request.head != program.head)
        return fail(ProblemKind::HistoryMismatch, "the program's history has another head");
    BudgetAccount& account = shard.account(program.header);
    const bool modelCall = call.request.service == program.header.service && program.header.id.openedIn != Epoch(0);
    if (call.request.maxOutputTokens.value == 0 && modelCall) {
        const std::int64_t room = account.left().value - estimateTokens(call.request.input).value;
        call.request.maxOutputTokens = TokenCount(std::clamp<std::int64_t>(room, 1, defaultOutputTokens));
    }
    const TokenCount reservation = reservationFor(call.request);
    if (reservation.value > account.left().value)
        return fail(ProblemKind::BudgetExceeded, "the call could charge more than is left of the budget");
    account.reserved.value += reservation.value;
    call.reserved = reservation;
    this->placeCall(shard, program);
}

void EntryCore::Impl::placeCall(HomeShard& shard, HomeProgram& program)
{
    ProgramCall& call = *program.current;
    call.stage = CallStage::Waiting;
    call.waitingSince = this->now();
    const bool mayLackRecords = shard.mayLackRecords(program.header.id, this->now());
    if (mayLackRecords && this->now() < shard.lateOrdersUntil) {
        const ProgramId id = program.header.id;
        this->after(shard.lateOrdersUntil - this->now(), [this, id, serial = call.serial] {
            HomeShard* later = nullptr;
            HomeProgram* waiting = nullptr;
            const ProgramCall* open = this->findCall(id, serial, &later, &waiting);
            if (open && open->stage == CallStage::Waiting)
                this->placeCall(*later, *waiting);
        });
        return;
    }
    if (!this->tryPlace(shard, program))
        this->enqueue(shard, program);
}

bool EntryCore::Impl::tryPlace(HomeShard& shard, HomeProgram& program)
{
    ProgramCall& call = *program.current;
    const auto fail = [&](ProblemKind kind, Milliseconds retryAfter, const std::string& detail) {
        this->failCall(shard, program, Problem { kind, Ran::No, retryAfter, detail });
        return true;
    };
    if (!shard.isServing || !this->hasAuthority())
        return fail(ProblemKind::NotServing, takeoverRetryDelay, "the lease has lapsed");
    // A late record may have used the turn while the call waited.
    const TurnNumber next(program.lastTurn.value + 1);
    if (call.request.turn.value != 0 && call.request.turn != next)
        return fail(ProblemKind::OutOfOrder, {}, "another turn is next");
    if (!call.request.head.value.empty() && call.request.head != program.head)
        return fail(ProblemKind::HistoryMismatch, {}, "the program's history has another head");
    if (call.deadline <= this->now())
        return fail(ProblemKind::DeadlineExceeded, {}, "the deadline has passed");
    const ServiceName& service = call.request.service;
    if (!this->sidecarPool.isKnownService(service))
        return fail(ProblemKind::UnknownService, {}, "no endpoint of " + service.value + " is known");
    if (this->sidecarPool.sidecarCount(service) == 0)
        return fail(ProblemKind::NoCapacity, takeoverRetryDelay, "no endpoint of " + service.value + " can be reached");

    call.turn = next;
    if (call.attempt == 0 && !program.unresolvedAttempts.empty()) {
        // Earlier attempts of this turn may have run.
        call.otherAttempts = std::move(program.unresolvedAttempts);
        call.triedSidecars = std::move(program.unresolvedTried);
        call.attempt = call.otherAttempts.back().attempt;
        program.unresolvedAttempts.clear();
        program.unresolvedTried.clear();
    }
    CallShape shape;
    shape.program = program.header.id;
    shape.turn = next;
    shape.promptTokens = TokenCount(program.historyTokens.value + estimateTokens(call.request.input).value);
    shape.expectedOutputTokens = call.request.maxOutputTokens;
    shape.timeLeft = std::chrono::duration_cast<Milliseconds>(call.deadline - this->now());
    ClassPolicy& policy = this->policyFor(program, service);
    if (policy.admitted && policy.admitted->empty())
        return fail(ProblemKind::NoCapacity, takeoverRetryDelay, "the policies admit no endpoint of " + service.value);
    PlacementDecision decision;
    PlacementQuery query { service, shape, policy.settings, this->nextRandomSeed(), program.prefixes,
        call.triedSidecars };
    if (policy.admitted)
        query.admitted = &*policy.admitted;
    const std::optional<TakenCredit> credit = this->sidecarPool.place(query, this->now(), decision);
    if (!credit)
        return false;
    this->sendOrder(shard, program, *credit, std::move(decision));
    return true;
}

EntryCore::Impl::ClassPolicy& EntryCore::Impl::policyFor(const HomeProgram& program, const ServiceName& called)
{
    const ProgramClass key { program.header.organisation, program.header.service, called };
    const auto [found, created] = this->classPolicies.try_emplace(key);
    ClassPolicy& policy = found->second;
    const std::uint64_t generation = this->policies.generation();
    const std::uint64_t members = this->sidecarPool.generation();
    if (!created && policy.generation == generation && policy.sidecarPoolGeneration == members)
        return policy;
    policy.generation = generation;
    policy.sidecarPoolGeneration = members;
    const Labels labels = this->policies.programLabels(key.organisation, key.program);
    PlacementSettings defaults;
    defaults.ownDomain = this->settings.domain;
    policy.settings = this->policies.placementFor(labels, defaults);
    std::unordered_set<NodeId> admitted;
    bool all = true;
    for (const SidecarView& view : this->sidecarPool.views(called)) {
        const Labels endpoint = this->policies.endpointLabels(view.node, view.domain, called);
        if (this->policies.admits(labels, endpoint))
            admitted.insert(view.node);
        else
            all = false;
    }
    policy.admitted.reset();
    if (!all)
        policy.admitted = std::move(admitted);
    return policy;
}

double EntryCore::Impl::priorityOf(const HomeShard& shard, const HomeProgram& program) const
{
    // A sub-agent delays its root program, so the root's latency target applies.
    const auto found = shard.programs.find(program.header.root);
    const HomeProgram& root = found == shard.programs.end() ? program : found->second;
    ProgramProgress progress;
    progress.timeSinceOpen = this->now() - root.openedAt;
    progress.latencyTarget = root.header.latencyTarget;
    progress.attainedService = program.attainedService;
    progress.turnsDone = program.turnsDone;
    const auto running = this->runningByOrganisation.find(program.header.organisation);
    if (running != this->runningByOrganisation.end() && this->runningTotal > 0) {
        const double fair
            = static_cast<double>(this->runningTotal) / static_cast<double>(this->runningByOrganisation.size());
        progress.organisationShare = running->second / fair;
    }
    return callPriority(progress, {});
}

void EntryCore::Impl::sendOrder(
    HomeShard& shard, HomeProgram& program, const TakenCredit& credit, PlacementDecision decision)
{
    ProgramCall& call = *program.current;
    Order order;
    order.id = OrderId(this->orderBase + ++this->lastOrder);
    order.shard = shard.shard;
    order.epoch = shard.epoch;
    order.program = program.header;
    order.turn = call.turn;
    order.attempt = ++call.attempt;
    order.service = call.request.service;
    order.key = call.request.key;
    order.idempotent = call.request.idempotent;
    order.credit = credit.credit;
    order.timeLeft = std::chrono::duration_cast<Milliseconds>(call.deadline - this->now());
    order.priority = this->priorityOf(shard, program);
    order.request = call.digest;
    order.headBefore = program.head;
    order.history = historyText(program, call.request.service);
    order.historyTokens = estimateTokens(order.history);
    order.input = call.request.input;
    order.inputTokens = estimateTokens(call.request.input);
    order.maxOutputTokens = call.request.maxOutputTokens;
    order.reserved = call.reserved;

    const Node& node = this->nodes.at(credit.sidecar);
    call.stage = CallStage::Ordered;
    call.sidecar = credit.sidecar;
    call.process = node.process;
    call.linkDownSince.reset();
    call.sentAt = this->now();
    if (call.attempt == 1)
        depositFirstAttempt(this->retryBudget);
    ++this->counters.ordersSent;
    ++this->queues[call.request.service].placedInInterval;
    ++this->runningTotal;
    ++this->runningByOrganisation[program.header.organisation];
    const std::int64_t tokens = order.historyTokens.value + order.inputTokens.value + order.maxOutputTokens.value;
    this->sidecarPool.onOrderPlaced(credit.sidecar, order.id, TokenCount(tokens));
    this->orders[order.id] = program.header.id;
    decision.order = order.id;
    this->effects.logPlacement(decision);
    this->send(credit.sidecar, order);
    // The history is discarded. If the order is sent again to the same sidecar, the history is rebuilt from the chain,
    // which doesn't change while the call is open.
    order.history = {};
    call.order = std::move(order);
}

// Waiting for credits ----------------------------------------------------------------------------------------------

void EntryCore::Impl::enqueue(HomeShard& shard, HomeProgram& program)
{
    constexpr Milliseconds saturationTime { 500 };
    ProgramCall& call = *program.current;
    ServiceQueue& queue = this->queues[call.request.service];
    const Duration bound = std::min<Duration>(this->settings.queueLimit, call.deadline - this->now());
    const bool saturated = queue.saturatedSince && this->now() >= *queue.saturatedSince + saturationTime;
    const double ahead = static_cast<double>(queue.calls.size() + 1);
    const double waitSeconds = queue.placedPerSecond > 0 ? ahead / queue.placedPerSecond : 0;
    const bool tooLong = saturated && waitSeconds > std::chrono::duration<double>(bound).count();
    if (tooLong || queue.calls.size() >= serviceQueueLimit) {
        const Milliseconds retry = retryAfter(waitSeconds, this->nextRandomSeed());
        return this->failCall(shard, program,
            Problem { ProblemKind::Overloaded, Ran::No, retry, "too many calls wait for this service" });
    }
    if (queue.calls.empty())
        queue.saturatedSince = this->now();
    const ProgramId id = program.header.id;
    queue.calls.push_back({ id, call.serial });
    this->after(this->settings.queueLimit, [this, id, serial = call.serial, since = call.waitingSince] {
        HomeShard* later = nullptr;
        HomeProgram* waiting = nullptr;
        const ProgramCall* open = this->findCall(id, serial, &later, &waiting);
        if (!open || open->stage != CallStage::Waiting || open->waitingSince != since)
            return;
        const double limitSeconds = std::chrono::duration<double>(this->settings.queueLimit).count();
        const Milliseconds retry = retryAfter(limitSeconds, this->nextRandomSeed());
        this->failCall(
            *later, *waiting, Problem { ProblemKind::Overloaded, Ran::No, retry, "no endpoint has capacity" });
    });
}

void EntryCore::Impl::dispatchQueue(const ServiceName& service)
{
    const auto found = this->queues.find(service);
    if (found == this->queues.end())
        return;
    // By reference, not by iterator: a refusal below may cause a request to arrive for a service without a queue, and
    // the insertion invalidates iterators.
    ServiceQueue& queue = found->second;
    while (!queue.calls.empty()) {
        std::vector<WaitingCall>& calls = queue.calls;
        std::vector<QueuedCall> queued;
        HomeShard* shard = nullptr;
        HomeProgram* program = nullptr;
        std::erase_if(calls, [&](const WaitingCall& waiting) {
            const ProgramCall* call = this->findCall(waiting.program, waiting.call, &shard, &program);
            const bool open = call && call->stage == CallStage::Waiting;
            if (open)
                queued.push_back({ this->priorityOf(*shard, *program), this->now() - call->waitingSince,
                    call->deadline - this->now(), call->request.maxOutputTokens });
            return !open;
        });
        const std::optional<std::size_t> next = nextCall(queued, {});
        if (!next)
            break;
        const WaitingCall chosen = calls[*next];
        this->findCall(chosen.program, chosen.call, &shard, &program);
        if (!this->tryPlace(*shard, *program))
            return;
        std::erase_if(calls, [&](const WaitingCall& waiting) { return waiting.call == chosen.call; });
    }
    queue.saturatedSince.reset();
}

void EntryCore::Impl::onLoadReport(const NodeId& from, const LoadReport& report)
{
    this->sidecarPool.onReport(from, report, this->now());
    if (report.leaving) {
        const bool isNew = !this->nodes.at(from).isLeaving;
        this->nodes.at(from).isLeaving = true;
        this->markProcessLost(this->nodes.at(from).process);
        if (isNew)
            this->checkReplicas();
    }
    // The end of an order also tells where a prefix is held. A report that does not include the last order that used
    // the prefix is older than that information, so the known location is kept.
    const auto removePrefix = [&](const ProgramId& id) -> HomeProgram* {
        const auto shard = this->shards.find(id.shard);
        HomeProgram* program = shard == this->shards.end() ? nullptr : shard->second.find(id);
        if (!program)
            return nullptr;
        const auto held = std::ranges::find(program->prefixes, from, &PrefixLocation::sidecar);
        if (held == program->prefixes.end())
            return program;
        if (held->lastOrder > report.accountedOrder)
            return nullptr;
        program->prefixes.erase(held);
        return program;
    };
    for (const ProgramId& id : report.droppedPrefixes)
        removePrefix(id);
    for (const HeldPrefix& prefix : report.heldPrefixes) {
        HomeProgram* program = removePrefix(prefix.program);
        if (program && !program->ended)
            program->prefixes.push_back({ from, prefix.tokens });
    }
    this->dispatchQueue(this->nodes.at(from).hello.service);
}

// Deadlines --------------------------------------------------------------------------------------------------------

void EntryCore::Impl::armDeadline(const ProgramId& id, ProgramCall& call)
{
    const std::uint64_t serial = call.serial;
    call.deadlineTimer
        = this->timers.subscribeAt(call.deadline, [this, guard = std::weak_ptr<int>(this->lifetimeGuard), id, serial] {
              if (!guard.expired())
                  this->onDeadline(id, serial);
          });
}

void EntryCore::Impl::onDeadline(const ProgramId& id, std::uint64_t serial)
{
    const auto owned = this->shards.find(id.shard);
    HomeProgram* program = owned == this->shards.end() ? nullptr : owned->second.find(id);
    if (!program)
        return;
    const auto waiting = std::find_if(program->queue.begin(), program->queue.end(),
        [&](const std::unique_ptr<ProgramCall>& call) { return call->serial == serial; });
    if (waiting != program->queue.end()) {
        const std::unique_ptr<ProgramCall> late = std::move(*waiting);
        program->queue.erase(waiting);
        return this->replyAll(
            late->callers, Problem { ProblemKind::DeadlineExceeded, Ran::No, {}, "an earlier call still ran" });
    }
    if (!program->current || program->current->serial != serial)
        return;
    ProgramCall& call = *program->current;
    if (call.stage == CallStage::Waiting)
        return this->failCall(
            owned->second, *program, Problem { ProblemKind::DeadlineExceeded, Ran::No, {}, "no endpoint was free" });

    std::vector<Caller> callers;
    callers.swap(call.callers);
    call.streaming.clear();
    if (call.stage == CallStage::Replicating) {
        const Problem late { ProblemKind::DeadlineExceeded, Ran::Yes, takeoverRetryDelay, "the answer is being kept" };
        return this->replyAll(callers, late);
    }
    const ProblemKind kind = call.request.idempotent ? ProblemKind::DeadlineExceeded : ProblemKind::OutcomeUnknown;
    const Problem late { kind, Ran::Unknown, {}, "the endpoint has not answered in time" };
    if (call.linkDownSince)
        this->abandonCall(owned->second, *program, late);
    else {
        this->send(call.sidecar, CancelOrder { call.order->id });
        this->after(deadlineGracePeriod, [this, id, serial] {
            HomeShard* shard = nullptr;
            HomeProgram* late = nullptr;
            const ProgramCall* open = this->findCall(id, serial, &shard, &late);
            if (open && open->stage == CallStage::Ordered)
                this->abandonCall(
                    *shard, *late, Problem { ProblemKind::DeadlineExceeded, Ran::Unknown, {}, "no answer" });
        });
    }
    this->replyAll(callers, late);
}

}
