#include "Rattandeck/journalclient.h"

#include "Rattandeck/tickets.h"
#include "transcriptcache.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

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

// Outstanding operations ---------------------------------------------------------------------------------------------

namespace {

    using ClaimDone = std::function<void(tl::expected<ClaimOutcome, JournalError>)>;
    using StoreDone = std::function<void(tl::expected<void, JournalError>)>;
    using FetchDone = std::function<void(tl::expected<std::string, JournalError>)>;

    struct Operation {
        enum class Kind { Claim, Store, Fetch };
        Kind kind = Kind::Claim;
        TimePoint startedAt;
        TimerId timer;
        Message request;
        /// Members that the request was sent to and that have not answered.
        std::set<NodeId> awaited;
        /// Members whose answers count towards the quorum.
        std::set<NodeId> answered;
        /// For fetches: the members that have been asked under this set, with any outcome.
        std::set<NodeId> asked;
        TimerId hedgeTimer;

        BudgetId budget;
        TurnId turn;
        TokenCount maxTokens;
        TokenCount limit;
        Milliseconds retention { 0 };
        std::map<TurnId, TokenClaim> knownClaims;
        /// The claim has been recorded; this second request only queries the other claims.
        bool isRepeated = false;
        /// The number of times that a claim has been sent again because its answers were late.
        std::uint32_t lateRepeats = 0;
        ClaimDone claimDone;
        StoreDone storeDone;
        FetchDone fetchDone;
        /// For stores: the prompt that consists of the chain before the turn.
        std::string transcriptBefore;
        /// The fetched part of the chain after `turn`, when a journal lacked `turn`.
        std::string suffix;
        /// For fetches: the turn that was asked for, and the members that have it without the beginning of its chain.
        TurnId requested;
        std::set<NodeId> incomplete;
    };

}

struct JournalClient::Impl : std::enable_shared_from_this<JournalClient::Impl> {
    Impl(TimerService& timers, JournalClientLimits limits, Send send)
        : timers(timers)
        , limits(limits)
        , send(std::move(send))
        , lastTicket(limits.firstTicket.value_or(drawTicket()))
        , hedgeBudget(limits.hedgeBurst)
    {
    }

    TimerService& timers;
    JournalClientLimits limits;
    Send send;
    JournalSet set;
    std::uint64_t lastTicket;
    std::unordered_map<JournalTicket, Operation> operations;
    /// Stores that have succeeded while some members had not answered, which may lack the turn's chain.
    std::unordered_map<JournalTicket, Operation> completedStores;
    std::function<void(const JournalOperationResult&)> observer;
    /// Members in this gateway's failure domain.
    std::set<NodeId> nearMembers;
    /// Position in the set at which the next fetch begins, so that fetches are spread over the members.
    std::size_t nextFirst = 0;
    /// Hedges that may be spent: see `JournalClientLimits::hedgeRatio`.
    double hedgeBudget = 0;

    /// Transcripts of turns that this gateway has stored, for the turns that continue them.
    TranscriptCache cache { this->limits.cacheBytes, this->limits.cacheRetention };

    /// Number of members that must answer. Any `copies` members include at least one member of any quorum, so each
    /// record with that many copies is known to the quorum.
    std::size_t quorumSize() const
    {
        const std::size_t size = this->set.members.size();
        return std::max(this->limits.copies, size + 1 - std::min(size, this->limits.copies));
    }

    JournalTicket nextTicket() { return JournalTicket(++this->lastTicket); }
    void start(JournalTicket ticket, Operation operation);
    void startFetch(Operation fetch);
    void sendToMembers(JournalTicket ticket);
    std::vector<NodeId> fetchOrder();
    void askMore(Operation& fetch, std::size_t count);
    void askFurther(JournalTicket ticket);
    void scheduleHedge(JournalTicket ticket, Operation& fetch);
    void hedge(JournalTicket ticket);
    void adopt(const JournalSet& later);
    bool isMember(const NodeId& node) const;
    Operation* recordAnswer(JournalTicket ticket, const NodeId& from, Epoch epoch);
    void evaluate(JournalTicket ticket);
    void evaluateFetch(JournalTicket ticket, const Operation& operation);
    std::size_t unasked(const Operation& operation) const;
    void evaluateClaim(JournalTicket ticket, Operation& operation);
    void repeatClaim(JournalTicket ticket);
    void onTimeout(JournalTicket ticket);
    void fail(JournalTicket ticket, JournalError error);
    Operation extract(JournalTicket ticket);
    /// Removes an operation that has ended and reports its result.
    Operation finish(JournalTicket ticket, std::optional<JournalError> error);

    void onClaims(const NodeId& from, const ClaimsKnown& answer);
    void onStored(const NodeId& from, const TurnStored& answer);
    void onFetched(const NodeId& from, const TurnFetched& answer);
    void onInconclusive(const NodeId& from, const JournalInconclusive& answer);
    bool storeWholeChain(const NodeId& member, JournalTicket ticket, const Operation& operation);
    void completeStore(JournalTicket ticket);
    /// A member has answered a store that had succeeded before. Returns whether there is such a store.
    bool answerCompletedStore(const NodeId& member, JournalTicket ticket, bool lacksChain);
    void fetchMissingPrefix(JournalTicket ticket, const NodeId& from, const TurnFetched& answer);
    /// Asks the members for the requested turn that have not given a part of its chain. Returns false if there is none.
    bool fetchElsewhere(JournalTicket ticket);
};

// Requests -----------------------------------------------------------------------------------------------------------

void JournalClient::Impl::start(JournalTicket ticket, Operation operation)
{
    if (operation.startedAt == TimePoint())
        operation.startedAt = this->timers.now();
    operation.timer = this->timers.subscribeAfter(this->limits.answerTimeout, [weak = this->weak_from_this(), ticket] {
        if (const auto self = weak.lock())
            self->onTimeout(ticket);
    });
    const bool isFetch = operation.kind == Operation::Kind::Fetch;
    Operation& started = this->operations.emplace(ticket, std::move(operation)).first->second;
    if (!isFetch) {
        this->sendToMembers(ticket);
        return;
    }
    this->hedgeBudget = std::min(this->limits.hedgeBurst, this->hedgeBudget + this->limits.hedgeRatio);
    this->askMore(started, 1);
    this->scheduleHedge(ticket, started);
    this->evaluate(ticket);
}

/// A fetch has waited for `hedgeDelay`: asks one more member if the budget allows it. Without a bound, the further
/// transcripts would keep a link full that is slow because it is full.
void JournalClient::Impl::hedge(JournalTicket ticket)
{
    const auto found = this->operations.find(ticket);
    if (found == this->operations.end())
        return;
    if (this->hedgeBudget >= 1) {
        this->hedgeBudget -= 1;
        this->askMore(found->second, 1);
    }
    this->scheduleHedge(ticket, found->second);
}

/// The members in the order in which a fetch asks them: near ones first, beginning at a different one each time.
std::vector<NodeId> JournalClient::Impl::fetchOrder()
{
    std::vector<NodeId> order;
    std::vector<NodeId> remote;
    for (const JournalMember& member : this->set.members)
        (this->nearMembers.contains(member.node) ? order : remote).push_back(member.node);
    const std::size_t first = this->nextFirst++;
    for (std::vector<NodeId>* nodes : { &order, &remote }) {
        if (!nodes->empty())
            std::rotate(
                nodes->begin(), nodes->begin() + static_cast<std::ptrdiff_t>(first % nodes->size()), nodes->end());
    }
    order.insert(order.end(), remote.begin(), remote.end());
    return order;
}

/// Sends a fetch to `count` further members, as far as there are any with a link.
void JournalClient::Impl::askMore(Operation& fetch, std::size_t count)
{
    for (const NodeId& node : this->fetchOrder()) {
        if (count == 0)
            return;
        if (!fetch.asked.insert(node).second || !this->send(node, fetch.request))
            continue;
        fetch.awaited.insert(node);
        --count;
    }
}

/// A member could not give the turn: asks as many further members as have been asked, since a quorum is needed to tell
/// that the turn is missing.
void JournalClient::Impl::askFurther(JournalTicket ticket)
{
    const auto found = this->operations.find(ticket);
    if (found != this->operations.end() && found->second.kind == Operation::Kind::Fetch)
        this->askMore(found->second, std::max<std::size_t>(found->second.asked.size(), 1));
}

void JournalClient::Impl::scheduleHedge(JournalTicket ticket, Operation& fetch)
{
    fetch.hedgeTimer = this->timers.subscribeAfter(this->limits.hedgeDelay, [weak = this->weak_from_this(), ticket] {
        if (const auto self = weak.lock())
            self->hedge(ticket);
    });
}

bool JournalClient::Impl::isMember(const NodeId& node) const
{
    return std::ranges::any_of(this->set.members, [&node](const JournalMember& member) { return member.node == node; });
}

/// Sends the request to the members that have not received it yet.
void JournalClient::Impl::sendToMembers(JournalTicket ticket)
{
    Operation& operation = this->operations.at(ticket);
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
        const bool isFetch = operation.kind == Operation::Kind::Fetch;
        const auto isDiscarded = [this, isFetch](const NodeId& node) { return isFetch || !this->isMember(node); };
        std::erase_if(operation.awaited, isDiscarded);
        std::erase_if(operation.answered, isDiscarded);
    }
    for (const JournalTicket ticket : tickets) {
        const auto found = this->operations.find(ticket);
        if (found == this->operations.end())
            continue;
        if (found->second.kind != Operation::Kind::Fetch) {
            this->sendToMembers(ticket);
            continue;
        }
        const std::size_t asked = std::max<std::size_t>(found->second.asked.size(), 1);
        found->second.asked.clear();
        this->askMore(found->second, asked);
        this->evaluate(ticket);
    }
}

Operation JournalClient::Impl::extract(JournalTicket ticket)
{
    const auto found = this->operations.find(ticket);
    Operation operation = std::move(found->second);
    this->operations.erase(found);
    this->timers.cancel(operation.timer);
    this->timers.cancel(operation.hedgeTimer);
    return operation;
}

static std::string_view nameOf(Operation::Kind kind)
{
    switch (kind) {
    case Operation::Kind::Claim:
        return "claim";
    case Operation::Kind::Store:
        return "store";
    case Operation::Kind::Fetch:
        return "fetch";
    }
    return "unknown";
}

/// The tokens claimed by other turns according to the answers received so far.
static TokenCount sumOtherClaims(const Operation& operation)
{
    std::int64_t tokensOfOthers = 0;
    for (const auto& [turn, claim] : operation.knownClaims)
        tokensOfOthers += turn == operation.turn ? 0 : claim.tokens.value;
    return TokenCount(tokensOfOthers);
}

Operation JournalClient::Impl::finish(JournalTicket ticket, std::optional<JournalError> error)
{
    Operation operation = this->extract(ticket);
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
    const Operation operation = this->finish(ticket, error);
    if (operation.kind == Operation::Kind::Claim) {
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
    Operation& operation = found->second;
    if (operation.kind == Operation::Kind::Fetch) {
        this->evaluateFetch(ticket, operation);
        return;
    }
    const bool isStore = operation.kind == Operation::Kind::Store;
    const std::size_t needed = isStore ? this->limits.copies : this->quorumSize();
    if (operation.answered.size() + operation.awaited.size() < needed)
        this->fail(ticket, JournalError::Unavailable);
    else if (operation.answered.size() >= needed && isStore)
        this->completeStore(ticket);
    else if (operation.answered.size() >= needed)
        this->evaluateClaim(ticket, operation);
}

/// Ends a fetch, or goes on with it elsewhere, once the members that have been asked can't give the turn.
void JournalClient::Impl::evaluateFetch(JournalTicket ticket, const Operation& operation)
{
    const std::size_t mayStillAnswer = operation.awaited.size() + this->unasked(operation);
    const std::size_t needed = this->quorumSize();
    // If a part of the chain was found, its earlier turns have been written as well, and no quorum can deny them.
    const bool isKnownToExist = !operation.incomplete.empty();
    const bool isDenied = operation.answered.size() >= needed;
    if (!isKnownToExist) {
        if (isDenied)
            this->fail(ticket, JournalError::NotFound);
        else if (operation.answered.size() + mayStillAnswer < needed)
            this->fail(ticket, JournalError::Unavailable);
        return;
    }
    const bool isExhausted = mayStillAnswer == 0 || (isDenied && !operation.suffix.empty());
    if (isExhausted && !this->fetchElsewhere(ticket))
        this->fail(ticket, JournalError::Unavailable);
}

/// The number of members that a fetch may still ask.
std::size_t JournalClient::Impl::unasked(const Operation& operation) const
{
    if (operation.kind != Operation::Kind::Fetch)
        return 0;
    const auto count = std::ranges::count_if(this->set.members,
        [&operation](const JournalMember& member) { return !operation.asked.contains(member.node); });
    return static_cast<std::size_t>(count);
}

void JournalClient::Impl::evaluateClaim(JournalTicket ticket, Operation& operation)
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
    Operation claim = this->extract(ticket);
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
    Operation& operation = found->second;
    if (operation.kind != Operation::Kind::Claim || operation.lateRepeats >= this->limits.lateClaimRepeats) {
        this->fail(ticket, JournalError::Unavailable);
        return;
    }
    ++operation.lateRepeats;
    this->repeatClaim(ticket);
}

// Answers ------------------------------------------------------------------------------------------------------------

/// Records that a member has answered. Returns nothing when the answer is to be ignored.
Operation* JournalClient::Impl::recordAnswer(JournalTicket ticket, const NodeId& from, Epoch epoch)
{
    const auto found = this->operations.find(ticket);
    if (found == this->operations.end() || !found->second.awaited.contains(from))
        return nullptr;
    Operation& operation = found->second;
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
    Operation* operation = this->recordAnswer(answer.ticket, from, answer.epoch);
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

void JournalClient::Impl::onFetched(const NodeId& from, const TurnFetched& answer)
{
    if (!this->recordAnswer(answer.ticket, from, answer.epoch))
        return;
    if (!answer.isFound) {
        this->askFurther(answer.ticket);
        this->evaluate(answer.ticket);
        return;
    }
    if (answer.missing.value.empty()) {
        const Operation operation = this->finish(answer.ticket, std::nullopt);
        operation.fetchDone(answer.transcript + operation.suffix);
        return;
    }
    this->fetchMissingPrefix(answer.ticket, from, answer);
}

/// Sends a turn that begins a chain and contains the text of the whole chain up to it. The beginning of the chain may
/// have expired while the turn was under way, so no other journal need have it.
bool JournalClient::Impl::storeWholeChain(const NodeId& member, JournalTicket ticket, const Operation& operation)
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
    Operation operation = this->finish(ticket, std::nullopt);
    const StoreDone done = std::move(operation.storeDone);
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
    Operation& store = found->second;
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
    const bool lacksChain = found->second.kind == Operation::Kind::Store && !answer.missing.value.empty();
    if (lacksChain && this->storeWholeChain(from, answer.ticket, found->second))
        return;
    found->second.awaited.erase(from);
    this->askFurther(answer.ticket);
    this->evaluate(answer.ticket);
}

/// A journal has only the end of a chain. Requests the missing beginning from all members.
void JournalClient::Impl::fetchMissingPrefix(JournalTicket ticket, const NodeId& from, const TurnFetched& answer)
{
    Operation rest = this->extract(ticket);
    if (rest.suffix.empty())
        rest.incomplete.insert(from);
    rest.turn = answer.missing;
    rest.suffix = answer.transcript + rest.suffix;
    rest.asked.clear();
    this->startFetch(std::move(rest));
}

bool JournalClient::Impl::fetchElsewhere(JournalTicket ticket)
{
    const Operation& known = this->operations.at(ticket);
    const bool isAnyLeft = std::ranges::any_of(
        this->set.members, [&known](const JournalMember& member) { return !known.incomplete.contains(member.node); });
    if (!isAnyLeft || known.suffix.empty())
        return false;
    Operation whole = this->extract(ticket);
    whole.turn = whole.requested;
    whole.suffix.clear();
    whole.asked = whole.incomplete;
    this->startFetch(std::move(whole));
    return true;
}

void JournalClient::Impl::startFetch(Operation fetch)
{
    fetch.awaited.clear();
    fetch.answered.clear();
    const JournalTicket ticket = this->nextTicket();
    fetch.request = FetchTurn { ticket, fetch.turn };
    this->start(ticket, std::move(fetch));
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
    Operation operation;
    operation.kind = Operation::Kind::Claim;
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
    Operation operation;
    operation.kind = Operation::Kind::Store;
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
    Operation operation;
    operation.kind = Operation::Kind::Fetch;
    operation.turn = turn;
    operation.requested = turn;
    operation.fetchDone = std::move(done);
    this->impl->startFetch(std::move(operation));
}

}
