#pragma once

#include "Rattandeck/quotaholder.h"

#include <array>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

/// Internal state of the holder of tokens: `quotaholder.cpp` has issuers and tokens, `quotarounds.cpp` questions to
/// issuers and their answers.
namespace Rattandeck::Quotas {

/// Rounding errors of sums of parts.
constexpr double partTolerance = 1e-6;
/// A call needs some time from the gateway's decision until it is written to its connection.
constexpr Milliseconds minTimeLeft { 20 };

/// Identifies calls that ask together.
using RoundId = Strong<struct QuotaRoundTag, std::uint64_t>;

struct TokenBatch {
    NodeId issuer;
    std::uint64_t stamp = 0;
    TimePoint useBy;
    std::uint32_t count = 0;
    bool includesFirstTurns = false;
};

struct Waiter {
    QuotaHolder::WaiterId id = 0;
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

inline std::size_t indexOf(QuotaKind kind) { return kind == QuotaKind::FirstTurn ? 1 : 0; }

}

namespace Rattandeck {

struct QuotaHolder::Impl : std::enable_shared_from_this<QuotaHolder::Impl> {
    using HeldOrganisation = Quotas::HeldOrganisation;
    using Round = Quotas::Round;
    using RoundId = Quotas::RoundId;
    using SentRequest = Quotas::SentRequest;
    using Waiter = Quotas::Waiter;

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
    void sendAll(std::map<NodeId, QuotaRequests>& messages);
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

}
