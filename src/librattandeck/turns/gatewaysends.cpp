#include "gatewayorganisations.h"

#include <algorithm>

namespace Rattandeck {

/// The least urgent priority that engines support.
constexpr std::uint32_t maxPriority = 9;

// Placement ----------------------------------------------------------------------------------------------------------

/// Precondition: `query.maxLoad` is set.
std::optional<PlacementChoice> Gateway::Impl::choose(const Call& call, const PlacementQuery& query) const
{
    if (this->permits.limitedInstances() == 0)
        return this->endpoints.choose(query, this->timers.now());
    return this->endpoints.choose(
        query, this->timers.now(), [this, &call](const EndpointId& endpoint) { return this->roomAt(call, endpoint); });
}

double Gateway::Impl::maxLoadFor(const Call& call) const
{
    if (call.query.version)
        return this->limits.resumedMaxLoad;
    return call.isFirstTurn ? this->limits.firstTurnMaxLoad : this->limits.maxLoad;
}

void Gateway::Impl::place(Call& call)
{
    this->countQueueWait(call);
    this->noteOffered(call);
    if (this->mustWaitBehind(call)) {
        this->stopAwaiting(call);
        this->enqueue(call);
        return;
    }
    call.query.maxLoad = this->maxLoadFor(call);
    const auto choice = this->choose(call, call.query);
    call.bestChoice = choice;
    if (!choice) {
        this->placeWithoutChoice(call);
        return;
    }
    if (!choice->hasRoom) {
        this->stopAwaiting(call);
        this->enqueue(call);
        return;
    }
    if (choice->wait <= Milliseconds(0)) {
        this->dequeue(call, true);
        this->stopAwaiting(call);
        this->sendTo(call, *choice);
        return;
    }
    this->awaitPermit(call, choice->endpoint);
    this->enqueue(call);
}

/// No instance takes the call, now or after a wait.
void Gateway::Impl::placeWithoutChoice(Call& call)
{
    call.bestChoice = this->endpoints.choose(call.query, this->timers.now());
    if (!call.bestChoice) {
        const RejectionReason reason
            = call.query.version ? RejectionReason::StreamVersionGone : RejectionReason::NoInstance;
        this->failCall(call, call.query.excluded.empty() ? reason : RejectionReason::Overloaded);
        return;
    }
    const std::size_t urgency = urgencyOf(rankOf(call), call.isFirstTurn);
    const auto wait = this->permits.expectedWait(call.bestChoice->endpoint, urgency, false);
    call.bestChoice->wait = wait.value_or(call.route->objective);
    this->failCall(call, RejectionReason::RateLimited);
}

// Sends --------------------------------------------------------------------------------------------------------------

void Gateway::Impl::sendTo(Call& call, const PlacementChoice& choice)
{
    if (this->timeLeft(call) <= Milliseconds(0)) {
        this->failCall(call, RejectionReason::TimedOut);
        return;
    }
    if (const auto objection = this->keyObjection(call)) {
        this->failCall(call, *objection);
        return;
    }
    if (isMetered(call) && !this->renewToken(call))
        return;
    call.send = SendId(++this->lastSend);
    call.sentAt = this->timers.now();
    if (!call.firstSent)
        call.firstSent = call.sentAt;
    call.endpoint = choice.endpoint;
    const EndpointInstance* instance = this->endpoints.find(choice.endpoint);
    call.instanceStartedAt = instance ? instance->startedAt : 0;
    call.crashRound
        = this->crashes.isEmpty() ? 0 : this->crashes.nextRound(fingerprintOf(call.call, call.organisation));
    call.head.reset();
    call.body.clear();
    call.splitter = {};
    call.eventsOfSend = 0;
    call.workEvents = 0;
    this->timers.cancel(call.processTimer);
    call.processTimer = {};
    call.hasAwaitedProcess = false;
    call.isBrokenWhileHeld = false;
    ++call.sends;
    ++call.runs;
    this->noteServed(call);
    call.isWritten = false;
    this->callOfSend.emplace(call.send, call.id);
    ++this->counts.sends;
    this->retryBudget = std::min(this->limits.retryBurst, this->retryBudget + this->limits.retryRatio);

    EndpointSend details = this->detailsOf(call, choice);
    if (this->permits.limitOf(choice.endpoint))
        details.writeBy = this->permits.take(choice.endpoint);
    if (call.quotaToken)
        details.writeBy = std::min(details.writeBy.value_or(TimePoint::max()), call.quotaToken->useBy);
    this->limitWriting(call, details);
    if (!choice.passedOver.value.empty())
        ++this->counts.passedOver;
    this->io.logSend(this->decisionOf(call, choice));
    this->endpoints.onSent(choice.endpoint, call.query);
    this->restartStallTimer(call);
    this->io.send(call.id, call.send, std::move(details));
}

EndpointSend Gateway::Impl::detailsOf(const Call& call, const PlacementChoice& choice) const
{
    EndpointSend details;
    details.endpoint = choice.endpoint;
    details.address = choice.address;
    details.timeLeft = this->timeLeft(call);
    if (this->limits.forwardsPriorities)
        details.priority = std::min(rankOf(call), maxPriority);
    details.body = call.call.previousTurn.value.empty() ? call.call.body : call.transcript + call.call.body;
    if (call.events > 0)
        details.resumeAfter = call.lastEvent;
    details.startedAt = call.instanceStartedAt;
    // A call that arrived before the first configuration with organisations may carry a key, too.
    details.hasOrganisations = call.table->organisations() || this->table->organisations();
    if (call.organisation)
        details.organisation = call.organisation->id;
    if (call.query.version)
        details.processCheck = ProcessCheck::First;
    else if (call.query.mayBeResumed)
        details.processCheck = ProcessCheck::Meanwhile;
    const ServiceConfig* service = call.table->service(call.service);
    const std::uint32_t shared = service ? service->maxConnections : 1;
    const std::uint32_t gateways = this->permits.gatewayCount().value_or(this->limits.gatewayCount);
    details.maxConnections = std::max(1U, shared / std::max(1U, gateways));
    return details;
}

SendDecision Gateway::Impl::decisionOf(const Call& call, const PlacementChoice& choice) const
{
    SendDecision decision;
    decision.call = call.id;
    decision.request = call.call.request;
    decision.program = call.call.program;
    decision.route = call.route->name;
    decision.configVersion = call.table->config().version;
    decision.choice = choice;
    if (const EndpointInstance* instance = this->endpoints.find(choice.endpoint))
        decision.version = instance->version;
    decision.resumedRequest = call.call.resumedRequest;
    decision.resumeAfter = call.lastEvent;
    decision.attempt = call.sends;
    decision.timeLeft = this->timeLeft(call);
    decision.waited = std::chrono::duration_cast<Milliseconds>(this->timers.now() - call.arrived);
    decision.limit = this->permits.limitOf(choice.endpoint);
    decision.permitsLeft = this->permits.heldPermits(choice.endpoint);
    return decision;
}

// Queue --------------------------------------------------------------------------------------------------------------

void Gateway::Impl::enqueue(Call& call)
{
    if (call.isQueued)
        return;
    this->order(call);
    if (!this->makeRoomInQueue(call)) {
        this->failCall(call, RejectionReason::Overloaded);
        return;
    }
    if (!this->canBeServedInTime(call)) {
        ++this->counts.refusedForQueue;
        this->failCall(call, RejectionReason::Overloaded);
        return;
    }
    call.isQueued = true;
    this->noteQueued(call);
    call.queueCountedUntil = call.queuedAt;
    this->queue.emplace(queueKey(call), call.id);
    this->scheduleQueue();
}

void Gateway::Impl::dequeue(Call& call, bool isSent)
{
    if (!call.isQueued)
        return;
    this->countQueueWait(call);
    call.isQueued = false;
    this->noteLeftQueue(call, isSent);
    this->queue.erase(queueKey(call));
}

void Gateway::Impl::countQueueWait(Call& call) const
{
    if (!call.isQueued)
        return;
    const TimePoint now = this->timers.now();
    Duration& wait = call.awaited.value.empty() ? call.waits.room : call.waits.permit;
    wait += now - call.queueCountedUntil;
    call.queueCountedUntil = now;
}

Gateway::Impl::QueueKey Gateway::Impl::queueKey(const Call& call) { return { call.order, call.queuedAt, call.id }; }

Duration Gateway::Impl::maxQueueWait(const Call& call) const
{
    const double ratio = call.awaited.value.empty() ? this->limits.maxQueueWaitRatio : this->limits.maxPermitWaitRatio;
    return std::chrono::duration_cast<Duration>(call.route->objective * ratio);
}

void Gateway::Impl::scheduleQueue()
{
    if (this->queueTimer.value != 0 || this->queue.empty())
        return;
    this->queueTimer = this->timers.subscribeAfter(this->limits.queueInterval, [this] {
        this->queueTimer = {};
        this->processQueue();
        this->scheduleQueue();
    });
}

void Gateway::Impl::processQueue(std::size_t most)
{
    std::vector<CallId> waiting;
    waiting.reserve(std::min(most, this->queue.size()));
    for (const auto& [order, id] : this->queue) {
        if (waiting.size() >= most)
            break;
        waiting.push_back(id);
    }
    for (const CallId id : waiting) {
        Call* call = this->find(id);
        if (!call || !call->isQueued)
            continue;
        this->place(*call);
        call = this->find(id);
        if (!call || !call->isQueued)
            continue;
        if (this->timers.now() - call->queuedAt < this->maxQueueWait(*call))
            continue;
        const bool awaitsPermit = !call->awaited.value.empty();
        this->failCall(*call, awaitsPermit ? RejectionReason::RateLimited : RejectionReason::Overloaded);
    }
}

// Outcome of a send --------------------------------------------------------------------------------------------------

/// Detaches the current send from the call. Later reports of the send are ignored.
void Gateway::Impl::dropSend(Call& call, bool cancel)
{
    this->timers.cancel(call.stallTimer);
    if (call.send.value == 0)
        return;
    if (cancel)
        this->io.cancelSend(call.send);
    if (!call.isWritten) {
        --call.runs;
        call.waits.connection += this->timers.now() - call.sentAt;
    }
    this->callOfSend.erase(call.send);
    this->endpoints.onEnded(call.endpoint);
    call.send = {};
    this->onRoom();
}

void Gateway::Impl::logFailure(const Call& call, SendFailureCause cause)
{
    SendFailure failure;
    failure.request = call.call.request;
    failure.program = call.call.program;
    failure.route = call.route->name;
    failure.endpoint = call.endpoint;
    failure.cause = cause;
    failure.attempt = call.sends;
    failure.events = call.events;
    failure.age = std::chrono::duration_cast<Milliseconds>(this->timers.now() - call.sentAt);
    failure.timeLeft = this->timeLeft(call);
    failure.retryBudget = this->retryBudget;
    this->io.logSendFailure(failure);
}

/// The instance did not run the call: places it again, if sends and time are left.
void Gateway::Impl::onSendRefused(Call& call, SendFailureCause cause)
{
    this->logFailure(call, cause);
    call.isWritten = false;
    call.query.excluded.insert(call.endpoint);
    this->dropSend(call, false);
    if (cause == SendFailureCause::Unreachable)
        ++call.unreachableSends;
    const std::uint32_t counted = call.sends - call.unreachableSends;
    const bool mayTryAgain = counted < call.route->maxRuns + this->limits.maxExtraSends;
    if (mayTryAgain && this->timeLeft(call) > Milliseconds(0))
        this->place(call);
    else
        this->failCall(call, RejectionReason::Overloaded);
}

bool Gateway::Impl::tryWithdrawRetry()
{
    if (this->retryBudget < 1)
        return false;
    this->retryBudget -= 1;
    ++this->counts.retries;
    return true;
}

bool Gateway::Impl::mayRunAgain(const Call& call) const
{
    const bool isRetryable
        = call.route->safety == CallSafety::Safe || (call.route->safety == CallSafety::Stream && call.route->canResume);
    // Of a stream that has begun it must be known at which version. Another kind of answer can't be continued.
    const bool canGoOn = call.events > 0 ? call.query.version.has_value() : !call.hasAnswerBegun;
    return isRetryable && canGoOn && call.runs<call.route->maxRuns&& this->timeLeft(call)> Milliseconds(0);
}

void Gateway::Impl::recordLostAnswer(const Call& call)
{
    const CrashWatch::Send send { fingerprintOf(call.call, call.organisation), call.endpoint, call.instanceStartedAt,
        call.crashRound };
    this->crashes.onAnswerLost(send, this->timers.now());
}

void Gateway::Impl::recordAnswer(const Call& call)
{
    if (this->crashes.isEmpty())
        return;
    if (const auto report
        = this->crashes.onAnswered(fingerprintOf(call.call, call.organisation), call.crashRound, this->timers.now()))
        this->io.reportCrashes({ *report });
}

/// The call may have run, and its answer is missing or incomplete: retries it if route and retry budget allow it.
void Gateway::Impl::onSendInterrupted(Call& call, SendFailureCause cause)
{
    this->logFailure(call, cause);
    this->endpoints.onFailure(call.endpoint, this->timers.now());
    this->endpoints.onOutcome(call.endpoint, true, this->timers.now());
    if (call.events == 0)
        this->recordLostAnswer(call);
    call.query.excluded.insert(call.endpoint);
    this->dropSend(call, true);
    if (this->mayRunAgain(call) && this->tryWithdrawRetry())
        this->place(call);
    else
        this->failCall(call, RejectionReason::AnswerLost);
}

// Stalls -------------------------------------------------------------------------------------------------------------

void Gateway::Impl::restartStallTimer(Call& call)
{
    this->timers.cancel(call.stallTimer);
    call.stallTimer = {};
    if (!this->mayRunAgain(call))
        return;
    const Duration timeout = this->stallTimeoutOf(call);
    call.stallTimer = this->timers.subscribeAfter(timeout, [this, id = call.id] { this->onStall(id); });
}

void Gateway::Impl::onStall(CallId id)
{
    Call* call = this->find(id);
    if (!call || call->send.value == 0)
        return;
    if (this->io.isCallerBehind(id)) {
        this->restartStallTimer(*call);
        return;
    }
    if (this->canMove(*call))
        this->onSendInterrupted(*call, SendFailureCause::Stalled);
    else
        this->keepStalled(*call);
}

/// The call stays at its slow instance, which later calls avoid for a while.
void Gateway::Impl::keepStalled(Call& call)
{
    this->logFailure(call, SendFailureCause::StalledAndKept);
    this->endpoints.onFailure(call.endpoint, this->timers.now());
    this->restartStallTimer(call);
}

/// Whether a call whose instance is slow can be sent to another one now. If not, the instance may still answer.
bool Gateway::Impl::canMove(const Call& call) const
{
    if (!this->mayRunAgain(call) || this->retryBudget < 1)
        return false;
    PlacementQuery query = call.query;
    query.excluded.insert(call.endpoint);
    // What still may come where it is moves only to a place with the usual room.
    query.maxLoad = call.isFirstTurn ? this->limits.firstTurnMaxLoad : this->limits.maxLoad;
    const auto choice = this->choose(call, query);
    return choice && choice->hasRoom && choice->wait <= Milliseconds(0);
}

}
