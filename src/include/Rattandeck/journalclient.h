#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/timer.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Rattandeck {

/// Why an operation on the journals failed.
enum class JournalError {
    /// Too few journals could be reached or answered in time. The state of the record is unknown.
    Unavailable,
    /// A quorum of journals reported that the turn does not exist.
    NotFound,
    /// The claim exceeds the budget. The claim has been withdrawn.
    BudgetSpent,
};

struct ClaimOutcome {
    /// Other turns of the program have claimed tokens, settled or not.
    bool hasOtherTurns = false;
};

/// The result of an operation on the journals, for logs and metrics.
struct JournalOperationResult {
    /// "claim", "store" or "fetch".
    std::string_view kind;
    TurnId turn;
    BudgetId budget;
    /// Empty on success.
    std::optional<JournalError> error;
    Milliseconds duration { 0 };
    /// The epoch of the set in force at the end, and the members whose answers counted towards the quorum.
    Epoch epoch;
    std::vector<NodeId> answered;
    std::size_t members = 0;
    /// For claims: the tokens claimed by other turns, the tokens requested, and the limit of the budget.
    TokenCount tokensOfOthers;
    TokenCount maxTokens;
    TokenCount limit;
};

std::string_view describe(JournalError error);

struct JournalClientLimits {
    /// Time-out for a quorum of answers. It must be shorter than the time in which a machine that lost its disk can
    /// restart. Otherwise an operation could include an acknowledgement for a copy that was lost with the disk.
    Milliseconds answerTimeout { 700 };
    /// How often a claim is sent again when a quorum has not answered it in time.
    std::uint32_t lateClaimRepeats = 1;
    /// A fetch asks one more member whenever this time has passed without the turn.
    Milliseconds hedgeDelay { 150 };
    /// Hedges allowed per fetch, on average.
    double hedgeRatio = 0.1;
    /// Upper bound on the unused hedges; also their number at start-up.
    double hedgeBurst = 20;
    /// Copies on disk that a record needs before its write is reported as successful.
    std::size_t copies = 2;
    /// Size of the in-memory cache of transcripts, which serves the next turns of their chains, in bytes.
    std::size_t cacheBytes = 6UL * 1024 * 1024;
    /// Maximum age of a cached transcript. Older ones are evicted when the next turn is stored; reading a transcript
    /// does not extend its lifetime.
    Milliseconds cacheRetention { 15000 };
    /// Ticket after which those of the requests are numbered; drawn if empty. A journal's answer to a gateway's earlier
    /// process may arrive at its later one, which must not take it for an answer to a request of its own.
    std::optional<std::uint64_t> firstTicket;
};

/// A gateway's client of the journals. Every record is sent to all members, and a transcript is fetched from one of
/// them, others being asked only when it lacks the turn or is slow. A write succeeds once `JournalClientLimits::copies`
/// members have it on disk. A negative answer (no such turn, no other claims) needs a quorum that overlaps with every
/// possible set of copies: with two copies, all members but one. There is no leader, so no election is needed while a
/// member is unreachable.
///
/// Two concurrent claims on one budget are both answered by at least one common journal, so at least one of them sees
/// the other. A claim that sees another unsettled claim is sent a second time before it is admitted. Together,
/// concurrently admitted claims exceed the limit by at most one claim.
///
/// Thread safety: not synchronised. Callbacks run from `onMessage`, `onLinkDown` and timers, and from within the call
/// that starts the operation when the result is known immediately.
class JournalClient {
public:
    /// Sends a message to a member. Returns false when no link to it is up.
    using Send = std::function<bool(const NodeId& member, const Message& message)>;

    JournalClient(TimerService& timers, JournalClientLimits limits, Send send);
    ~JournalClient();
    JournalClient(const JournalClient&) = delete;
    JournalClient& operator=(const JournalClient&) = delete;

    /// `observer` is called with the result of each operation that was sent to the journals.
    void setObserver(std::function<void(const JournalOperationResult&)> observer);

    /// Adopts a set if its epoch is higher than that of the set in force. Returns whether it was adopted.
    bool setMembers(const JournalSet& set);
    const JournalSet& members() const;
    /// Whether the members among `linked` form a quorum. Claiming tokens and continuing a turn need a quorum.
    bool hasQuorum(const std::set<NodeId>& linked) const;
    /// Tells that a member is in the same failure domain as this gateway. Fetches ask such members first.
    void setNear(const NodeId& member);
    void onMessage(const NodeId& from, const Message& message);
    /// The link to a member broke: its outstanding answers will not arrive.
    void onLinkDown(const NodeId& member);

    /// Claims up to `maxTokens` tokens for a turn. Errors: `BudgetSpent`, `Unavailable`.
    void claim(const BudgetId& budget, const TurnId& turn, TokenCount maxTokens, TokenCount limit,
        Milliseconds retention, std::function<void(tl::expected<ClaimOutcome, JournalError>)> done);
    /// Records the tokens that a claimed turn has used. Best effort: an unsettled claim is charged in full.
    void settle(const BudgetId& budget, const TurnId& turn, TokenCount used, Milliseconds retention);

    /// Writes a turn. A member that lacks a part of its chain gets the text of the whole chain, `transcriptBefore`
    /// included. Errors: `Unavailable`; the turn may have been written nevertheless.
    void store(const RetainedTurn& turn, const std::string& transcriptBefore,
        std::function<void(tl::expected<void, JournalError>)> done);
    /// Fetches the prompt that consists of the chain of turns up to `turn`. Errors: `NotFound`, `Unavailable`.
    void fetch(const TurnId& turn, std::function<void(tl::expected<std::string, JournalError>)> done);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
