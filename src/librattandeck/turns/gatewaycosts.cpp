#include "gatewayimpl.h"

#include "Rattandeck/stalls.h"

#include <algorithm>
#include <cmath>

/// What calls cost, and how fast instances work, learned from the answers that are relayed.
namespace Rattandeck {

/// A stream's events are observed over at least this time and number, since several may arrive at once.
constexpr Milliseconds minObservedTime { 150 };
constexpr std::uint64_t minObservedEvents = 4;
/// As above, for the rest of a stream that ends.
constexpr Milliseconds minObservedRest { 30 };
constexpr int firstRedirection = 300;

static double milliseconds(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

/// The unit of work whose time is learned: an event of the service's streams, or a call of the route.
static std::string workOf(const GatewayCallState& call)
{
    const bool isStream = call.route->safety == CallSafety::Stream;
    return isStream ? "event of " + call.service.value : "call of " + call.route->name;
}

EndpointCosts Gateway::Impl::costsOf(const GatewayLimits& limits)
{
    EndpointCosts costs;
    costs.seed = limits.placementSeed;
    costs.learnsEverywhere = limits.learnsEverywhere;
    return costs;
}

CallSize Gateway::Impl::sizeOf(const Call& call)
{
    CallSize size;
    size.route = call.route->name;
    if (call.organisation)
        size.organisation = call.organisation->id;
    size.hint = call.call.expectedOutputTokens;
    size.maxOutput = call.call.maxOutputTokens;
    return size;
}

std::int64_t Gateway::Impl::tokensPerEvent(const Call& call)
{
    const ServiceConfig* service = call.table->service(call.service);
    return service && service->engine ? std::max<std::int64_t>(service->engine->tokensPerEvent.value, 1) : 1;
}

double Gateway::Impl::usualWorkMs(const Call& call) const
{
    const auto unit = this->costs.unitTime(workOf(call));
    if (!unit)
        return 0;
    if (call.route->safety != CallSafety::Stream)
        return *unit;
    const auto tokens = this->costs.expectedOutput(sizeOf(call));
    return tokens ? *unit * std::ceil(*tokens / static_cast<double>(tokensPerEvent(call))) : 0;
}

double Gateway::Impl::expectedProgressMs(const Call& call) const
{
    if (!call.bestChoice)
        return 0;
    const auto unit = this->costs.unitTime(workOf(call));
    if (call.route->safety != CallSafety::Stream)
        return unit ? call.bestChoice->expectedMs : 0;
    const double eventMs = unit.value_or(0) * call.bestChoice->workTime;
    if (call.eventsOfSend > 0)
        return eventMs;
    // Until the first event, the call waits for a slot and its prompt is read.
    return call.bestChoice->expectedMs - call.query.workMs * call.bestChoice->workTime + eventMs;
}

Duration Gateway::Impl::stallTimeoutOf(const Call& call) const
{
    const bool isStream = call.route->safety == CallSafety::Stream;
    StallInputs inputs;
    inputs.usual = isStream
        ? Duration(this->limits.streamStallTimeout)
        : std::chrono::duration_cast<Duration>(call.route->objective * this->limits.stallTimeoutRatio);
    inputs.workTime = this->endpoints.workTime(call.endpoint, this->timers.now());
    if (this->endpoints.isLearned(call.service))
        inputs.expectedMs = this->expectedProgressMs(call);
    return stallTimeout(inputs);
}

void Gateway::Impl::noteWork(const Call& call, double milliseconds, bool includesQueue)
{
    if (milliseconds <= 0 || !call.bestChoice)
        return;
    const std::string work = workOf(call);
    const auto usual = this->costs.unitTime(work);
    if (!usual) {
        this->costs.onFirstUnitTime(work, milliseconds);
        return;
    }
    const ObservedWork observed { milliseconds, *usual, call.bestChoice->expectedLoad, includesQueue };
    this->costs.onUnitTime(work, this->endpoints.onWork(call.endpoint, observed, this->timers.now()));
}

void Gateway::Impl::noteEventTime(Call& call)
{
    const TimePoint now = this->timers.now();
    if (call.eventsOfSend == 1) {
        call.workSince = now;
        call.workEvents = 0;
        return;
    }
    ++call.workEvents;
    const Duration time = now - call.workSince;
    if (call.workEvents < minObservedEvents || time < minObservedTime)
        return;
    this->noteWork(call, milliseconds(time) / static_cast<double>(call.workEvents), false);
    call.workSince = now;
    call.workEvents = 0;
}

void Gateway::Impl::noteAnswerTime(Call& call)
{
    const TimePoint now = this->timers.now();
    const bool isFailure = isFailedAnswer(call);
    this->endpoints.onOutcome(call.endpoint, isFailure, now);
    // A refusal or an error takes no work.
    if (call.head->status >= firstRedirection)
        return;
    if (call.route->safety != CallSafety::Stream) {
        this->noteWork(call, milliseconds(now - call.writtenAt), true);
        return;
    }
    if (call.workEvents >= 2 && now - call.workSince >= minObservedRest)
        this->noteWork(call, milliseconds(now - call.workSince) / static_cast<double>(call.workEvents), false);
    // What the caller had before it resumed the stream isn't known.
    if (!call.isResumption && call.events > 0)
        this->costs.onOutput(sizeOf(call), TokenCount(tokensPerEvent(call) * static_cast<std::int64_t>(call.events)));
}

}
