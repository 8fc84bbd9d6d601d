#pragma once

#include "Rattandeck/types.h"

#include <string>
#include <vector>

/// Messages between gateways, which relay calls, and journals, which store records durably on disk.
///
/// A record (a claim or a retained turn) has a unique id and is immutable once settled. Journals therefore need no
/// agreement on an order of records: each stores the union of the records that it receives.
namespace Rattandeck {

/// Identifies a turn by the id of the request that produced it.
using TurnId = Strong<struct TurnIdTag, std::string>;
/// Identifies a token budget, which all turns of a program share across gateways.
using BudgetId = Strong<struct BudgetIdTag, std::string>;
/// Correlates a request of a gateway with the answers of the journals.
using JournalTicket = Strong<struct JournalTicketTag, std::uint64_t>;

/// The share of a token budget that one turn has reserved or used.
struct TokenClaim {
    TurnId turn;
    TokenCount tokens;
    /// If set, the turn has ended and `tokens` is the number that it used. Otherwise `tokens` is its upper bound.
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
    /// The epoch of the set that the journal knows.
    Epoch epoch;
    /// All claims on the budget, the new one included.
    std::vector<TokenClaim> claims;
    bool operator==(const ClaimsKnown&) const = default;
};

/// Gateway to journal: the tokens that a turn used in total. Not answered.
struct SettleClaim {
    BudgetId budget;
    TokenClaim claim;
    Milliseconds retention { 0 };
    bool operator==(const SettleClaim&) const = default;
};

/// A turn that later turns may continue from.
struct RetainedTurn {
    TurnId id;
    /// The turn that this one continues from; empty for the first turn of a chain.
    TurnId previous;
    /// The text that the turn appended to the prompt.
    std::string input;
    /// The data of its events, each followed by a line feed.
    std::string output;
    /// The turn and the chain before it are retained for this long.
    Milliseconds retention { 0 };
    bool operator==(const RetainedTurn&) const = default;
};

/// Gateway to journal: answered by `TurnStored` once the turn is on disk. A journal that lacks a part of the turn's
/// chain answers with `JournalInconclusive` and does not store the turn, which could not be continued from there.
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

/// Gateway to journal: requests the prompt that consists of a chain of turns.
struct FetchTurn {
    JournalTicket ticket;
    TurnId turn;
    bool operator==(const FetchTurn&) const = default;
};

struct TurnFetched {
    JournalTicket ticket;
    Epoch epoch;
    /// The journal has the turn. It may lack earlier turns of the chain.
    bool isFound = false;
    /// The latest earlier turn of the chain that the journal lacks; empty when it has the whole chain.
    TurnId missing;
    /// Inputs and outputs from the start of the chain, or from the turn after `missing`, up to and including the turn.
    std::string transcript;
    bool operator==(const TurnFetched&) const = default;
};

/// Journal to gateway: the journal cannot answer the request with this ticket now, because it may lack records that
/// other members hold. It still stores a record that the request contained, unless that is a turn whose chain it lacks.
struct JournalInconclusive {
    JournalTicket ticket;
    /// The latest earlier turn that the journal lacks of the chain of a turn that it was to store; the turn was not
    /// stored. Empty for other requests.
    TurnId missing;
    bool operator==(const JournalInconclusive&) const = default;
};

/// Digest of the content of a request.
using Fingerprint = Strong<struct FingerprintTag, std::string>;

/// Reports that an instance crashed while it ran a request, that a request was answered, or that it is tried.
struct CrashReport {
    Fingerprint request;
    /// Identifies the crash by the instance and its run, or the answer or trial.
    std::string crash;
    Milliseconds retention { 0 };
    /// The number of rounds of crashes of the request that were known when it was sent; see `CrashWatch`.
    std::uint32_t round = 0;
    /// The request was answered: crashes of this round and of earlier ones are not due to it.
    bool isAnswer = false;
    /// The request, which is suspected, is being sent once to find out.
    bool isTrial = false;
    bool operator==(const CrashReport&) const = default;
};

/// Gateway to journal: reports crashes. The journal stores the reports and forwards them to all gateways.
struct CrashReports {
    std::vector<CrashReport> reports;
    bool operator==(const CrashReports&) const = default;
};

/// A member of the set of journals.
struct JournalMember {
    NodeId node;
    /// "host:port".
    std::string address;
    bool operator==(const JournalMember&) const = default;
};

/// Between any two processes: the set of journals. The set with the highest epoch is in force.
struct JournalSet {
    Epoch epoch;
    std::vector<JournalMember> members;
    /// The journal that wrote this set to the store. If it joined with this change, it is non-voting until it has
    /// copied the records of the other members.
    NodeId proposer;
    bool operator==(const JournalSet&) const = default;
};

/// Journal to journal: whether the sender lacks records. Sent when a link is up and when the set or the answer changes.
struct JournalStanding {
    /// The set that the sender knows.
    Epoch epoch;
    /// The sender has not yet copied all records that it, or a member that it has replaced, held before.
    bool lacksRecords = true;
    /// The member whose records it lacks because it has replaced it; empty when it is not for this reason alone.
    NodeId replaced;
    bool operator==(const JournalStanding&) const = default;
};

/// Journal to journal: one step of copying the records of another journal. The requester compares its records with
/// those of the receiver (`digests`, for one range of buckets after the other), requests the ones that it lacks
/// (`wanted`), and reports that it has stored them (`isCopied`). A request with none of these fields comes from an
/// earlier version and asks for the records after a cursor (0: from the start); an earlier version answers every
/// request in that way.
struct CopyRequest {
    /// Correlates the page with the current copy round of the requester.
    std::uint64_t round = 0;
    std::uint64_t cursor = 0;
    /// Digests of the requester's records, one for each bucket; see `RecordDigests`.
    std::string digests;
    /// The first bucket to compare.
    std::uint32_t firstBucket = 0;
    /// Names of records.
    std::string wanted;
    /// The requester has stored all records that the receiver held when it knew the set of this epoch.
    bool isCopied = false;
    Epoch copiedEpoch;
    bool operator==(const CopyRequest&) const = default;
};

struct CopyPage {
    std::uint64_t round = 0;
    /// The epoch of the set that the sender knew when it made the page.
    Epoch epoch;
    /// The cursor for the next request; if `isComparison`, the cursor of the request that the page answers.
    std::uint64_t cursor = 0;
    bool isLast = false;
    std::vector<SettleClaim> claims;
    /// Ids of turns. The receiver requests the turns that it lacks.
    std::vector<TurnId> turns;
    /// The size of each turn in `turns`, in bytes.
    std::vector<std::uint64_t> turnBytes;
    /// Without comparison, all crash reports; sent with the last page only.
    std::vector<CrashReport> crashes;
    /// The page answers the further fields of the request, which earlier versions ignore.
    bool isComparison = false;
    /// For a request with digests: the names of all records in the buckets from `firstBucket` to before `nextBucket`
    /// whose digests differ.
    std::string names;
    std::uint32_t firstBucket = 0;
    std::uint32_t nextBucket = 0;
    bool areAllCompared = false;
    bool operator==(const CopyPage&) const = default;
};

/// Journal to journal: requests turns by id.
struct TurnsRequest {
    std::vector<TurnId> turns;
    bool operator==(const TurnsRequest&) const = default;
};

/// Answers a `TurnsRequest`.
struct TurnsPage {
    std::vector<RetainedTurn> turns;
    /// The requested turns that have expired at the sender.
    std::vector<TurnId> expired;
    bool operator==(const TurnsPage&) const = default;
};

}
