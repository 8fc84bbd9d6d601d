#include "gatewayorganisations.h"
#include "resumedturns.h"

#include <algorithm>

namespace Rattandeck {

/// Pause before a turn that too few journals have acknowledged is stored again. It doubles with each attempt.
constexpr Milliseconds firstStoreRetryDelay { 50 };
constexpr std::uint32_t maxDelayDoublings = 5;

static bool isSuccess(const EndpointAnswer& answer) { return answer.status >= 200 && answer.status < 300; }

// Public -------------------------------------------------------------------------------------------------------------

void Gateway::onSendWritten(SendId id)
{
    Impl::Call* call = this->impl->findBySend(id);
    if (!call)
        return;
    call->isWritten = true;
    call->writtenAt = this->impl->timers.now();
    call->waits.connection += this->impl->timers.now() - call->sentAt;
}

void Gateway::onAnswerHead(SendId id, const EndpointAnswer& answer)
{
    auto& self = *this->impl;
    Impl::Call* call = self.findBySend(id);
    if (!call)
        return;
    if (answer.load)
        self.endpoints.onLoad(call->endpoint, *answer.load, self.timers.now());
    if (!answer.invalidLoad.empty())
        self.io.logInvalidLoad(call->endpoint, answer.invalidLoad);
    self.noteLimit(*call, answer);
    self.noteLeaving(*call, answer);
    if (answer.isNotRun) {
        self.endpoints.onFull(call->endpoint, self.timers.now());
        self.onSendRefused(*call, SendFailureCause::Refused);
        return;
    }
    if (isSuccess(answer) && !answer.isSigned) {
        self.onSendInterrupted(*call, SendFailureCause::Interrupted);
        return;
    }
    call->head = answer;
}

void Gateway::onAnswerData(SendId id, std::string_view bytes)
{
    Impl::Call* call = this->impl->findBySend(id);
    if (!call || !call->head || Impl::isUnfounded(*call))
        return;
    this->impl->onAnswerData(*call, bytes);
    if (Impl::Call* open = this->impl->findBySend(id))
        this->impl->boundAnswerMemory(*open);
}

void Gateway::Impl::onAnswerData(Call& call, std::string_view bytes)
{
    if (call.head->isEventStream && isSuccess(*call.head)) {
        call.splitter.add(bytes);
        this->forwardEvents(call);
        if (call.splitter.pendingBytes() > this->limits.maxEvent || call.output.size() > this->limits.maxRetainedOutput)
            this->onSendInterrupted(call, SendFailureCause::Interrupted);
        return;
    }
    call.body += bytes;
    if (call.route->safety == CallSafety::Stream && call.body.size() > this->limits.maxEvent) {
        this->onSendInterrupted(call, SendFailureCause::Interrupted);
        return;
    }
    if (call.body.size() <= this->limits.maxBufferedAnswer || call.route->safety == CallSafety::Stream)
        return;
    // The answer exceeds the buffer limit and is streamed, after which it can't be replaced by that of a retry.
    if (!call.hasAnswerBegun) {
        call.hasAnswerBegun = true;
        this->io.begin(call.id, call.send);
    }
    this->io.write(call.id, call.body);
    call.body.clear();
}

bool Gateway::onAnswerEnd(SendId id, SendOutcome outcome)
{
    Impl::Call* call = this->impl->findBySend(id);
    if (!call)
        return true;
    if (outcome == SendOutcome::Broken && call->processTimer.value != 0) {
        call->isBrokenWhileHeld = true;
        return false;
    }
    this->impl->onAnswerEnd(*call, outcome);
    return true;
}

void Gateway::Impl::onAnswerEnd(Call& call, SendOutcome outcome)
{
    if (outcome == SendOutcome::Unreachable) {
        this->onInstanceFailed(call.endpoint);
        this->endpoints.onUnreachable(call.endpoint, this->timers.now());
    }
    if (outcome == SendOutcome::NotSent || outcome == SendOutcome::Unreachable) {
        this->endpoints.onFailure(call.endpoint, this->timers.now());
        const bool isUnreachable = outcome == SendOutcome::Unreachable;
        this->onSendRefused(call, isUnreachable ? SendFailureCause::Unreachable : SendFailureCause::NotSent);
        return;
    }
    if (outcome == SendOutcome::Broken || !call.head) {
        this->onSendInterrupted(call, SendFailureCause::Interrupted);
        return;
    }
    this->recordAnswer(call);
    this->noteAnswerTime(call);
    if (call.head->isEventStream && isSuccess(*call.head)) {
        this->release(call);
        this->onStreamEnd(call);
    } else {
        this->onCompleteAnswer(call);
    }
}

// Complete answers ---------------------------------------------------------------------------------------------------

bool Gateway::Impl::isUnfounded(const Call& call)
{
    const bool isTurn = call.route->safety == CallSafety::Stream && !call.call.program.value.empty();
    switch (call.head->meaning) {
    case StatusMeaning::None:
        return false;
    case StatusMeaning::NotRun:
        return true;
    case StatusMeaning::BudgetSpent:
        return isTurn;
    case StatusMeaning::UnknownTurn:
        return isTurn && !call.call.previousTurn.value.empty();
    }
    return false;
}

bool Gateway::Impl::isFailedAnswer(const Call& call)
{
    constexpr int firstServerError = 500;
    return call.head->status >= firstServerError || isUnfounded(call);
}

void Gateway::Impl::onCompleteAnswer(Call& call)
{
    const bool isFailure = isFailedAnswer(call);
    if (isFailure && !call.hasAnswerBegun && this->canMove(call) && this->tryWithdrawRetry()) {
        call.query.excluded.insert(call.endpoint);
        this->dropSend(call, false);
        this->place(call);
        return;
    }
    if (call.events > 0) {
        // A stream that has delivered events can't be continued with an answer that is not a stream.
        this->onSendInterrupted(call, SendFailureCause::Interrupted);
        return;
    }
    if (isUnfounded(call)) {
        this->dropSend(call, false);
        this->refuse(call, RejectionReason::AnswerUnfounded);
        return;
    }
    ++this->counts.answered;
    if (call.hasAnswerBegun) {
        if (!call.body.empty())
            this->io.write(call.id, call.body);
        this->io.end(call.id);
    } else {
        this->io.answer(call.id, call.send, std::move(call.body));
    }
    this->dropSend(call, false);
    this->finish(call, "answered", {});
}

// Streams ------------------------------------------------------------------------------------------------------------

/// The answer counts for the process that the call was sent to, unless another instance has answered.
void Gateway::Impl::noteLeaving(const Call& call, const EndpointAnswer& answer)
{
    if (!answer.invalidLeaving.empty())
        this->io.logInvalidLeaving(call.endpoint, answer.invalidLeaving);
    if (!answer.isLeaving || answer.answeredBy.value_or(call.endpoint) != call.endpoint)
        return;
    if (this->endpoints.onLeaving(call.endpoint, call.instanceStartedAt, this->timers.now()))
        this->io.reportLeaving(call.endpoint, call.instanceStartedAt);
}

/// Whether the process that the call was sent to has not told yet which one it is, though it can.
bool Gateway::Impl::isProcessUntold(const Call& call) const
{
    const EndpointInstance* instance = this->endpoints.find(call.endpoint);
    return instance && instance->startedAt != 0 && !this->io.processAt(instance->address);
}

/// Whether the first event of a stream that may be resumed has to wait until the process has told which one it is.
bool Gateway::Impl::mustHold(Call& call)
{
    if (call.events > 0 || call.hasAwaitedProcess || !call.query.mayBeResumed || !this->isProcessUntold(call))
        return false;
    if (call.processTimer.value == 0 && EventSplitter(call.splitter).next())
        call.processTimer = this->timers.subscribeAfter(this->limits.maxProcessWait, [this, id = call.id] {
            if (Call* held = this->find(id))
                this->release(*held);
        });
    return true;
}

/// Passes on the events that were held. If the answer has broken off meanwhile and its process is not known, they are
/// dropped instead, so that the stream can begin anew.
void Gateway::Impl::release(Call& call)
{
    this->timers.cancel(call.processTimer);
    call.processTimer = {};
    call.hasAwaitedProcess = true;
    if (call.isBrokenWhileHeld && this->isProcessUntold(call))
        call.splitter = {};
    this->forwardEvents(call);
    if (call.isBrokenWhileHeld)
        this->onSendInterrupted(call, SendFailureCause::Interrupted);
}

/// The stream has begun: notes what it has to go on at, and tells it to journals, before the first event is passed on
/// if it is known by then which process serves. The entry in the store may be that of the process before.
void Gateway::Impl::noteOrigin(Call& call)
{
    const bool canResume = call.route->safety == CallSafety::Stream && call.route->canResume;
    if (!canResume || call.isResumption || call.query.version || call.send.value == 0 || this->isProcessUntold(call))
        return;
    call.query.version = this->endpoints.versionOf(call.endpoint, call.instanceStartedAt, this->timers.now());
    if (!call.query.version)
        return;
    StreamBegun begun;
    begun.request = streamOf(call);
    begun.origin = { call.service, *call.query.version };
    begun.retention = this->resumePeriod(call);
    this->origins.record(begun);
    this->recordOutput(call);
}

Milliseconds Gateway::Impl::resumePeriod(const Call& call) const
{
    const Milliseconds elapsed = std::chrono::duration_cast<Milliseconds>(this->timers.now() - call.arrived);
    return call.call.timeLeft.value_or(this->limits.defaultResumePeriod) - elapsed + this->limits.resumeMargin;
}

/// Tells journals what of a turn is about to be passed on, so that another request can finish the turn. While it is not
/// known at which version the stream began, it can't be resumed.
void Gateway::Impl::recordOutput(const Call& call)
{
    if (!retainsTurn(call) || !call.route->canResume || !call.query.version)
        return;
    this->origins.recordOutput({ streamOf(call), recordedTurn(call, call.call.request), call.output, call.outputEvents,
        this->resumePeriod(call) });
}

void Gateway::Impl::forwardEvents(Call& call)
{
    if (this->mustHold(call))
        return;
    bool hasProgress = false;
    while (const auto event = call.splitter.next()) {
        this->forwardEvent(call, *event);
        // Comments and blank lines don't show that the call goes on.
        hasProgress = hasProgress || !event->id.empty() || !event->data.empty();
    }
    if (hasProgress)
        this->restartStallTimer(call);
}

void Gateway::Impl::forwardEvent(Call& call, const StreamEvent& event)
{
    if (call.events == 0)
        this->noteOrigin(call);
    if (!call.hasAnswerBegun) {
        call.hasAnswerBegun = true;
        this->io.begin(call.id, call.send);
    }
    if (!call.firstEvent)
        call.firstEvent = this->timers.now();
    ++call.events;
    ++call.eventsOfSend;
    this->noteEventTime(call);
    ++this->counts.events;
    if (!event.id.empty())
        call.lastEvent = event.id;
    if (call.route->retainsTurns) {
        addToOutput(call, event);
        this->recordOutput(call);
    }
    this->io.write(call.id, event.bytes);
}

/// Whether a stream that has ended was not interrupted. One that ends within an event was, and so was one without any.
/// If the last instance has added none, the caller may have had all of them before, or the instance's process ended
/// early; then the answer must tell that it is whole.
static bool isWholeStream(const GatewayCallState& call)
{
    if (call.splitter.pendingBytes() > 0)
        return false;
    const bool goesOn = call.events > 0 || !call.call.resumeAfter.empty();
    return call.eventsOfSend > 0 || (goesOn && call.head->statesItsEnd);
}

void Gateway::Impl::onStreamEnd(Call& call)
{
    if (!isWholeStream(call)) {
        this->onSendInterrupted(call, SendFailureCause::Interrupted);
        return;
    }
    if (!call.hasAnswerBegun)
        this->io.begin(call.id, call.send);
    this->dropSend(call, false);
    this->settle(call);
    if (retainsTurn(call)) {
        this->store(call);
        return;
    }
    this->complete(call);
}

void Gateway::Impl::complete(Call& call)
{
    ++this->counts.answered;
    this->io.end(call.id);
    this->finish(call, "answered", {});
}

/// Stores the turn in the journals. The answer ends only after that, since its end tells the caller that the turn can
/// be continued. Until the call's deadline the turn is stored again when too few journals have acknowledged it.
void Gateway::Impl::store(Call& call)
{
    call.storeStarted = this->timers.now();
    RetainedTurn& turn = call.retained;
    turn.id = recordedTurn(call, call.call.request);
    turn.previous = recordedTurn(call, call.call.previousTurn);
    turn.input = std::move(call.call.body);
    turn.output = std::move(call.output);
    turn.retention = this->turnRetention(call);
    this->sendToStore(call);
}

void Gateway::Impl::sendToStore(Call& call)
{
    this->journals.store(call.retained, call.transcript,
        [this, id = call.id](tl::expected<void, JournalError> outcome) { this->onStored(id, outcome); });
}

void Gateway::Impl::onStored(CallId id, const tl::expected<void, JournalError>& outcome)
{
    Call* call = this->find(id);
    if (!call)
        return;
    if (outcome) {
        call->storeEnded = this->timers.now();
        this->complete(*call);
        return;
    }
    const Milliseconds delay = firstStoreRetryDelay * (1U << std::min(call->storeRetries++, maxDelayDoublings));
    call->storeTimer = this->timers.subscribeAfter(delay, [this, id] {
        if (Call* open = this->find(id))
            this->sendToStore(*open);
    });
}

}
