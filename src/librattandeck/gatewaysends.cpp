#include "gatewayimpl.h"

#include <algorithm>

namespace Rattandeck {

/// Lowest priority that engines know.
constexpr std::uint32_t maxPriority = 9;

// Placing ------------------------------------------------------------------------------------------------------------

bool Gateway::Impl::hasRoom(const Call& call, const PlacementChoice& choice) const
{
    const double bound = call.isOpening ? this->limits.openingLoad : this->limits.maxLoad;
    return choice.expectedLoad < bound * choice.slots;
}

void Gateway::Impl::place(Call& call)
{
    const auto choice = this->endpoints.choose(call.query, this->timers.now());
    call.bestChoice = choice;
    if (choice && this->hasRoom(call, *choice)) {
        this->dequeue(call);
        this->sendTo(call, *choice);
        return;
    }
    if (call.hasBegun) {
        // A stream that was broken by its instance and can't go on elsewhere.
        this->giveUp(call, RejectionReason::Overloaded);
        return;
    }
    if (!choice) {
        const bool isRetry = !call.query.excluded.empty();
        this->refuse(call, isRetry ? RejectionReason::Overloaded : RejectionReason::NoInstance);
        return;
    }
    this->enqueue(call);
}

void Gateway::Impl::sendTo(Call& call, const PlacementChoice& choice)
{
    const Milliseconds left = this->timeLeft(call);
    if (left <= Milliseconds(0)) {
        this->refuse(call, RejectionReason::TimedOut);
        return;
    }
    call.send = SendId(++this->lastSend);
    if (!call.firstSent)
        call.firstSent = this->timers.now();
    call.endpoint = choice.endpoint;
    call.head.reset();
    call.body.clear();
    call.splitter = {};
    ++call.sends;
    ++call.runs;
    this->callOfSend.emplace(call.send, call.id);
    ++this->counts.sends;
    this->repeatsSaved = std::min(this->limits.repeatBurst, this->repeatsSaved + this->limits.repeatRatio);

    EndpointSend what;
    what.endpoint = choice.endpoint;
    what.address = choice.address;
    what.timeLeft = left;
    if (this->limits.tellsPriorities)
        what.priority = std::min(call.route->rank, maxPriority);
    if (!call.call.previousTurn.value.empty())
        what.body = call.transcript + call.call.body;
    if (call.events > 0)
        what.resumeAfter = call.lastEvent;
    const ServiceConfig* service = call.table->service(call.service);
    const std::uint32_t shared = service ? service->maxConnections : 1;
    what.maxConnections = std::max(1U, shared / this->limits.gateways);

    SendDecision decision;
    decision.call = call.id;
    decision.request = call.call.request;
    decision.program = call.call.program;
    decision.route = call.route->name;
    decision.configVersion = call.table->config().version;
    decision.choice = choice;
    decision.attempt = call.sends;
    decision.timeLeft = left;
    decision.waited = std::chrono::duration_cast<Milliseconds>(this->timers.now() - call.arrived);
    this->io.logSend(decision);

    this->endpoints.onSent(choice.endpoint, call.query);
    this->watchStall(call);
    this->io.send(call.id, call.send, std::move(what));
}

// Queue --------------------------------------------------------------------------------------------------------------

void Gateway::Impl::enqueue(Call& call)
{
    if (call.isQueued)
        return;
    if (this->queue.size() >= this->limits.maxQueued) {
        this->refuse(call, RejectionReason::Overloaded);
        return;
    }
    call.isQueued = true;
    call.queuedAt = this->timers.now();
    this->queue.emplace(std::make_tuple(call.route->rank, call.queuedAt, call.id), call.id);
    this->scheduleQueue();
}

void Gateway::Impl::dequeue(Call& call)
{
    if (!call.isQueued)
        return;
    call.isQueued = false;
    this->queue.erase(std::make_tuple(call.route->rank, call.queuedAt, call.id));
}

void Gateway::Impl::scheduleQueue()
{
    if (this->queueTimer.value != 0 || this->queue.empty())
        return;
    this->queueTimer = this->timers.subscribeAfter(this->limits.queueInterval, [this] {
        this->queueTimer = {};
        this->pumpQueue();
        this->scheduleQueue();
    });
}

void Gateway::Impl::pumpQueue()
{
    std::vector<CallId> waiting;
    waiting.reserve(this->queue.size());
    for (const auto& [order, id] : this->queue)
        waiting.push_back(id);
    for (const CallId id : waiting) {
        Call* call = this->find(id);
        if (!call || !call->isQueued)
            continue;
        this->place(*call);
        call = this->find(id);
        if (!call || !call->isQueued)
            continue;
        const auto longest = call->route->objective * this->limits.queuePart;
        if (this->timers.now() - call->queuedAt >= longest)
            this->refuse(*call, RejectionReason::Overloaded);
    }
}

// Outcome of a sending -----------------------------------------------------------------------------------------------

/// Forgets the sending under way; what still comes of it is ignored.
void Gateway::Impl::dropSend(Call& call, bool cancel)
{
    this->timers.cancel(call.stallTimer);
    if (call.send.value == 0)
        return;
    if (cancel)
        this->io.cancelSend(call.send);
    this->callOfSend.erase(call.send);
    this->endpoints.onEnded(call.endpoint);
    call.send = {};
}

/// The instance did not run the call.
void Gateway::Impl::onSendRefused(Call& call)
{
    --call.runs;
    call.query.excluded.insert(call.endpoint);
    this->dropSend(call, false);
    const bool mayTryAgain = call.sends < call.route->maxRuns + this->limits.maxRefusedSends;
    if (mayTryAgain && this->timeLeft(call) > Milliseconds(0))
        this->place(call);
    else
        this->giveUp(call, RejectionReason::Overloaded);
}

bool Gateway::Impl::takeRepeat()
{
    if (this->repeatsSaved < 1)
        return false;
    this->repeatsSaved -= 1;
    ++this->counts.repeats;
    return true;
}

bool Gateway::Impl::mayRunAgain(const Call& call) const
{
    const bool isRepeatable
        = call.route->safety == CallSafety::Safe || (call.route->safety == CallSafety::Stream && call.route->canResume);
    return isRepeatable && call.runs<call.route->maxRuns&& this->timeLeft(call)> Milliseconds(0);
}

void Gateway::Impl::suspectCrash(Call& call)
{
    const EndpointInstance* instance = this->endpoints.find(call.endpoint);
    const std::int64_t startedAt = instance ? instance->startedAt : 0;
    this->crashes.onLost(fingerprintOf(call.call), call.endpoint, startedAt, this->timers.now());
}

/// The call may have run, and its answer is missing or incomplete.
void Gateway::Impl::onSendBroken(Call& call)
{
    this->endpoints.onFailure(call.endpoint, this->timers.now());
    if (call.events == 0)
        this->suspectCrash(call);
    call.query.excluded.insert(call.endpoint);
    this->dropSend(call, true);
    if (this->mayRunAgain(call) && this->takeRepeat())
        this->place(call);
    else
        this->giveUp(call, RejectionReason::AnswerLost);
}

// Stalls -------------------------------------------------------------------------------------------------------------

void Gateway::Impl::watchStall(Call& call)
{
    this->timers.cancel(call.stallTimer);
    call.stallTimer = {};
    if (!this->mayRunAgain(call))
        return;
    const bool isStream = call.route->safety == CallSafety::Stream;
    const Duration patience = isStream
        ? Duration(this->limits.streamStall)
        : std::chrono::duration_cast<Duration>(call.route->objective * this->limits.stallObjectives);
    call.stallTimer = this->timers.subscribeAfter(patience, [this, id = call.id] { this->onStall(id); });
}

void Gateway::Impl::onStall(CallId id)
{
    Call* call = this->find(id);
    if (call && call->send.value != 0)
        this->onSendBroken(*call);
}

}
