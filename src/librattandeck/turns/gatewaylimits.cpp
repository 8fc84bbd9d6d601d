#include "gatewayorganisations.h"

#include <xxhash.h>

#include <algorithm>

/// Calls to instances that state a limit: room, waits for permits, and refusals.
namespace Rattandeck {

void Gateway::Impl::noteLimit(const Call& call, const EndpointAnswer& answer)
{
    if (!answer.invalidLimit.empty())
        this->io.logInvalidLimit(call.endpoint, answer.invalidLimit);
    if (const EndpointInstance* instance = this->endpoints.find(call.endpoint))
        this->permits.onAnswer(call.endpoint, instance->startedAt, answer.limit, call.sentAt);
}

double Gateway::Impl::relativeLength(const Call& call)
{
    constexpr double weight = 0.02;
    constexpr double least = 0.25;
    constexpr double most = 4;
    const auto tokens = static_cast<double>(call.call.expectedOutputTokens.value_or(call.call.maxOutputTokens).value);
    if (tokens <= 0)
        return 1;
    double& mean = this->meanOutputTokens.try_emplace(call.service, tokens).first->second;
    mean += weight * (tokens - mean);
    return std::clamp(tokens / mean, least, most);
}

LimitRoom Gateway::Impl::roomAt(const Call& call, const EndpointId& endpoint) const
{
    LimitRoom room;
    room.isLimited = this->permits.limitOf(endpoint).has_value();
    if (!room.isLimited)
        return room;
    const std::size_t urgency = urgencyOf(rankOf(call), call.isFirstTurn);
    const bool isWaiting = endpoint == call.awaited && urgency == call.awaitedUrgency;
    room.wait = this->permits.expectedWait(endpoint, urgency, isWaiting);
    if (room.wait && !this->mayAwaitPermit(call, *room.wait))
        room.wait.reset();
    return room;
}

PermitHolder::Io Gateway::Impl::permitIo()
{
    PermitHolder::Io permitIo;
    permitIo.send
        = [this](const NodeId& journal, const Message& message) { return this->io.sendToJournal(journal, message); };
    permitIo.onChange = [this] { this->processQueue(); };
    permitIo.onLimit = [this](const LimitChange& change) { this->io.logLimit(change); };
    return permitIo;
}

bool Gateway::Impl::mayAwaitPermit(const Call& call, Milliseconds wait) const
{
    const Duration waited = call.isQueued ? this->timers.now() - call.queuedAt : Duration(0);
    return waited + wait <= call.route->objective * this->limits.maxPermitWaitRatio && wait < this->timeLeft(call);
}

void Gateway::Impl::awaitPermit(Call& call, const EndpointId& endpoint)
{
    const std::size_t urgency = urgencyOf(rankOf(call), call.isFirstTurn);
    if (call.awaited == endpoint && call.awaitedUrgency == urgency)
        return;
    this->stopAwaiting(call);
    call.awaited = endpoint;
    call.awaitedUrgency = urgency;
    this->permits.want(endpoint, urgency);
}

void Gateway::Impl::stopAwaiting(Call& call)
{
    if (call.awaited.value.empty())
        return;
    this->permits.unwant(call.awaited, call.awaitedUrgency);
    call.awaited = {};
}

void Gateway::Impl::anticipatePermit(Call& call)
{
    // At which instances a stream can go on is not known yet.
    if (this->permits.limitedInstances() == 0 || call.isOriginPending)
        return;
    // Whether it is the first turn is known only when its tokens are claimed.
    call.isFirstTurn = call.call.previousTurn.value.empty();
    call.query.maxLoad = this->maxLoadFor(call);
    const auto choice = this->choose(call, call.query);
    if (choice && this->permits.limitOf(choice->endpoint))
        this->awaitPermit(call, choice->endpoint);
}

/// Delay after which the caller of a refused call may retry. Callers that are refused for the limits of instances are
/// spread over the time in which as many permits are expected as are missing now; likewise for allowances.
Milliseconds Gateway::Impl::retryDelay(const Call& call, RejectionReason reason)
{
    if (const auto delay = this->keyRetryDelay(call.call.request, reason))
        return *delay;
    const Milliseconds least = call.isFirstTurn ? this->limits.firstTurnRetryAfter : this->limits.retryAfter;
    if (reason == RejectionReason::Overloaded)
        return this->queueRetryDelay(call, least);
    const bool isAllowanceUsed = reason == RejectionReason::AllowanceUsed;
    if (!isAllowanceUsed && reason != RejectionReason::RateLimited)
        return least;
    constexpr std::uint64_t steps = 1024;
    const std::string& request = call.call.request.value;
    const std::uint64_t position = XXH3_64bits(request.data(), request.size()) % steps;
    const Milliseconds spread = std::max(least, call.bestChoice ? call.bestChoice->wait : Milliseconds(0));
    if (isAllowanceUsed) {
        const auto part = call.quotaRefusal.spread.count() * static_cast<std::int64_t>(position);
        return call.quotaRefusal.wait + Milliseconds(part / static_cast<std::int64_t>(steps));
    }
    return least
        + Milliseconds(spread.count() * static_cast<std::int64_t>(position) / static_cast<std::int64_t>(steps));
}

}
