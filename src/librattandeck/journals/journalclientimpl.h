#pragma once

#include "Rattandeck/journalclient.h"
#include "Rattandeck/tickets.h"
#include "transcriptcache.h"

#include <map>
#include <set>
#include <unordered_map>

namespace Rattandeck {

/// An operation that has been sent to the journals, until its result is known.
struct JournalOperation {
    using ClaimDone = std::function<void(tl::expected<ClaimOutcome, JournalError>)>;
    using StoreDone = std::function<void(tl::expected<void, JournalError>)>;
    using FetchDone = std::function<void(tl::expected<std::string, JournalError>)>;

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
    std::unordered_map<JournalTicket, JournalOperation> operations;
    /// Stores that have succeeded while some members had not answered, which may lack the turn's chain.
    std::unordered_map<JournalTicket, JournalOperation> completedStores;
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
    void start(JournalTicket ticket, JournalOperation operation);
    void startFetch(JournalOperation fetch);
    void sendToMembers(JournalTicket ticket);
    std::vector<NodeId> fetchOrder();
    void askMore(JournalOperation& fetch, std::size_t count);
    void askFurther(JournalTicket ticket);
    void scheduleHedge(JournalTicket ticket, JournalOperation& fetch);
    void hedge(JournalTicket ticket);
    void adopt(const JournalSet& later);
    bool isMember(const NodeId& node) const;
    JournalOperation* recordAnswer(JournalTicket ticket, const NodeId& from, Epoch epoch);
    void evaluate(JournalTicket ticket);
    void evaluateFetch(JournalTicket ticket, const JournalOperation& operation);
    std::size_t unasked(const JournalOperation& operation) const;
    void evaluateClaim(JournalTicket ticket, JournalOperation& operation);
    void repeatClaim(JournalTicket ticket);
    void onTimeout(JournalTicket ticket);
    void fail(JournalTicket ticket, JournalError error);
    JournalOperation extract(JournalTicket ticket);
    /// Removes an operation that has ended and reports its result.
    JournalOperation finish(JournalTicket ticket, std::optional<JournalError> error);

    void onClaims(const NodeId& from, const ClaimsKnown& answer);
    void onStored(const NodeId& from, const TurnStored& answer);
    void onFetched(const NodeId& from, const TurnFetched& answer);
    void onInconclusive(const NodeId& from, const JournalInconclusive& answer);
    bool storeWholeChain(const NodeId& member, JournalTicket ticket, const JournalOperation& operation);
    void completeStore(JournalTicket ticket);
    /// A member has answered a store that had succeeded before. Returns whether there is such a store.
    bool answerCompletedStore(const NodeId& member, JournalTicket ticket, bool lacksChain);
    void fetchMissingPrefix(JournalTicket ticket, const NodeId& from, const TurnFetched& answer);
    /// Asks the members for the requested turn that have not given a part of its chain. Returns false if there is none.
    bool fetchElsewhere(JournalTicket ticket);
};

}
