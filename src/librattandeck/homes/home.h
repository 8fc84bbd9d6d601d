#pragma once

#include "sidecarpool.h"

#include "Rattandeck/messages.h"
#include "Rattandeck/timer.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

/// State that a home keeps of the programs in a shard, and the decisions that depend on this state only. Sends no
/// messages and sets no timers.
namespace Rattandeck {

/// Index of a process (a node with its incarnation) that can hold replicas.
using ProcessIndex = Strong<struct ProcessIndexTag, std::uint32_t>;

/// Destination of a request's events: a ticket of this entry, or of the peer that forwarded the request.
struct Caller {
    /// The forwarding peer; empty for a caller of this entry.
    NodeId peer;
    CallerTicket ticket;
    auto operator<=>(const Caller&) const = default;
};

struct HeldRecord {
    TurnRecord record;
    /// Other processes that hold a replica of the record.
    std::vector<ProcessIndex> holders;
    /// True for a record in the digest chain. A record that arrives after a later turn was started is not in it.
    bool isOnChain = false;
    /// Other attempts of the turn that may have run. They are charged as well.
    std::vector<TurnRecord> otherAttempts;
};

enum class CallStage {
    /// Waiting for an earlier call of the program, or for a credit.
    Waiting,
    /// Sent to a sidecar; its record has not arrived yet.
    Ordered,
    /// The record has arrived and is being replicated.
    Replicating,
};

struct ProgramCall {
    /// Identifies the call in timer callbacks, which can run after the call has ended.
    std::uint64_t serial = 0;
    std::vector<Caller> callers;
    CallerRequest request;
    Digest digest;
    Digest fingerprint;
    TurnNumber turn;
    std::uint32_t attempt = 0;
    TimePoint arrived {};
    TimePoint deadline {};
    TimerId deadlineTimer;
    /// Time at which the call began to wait for a credit. The wait is bounded by the queue limit.
    TimePoint waitingSince {};
    CallStage stage = CallStage::Waiting;
    /// An earlier attempt may have run.
    bool mayHaveRun = false;
    std::optional<Order> order;
    NodeId sidecar;
    ProcessIndex process;
    /// Time at which the link to the sidecar went down; empty while it is up.
    std::optional<TimePoint> linkDownSince;
    TokenCount reserved;
    /// Callers that joined before the first part of the answer. Later ones receive the whole answer at its end.
    std::vector<Caller> streaming;
    std::uint32_t nextPart = 0;
    std::size_t streamedBytes = 0;
    TokenCount cachedTokens;
    TokenCount prefilledTokens;
    TimePoint sentAt {};
    std::vector<NodeId> triedSidecars;
    std::vector<TurnRecord> otherAttempts;
};

/// Token budget of a root program, shared with its sub-agents.
struct BudgetAccount {
    TokenCount limit;
    TokenCount spent;
    TokenCount reserved;
    /// Number of programs that use the account, and of those among them that have not ended.
    std::uint32_t programs = 0;
    std::uint32_t open = 0;

    TokenCount left() const { return TokenCount(this->limit.value - this->spent.value - this->reserved.value); }
};

struct HomeProgram {
    ProgramHeader header;
    std::vector<ProcessIndex> headerHolders;
    std::map<TurnNumber, HeldRecord> records;
    std::map<IdempotencyKey, TurnNumber> keys;
    Digest head;
    TurnNumber lastTurn;
    TokenCount historyTokens;
    bool ended = false;
    /// Attempts of the next turn that may have run. All are idempotent, and their charges are counted as spent.
    std::vector<TurnRecord> unresolvedAttempts;
    /// Sidecars to which those attempts were sent.
    std::vector<NodeId> unresolvedTried;
    /// True from the request to end the program until `ended` is set.
    bool ending = false;
    std::vector<Caller> endingCallers;
    /// A record is missing from the chain, so no further call can be added.
    bool isDamaged = false;
    std::unique_ptr<ProgramCall> current;
    std::deque<std::unique_ptr<ProgramCall>> queue;
    std::vector<PrefixLocation> prefixes;
    TimePoint openedAt {};
    TimePoint endedAt {};
    Duration attainedService { 0 };
    std::uint32_t turnsDone = 0;
    /// Charge for calls that may have run at processes that have not answered. Refunded when all of them have answered.
    TokenCount provisionalCharge;
    /// A call whose outcome is unknown may still start before this time; new calls are refused until then.
    TimePoint blockedUntil {};
};

struct HomeShard {
    ShardId shard;
    Epoch epoch;
    /// Records of programs that were opened before this epoch may be lost; 0 when none are.
    Epoch gap;
    TimePoint gapSince {};
    bool isServing = false;
    /// Until this time, an order of the former home may still start at a sidecar that did not answer during recovery.
    TimePoint lateOrdersUntil {};
    /// Value of `gap` before the last recovery.
    Epoch gapBeforeRecovery;
    /// Number of processes that did not answer during recovery. Each may have run one call of each program.
    std::uint32_t unansweredCount = 0;
    /// Number of processes among them that have ended, so that their state is lost.
    std::uint32_t processesLost = 0;
    /// A late answer contained calls that conflict with later ones, so the gap can't be closed.
    bool hasLateConflict = false;
    std::uint64_t lastSerial = 0;
    std::unordered_map<ProgramId, HomeProgram> programs;
    std::unordered_map<ProgramId, BudgetAccount> accounts;
    /// Ended programs in the order of their end.
    std::deque<ProgramId> ended;

    HomeProgram* find(const ProgramId& id);
    /// Returns the budget account of the program's root. It is created from `header` when it doesn't exist.
    BudgetAccount& account(const ProgramHeader& header);
    /// Adds the program to the program counts of its root's account.
    void addToAccount(const HomeProgram& program);
    /// Reverses `addToAccount`. The account is deleted with the last program that uses it.
    void removeFromAccount(const HomeProgram& program);
    void remove(const ProgramId& id);
    /// True when records of this program may have been lost.
    bool mayLackRecords(const ProgramId& id, TimePoint now) const;
};

/// How long records with an idempotency key are kept after the end of their program, and how long after a gap the
/// outcome of keyed calls without a program is uncertain.
constexpr std::chrono::hours keyRetention { 1 };
/// Maximum number of calls that wait for an earlier call of their program.
constexpr std::size_t programQueueLimit = 8;

/// Maximum charge of a call. It bounds what a call with an unknown outcome can have cost.
constexpr std::int64_t maxTokensPerCall = 65536;
/// Output tokens of a model call that doesn't set a maximum.
constexpr std::int64_t defaultOutputTokens = 1024;

/// Estimates the number of tokens of a text, for admission and reservation.
TokenCount estimateTokens(const std::string& text);
/// Digest that distinguishes a repeated request from a different one with the same turn number or key.
Digest requestDigest(const CallerRequest& request);
/// Maximum charge of the call.
TokenCount reservationFor(const CallerRequest& request);

// Classifying a request --------------------------------------------------------------------------------------------

/// The call is new and may run when the calls before it have ended.
struct NewCall { };
/// The call has a record already.
struct RepeatedCall {
    const HeldRecord* record;
};
/// An identical call is waiting or running.
struct SameCall {
    ProgramCall* call;
};
using CallClassification = std::variant<NewCall, RepeatedCall, SameCall, Problem>;

/// Returns the problem with `Ran::Unknown` in place of `Ran::No` if records of the program may be lost. A reused key is
/// certain in any case.
Problem asUncertain(const Problem& problem, bool mayLackRecords);
/// Precondition: `request.service` is filled in, and `digest` is the request's.
CallClassification classifyCall(
    HomeProgram& program, const CallerRequest& request, const Digest& digest, bool mayLackRecords);

/// Converts a record to the answer for its caller.
CallerEvent answerOf(const HeldRecord& held, TokenCount budgetLeft);

// Records ----------------------------------------------------------------------------------------------------------

/// Removes the program of a keyed call if no call of it has been started or is waiting.
void removeIfEmpty(HomeShard& shard, const ProgramId& id);
/// True when a finished record's `headAfter` is the digest of its text. Records in other states pass.
bool hasValidDigest(const TurnRecord& record);
/// True when the record continues the chain and no later turn has been ordered.
bool extendsChain(const HomeProgram& program, const TurnRecord& record);
/// Adds a final record, or replaces the one of its turn. Advances the head if `held.isOnChain` is set.
HeldRecord& addRecord(HomeProgram& program, HeldRecord held);
/// Text of the records in the chain that belong to `service`, as input for the engine.
std::string historyText(const HomeProgram& program, const ServiceName& service);
/// Sum of the charges of all records and attempts. Used after a recovery.
TokenCount chargedTokens(const HomeProgram& program);

}
