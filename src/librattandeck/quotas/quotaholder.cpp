#include "Rattandeck/quotaholder.h"

#include "Rattandeck/digest.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace Rattandeck {

/// A call needs some time from the gateway's decision until it is written to its connection.
constexpr Milliseconds minTimeLeft { 20 };
/// Organisations without a call for this time are forgotten.
constexpr Milliseconds forgetAfter { 10000 };
/// Requests whose answers have not come for this time are forgotten.
constexpr Milliseconds requestMemory { 2000 };
/// Time for which an issuer is avoided that has not answered in time.
constexpr Milliseconds silentPeriod { 2000 };
/// Bound on the tokens of one grant, against malformed messages.
constexpr std::uint32_t maxTokensPerGrant = 100000;
/// Rounding errors of sums of parts.
constexpr double partTolerance = 1e-6;
/// Bounds on what one message returns; the rest follows with the next one.
constexpr std::size_t maxReturnsPerMessage = 2000;

namespace {

    using WaiterId = QuotaHolder::WaiterId;
    using RoundId = Strong<struct QuotaRoundTag, std::uint64_t>;

    struct TokenBatch {
        NodeId issuer;
        std::uint64_t stamp = 0;
        TimePoint useBy;
        std::uint32_t count = 0;
        bool includesFirstTurns = false;
    };

    struct Waiter {
        WaiterId id = 0;
        QuotaKind kind = QuotaKind::Call;
        TimePoint since;
    };

    /// Parts of tokens that have come for the calls of a round.
    struct PartPool {
        std::vector<QuotaPart> parts;
        TimePoint useBy = TimePoint::max();
        double total() const
        {
            double sum = 0;
            for (const QuotaPart& part : this->parts)
                sum += part.amount;
            return sum;
        }
    };

    /// Calls that ask together: the home issuer first, then all others.
    struct Round {
        RoundId id;
        std::vector<Waiter> waiters;
        bool hasAskedAll = false;
        bool isToHomeOnly = false;
        std::set<NodeId> asked;
        std::set<NodeId> pending;
        /// Shortest waits that issuers stated, of calls and first turns; empty while none has stated one.
        std::array<std::optional<Milliseconds>, 2> waits;
        /// For calls, and for first turns.
        std::array<PartPool, 2> pools;
        TimerId timer;
    };

    struct HeldOrganisation {
        CallAllowance allowance;
        QuotaArrivals arrivals;
        std::vector<TokenBatch> batches;
        /// Waiters of the next round.
        std::vector<Waiter> collected;
        std::map<RoundId, Round> rounds;
        /// Time until which calls, and first turns, are refused without asking.
        std::array<TimePoint, 2> refusedUntil {};
        /// Rounds without a token for all their calls, one after the other.
        std::uint32_t refusedRounds = 0;
        /// Calls ask the home issuer only until then; see `QuotaSettings::overloadPeriod`.
        TimePoint overloadedUntil {};
        /// Moving averages of the calls a second that were refused, and that got a token.
        QuotaArrivals refused;
        QuotaArrivals taken;
    };

    struct SentRequest {
        NodeId node;
        TimePoint at;
        std::map<OrganisationId, RoundId> rounds;
        /// Several issuers were asked for the same calls.
        bool isToAll = false;
    };

    std::size_t indexOf(QuotaKind kind) { return kind == QuotaKind::FirstTurn ? 1 : 0; }

}

struct QuotaHolder::Impl : std::enable_shared_from_this<QuotaHolder::Impl> {
    Impl(TimerService& timers, NodeId self, Io io, QuotaSettings settings)
        : timers(timers)
        , self(std::move(self))
        , io(std::move(io))
        , settings(settings)
        , random(settings.seed)
    {
        // A journal's answer to an earlier process of this gateway must not be taken for an answer to this one.
        this->lastTicket = static_cast<std::uint64_t>(this->random()) << 20U;
    }

    TimerService& timers;
    NodeId self;
    Io io;
    QuotaSettings settings;
    std::mt19937 random;
    std::uint64_t lastTicket = 0;
    RoundId lastRound;
    Counts counts;
    std::vector<JournalMember> members;
    std::set<NodeId> linked;
    /// Until when linked members are avoided that have not answered a request, or that issue nothing at present.
    std::map<NodeId, TimePoint> silentUntil;
    std::unordered_map<OrganisationId, HeldOrganisation> organisations;
    std::map<std::uint64_t, SentRequest> requests;
    /// Tokens to be returned with the next message, by issuer and stamp.
    std::map<NodeId, std::map<std::pair<OrganisationId, std::uint64_t>, double>> returns;
    /// Calls and first turns with a token that have not been reported.
    std::uint32_t calls = 0;
    std::uint32_t firstTurns = 0;
    TimerId batchTimer;
    TimerId advanceTimer;

    // Issuers
    bool isSilent(const NodeId& node) const;
    std::vector<NodeId> issuers(bool withSilent) const;
    NodeId home() const;

    // Tokens
    std::optional<QuotaToken> take(HeldOrganisation& organisation, QuotaKind kind);
    std::optional<QuotaToken> compose(Round& round, QuotaKind kind);
    void noteTaken(HeldOrganisation& organisation, QuotaKind kind);
    void returnTokens(const OrganisationId& id, const NodeId& issuer, std::uint64_t stamp, double count);
    void returnBatches(const OrganisationId& id, HeldOrganisation& organisation, TimePoint usableUntil);
    void serve(const OrganisationId& id);

    // Requests
    void schedule();
    void flush();
    void startRound(const OrganisationId& id, std::map<NodeId, QuotaRequests>& messages);
    void ask(const OrganisationId& id, Round& round, const NodeId& node, std::map<NodeId, QuotaRequests>& messages,
        std::size_t parts);
    void sendAll(std::map<NodeId, QuotaRequests> messages);
    void scheduleAdvance();
    void advance();

    // Answers
    void onGrants(const NodeId& from, const QuotaGrants& grants);
    void onGrant(const SentRequest& request, const QuotaGrants& grants, const QuotaGrant& grant);
    void onAnswered(const OrganisationId& id, RoundId roundId, const NodeId& from);
    void goOn(const OrganisationId& id, RoundId roundId);
    void askAll(const OrganisationId& id, Round& round);
    void onTimeout(const OrganisationId& id, RoundId roundId);
    void endRound(const OrganisationId& id, RoundId roundId);
    QuotaRefusal refusalIn(const HeldOrganisation& organisation, const Round& round, QuotaKind kind) const;
    Milliseconds spreadOf(const HeldOrganisation& organisation) const;
    void report(const Waiter& waiter, const Outcome& outcome);
    Round* findRound(const OrganisationId& id, RoundId roundId);
};

// Issuers ------------------------------------------------------------------------------------------------------------

bool QuotaHolder::Impl::isSilent(const NodeId& node) const
{
    const auto found = this->silentUntil.find(node);
    return found != this->silentUntil.end() && found->second > this->timers.now();
}

std::vector<NodeId> QuotaHolder::Impl::issuers(bool withSilent) const
{
    std::vector<NodeId> found;
    for (const JournalMember& member : this->members) {
        if (this->linked.contains(member.node) && (withSilent || !this->isSilent(member.node)))
            found.push_back(member.node);
    }
    return found;
}

/// The issuer that this gateway asks first; empty if none is linked.
NodeId QuotaHolder::Impl::home() const
{
    std::vector<NodeId> candidates = this->issuers(false);
    if (candidates.empty())
        candidates = this->issuers(true);
    const std::uint64_t key = hash64(this->self.value);
    if (candidates.empty())
        return {};
    std::ranges::sort(candidates, {}, [key](const NodeId& node) { return rendezvousWeight(key, node.value); });
    const auto period = this->timers.now().time_since_epoch() / Duration(this->settings.homePeriod);
    return candidates.at(static_cast<std::size_t>(period) % candidates.size());
}

// Tokens -------------------------------------------------------------------------------------------------------------

/// Takes the token that expires first. Tokens that first turns may not use go to other calls first.
std::optional<QuotaToken> QuotaHolder::Impl::take(HeldOrganisation& organisation, QuotaKind kind)
{
    TokenBatch* best = nullptr;
    for (TokenBatch& batch : organisation.batches) {
        if (batch.useBy - this->timers.now() < minTimeLeft)
            continue;
        if (kind == QuotaKind::FirstTurn && !batch.includesFirstTurns)
            continue;
        if (!best || std::tie(batch.includesFirstTurns, batch.useBy) < std::tie(best->includesFirstTurns, best->useBy))
            best = &batch;
    }
    if (!best)
        return std::nullopt;
    const QuotaToken token { { { best->issuer, best->stamp, 1 } }, best->useBy };
    if (--best->count == 0)
        organisation.batches.erase(organisation.batches.begin() + (best - organisation.batches.data()));
    return token;
}

/// Adds up parts of tokens. First turns may not use those that were issued for other calls.
std::optional<QuotaToken> QuotaHolder::Impl::compose(Round& round, QuotaKind kind)
{
    PartPool& firstTurns = round.pools.at(indexOf(QuotaKind::FirstTurn));
    PartPool& calls = round.pools.at(indexOf(QuotaKind::Call));
    const double available = firstTurns.total() + (kind == QuotaKind::Call ? calls.total() : 0);
    if (available + partTolerance < 1)
        return std::nullopt;
    QuotaToken token;
    token.useBy = std::min(firstTurns.useBy, calls.useBy);
    double missing = 1;
    const auto takeFrom = [&](PartPool& pool) {
        while (missing > partTolerance && !pool.parts.empty()) {
            QuotaPart& part = pool.parts.back();
            const double amount = std::min(part.amount, missing);
            token.parts.push_back({ part.issuer, part.stamp, amount });
            missing -= amount;
            part.amount -= amount;
            if (part.amount <= partTolerance)
                pool.parts.pop_back();
        }
    };
    if (kind == QuotaKind::Call)
        takeFrom(calls);
    takeFrom(firstTurns);
    return token;
}

void QuotaHolder::Impl::noteTaken(HeldOrganisation& organisation, QuotaKind kind)
{
    noteArrival(organisation.taken, this->timers.now());
    ++this->counts.taken;
    ++this->calls;
    if (kind == QuotaKind::FirstTurn)
        ++this->firstTurns;
}

void QuotaHolder::Impl::returnTokens(const OrganisationId& id, const NodeId& issuer, std::uint64_t stamp, double count)
{
    if (count <= 0)
        return;
    this->counts.unused += count;
    // Tokens of an earlier link may be of an earlier process, which has forgotten them.
    if (this->linked.contains(issuer))
        this->returns[issuer][{ id, stamp }] += count;
}

/// Returns the tokens that can't be used after `usableUntil`.
void QuotaHolder::Impl::returnBatches(const OrganisationId& id, HeldOrganisation& organisation, TimePoint usableUntil)
{
    std::erase_if(organisation.batches, [&](const TokenBatch& batch) {
        if (batch.useBy > usableUntil)
            return false;
        this->returnTokens(id, batch.issuer, batch.stamp, batch.count);
        return true;
    });
}

/// Gives held tokens to the calls that wait, first turns last.
void QuotaHolder::Impl::serve(const OrganisationId& id)
{
    auto& organisation = this->organisations.at(id);
    std::vector<std::pair<Waiter, QuotaToken>> served;
    for (const QuotaKind kind : { QuotaKind::Call, QuotaKind::FirstTurn }) {
        const auto tryServe = [&](const Waiter& waiter, Round* round) {
            if (waiter.kind != kind)
                return false;
            auto token = this->take(organisation, kind);
            if (!token && round)
                token = this->compose(*round, kind);
            if (token)
                served.emplace_back(waiter, *token);
            return token.has_value();
        };
        for (auto& [roundId, round] : organisation.rounds)
            std::erase_if(round.waiters, [&, own = &round](const Waiter& waiter) { return tryServe(waiter, own); });
        std::erase_if(organisation.collected, [&](const Waiter& waiter) { return tryServe(waiter, nullptr); });
    }
    for (const auto& [waiter, token] : served) {
        this->noteTaken(organisation, waiter.kind);
        ++this->counts.waited;
        this->report(waiter, token);
    }
}

void QuotaHolder::Impl::report(const Waiter& waiter, const Outcome& outcome)
{
    this->counts.waitedFor += this->timers.now() - waiter.since;
    this->io.onOutcome(waiter.id, outcome);
}

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
    this->sendAll(std::move(messages));
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

void QuotaHolder::Impl::sendAll(std::map<NodeId, QuotaRequests> messages)
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
    this->sendAll(std::move(messages));
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
    this->sendAll(std::move(messages));
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

/// The calls that are refused in a second take as many seconds as they are times those that got a token.
Milliseconds QuotaHolder::Impl::spreadOf(const HeldOrganisation& organisation) const
{
    const TimePoint now = this->timers.now();
    const double taken = std::max(1.0, rateAt(organisation.taken, now));
    const std::chrono::duration<double> spread(rateAt(organisation.refused, now) / taken);
    return std::min(std::chrono::ceil<Milliseconds>(spread), this->settings.maxRefusal);
}

// Public -------------------------------------------------------------------------------------------------------------

QuotaHolder::QuotaHolder(TimerService& timers, NodeId self, Io io, QuotaSettings settings)
    : impl(std::make_shared<Impl>(timers, std::move(self), std::move(io), settings))
{
}

QuotaHolder::~QuotaHolder() = default;

void QuotaHolder::setMembers(const std::vector<JournalMember>& members) { this->impl->members = members; }

void QuotaHolder::onLinkUp(const NodeId& journal)
{
    this->impl->linked.insert(journal);
    this->impl->silentUntil.erase(journal);
}

void QuotaHolder::onLinkDown(const NodeId& journal)
{
    auto& self = *this->impl;
    self.linked.erase(journal);
    self.silentUntil.erase(journal);
    self.returns.erase(journal);
    std::vector<std::pair<OrganisationId, RoundId>> affected;
    for (const auto& [id, organisation] : self.organisations) {
        for (const auto& [roundId, round] : organisation.rounds) {
            if (round.pending.contains(journal))
                affected.emplace_back(id, roundId);
        }
    }
    for (const auto& [id, roundId] : affected)
        self.onAnswered(id, roundId, journal);
}

void QuotaHolder::onMessage(const NodeId& from, const Message& message)
{
    if (const auto* grants = std::get_if<QuotaGrants>(&message))
        this->impl->onGrants(from, *grants);
}

tl::expected<std::optional<QuotaToken>, QuotaRefusal> QuotaHolder::acquire(
    const OrganisationId& organisation, const CallAllowance& allowance, QuotaKind kind, WaiterId waiter)
{
    auto& self = *this->impl;
    const TimePoint now = self.timers.now();
    HeldOrganisation& held = self.organisations[organisation];
    noteArrival(held.arrivals, now);
    held.allowance = allowance;
    self.scheduleAdvance();
    if (auto token = self.take(held, kind)) {
        self.noteTaken(held, kind);
        return token;
    }
    if (self.issuers(true).empty()) {
        ++self.counts.unavailable;
        return tl::unexpected(QuotaRefusal { true, Milliseconds(0), Milliseconds(0) });
    }
    TimePoint until = held.refusedUntil.at(indexOf(QuotaKind::Call));
    if (kind == QuotaKind::FirstTurn)
        until = std::max(until, held.refusedUntil.at(indexOf(QuotaKind::FirstTurn)));
    if (until > now) {
        ++self.counts.refused;
        noteArrival(held.refused, now);
        return tl::unexpected(
            QuotaRefusal { false, std::chrono::ceil<Milliseconds>(until - now), self.spreadOf(held) });
    }
    held.collected.push_back({ waiter, kind, now });
    self.schedule();
    return std::optional<QuotaToken>();
}

std::optional<QuotaToken> QuotaHolder::tryTake(const OrganisationId& organisation)
{
    const auto found = this->impl->organisations.find(organisation);
    return found == this->impl->organisations.end() ? std::nullopt : this->impl->take(found->second, QuotaKind::Call);
}

void QuotaHolder::cancel(const OrganisationId& organisation, WaiterId waiter)
{
    const auto found = this->impl->organisations.find(organisation);
    if (found == this->impl->organisations.end())
        return;
    const auto isCancelled = [waiter](const Waiter& other) { return other.id == waiter; };
    std::erase_if(found->second.collected, isCancelled);
    for (auto& [id, round] : found->second.rounds)
        std::erase_if(round.waiters, isCancelled);
}

void QuotaHolder::giveBack(const OrganisationId& organisation, const QuotaToken& token)
{
    auto& self = *this->impl;
    for (const QuotaPart& part : token.parts)
        self.returnTokens(organisation, part.issuer, part.stamp, part.amount);
    self.schedule();
}

bool QuotaHolder::isValid(const QuotaToken& token) const
{
    return token.useBy - this->impl->timers.now() >= minTimeLeft;
}

std::optional<QuotaRefusal> QuotaHolder::refusal(const OrganisationId& organisation) const
{
    const auto found = this->impl->organisations.find(organisation);
    if (found == this->impl->organisations.end())
        return std::nullopt;
    const TimePoint until = found->second.refusedUntil.at(indexOf(QuotaKind::Call));
    if (until <= this->impl->timers.now())
        return std::nullopt;
    const auto wait = std::chrono::ceil<Milliseconds>(until - this->impl->timers.now());
    return QuotaRefusal { false, wait, this->impl->spreadOf(found->second) };
}

const QuotaHolder::Counts& QuotaHolder::counts() const { return this->impl->counts; }

}
