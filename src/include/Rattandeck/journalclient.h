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

/// Why the journals gave no answer that may be relied on.
enum class JournalError {
    /// Too few of them can be reached, or have answered in time. Nothing is known.
    Unavailable,
    /// Enough of them know that there is no such turn.
    NotFound,
    /// The budget does not hold the claim. The claim has been withdrawn.
    BudgetSpent,
};

struct ClaimOutcome {
    /// Other turns of the program have used tokens, or may be using them.
    bool hasOtherTurns = false;
};

/// What became of a question to the journals, for logs and metrics.
struct JournalOperationEnd {
    /// "claim", "store" or "fetch".
    std::string_view kind;
    TurnId turn;
    BudgetId budget;
    /// Nothing on success.
    std::optional<JournalError> error;
    Milliseconds duration { 0 };
    /// The set that it ended under, and the members whose answers counted.
    Epoch epoch;
    std::vector<NodeId> answered;
    std::size_t members = 0;
    /// Of claims: tokens claimed by other turns, asked for, and allowed.
    TokenCount others;
    TokenCount most;
    TokenCount limit;
};

std::string_view describe(JournalError error);

struct JournalClientLimits {
    /// Longest wait for enough answers. Shorter than the time after which a machine that lost its disk can be back:
    /// what its journal acknowledged before must not count any more then.
    Milliseconds answerTimeout { 700 };
    /// Copies on disk that a record needs before it counts as written.
    std::size_t copies = 2;
    /// Transcripts kept in memory for the turns that come next, in bytes.
    std::size_t cacheBytes = 6UL * 1024 * 1024;
    /// A transcript that nobody asked for is dropped after this time.
    Milliseconds cacheRetention { 15000 };
};

/// A gateway's access to the journals: every record is written to all of them and counts as written with
/// `JournalClientLimits::copies` on disk; a statement about what is *not* written needs all complete members but one,
/// so that one of these holds a copy of anything that counts as written. No member is special and none has to be agreed
/// on while one of them is away.
///
/// Two claims on one budget meet at a journal that answered both, so at least one of them sees the other. A claim that
/// meets one under way asks once more before it is admitted; what is admitted together exceeds the limit by one claim
/// at most.
///
/// Thread safety: not synchronised. Callbacks are called from `onMessage`, `onLinkDown` and timers, and from within the
/// call that starts the operation when its outcome is known at once.
class JournalClient {
public:
    /// Sends to a member. Returns false when no link is up.
    using Send = std::function<bool(const NodeId& member, const Message& message)>;

    JournalClient(TimerService& timers, JournalClientLimits limits, Send send);
    ~JournalClient();
    JournalClient(const JournalClient&) = delete;
    JournalClient& operator=(const JournalClient&) = delete;

    /// `observer` is called with the end of each question that was asked.
    void setObserver(std::function<void(const JournalOperationEnd&)> observer);

    /// Takes a set over if its epoch is higher than that of the one in force. Returns whether it was.
    bool setMembers(const JournalSet& set);
    const JournalSet& members() const;
    /// Whether enough of the members are among `linked` for claims and for turns that are continued.
    bool canDecide(const std::set<NodeId>& linked) const;
    void onMessage(const NodeId& from, const Message& message);
    /// The link to a member broke: what it has not answered it will not answer.
    void onLinkDown(const NodeId& member);

    /// Claims `most` tokens for a turn. Errors: `BudgetSpent`, `Unavailable`.
    void claim(const BudgetId& budget, const TurnId& turn, TokenCount most, TokenCount limit, Milliseconds retention,
        std::function<void(tl::expected<ClaimOutcome, JournalError>)> done);
    /// Says what a claimed turn has used. Best effort: a claim that stays unsettled counts in full.
    void settle(const BudgetId& budget, const TurnId& turn, TokenCount used, Milliseconds retention);

    /// Writes a turn. Errors: `Unavailable`; the turn may have been written all the same.
    void store(const RetainedTurn& turn, const std::string& transcriptBefore,
        std::function<void(tl::expected<void, JournalError>)> done);
    /// The prompt that the chain through `turn` makes. Errors: `NotFound`, `Unavailable`.
    void fetch(const TurnId& turn, std::function<void(tl::expected<std::string, JournalError>)> done);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
