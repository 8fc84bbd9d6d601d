#include "quotaholderimpl.h"

#include "Rattandeck/digest.h"

#include <algorithm>

namespace Rattandeck {

using namespace Quotas;

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
