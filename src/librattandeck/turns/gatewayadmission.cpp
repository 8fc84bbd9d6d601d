#include "gatewayorganisations.h"

#include <xxhash.h>

#include <algorithm>

/// Which calls get room first; see `admissionorder.h`.
namespace Rattandeck {

/// Queued calls that are placed again when room becomes free. Each costs the choice of an instance.
constexpr std::size_t callsPerRoom = 4;

/// Without organisations the order is that of earlier versions.
static bool isOrderedByOrganisation(const GatewayCallState& call) { return call.table->organisations() != nullptr; }

AdmissionOrder admissionOrderOf(const GatewayCallState& call)
{
    const AdmissionCall admitted { call.query.version.has_value(), rankOf(call), call.isFirstTurn };
    return isOrderedByOrganisation(call) ? admissionOrder(admitted, call.standing) : admissionOrder(admitted);
}

void Gateway::Impl::noteOffered(Call& call)
{
    if (call.isOffered || !isOrderedByOrganisation(call))
        return;
    call.isOffered = true;
    const TimePoint now = this->timers.now();
    this->organisationRecord.onOffered(call.organisation, call.isFirstTurn, now);
    call.standing = this->organisationRecord.standing(call.organisation, call.isFirstTurn, now);
    this->counts.farAboveShare += call.standing.isFarAboveShare ? 1 : 0;
    this->counts.owed += call.standing.isOwed ? 1 : 0;
}

void Gateway::Impl::noteServed(const Call& call)
{
    if (call.isOffered && call.sends == 1)
        this->organisationRecord.onServed(call.organisation, call.isFirstTurn, this->timers.now());
}

/// Whether the call would take room that a queued call waits for which goes first.
bool Gateway::Impl::mustWaitBehind(const Call& call) const
{
    const bool isNew = !call.isQueued && call.sends == 0 && !call.query.version;
    if (!isNew || this->queue.empty() || !isOrderedByOrganisation(call))
        return false;
    const AdmissionOrder order = admissionOrderOf(call);
    for (const auto& [key, id] : this->queue) {
        if (std::get<AdmissionOrder>(key) > order)
            return false;
        const Call& waiting = *this->calls.at(id);
        if (waiting.service == call.service && waiting.awaited.value.empty())
            return true;
    }
    return false;
}

QueueView Gateway::Impl::queueViewOf(const Call& call)
{
    QueueView view;
    const QueueKey own = queueKey(call);
    for (const auto& [key, id] : this->queue) {
        if (!(key < own))
            break;
        const Call& waiting = *this->calls.at(id);
        const bool isSameKind = waiting.service == call.service && waiting.isFirstTurn == call.isFirstTurn;
        if (isSameKind && waiting.awaited.value.empty())
            ++view.ahead;
    }
    view.servedPerSecond = this->queueRates[{ call.service, call.isFirstTurn }].servedPerSecond(this->timers.now());
    return view;
}

/// Gives room that has become free to the first calls of the queue, before calls that arrive later find it taken or
/// wait behind them in vain.
void Gateway::Impl::onRoom()
{
    const bool isOrdered = this->table && this->table->organisations();
    if (!isOrdered || this->queue.empty() || this->roomTimer.value != 0)
        return;
    // After the change that freed the room is complete.
    this->roomTimer = this->timers.subscribeAfter(Milliseconds(0), [this] {
        this->roomTimer = {};
        this->processQueue(callsPerRoom);
    });
}

void Gateway::Impl::order(Call& call)
{
    call.queuedAt = this->timers.now();
    call.order = admissionOrderOf(call);
}

bool Gateway::Impl::makeRoomInQueue(const Call& call)
{
    if (this->queue.size() < this->limits.maxQueued)
        return true;
    if (this->queue.empty() || !isOrderedByOrganisation(call) || !(queueKey(call) < this->queue.rbegin()->first))
        return false;
    this->failCall(*this->calls.at(this->queue.rbegin()->second), RejectionReason::Overloaded);
    return true;
}

/// Precondition: the call is not queued, and its position is set.
bool Gateway::Impl::canBeServedInTime(const Call& call)
{
    const bool mayBeRefused = isOrderedByOrganisation(call) && call.sends == 0 && call.awaited.value.empty();
    if (!mayBeRefused)
        return true;
    const auto wait = expectedQueueWait(this->queueViewOf(call));
    return !wait || !isWaitTooLong(*wait, std::chrono::duration_cast<Milliseconds>(this->maxQueueWait(call)));
}

void Gateway::Impl::noteQueued(Call& call)
{
    call.isInQueueRate = isOrderedByOrganisation(call) && call.awaited.value.empty();
    if (call.isInQueueRate)
        this->queueRates[{ call.service, call.isFirstTurn }].onEnqueued(this->timers.now());
}

void Gateway::Impl::noteLeftQueue(Call& call, bool isSent)
{
    if (call.isInQueueRate)
        this->queueRates[{ call.service, call.isFirstTurn }].onLeft(isSent, this->timers.now());
    call.isInQueueRate = false;
}

Milliseconds Gateway::Impl::queueRetryDelay(const Call& call, Milliseconds least)
{
    if (!isOrderedByOrganisation(call))
        return least;
    RetryInput input;
    input.least = least;
    input.expectedWait = expectedQueueWait(this->queueViewOf(call)).value_or(least);
    input.timeLeft = this->timeLeft(call);
    const std::string& request = call.call.request.value;
    input.position = XXH3_64bits(request.data(), request.size()) % retryPositions;
    return spreadRetry(input);
}

}
