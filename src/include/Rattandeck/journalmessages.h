#pragma once

#include "Rattandeck/types.h"

#include <string>
#include <vector>

/// Messages between gateways, which relay calls, and journals, which keep on disk what must outlive every process.
///
/// A record (a claim or a retained turn) is immutable once settled and has a name of its own, so journals never have to
/// agree on an order: each keeps the union of what it is sent.
namespace Rattandeck {

/// Names a turn: the id of the request that made it.
using TurnId = Strong<struct TurnIdTag, std::string>;
/// The name under which the turns of a program, through whatever gateways, share one token budget.
using BudgetId = Strong<struct BudgetIdTag, std::string>;
using JournalTicket = Strong<struct JournalTicketTag, std::uint64_t>;

/// Tokens that one turn may still generate, or has generated.
struct TokenClaim {
    TurnId turn;
    TokenCount tokens;
    /// The turn has ended and `tokens` is what it used; before, it is the most that it may use.
    bool isSettled = false;
    bool operator==(const TokenClaim&) const = default;
};

/// Gateway to journal: records a claim on a budget. Answered by `ClaimsKnown` once the claim is on disk.
struct ClaimTokens {
    JournalTicket ticket;
    BudgetId budget;
    TokenClaim claim;
    Milliseconds retention { 0 };
    bool operator==(const ClaimTokens&) const = default;
};

struct ClaimsKnown {
    JournalTicket ticket;
    /// The set that the journal knows.
    Epoch epoch;
    /// All claims on the budget, the new one included.
    std::vector<TokenClaim> claims;
    bool operator==(const ClaimsKnown&) const = default;
};

/// Gateway to journal: what a turn used in the end. Not answered.
struct SettleClaim {
    BudgetId budget;
    TokenClaim claim;
    Milliseconds retention { 0 };
    bool operator==(const SettleClaim&) const = default;
};

/// A turn from which later ones may continue.
struct RetainedTurn {
    TurnId id;
    /// Empty at the start of a chain.
    TurnId previous;
    /// What the turn added to the prompt.
    std::string input;
    /// The data of its events, each followed by a line feed.
    std::string output;
    /// Kept, with its chain, for this long.
    Milliseconds retention { 0 };
    bool operator==(const RetainedTurn&) const = default;
};

/// Gateway to journal: answered by `TurnStored` once the turn is on disk.
struct StoreTurn {
    JournalTicket ticket;
    RetainedTurn turn;
    bool operator==(const StoreTurn&) const = default;
};

struct TurnStored {
    JournalTicket ticket;
    Epoch epoch;
    bool operator==(const TurnStored&) const = default;
};

/// Gateway to journal: asks for the prompt that a chain of turns makes.
struct FetchTurn {
    JournalTicket ticket;
    TurnId turn;
    bool operator==(const FetchTurn&) const = default;
};

struct TurnFetched {
    JournalTicket ticket;
    Epoch epoch;
    /// The journal has the turn, though perhaps not all that it continues from.
    bool isFound = false;
    /// The nearest earlier turn of the chain that the journal lacks; empty when it has the whole chain.
    TurnId missing;
    /// Inputs and outputs from the start of the chain, or from after `missing`, through the turn.
    std::string transcript;
    bool operator==(const TurnFetched&) const = default;
};

/// Journal to gateway: the journal can't answer the question of this ticket now, since it may lack what others hold. A
/// record that came with the question is kept all the same.
struct JournalInconclusive {
    JournalTicket ticket;
    bool operator==(const JournalInconclusive&) const = default;
};

/// Tells requests with the same content from others.
using Fingerprint = Strong<struct FingerprintTag, std::string>;

/// An instance crashed on a request.
struct CrashReport {
    Fingerprint request;
    /// Names the crash: the instance and its run.
    std::string crash;
    Milliseconds retention { 0 };
    bool operator==(const CrashReport&) const = default;
};

/// Gateway to journals, which keep reports and pass them to all gateways.
struct CrashReports {
    std::vector<CrashReport> reports;
    bool operator==(const CrashReports&) const = default;
};

/// A journal of the set that keeps records.
struct JournalMember {
    NodeId node;
    /// "host:port".
    std::string address;
    bool operator==(const JournalMember&) const = default;
};

/// Between any two processes: the journals in force. The higher epoch holds.
struct JournalSet {
    Epoch epoch;
    std::vector<JournalMember> members;
    /// Who made the change to this set; it counts for nothing until it has copied the others' records.
    NodeId proposer;
    bool operator==(const JournalSet&) const = default;
};

/// Journal to journal: asks which records there are after a cursor (0: from the start).
struct CopyRequest {
    /// Tells the rounds of one asker apart.
    std::uint64_t round = 0;
    std::uint64_t cursor = 0;
    bool operator==(const CopyRequest&) const = default;
};

struct CopyPage {
    std::uint64_t round = 0;
    /// The set that the sender knew when it made the page.
    Epoch epoch;
    /// To be sent with the next request.
    std::uint64_t cursor = 0;
    bool isLast = false;
    std::vector<SettleClaim> claims;
    /// Turns by name; whoever lacks one asks for it.
    std::vector<TurnId> turns;
    /// All of them, with the last page.
    std::vector<CrashReport> crashes;
    bool operator==(const CopyPage&) const = default;
};

/// Journal to journal: asks for turns by name.
struct TurnsRequest {
    std::vector<TurnId> turns;
    bool operator==(const TurnsRequest&) const = default;
};

/// Those of the turns asked for that the sender has.
struct TurnsPage {
    std::vector<RetainedTurn> turns;
    bool operator==(const TurnsPage&) const = default;
};

// What the platform's store says, spread among gateways and journals -------------------------------------------------

struct GossipItem {
    std::string topic;
    /// Of two versions of a topic the higher one holds.
    std::uint64_t version = 0;
    bool isRemoved = false;
    std::string text;
    bool operator==(const GossipItem&) const = default;
};

struct GossipOffer {
    std::string topic;
    std::uint64_t version = 0;
    bool operator==(const GossipOffer&) const = default;
};

struct GossipOffers {
    std::vector<GossipOffer> offers;
    bool operator==(const GossipOffers&) const = default;
};

struct GossipRequest {
    std::vector<std::string> topics;
    bool operator==(const GossipRequest&) const = default;
};

struct GossipItems {
    std::vector<GossipItem> items;
    bool operator==(const GossipItems&) const = default;
};

}
