#include "sidecarimpl.h"
#include "startedrecord.h"

#include "Rattandeck/digest.h"
#include "Rattandeck/ordering.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // The process is assumed to have been suspended when no tick has run for this many report intervals. This is
    // shorter than the time after which a silent link is closed.
    constexpr int suspensionIntervals = 2;

    const char* describe(RefusalReason reason)
    {
        switch (reason) {
        case RefusalReason::StaleEpoch:
            return "refuse: stale epoch";
        case RefusalReason::NoCredit:
            return "refuse: no credit";
        case RefusalReason::Overloaded:
            return "refuse: overloaded";
        case RefusalReason::Leaving:
            return "refuse: leaving";
        case RefusalReason::TooLate:
            return "refuse: too late";
        case RefusalReason::Quarantined:
            return "refuse: quarantined";
        case RefusalReason::Conflict:
            return "refuse: conflict";
        case RefusalReason::HistoryMismatch:
            return "refuse: history mismatch";
        }
        return "refuse";
    }

}

// Arrival ----------------------------------------------------------------------------------------------------------

void SidecarCore::Impl::onOrder(const NodeId& from, const Order& order)
{
    EntryLink& link = *this->findLink(from);
    link.accountedOrder = std::max(link.accountedOrder, order.id);
    link.activity += 1;
    if (!isCurrentEpoch(this->fence, order.shard, order.epoch))
        return this->refuse(link, order, RefusalReason::StaleEpoch);
    if (order.shard != order.program.id.shard)
        return this->refuse(link, order, RefusalReason::Conflict);
    this->observeEpoch(order.shard, order.epoch, from);

    const auto refused = link.refusedOrders.find(order.id);
    if (refused != link.refusedOrders.end())
        return this->refuse(link, order, refused->second);
    if (this->handleDuplicateOrder(link, order))
        return;
    if (order.id <= link.refusedThrough)
        return this->refuse(link, order, RefusalReason::NoCredit);
    if (!spendCredit(this->credits, order.credit, from, this->now()))
        return this->refuse(link, order, RefusalReason::NoCredit);
    if (const auto reason = this->reasonToRefuse(order))
        return this->refuse(link, order, *reason);
    const OrderId id = this->enqueue(link, order);
    this->startQueued();
    const auto call = this->calls.find(id);
    if (call != this->calls.end() && !call->second.running)
        this->log(order, "queue");
    this->reportToEntriesWithoutCredits();
}

bool SidecarCore::Impl::handleDuplicateOrder(EntryLink& link, const Order& order)
{
    for (auto& [id, call] : this->calls) {
        if (call.order.program.id != order.program.id)
            continue;
        const bool same
            = call.order.turn == order.turn && call.order.request == order.request && call.order.key == order.key;
        // A program has at most one call at a time.
        if (same)
            this->attach(call, link, order.id);
        else
            this->refuse(link, order, RefusalReason::Conflict);
        return true;
    }

    const OrderClass orderClass = classifyOrder(this->records, order);
    if (const auto* reason = std::get_if<RefusalReason>(&orderClass)) {
        this->refuse(link, order, *reason);
        return true;
    }
    if (const auto* replayed = std::get_if<ReplayedOrder>(&orderClass)) {
        this->log(order, "replay");
        this->sendTo(link.hello.node, OrderEnded { order.id, *replayed->record });
        return true;
    }
    if (const auto* repeated = std::get_if<PendingDuplicate>(&orderClass)) {
        // The record is a copy from another sidecar, so the call is not running here.
        const bool mayRun = order.idempotent && order.attempt > repeated->record->attempt;
        if (!mayRun)
            this->refuse(link, order, RefusalReason::Conflict);
        return !mayRun;
    }
    return false;
}

void SidecarCore::Impl::attach(SidecarCall& call, EntryLink& link, OrderId order)
{
    this->log(call.order, "replay");
    std::erase_if(call.subscribers,
        [&](const Subscriber& other) { return other.node == link.hello.node && other.order == order; });
    call.subscribers.push_back({ link.hello.node, link.hello.incarnation, order });
    this->resendParts(call, call.subscribers.back());
}

void SidecarCore::Impl::resendParts(const SidecarCall& call, const Subscriber& subscriber)
{
    std::size_t begin = 0;
    for (std::uint32_t part = 0; part < call.parts.size(); ++part) {
        const TextPart& sent = call.parts[part];
        const std::string text = call.text.substr(begin, sent.end - begin);
        this->sendTo(subscriber.node, OrderTokens { subscriber.order, part, text, sent.tokens });
        begin = sent.end;
    }
}

// Refusals ---------------------------------------------------------------------------------------------------------

std::optional<RefusalReason> SidecarCore::Impl::reasonToRefuse(const Order& order)
{
    if (this->isLeaving)
        return RefusalReason::Leaving;
    if (this->isQuarantined(crashFingerprint(order.service, order.input)))
        return RefusalReason::Quarantined;
    if (!this->canMeetDeadline(order, order.timeLeft, this->queueSeconds(this->waiting())))
        return RefusalReason::TooLate;
    if (this->running >= this->concurrencySlots() && this->waiting() >= this->settings.queueLimit)
        return RefusalReason::Overloaded;
    return std::nullopt;
}

bool SidecarCore::Impl::isQuarantined(const Digest& fingerprint) const
{
    const auto counted = this->crashCounts.find(fingerprint);
    if (counted != this->crashCounts.end() && counted->second >= this->settings.crashLimit)
        return true;
    return this->config.find({ "quarantine", fingerprint.value }) != nullptr;
}

// Estimated time until a call starts that has `ahead` waiting calls before it.
double SidecarCore::Impl::queueSeconds(std::uint32_t ahead) const
{
    const double slots = std::max(1.0, this->limit.limit);
    const double excess = this->running + ahead + 1 - slots;
    return excess > 0 ? excess * this->speed.callSeconds / slots : 0;
}

bool SidecarCore::Impl::canMeetDeadline(const Order& order, Duration timeLeft, double waitSeconds) const
{
    if (timeLeft <= Duration(0))
        return false;
    double needed = waitSeconds;
    if (this->speed.prefillTokensPerSecond > 0) {
        const std::int64_t prompt = order.historyTokens.value + order.inputTokens.value;
        const std::int64_t missing = prompt - heldTokens(this->prefixes, order.program.id).value;
        needed += static_cast<double>(std::max<std::int64_t>(0, missing)) / this->speed.prefillTokensPerSecond;
    }
    return needed < seconds(timeLeft);
}

void SidecarCore::Impl::refuse(EntryLink& link, const Order& order, RefusalReason reason)
{
    this->log(order, describe(reason));
    ++this->counters.refused;
    link.refusedOrders.try_emplace(order.id, reason);
    if (link.refusedOrders.size() > maxRefusedOrders) {
        link.refusedThrough = std::max(link.refusedThrough, link.refusedOrders.begin()->first);
        link.refusedOrders.erase(link.refusedOrders.begin());
    }
    OrderRefused refused { order.id, reason };
    if (reason == RefusalReason::Overloaded || reason == RefusalReason::NoCredit) {
        refused.retryAfter = retryAfter(this->queueSeconds(this->waiting()), order.id.value);
    }
    this->sendTo(link.hello.node, refused);
}

void SidecarCore::Impl::refuseCall(OrderId id, RefusalReason reason)
{
    const SidecarCall call = std::move(this->calls.at(id));
    this->calls.erase(id);
    for (const Subscriber& subscriber : call.subscribers) {
        EntryLink* link = this->findLink(subscriber.node);
        if (!link || link->hello.incarnation != subscriber.incarnation)
            continue;
        Order order = call.order;
        order.id = subscriber.order;
        this->refuse(*link, order, reason);
    }
    this->checkDrained();
}

// Queue ------------------------------------------------------------------------------------------------------------

OrderId SidecarCore::Impl::enqueue(EntryLink& link, const Order& order)
{
    const OrderId id(++this->lastCall.value);
    SidecarCall& call = this->calls[id];
    call.id = id;
    call.order = order;
    if (!this->settings.modelEngine) {
        // A plain service gets only the input, without the history of the program.
        call.order.history = {};
        call.order.historyTokens = {};
    }
    call.fingerprint = crashFingerprint(order.service, order.input);
    call.subscribers.push_back({ link.hello.node, link.hello.incarnation, order.id });
    call.arrived = this->now();
    call.deadline = this->now() + order.timeLeft;
    this->after(order.timeLeft, [this, id] {
        const auto found = this->calls.find(id);
        if (found != this->calls.end() && !found->second.running)
            this->refuseCall(id, RefusalReason::TooLate);
    });
    return id;
}

void SidecarCore::Impl::refuseAfterPause()
{
    if (this->now() - this->lastTick <= suspensionIntervals * this->settings.reportInterval)
        return;
    this->lastTick = this->now();
    std::vector<OrderId> waiting;
    for (const auto& [id, call] : this->calls) {
        if (!call.running)
            waiting.push_back(id);
    }
    for (const OrderId id : waiting)
        this->refuseCall(id, RefusalReason::Overloaded);
}

void SidecarCore::Impl::startQueued()
{
    this->refuseAfterPause();
    this->refuseUnmeetableDeadlines();
    while (this->running < this->concurrencySlots()) {
        const std::optional<OrderId> next = this->chooseNext();
        if (!next)
            break;
        this->start(this->calls.at(*next));
    }
}

// Refuses queued calls that would miss their deadline even if they were started next.
void SidecarCore::Impl::refuseUnmeetableDeadlines()
{
    std::vector<OrderId> unmeetable;
    for (const auto& [id, call] : this->calls) {
        if (!call.running && !this->canMeetDeadline(call.order, call.deadline - this->now(), 0))
            unmeetable.push_back(id);
    }
    for (const OrderId id : unmeetable)
        this->refuseCall(id, RefusalReason::TooLate);
}

std::optional<OrderId> SidecarCore::Impl::chooseNext()
{
    const auto isSuspect = [this](const SidecarCall& call) { return this->crashCounts.contains(call.fingerprint); };
    const bool suspectRuns = std::ranges::any_of(
        this->calls, [&](const auto& item) { return item.second.running && isSuspect(item.second); });
    std::vector<OrderId> ids;
    std::vector<QueuedCall> queue;
    for (const auto& [id, call] : this->calls) {
        // Requests suspected of causing a crash run one at a time, so that the next crash identifies the request that
        // causes it.
        if (call.running || (suspectRuns && isSuspect(call)))
            continue;
        const Order& order = call.order;
        const TokenCount tokens(order.inputTokens.value + order.maxOutputTokens.value);
        ids.push_back(id);
        queue.push_back({ order.priority, this->now() - call.arrived, call.deadline - this->now(), tokens });
    }
    const std::optional<std::size_t> index = nextCall(queue, OrderingSettings {});
    return index ? std::optional(ids[*index]) : std::nullopt;
}

void SidecarCore::Impl::start(SidecarCall& call)
{
    const Order& order = call.order;
    this->log(order, "start");
    ProgramRecords& program = upsertProgram(this->records, order.program, this->now());
    const auto former = program.turns.find(order.turn);
    if (former != program.turns.end())
        call.replacedRecord = former->second;
    program.turns[order.turn] = startedRecord(order);

    const TokenCount promptTokens(order.historyTokens.value + order.inputTokens.value);
    call.heldAtStart = heldTokens(this->prefixes, order.program.id);
    this->evictPrefixes(TokenCount(promptTokens.value + order.maxOutputTokens.value), order.program.id);
    call.running = true;
    call.started = this->now();
    ++this->running;
    ++this->counters.started;

    EndpointCall endpointCall { call.id, order.program.id, order.key };
    endpointCall.prompt = order.history + order.input;
    endpointCall.promptTokens = promptTokens;
    endpointCall.maxOutputTokens = order.maxOutputTokens;
    endpointCall.priority = order.priority;
    endpointCall.timeLeft = std::chrono::duration_cast<Milliseconds>(call.deadline - this->now());
    if (!order.idempotent)
        endpointCall.timeLeft += outcomeGracePeriod;
    endpointCall.epoch = order.epoch;
    call.order.history = {};
    this->effects.startCall(endpointCall);
}

// Cancellation -----------------------------------------------------------------------------------------------------

void SidecarCore::Impl::onCancel(const NodeId& from, const CancelOrder& cancel)
{
    const auto awaits
        = [&](const Subscriber& subscriber) { return subscriber.node == from && subscriber.order == cancel.id; };
    const auto found = std::ranges::find_if(
        this->calls, [&](const auto& item) { return std::ranges::any_of(item.second.subscribers, awaits); });
    if (found == this->calls.end())
        return;
    SidecarCall& call = found->second;
    if (call.subscribers.size() > 1) {
        std::erase_if(call.subscribers, awaits);
        return;
    }
    if (!call.running)
        this->refuseCall(call.id, RefusalReason::TooLate);
    else if (call.order.idempotent)
        this->cancelRunning(call);
    this->startQueued();
    this->reportToEntriesWithoutCredits();
}

void SidecarCore::Impl::cancelRunning(SidecarCall& call)
{
    TurnRecord record = *findTurn(this->records, call.order.program.id, call.order.turn);
    record.state = RecordState::Failed;
    record.charged = this->chargedTokens(call, call.textTokens);
    this->effects.cancelCall(call.id);
    this->keepPartialPrefix(call);
    this->finish(call.id, std::move(record), {});
}

void SidecarCore::Impl::log(const Order& order, const std::string& choice) const
{
    AdmissionDecision decision { order.program.id, order.turn, order.id, choice };
    decision.running = this->running;
    decision.waiting = this->waiting();
    decision.limit = this->concurrencySlots();
    decision.priority = order.priority;
    this->effects.logAdmission(decision);
}

}
