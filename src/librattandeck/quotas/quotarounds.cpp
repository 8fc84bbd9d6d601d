#include "quotaholderimpl.h"

#include <algorithm>

/// Questions to issuers, and their answers.
namespace Rattandeck {

using namespace Quotas;

/// Organisations without a call for this time are forgotten.
constexpr Milliseconds forgetAfter { 10000 };
/// Requests whose answers have not come for this time are forgotten.
constexpr Milliseconds requestMemory { 2000 };
/// Time for which an issuer is avoided that has not answered in time.
constexpr Milliseconds silentPeriod { 2000 };
/// Bound on the tokens of one grant, against malformed messages.
constexpr std::uint32_t maxTokensPerGrant = 100000;
/// Bounds on what one message returns; the rest follows with the next one.
constexpr std::size_t maxReturnsPerMessage = 2000;

// Requests -----------------------------------------------------------------------------------------------------------

void QuotaHolder::Impl::schedule()
{
    if (this->batchTimer.value != 0)
        return;
    this->batchTimer = this->timers.subscribeAfter(this->settings.batchInterval, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->batchTimer = {};
        self->flush();
    });
}

/// Asks for the calls that have been collected, and returns tokens.
void QuotaHolder::Impl::flush()
{
    std::map<NodeId, QuotaRequests> messages;
    std::vector<OrganisationId> waiting;
    for (const auto& [id, organisation] : this->organisations) {
        if (!organisation.collected.empty())
            waiting.push_back(id);
    }
    for (const OrganisationId& id : waiting)
        this->startRound(id, messages);
    for (const auto& [node, returned] : this->returns)
        messages[node];
    this->sendAll(messages);
}

void QuotaHolder::Impl::startRound(const OrganisationId& id, std::map<NodeId, QuotaRequests>& messages)
{
    HeldOrganisation& organisation = this->organisations.at(id);
    const RoundId roundId { ++this->lastRound.value };
    Round& round = organisation.rounds[roundId];
    round.id = roundId;
    round.waiters = std::move(organisation.collected);
    organisation.collected.clear();
    round.isToHomeOnly = this->timers.now() < organisation.overloadedUntil;
    const NodeId node = this->home();
    if (node.value.empty()) {
        this->endRound(id, roundId);
        return;
    }
    const std::vector<NodeId> nodes = this->issuers(false);
    const bool isSmall = nodes.size() > 1
        && shareOf(organisation.allowance, this->members.size(), this->settings).size < this->settings.smallBucket;
    if (isSmall) {
        for (const NodeId& issuer : nodes)
            this->ask(id, round, issuer, messages, nodes.size());
        // They may have more than the parts that they were asked for.
        round.asked.clear();
    } else {
        this->ask(id, round, node, messages, 1);
    }
    round.timer = this->timers.subscribeAfter(this->settings.homeTimeout, [weak = this->weak_from_this(), id, roundId] {
        if (const auto self = weak.lock())
            self->onTimeout(id, roundId);
    });
}

void QuotaHolder::Impl::ask(const OrganisationId& id, Round& round, const NodeId& node,
    std::map<NodeId, QuotaRequests>& messages, std::size_t parts)
{
    QuotaDemand demand;
    demand.organisation = id;
    for (const Waiter& waiter : round.waiters)
        ++(waiter.kind == QuotaKind::FirstTurn ? demand.waitingFirstTurns : demand.waiting);
    if (parts > 1) {
        demand.waitingPart = std::exchange(demand.waiting, 0) / static_cast<double>(parts);
        demand.firstTurnPart = std::exchange(demand.waitingFirstTurns, 0) / static_cast<double>(parts);
    }
    QuotaRequests& message = messages[node];
    if (message.ticket == 0) {
        message.ticket = ++this->lastTicket;
        this->requests[message.ticket] = { node, this->timers.now(), {}, round.hasAskedAll };
    }
    message.demands.push_back(demand);
    this->requests[message.ticket].rounds[id] = round.id;
    round.asked.insert(node);
    round.pending.insert(node);
}

void QuotaHolder::Impl::sendAll(std::map<NodeId, QuotaRequests>& messages)
{
    const NodeId homeNode = this->home();
    for (auto& [node, message] : messages) {
        auto& returned = this->returns[node];
        while (!returned.empty() && message.returned.size() < maxReturnsPerMessage) {
            const auto first = returned.begin();
            message.returned.push_back({ first->first.first, first->first.second, first->second });
            returned.erase(first);
        }
        if (returned.empty())
            this->returns.erase(node);
        if (node == homeNode) {
            message.calls = std::exchange(this->calls, 0);
            message.firstTurns = std::exchange(this->firstTurns, 0);
        }
        ++this->counts.messages;
        this->io.send(node, message);
    }
    while (!this->requests.empty() && this->timers.now() - this->requests.begin()->second.at > requestMemory)
        this->requests.erase(this->requests.begin());
}

// Requests in advance ------------------------------------------------------------------------------------------------

void QuotaHolder::Impl::scheduleAdvance()
{
    if (this->advanceTimer.value != 0)
        return;
    this->advanceTimer = this->timers.subscribeAfter(this->settings.requestInterval, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->advanceTimer = {};
        self->advance();
    });
}

void QuotaHolder::Impl::advance()
{
    const TimePoint now = this->timers.now();
    std::map<NodeId, QuotaRequests> messages;
    const NodeId node = this->home();
    QuotaRequests request;
    for (auto& [id, organisation] : this->organisations) {
        this->returnBatches(id, organisation, now + this->settings.requestInterval + minTimeLeft);
        const std::uint32_t wanted = expectedDemand(organisation.arrivals, now, this->settings);
        if (wanted == 0)
            this->returnBatches(id, organisation, TimePoint::max());
        std::uint32_t held = 0;
        for (const TokenBatch& batch : organisation.batches)
            held += batch.count;
        if (wanted > held)
            request.demands.push_back({ id, wanted - held, 0, 0, 0, 0 });
    }
    if (!request.demands.empty() && !node.value.empty()) {
        request.ticket = ++this->lastTicket;
        this->requests[request.ticket] = { node, now, {}, false };
        messages[node] = std::move(request);
    }
    for (const auto& [issuer, returned] : this->returns)
        messages[issuer];
    this->sendAll(messages);
    std::erase_if(this->organisations, [now](const auto& entry) {
        const HeldOrganisation& organisation = entry.second;
        return now - organisation.arrivals.lastAt > forgetAfter && organisation.rounds.empty()
            && organisation.collected.empty() && organisation.batches.empty();
    });
    if (!this->organisations.empty())
        this->scheduleAdvance();
}

// Answers ------------------------------------------------------------------------------------------------------------

Round* QuotaHolder::Impl::findRound(const OrganisationId& id, RoundId roundId)
{
    const auto organisation = this->organisations.find(id);
    if (organisation == this->organisations.end())
        return nullptr;
    const auto round = organisation->second.rounds.find(roundId);
    return round == organisation->second.rounds.end() ? nullptr : &round->second;
}

void QuotaHolder::Impl::onGrants(const NodeId& from, const QuotaGrants& grants)
{
    const auto found = this->requests.find(grants.ticket);
    if (found == this->requests.end() || found->second.node != from)
        return;
    const SentRequest request = std::move(found->second);
    this->requests.erase(found);
    if (grants.isIssuing)
        this->silentUntil.erase(from);
    else
        this->silentUntil[from] = this->timers.now() + silentPeriod;
    for (const QuotaGrant& grant : grants.grants)
        this->onGrant(request, grants, grant);
    for (const auto& [id, roundId] : request.rounds)
        this->onAnswered(id, roundId, from);
    if (!this->returns.empty())
        this->flush();
}

void QuotaHolder::Impl::onGrant(const SentRequest& request, const QuotaGrants& grants, const QuotaGrant& grant)
{
    const auto found = this->organisations.find(grant.organisation);
    const std::uint32_t tokens = std::min(grant.tokens, maxTokensPerGrant);
    const std::uint32_t firstTurnTokens = std::min(grant.firstTurnTokens, maxTokensPerGrant);
    const double part = std::clamp(grant.part, 0.0, double(maxTokensPerGrant));
    const double firstTurnPart = std::clamp(grant.firstTurnPart, 0.0, double(maxTokensPerGrant));
    if (found == this->organisations.end()) {
        this->returnTokens(
            grant.organisation, request.node, grants.stamp, tokens + firstTurnTokens + part + firstTurnPart);
        return;
    }
    HeldOrganisation& organisation = found->second;
    // A token was issued after its request was sent, so that its lifetime counted from there ends no later than counted
    // at the issuer.
    const TimePoint useBy = request.at + this->settings.tokenLifetime;
    if (tokens > 0)
        organisation.batches.push_back({ request.node, grants.stamp, useBy, tokens, grant.includesFirstTurns });
    if (firstTurnTokens > 0)
        organisation.batches.push_back({ request.node, grants.stamp, useBy, firstTurnTokens, true });
    const auto roundEntry = request.rounds.find(grant.organisation);
    Round* const askedFor
        = roundEntry == request.rounds.end() ? nullptr : this->findRound(grant.organisation, roundEntry->second);
    if (!askedFor)
        this->returnTokens(grant.organisation, request.node, grants.stamp, part + firstTurnPart);
    if (roundEntry != request.rounds.end()) {
        if (Round* round = this->findRound(grant.organisation, roundEntry->second)) {
            const std::array stated { grant.wait, grant.firstTurnWait };
            for (std::size_t i = 0; i < stated.size(); ++i)
                round->waits.at(i) = std::min(round->waits.at(i).value_or(stated.at(i)), stated.at(i));
            const std::array parts { part, firstTurnPart };
            for (std::size_t i = 0; i < parts.size(); ++i) {
                if (parts.at(i) <= partTolerance)
                    continue;
                PartPool& pool = round->pools.at(i);
                pool.parts.push_back({ request.node, grants.stamp, parts.at(i) });
                pool.useBy = std::min(pool.useBy, useBy);
            }
        }
    }
    this->serve(grant.organisation);
    if (request.isToAll) {
        // What these calls don't need is needed elsewhere.
        const auto again = this->organisations.find(grant.organisation);
        if (again == this->organisations.end())
            return;
        std::erase_if(again->second.batches, [&](const TokenBatch& batch) {
            if (batch.issuer != request.node || batch.stamp != grants.stamp)
                return false;
            this->returnTokens(grant.organisation, batch.issuer, batch.stamp, batch.count);
            return true;
        });
    }
}

void QuotaHolder::Impl::onAnswered(const OrganisationId& id, RoundId roundId, const NodeId& from)
{
    Round* round = this->findRound(id, roundId);
    if (!round || round->pending.erase(from) == 0)
        return;
    this->goOn(id, roundId);
}

/// Goes to the round's next step when its calls have been served or all that were asked have answered.
void QuotaHolder::Impl::goOn(const OrganisationId& id, RoundId roundId)
{
    Round* round = this->findRound(id, roundId);
    if (!round)
        return;
    if (!round->waiters.empty() && !round->pending.empty())
        return;
    const bool isUnanswered = !round->waits.front().has_value();
    if (!round->waiters.empty() && !round->hasAskedAll && (!round->isToHomeOnly || isUnanswered))
        this->askAll(id, *round);
    else
        this->endRound(id, roundId);
}

void QuotaHolder::Impl::askAll(const OrganisationId& id, Round& round)
{
    round.hasAskedAll = true;
    std::map<NodeId, QuotaRequests> messages;
    for (const NodeId& node : this->issuers(true)) {
        if (!round.asked.contains(node))
            this->ask(id, round, node, messages, 1);
    }
    // Silent ones are asked, but not waited for.
    std::erase_if(round.pending, [this](const NodeId& node) { return this->isSilent(node); });
    const RoundId roundId = round.id;
    this->timers.cancel(round.timer);
    round.timer
        = this->timers.subscribeAfter(this->settings.answerTimeout, [weak = this->weak_from_this(), id, roundId] {
              if (const auto self = weak.lock())
                  self->onTimeout(id, roundId);
          });
    this->sendAll(messages);
    this->goOn(id, roundId);
}

void QuotaHolder::Impl::onTimeout(const OrganisationId& id, RoundId roundId)
{
    Round* round = this->findRound(id, roundId);
    if (!round)
        return;
    round->timer = {};
    for (const NodeId& node : round->pending)
        this->silentUntil[node] = this->timers.now() + silentPeriod;
    round->pending.clear();
    this->goOn(id, roundId);
}

/// Refuses the calls of the round that got no token.
void QuotaHolder::Impl::endRound(const OrganisationId& id, RoundId roundId)
{
    HeldOrganisation& organisation = this->organisations.at(id);
    const auto node = organisation.rounds.extract(roundId);
    const Round& round = node.mapped();
    this->timers.cancel(round.timer);
    for (const PartPool& pool : round.pools) {
        for (const QuotaPart& part : pool.parts)
            this->returnTokens(id, part.issuer, part.stamp, part.amount);
    }
    if (round.waiters.empty())
        organisation.refusedRounds = 0;
    else
        ++organisation.refusedRounds;
    const auto& stated = round.waits.front();
    if (!round.waiters.empty() && round.hasAskedAll && stated && *stated < this->settings.overloadWait)
        organisation.overloadedUntil = this->timers.now() + this->settings.overloadPeriod;
    std::vector<QuotaRefusal> refusals;
    for (const Waiter& waiter : round.waiters) {
        noteArrival(organisation.refused, this->timers.now());
        refusals.push_back(this->refusalIn(organisation, round, waiter.kind));
        TimePoint& until = organisation.refusedUntil.at(indexOf(waiter.kind));
        until = std::max(until, this->timers.now() + refusals.back().wait);
        ++(refusals.back().isUnavailable ? this->counts.unavailable : this->counts.refused);
    }
    for (std::size_t i = 0; i < refusals.size(); ++i)
        this->report(round.waiters.at(i), tl::unexpected(refusals.at(i)));
}

QuotaRefusal QuotaHolder::Impl::refusalIn(
    const HeldOrganisation& organisation, const Round& round, QuotaKind kind) const
{
    const auto& stated = round.waits.at(indexOf(kind));
    if (!stated)
        return { true, Milliseconds(0), Milliseconds(0) };
    constexpr std::uint32_t maxDoublings = 10;
    const auto doublings = std::min(organisation.refusedRounds - 1, maxDoublings);
    const Milliseconds least = std::min(this->settings.minRefusal * (1U << doublings), this->settings.maxBackoff);
    return { false, std::clamp(*stated, least, this->settings.maxRefusal), this->spreadOf(organisation) };
}

}
