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

/// What a home knows of the programs in a shard, and what it decides on that alone. No messages, no timers.
namespace Rattandeck {

/// One process of a node, as a holder of facts.
using ProcessIndex = Strong<struct ProcessIndexTag, std::uint32_t>;

/// Where the events of a request go: a ticket of this entry, or of the peer that passed the request on.
struct Caller {
    /// Empty: a caller of this entry.
    NodeId via;
    CallerTicket ticket;
    auto operator<=>(const Caller&) const = default;
};

struct HeldRecord {
    TurnRecord record;
    /// Processes other than this process that hold the record.
    std::vector<ProcessIndex> holders;
    /// Part of the digest chain. A record that turned up after a later turn had started is not.
    bool onChain = false;
    /// Other attempts of the turn that may have run; their charges count, too.
    std::vector<TurnRecord> otherAttempts;
};

enum class CallStage {
    /// Waits for an earlier call of the program, or for a credit.
    Waiting,
    /// Sent to a sidecar; its record is awaited.
    Ordered,
    /// The record is here and is being copied.
    Copying,
};

struct ProgramCall {
    /// Tells calls apart in timers that outlive them.
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
    /// Waiting since; bounded by the queue limit.
    TimePoint waitingSince {};
    CallStage stage = CallStage::Waiting;
    /// An earlier attempt may have run.
    bool mayHaveRun = false;
    std::optional<Order> order;
    NodeId sidecar;
    ProcessIndex process;
    /// Since when the link to the sidecar is down.
    std::optional<TimePoint> linkDownSince;
    TokenCount reserved;
    /// Callers that were there before the first part of the answer; later ones get the whole answer at its end.
    std::vector<Caller> streaming;
    std::uint32_t nextPart = 0;
    std::size_t streamedBytes = 0;
    TokenCount cachedTokens;
    TokenCount prefilledTokens;
    TimePoint sentAt {};
    std::vector<NodeId> tried;
    std::vector<TurnRecord> otherAttempts;
};

/// Tokens of one root program, shared with its sub-agents.
struct BudgetAccount {
    TokenCount limit;
    TokenCount spent;
    TokenCount reserved;
    /// Programs that draw on the account, and those among them that have not ended.
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
    /// Attempts of the next turn that may have run; all idempotent, and counted as spent.
    std::vector<TurnRecord> unresolvedAttempts;
    std::vector<NodeId> openTried;
    /// Set while the end of the program is waited for.
    bool ending = false;
    std::vector<Caller> endCallers;
    /// The record chain has a hole; nothing can be added to it.
    bool damaged = false;
    std::unique_ptr<ProgramCall> current;
    std::deque<std::unique_ptr<ProgramCall>> queue;
    std::vector<PrefixLocation> prefixes;
    TimePoint openedAt {};
    TimePoint endedAt {};
    Duration attainedService { 0 };
    std::uint32_t turnsDone = 0;
    /// Charged for open calls that lost processes may have held; given back when all of them are heard after all.
    TokenCount doubtCharge;
    /// A call with an unknown outcome may still start until then; the next one waits.
    TimePoint blockedUntil {};
};

struct HomeShard {
    ShardId shard;
    Epoch epoch;
    /// Programs opened before this epoch may have lost records; 0: none.
    Epoch gap;
    TimePoint gapSince {};
    bool serving = false;
    /// Before this, late orders of the former home may still start at a sidecar that the census didn't reach.
    TimePoint doubtfulFrom {};
    /// Gap before the last census.
    Epoch formerGap;
    /// Processes that the census has missed; each may hold one open call of a program.
    std::uint32_t missedProcesses = 0;
    /// Those among them that are gone for good.
    std::uint32_t processesLost = 0;
    /// A late answer told of calls for which there was no room any more, so the gap stays.
    bool lateConflict = false;
    std::uint64_t lastSerial = 0;
    std::unordered_map<ProgramId, HomeProgram> programs;
    std::unordered_map<ProgramId, BudgetAccount> accounts;
    /// Ended programs in the order of their end.
    std::deque<ProgramId> ended;

    HomeProgram* find(const ProgramId& id);
    /// Account that the program draws on; made from its header when it is not there yet.
    BudgetAccount& account(const ProgramHeader& header);
    /// Adds a program to its root's account.
    void join(const HomeProgram& program);
    /// Takes it off again; the account goes with the last program that drew on it.
    void leave(const HomeProgram& program);
    /// Forgets a program.
    void forget(const ProgramId& id);
    /// Records of this program may be missing.
    bool doubtful(const ProgramId& id, TimePoint now) const;
};

/// Key records outlive their program, and keys without a program stay in doubt, by this.
constexpr std::chrono::hours keyRetention { 1 };
/// Calls that may wait for an earlier call of their program.
constexpr std::size_t programQueueLimit = 8;

/// The most that one call may charge, so that a call whose fate is unknown has a bound.
constexpr std::int64_t maxTokensPerCall = 65536;
/// Output of a model call that doesn't say.
constexpr std::int64_t defaultOutputTokens = 1024;

/// Rough number of tokens of a text, for admission and reservation.
TokenCount estimateTokens(const std::string& text);
/// Tells a repeated request from another one under the same number or key.
Digest requestDigest(const CallerRequest& request);
/// What the call can charge at most.
TokenCount reservationFor(const CallerRequest& request);

// Judging a request ------------------------------------------------------------------------------------------------

/// The call is new and may run in its turn.
struct NewCall { };
/// The call has been answered before.
struct RepeatedCall {
    const HeldRecord* record;
};
/// The same call is waiting or running.
struct SameCall {
    ProgramCall* call;
};
using CallJudgement = std::variant<NewCall, RepeatedCall, SameCall, Problem>;

/// The problem as it can be told of a program whose records may be lost.
Problem inDoubt(const Problem& problem, bool doubtful);
/// Precondition: `request.service` is filled in, and `digest` is the request's.
CallJudgement judgeCall(HomeProgram& program, const CallerRequest& request, const Digest& digest, bool doubtful);

/// The answer that a record stands for.
CallerEvent answerOf(const HeldRecord& held, TokenCount budgetLeft);

// Records ----------------------------------------------------------------------------------------------------------

/// Forgets a program of one call that has not begun.
void forgetIfEmpty(HomeShard& shard, const ProgramId& id);
/// True when the record's digests are those of its text.
bool hasValidDigest(const TurnRecord& record);
/// True when the record is the next link of the chain: nothing was started after it.
bool extendsChain(const HomeProgram& program, const TurnRecord& record);
/// Adds a final record, or replaces the one of its turn. `held.onChain` says whether the head moves.
HeldRecord& addRecord(HomeProgram& program, HeldRecord held);
/// Text of the chain for the engine, for calls of `service`.
std::string historyText(const HomeProgram& program, const ServiceName& service);
/// Charge of all records. Used after a census.
TokenCount chargedTokens(const HomeProgram& program);

}
