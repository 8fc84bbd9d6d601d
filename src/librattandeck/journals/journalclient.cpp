#include "journalclientimpl.h"

#include <algorithm>

namespace Rattandeck {

std::string_view describe(JournalError error)
{
    switch (error) {
    case JournalError::Unavailable:
        return "too few journals answered";
    case JournalError::NotFound:
        return "no such turn";
    case JournalError::BudgetSpent:
        return "budget spent";
    }
    return "unknown";
}

// Requests -----------------------------------------------------------------------------------------------------------

void JournalClient::Impl::start(JournalTicket ticket, JournalOperation operation)
{
    if (operation.startedAt == TimePoint())
        operation.startedAt = this->timers.now();
    operation.timer = this->timers.subscribeAfter(this->limits.answerTimeout, [weak = this->weak_from_this(), ticket] {
        if (const auto self = weak.lock())
            self->onTimeout(ticket);
    });
    const bool isFetch = operation.kind == JournalOperation::Kind::Fetch;
    JournalOperation& started = this->operations.emplace(ticket, std::move(operation)).first->second;
    if (!isFetch) {
        this->sendToMembers(ticket);
        return;
    }
    this->hedgeBudget = std::min(this->limits.hedgeBurst, this->hedgeBudget + this->limits.hedgeRatio);
    this->askMore(started, 1);
    this->scheduleHedge(ticket, started);
    this->evaluate(ticket);
}

bool JournalClient::Impl::isMember(const NodeId& node) const
{
    return std::ranges::any_of(this->set.members, [&node](const JournalMember& member) { return member.node == node; });
}

/// Sends the request to the members that have not received it yet.
void JournalClient::Impl::sendToMembers(JournalTicket ticket)
{
    JournalOperation& operation = this->operations.at(ticket);
    for (const JournalMember& member : this->set.members) {
        const bool isKnown = operation.awaited.contains(member.node) || operation.answered.contains(member.node);
        if (!isKnown && this->send(member.node, operation.request))
            operation.awaited.insert(member.node);
    }
    this->evaluate(ticket);
}

/// Outstanding operations continue under the new set. Acknowledgements and claims that the remaining members have
/// reported stay valid, because a joining member copies their records. Answers that a turn is missing are discarded and
/// requested again, because the quorum of the new set may be smaller.
void JournalClient::Impl::adopt(const JournalSet& later)
{
    this->set = later;
    std::vector<JournalTicket> tickets;
    for (auto& [ticket, operation] : this->operations) {
        tickets.push_back(ticket);
        const bool isFetch = operation.kind == JournalOperation::Kind::Fetch;
        const auto isDiscarded = [this, isFetch](const NodeId& node) { return isFetch || !this->isMember(node); };
        std::erase_if(operation.awaited, isDiscarded);
        std::erase_if(operation.answered, isDiscarded);
    }
    for (const JournalTicket ticket : tickets) {
        const auto found = this->operations.find(ticket);
        if (found == this->operations.end())
            continue;
        if (found->second.kind != JournalOperation::Kind::Fetch) {
            this->sendToMembers(ticket);
            continue;
        }
        const std::size_t asked = std::max<std::size_t>(found->second.asked.size(), 1);
        found->second.asked.clear();
        this->askMore(found->second, asked);
        this->evaluate(ticket);
    }
}

JournalOperation JournalClient::Impl::extract(JournalTicket ticket)
{
    const auto found = this->operations.find(ticket);
    JournalOperation operation = std::move(found->second);
    this->operations.erase(found);
    this->timers.cancel(operation.timer);
    this->timers.cancel(operation.hedgeTimer);
    return operation;
}

static std::string_view nameOf(JournalOperation::Kind kind)
{
    switch (kind) {
    case JournalOperation::Kind::Claim:
        return "claim";
    case JournalOperation::Kind::Store:
        return "store";
    case JournalOperation::Kind::Fetch:
        return "fetch";
    }
    return "unknown";
}

/// The tokens claimed by other turns according to the answers received so far.
static TokenCount sumOtherClaims(const JournalOperation& operation)
{
    std::int64_t tokensOfOthers = 0;
    for (const auto& [turn, claim] : operation.knownClaims)
        tokensOfOthers += turn == operation.turn ? 0 : claim.tokens.value;
    return TokenCount(tokensOfOthers);
}

JournalOperation JournalClient::Impl::finish(JournalTicket ticket, std::optional<JournalError> error)
{
    JournalOperation operation = this->extract(ticket);
    if (!this->observer)
        return operation;
    JournalOperationResult end;
    end.kind = nameOf(operation.kind);
    end.turn = operation.turn;
    end.budget = operation.budget;
    end.error = error;
    end.duration = std::chrono::duration_cast<Milliseconds>(this->timers.now() - operation.startedAt);
    end.epoch = this->set.epoch;
    end.answered.assign(operation.answered.begin(), operation.answered.end());
    end.members = this->set.members.size();
    end.tokensOfOthers = sumOtherClaims(operation);
    end.maxTokens = operation.maxTokens;
    end.limit = operation.limit;
    this->observer(end);
    return operation;
}

void JournalClient::Impl::fail(JournalTicket ticket, JournalError error)
{
    if (!this->operations.contains(ticket))
        return;
    const JournalOperation operation = this->finish(ticket, error);
    if (operation.kind == JournalOperation::Kind::Claim) {
        const SettleClaim withdrawal { operation.budget, { operation.turn, TokenCount(0), true }, operation.retention };
        for (const JournalMember& member : this->set.members)
            this->send(member.node, withdrawal);
    }
    if (operation.fetchDone)
        operation.fetchDone(tl::unexpected(error));
    else if (operation.claimDone)
        operation.claimDone(tl::unexpected(error));
    else if (operation.storeDone)
        operation.storeDone(tl::unexpected(error));
}

/// Ends an operation whose result is known, or that can no longer reach a quorum.
void JournalClient::Impl::evaluate(JournalTicket ticket)
{
    const auto found = this->operations.find(ticket);
    if (found == this->operations.end())
        return;
    JournalOperation& operation = found->second;
    if (operation.kind == JournalOperation::Kind::Fetch) {
        this->evaluateFetch(ticket, operation);
        return;
    }
    const bool isStore = operation.kind == JournalOperation::Kind::Store;
    const std::size_t needed = isStore ? this->limits.copies : this->quorumSize();
    if (operation.answered.size() + operation.awaited.size() < needed)
        this->fail(ticket, JournalError::Unavailable);
    else if (operation.answered.size() >= needed && isStore)
        this->completeStore(ticket);
    else if (operation.answered.size() >= needed)
        this->evaluateClaim(ticket, operation);
}

void JournalClient::Impl::evaluateClaim(JournalTicket ticket, JournalOperation& operation)
{
    const TokenCount tokensOfOthers = sumOtherClaims(operation);
    const bool hasOpenOtherClaim = std::ranges::any_of(operation.knownClaims,
        [&operation](const auto& entry) { return entry.first != operation.turn && !entry.second.isSettled; });
    if (tokensOfOthers.value + operation.maxTokens.value > operation.limit.value)
        this->fail(ticket, JournalError::BudgetSpent);
    else if (hasOpenOtherClaim && !operation.isRepeated) {
        operation.isRepeated = true;
        this->repeatClaim(ticket);
    } else
        this->finish(ticket, std::nullopt).claimDone(ClaimOutcome { tokensOfOthers.value > 0 });
}

/// Two concurrent claims are always both known to at least one journal, but the first answers to one claim may not
/// include all of the others. The answers to a repeated request include every claim that was recorded before it, so the
/// claim that is repeated last sees all admitted claims.
void JournalClient::Impl::repeatClaim(JournalTicket ticket)
{
    JournalOperation claim = this->extract(ticket);
    const JournalTicket next = this->nextTicket();
    claim.request = ClaimTokens { next, claim.budget, { claim.turn, claim.maxTokens, false }, claim.retention };
    claim.awaited.clear();
    claim.answered.clear();
    this->start(next, std::move(claim));
}

/// The answers within one time-out are too few. Journals with slow disks have a claim on disk soon after that, and
/// then answer its repetition at once. Stores are repeated by the caller, and fetches don't wait for a sync.
void JournalClient::Impl::onTimeout(JournalTicket ticket)
{
    const auto found = this->operations.find(ticket);
    if (found == this->operations.end())
        return;
    JournalOperation& operation = found->second;
    if (operation.kind != JournalOperation::Kind::Claim || operation.lateRepeats >= this->limits.lateClaimRepeats) {
        this->fail(ticket, JournalError::Unavailable);
        return;
    }
    ++operation.lateRepeats;
    this->repeatClaim(ticket);
}

// Answers ------------------------------------------------------------------------------------------------------------

/// Records that a member has answered. Returns nothing when the answer is to be ignored.
JournalOperation* JournalClient::Impl::recordAnswer(JournalTicket ticket, const NodeId& from, Epoch epoch)
{
    const auto found = this->operations.find(ticket);
    if (found == this->operations.end() || !found->second.awaited.contains(from))
        return nullptr;
    JournalOperation& operation = found->second;
    // The answer was given under an older set and may lack records of a newer member: send the set and the request
    // again.
    if (epoch < this->set.epoch && this->send(from, this->set) && this->send(from, operation.request))
        return nullptr;
    operation.awaited.erase(from);
    // An answer under a newer set is not included in the quorum, because that set may contain other journals. A
    // journal sends a newer set before its answers.
    if (epoch == this->set.epoch)
        operation.answered.insert(from);
    return &operation;
}

void JournalClient::Impl::onClaims(const NodeId& from, const ClaimsKnown& answer)
{
    JournalOperation* operation = this->recordAnswer(answer.ticket, from, answer.epoch);
    if (!operation)
        return;
    for (const TokenClaim& claim : answer.claims) {
        TokenClaim& known = operation->knownClaims[claim.turn];
        if (!known.isSettled)
            known = claim;
    }
    this->evaluate(answer.ticket);
}

void JournalClient::Impl::onStored(const NodeId& from, const TurnStored& answer)
{
    if (this->answerCompletedStore(from, answer.ticket, false))
        return;
    if (this->recordAnswer(answer.ticket, from, answer.epoch))
        this->evaluate(answer.ticket);
}

/// Sends a turn that begins a chain and contains the text of the whole chain up to it. The beginning of the chain may
/// have expired while the turn was under way, so no other journal need have it.
bool JournalClient::Impl::storeWholeChain(const NodeId& member, JournalTicket ticket, const JournalOperation& operation)
{
    StoreTurn store = std::get<StoreTurn>(operation.request);
    store.ticket = ticket;
    store.turn.previous = {};
    store.turn.input.insert(0, operation.transcriptBefore);
    return this->send(member, store);
}

/// The members that have not answered yet get the whole chain, too, if they lack it.
void JournalClient::Impl::completeStore(JournalTicket ticket)
{
    JournalOperation operation = this->finish(ticket, std::nullopt);
    const JournalOperation::StoreDone done = std::move(operation.storeDone);
    if (!operation.awaited.empty()) {
        operation.timer
            = this->timers.subscribeAfter(this->limits.answerTimeout, [weak = this->weak_from_this(), ticket] {
                  if (const auto self = weak.lock())
                      self->completedStores.erase(ticket);
              });
        this->completedStores.emplace(ticket, std::move(operation));
    }
    done({});
}

bool JournalClient::Impl::answerCompletedStore(const NodeId& member, JournalTicket ticket, bool lacksChain)
{
    const auto found = this->completedStores.find(ticket);
    if (found == this->completedStores.end())
        return false;
    JournalOperation& store = found->second;
    if (store.awaited.erase(member) > 0 && lacksChain)
        this->storeWholeChain(member, ticket, store);
    if (store.awaited.empty()) {
        this->timers.cancel(store.timer);
        this->completedStores.erase(found);
    }
    return true;
}

/// The journal cannot give a conclusive answer. It is no longer awaited and is not included in the quorum, unless it
/// lacks the chain of a turn, which it then gets.
void JournalClient::Impl::onInconclusive(const NodeId& from, const JournalInconclusive& answer)
{
    if (this->answerCompletedStore(from, answer.ticket, !answer.missing.value.empty()))
        return;
    const auto found = this->operations.find(answer.ticket);
    if (found == this->operations.end() || !found->second.awaited.contains(from))
        return;
    const bool lacksChain = found->second.kind == JournalOperation::Kind::Store && !answer.missing.value.empty();
    if (lacksChain && this->storeWholeChain(from, answer.ticket, found->second))
        return;
    found->second.awaited.erase(from);
    this->askFurther(answer.ticket);
    this->evaluate(answer.ticket);
}

// Public -------------------------------------------------------------------------------------------------------------

JournalClient::JournalClient(TimerService& timers, JournalClientLimits limits, Send send)
    : impl(std::make_shared<Impl>(timers, limits, std::move(send)))
{
}

JournalClient::~JournalClient() = default;

void JournalClient::setObserver(std::function<void(const JournalOperationResult&)> observer)
{
    this->impl->observer = std::move(observer);
}

bool JournalClient::setMembers(const JournalSet& set)
{
    if (set.epoch <= this->impl->set.epoch)
        return false;
    this->impl->adopt(set);
    return true;
}

const JournalSet& JournalClient::members() const { return this->impl->set; }

bool JournalClient::hasQuorum(const std::set<NodeId>& linked) const
{
    const auto count = std::ranges::count_if(
        this->impl->set.members, [&linked](const JournalMember& member) { return linked.contains(member.node); });
    return static_cast<std::size_t>(count) >= this->impl->quorumSize();
}

void JournalClient::onMessage(const NodeId& from, const Message& message)
{
    if (const auto* claims = std::get_if<ClaimsKnown>(&message))
        this->impl->onClaims(from, *claims);
    else if (const auto* stored = std::get_if<TurnStored>(&message))
        this->impl->onStored(from, *stored);
    else if (const auto* fetched = std::get_if<TurnFetched>(&message))
        this->impl->onFetched(from, *fetched);
    else if (const auto* inconclusive = std::get_if<JournalInconclusive>(&message))
        this->impl->onInconclusive(from, *inconclusive);
}

void JournalClient::setNear(const NodeId& member) { this->impl->nearMembers.insert(member); }

void JournalClient::onLinkDown(const NodeId& member)
{
    std::vector<JournalTicket> affected;
    for (auto& [ticket, operation] : this->impl->operations) {
        if (operation.awaited.erase(member) > 0)
            affected.push_back(ticket);
    }
    for (const JournalTicket ticket : affected) {
        this->impl->askFurther(ticket);
        this->impl->evaluate(ticket);
    }
}

void JournalClient::claim(const BudgetId& budget, const TurnId& turn, TokenCount maxTokens, TokenCount limit,
    Milliseconds retention, std::function<void(tl::expected<ClaimOutcome, JournalError>)> done)
{
    if (maxTokens > limit) {
        done(tl::unexpected(JournalError::BudgetSpent));
        return;
    }
    JournalOperation operation;
    operation.kind = JournalOperation::Kind::Claim;
    operation.budget = budget;
    operation.turn = turn;
    operation.maxTokens = maxTokens;
    operation.limit = limit;
    operation.retention = retention;
    operation.claimDone = std::move(done);
    const JournalTicket ticket = this->impl->nextTicket();
    operation.request = ClaimTokens { ticket, budget, { turn, maxTokens, false }, retention };
    this->impl->start(ticket, std::move(operation));
}

void JournalClient::settle(const BudgetId& budget, const TurnId& turn, TokenCount used, Milliseconds retention)
{
    const SettleClaim settled { budget, { turn, used, true }, retention };
    for (const JournalMember& member : this->impl->set.members)
        this->impl->send(member.node, settled);
}

void JournalClient::store(const RetainedTurn& turn, const std::string& transcriptBefore,
    std::function<void(tl::expected<void, JournalError>)> done)
{
    // The next turn of the chain, if this gateway receives it, needs this transcript and not the previous one.
    this->impl->cache.remove(turn.previous);
    this->impl->cache.add(turn.id, transcriptBefore + turn.input + turn.output, this->impl->timers.now());
    JournalOperation operation;
    operation.kind = JournalOperation::Kind::Store;
    operation.turn = turn.id;
    operation.transcriptBefore = transcriptBefore;
    operation.storeDone = std::move(done);
    const JournalTicket ticket = this->impl->nextTicket();
    operation.request = StoreTurn { ticket, turn };
    this->impl->start(ticket, std::move(operation));
}

void JournalClient::fetch(const TurnId& turn, std::function<void(tl::expected<std::string, JournalError>)> done)
{
    if (const std::string* cached = this->impl->cache.find(turn)) {
        done(*cached);
        return;
    }
    JournalOperation operation;
    operation.kind = JournalOperation::Kind::Fetch;
    operation.turn = turn;
    operation.requested = turn;
    operation.fetchDone = std::move(done);
    this->impl->startFetch(std::move(operation));
}

}
