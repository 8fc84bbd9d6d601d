#pragma once

#include "Rattandeck/journalmessages.h"
#include "Rattandeck/types.h"

#include <string>
#include <variant>
#include <vector>

/// Messages between entries and sidecars. Plain structs; `wire.h` codes them. A field that a peer does not know is
/// ignored and a field that it does not send keeps the default below, so old and new processes run side by side.
namespace Rattandeck {

constexpr std::uint32_t protocolVersion = 1;

enum class Role { Entry, Sidecar, Gateway, Journal };

/// First message on a link, from both sides.
struct Hello {
    std::uint32_t protocol = protocolVersion;
    NodeId node;
    Role role = Role::Entry;
    Incarnation incarnation;
    FailureDomain domain;
    /// Service of a sidecar's endpoint; empty for an entry.
    ServiceName service;
    /// Address for further links, as "host:port".
    std::string address;
    ObjectVersion configRevision;
    bool operator==(const Hello&) const = default;
};

// Programs and records -------------------------------------------------------------------------------------------

/// What every holder of a program's records must know to rebuild it.
struct ProgramHeader {
    ProgramId id;
    /// The program whose budget this one draws on; equal to `id` unless it is a sub-agent.
    ProgramId root;
    OrganisationId organisation;
    ServiceName service;
    /// Latency that the whole program should stay within.
    Milliseconds latencyTarget { 0 };
    /// Upper bound of generated and prompt tokens charged to the root program and its sub-agents.
    TokenCount budget;
    auto operator<=>(const ProgramHeader&) const = default;
};

enum class RecordState {
    /// Written before the endpoint is asked; the call may be running.
    Started,
    Finished,
    /// The endpoint reported a failure; the call may have had its effect.
    Failed,
    /// The call never reached the endpoint and never will.
    NotRun,
    /// Nobody can tell any more whether the call ran.
    Unknown,
};

/// One call of a program: what was asked, what came of it, and its place in the digest chain.
struct TurnRecord {
    ProgramId program;
    TurnNumber turn;
    std::uint32_t attempt = 1;
    /// Epoch under which the call was started.
    Epoch epoch;
    ServiceName service;
    IdempotencyKey key;
    bool idempotent = true;
    RecordState state = RecordState::Started;
    /// Digest of the caller's request; tells a repeated request from another one under the same number or key.
    Digest request;
    std::string input;
    std::string output;
    /// Charged to the budget; the reserved maximum while the outcome is open.
    TokenCount charged;
    Digest headBefore;
    /// `chainDigest(headBefore, turn, input, output)`; empty until finished.
    Digest headAfter;
    bool operator==(const TurnRecord&) const = default;
};

// Calls to an endpoint ---------------------------------------------------------------------------------------------

/// Entry to sidecar: start one call.
struct Order {
    OrderId id;
    ShardId shard;
    Epoch epoch;
    ProgramHeader program;
    TurnNumber turn;
    std::uint32_t attempt = 1;
    ServiceName service;
    IdempotencyKey key;
    bool idempotent = true;
    /// A live credit of this sidecar; an order without one is refused and has not run.
    CreditId credit;
    /// Time left until the caller's deadline, at sending.
    Milliseconds timeLeft { 0 };
    /// Smaller runs first: see `ordering.h`.
    double priority = 0;
    Digest request;
    Digest headBefore;
    /// History before this turn, as sent to the engine; empty for plain services.
    std::string history;
    TokenCount historyTokens;
    std::string input;
    TokenCount inputTokens;
    TokenCount maxOutputTokens;
    /// The most that this call can charge to the budget.
    TokenCount reserved;
    bool operator==(const Order&) const = default;
};

enum class RefusalReason {
    /// The order's epoch is lower than one already seen for the shard.
    StaleEpoch,
    NoCredit,
    Overloaded,
    Leaving,
    /// The deadline has passed or can't be met.
    TooLate,
    /// Requests of this fingerprint have crashed endpoints too often.
    Quarantined,
    /// A record of this turn or key exists that contradicts the order.
    Conflict,
    /// The order's history is not the one that the record chain ends in.
    HistoryMismatch,
};

/// Sidecar to entry: the order has not run and, under this attempt, never will.
struct OrderRefused {
    OrderId id;
    RefusalReason reason = RefusalReason::Overloaded;
    Milliseconds retryAfter { 0 };
    bool operator==(const OrderRefused&) const = default;
};

/// Sidecar to entry: part of a streamed answer. Parts are numbered from 0 without gaps.
struct OrderTokens {
    OrderId id;
    std::uint32_t part = 0;
    std::string text;
    TokenCount tokens;
    bool operator==(const OrderTokens&) const = default;
};

/// Sidecar to entry: the final record, also for an order that repeats a finished one.
struct OrderEnded {
    OrderId id;
    TurnRecord record;
    /// Prompt tokens that the engine found in its cache, and those that it had to prefill.
    TokenCount cachedTokens;
    TokenCount prefilledTokens;
    /// The endpoint died while it ran this call.
    bool endpointCrashed = false;
    bool operator==(const OrderEnded&) const = default;
};

/// Entry to sidecar: nobody awaits the answer. A call that isn't idempotent and has started is left to finish.
struct CancelOrder {
    OrderId id;
    bool operator==(const CancelOrder&) const = default;
};

/// Entry to sidecar: the program has ended (or moved); engine memory held for it goes free.
struct ReleaseProgram {
    ShardId shard;
    Epoch epoch;
    ProgramId program;
    /// The program has ended: its records may go too, except keys, which stay for the retention time.
    bool ended = true;
    bool operator==(const ReleaseProgram&) const = default;
};

/// Entry to sidecar: the program pauses for a tool. Tells how long the prefix is worth keeping.
struct HoldPrefix {
    ProgramId program;
    Milliseconds expectedPause { 0 };
    bool operator==(const HoldPrefix&) const = default;
};

// Load, credits, cache ---------------------------------------------------------------------------------------------

/// Permission to start `count` orders within `lifetime` of its issue, on the sidecar's clock.
struct CreditGrant {
    CreditId id;
    std::uint32_t count = 0;
    Milliseconds lifetime { 0 };
    bool operator==(const CreditGrant&) const = default;
};

struct HeldPrefix {
    ProgramId program;
    TokenCount tokens;
    bool operator==(const HeldPrefix&) const = default;
};

/// Sidecar to each linked entry, every second and whenever it changes much. Replaces the previous report.
struct LoadReport {
    std::uint64_t sequence = 0;
    ServiceName service;
    bool leaving = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Concurrency that the sidecar allows now.
    std::uint32_t limit = 0;
    /// Prompt and output tokens of waiting calls.
    TokenCount waitingTokens;
    /// Measured speeds, of prefill for the engine and of decoding for one call in the present batch; 0 while unknown.
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    TokenCount cacheCapacity;
    /// Memory of running calls and of prefixes held for open programs; what ended programs left behind doesn't count.
    TokenCount cacheUsed;
    /// Highest order id of this entry that the report accounts for.
    OrderId accountedOrder;
    CreditGrant credits;
    /// Prefixes held for programs of shards that this entry is home of; changes since the last report, or all when
    /// `prefixesComplete`.
    std::vector<HeldPrefix> heldPrefixes;
    std::vector<ProgramId> droppedPrefixes;
    bool prefixesComplete = false;
    bool operator==(const LoadReport&) const = default;
};

// Takeover -----------------------------------------------------------------------------------------------------------

/// New home to every sidecar and entry: tell what you hold for the shard; refuse lower epochs from now on.
struct RecoveryRequest {
    ShardId shard;
    Epoch epoch;
    bool operator==(const RecoveryRequest&) const = default;
};

/// Calls that still run go on, and their `OrderEnded` goes to the new home under `order`.
struct RunningOrder {
    OrderId order;
    TurnRecord record;
    bool operator==(const RunningOrder&) const = default;
};

struct RecoveryAnswer {
    ShardId shard;
    Epoch epoch;
    Incarnation incarnation;
    /// A higher epoch is known here: the asker is not the home. Nothing else is filled in.
    bool refused = false;
    std::vector<ProgramHeader> programs;
    std::vector<ProgramId> endedPrograms;
    std::vector<TurnRecord> records;
    std::vector<RunningOrder> running;
    bool operator==(const RecoveryAnswer&) const = default;
};

/// Home to a peer entry or sidecar in another failure domain: hold these too.
struct CopyRecords {
    std::uint64_t copy = 0;
    ShardId shard;
    Epoch epoch;
    std::vector<ProgramHeader> programs;
    std::vector<ProgramId> endedPrograms;
    std::vector<TurnRecord> records;
    bool operator==(const CopyRecords&) const = default;
};

struct CopyAnswer {
    std::uint64_t copy = 0;
    /// A higher epoch is known: the sender is no longer the home.
    bool refused = false;
    bool operator==(const CopyAnswer&) const = default;
};

// Outage of the object API ----------------------------------------------------------------------------------------

/// Holder to its guarantors, while it can't renew: do you reach the object API, and if not, will you help no takeover
/// of my shards for a while?
struct PromiseRequest {
    std::uint64_t request = 0;
    Incarnation incarnation;
    ObjectVersion leaseVersion;
    bool operator==(const PromiseRequest&) const = default;
};

struct PromiseAnswer {
    std::uint64_t request = 0;
    bool granted = false;
    /// Counted by the holder from before its request, by the guarantor from its answer.
    Milliseconds lifetime { 0 };
    bool operator==(const PromiseAnswer&) const = default;
};

/// Successor to the guarantors of a lapsed lease: is a promise to that holder live? After a yes to this no promise is
/// given for that lease version.
struct PromiseReleaseRequest {
    std::uint64_t request = 0;
    NodeId holder;
    ObjectVersion leaseVersion;
    bool operator==(const PromiseReleaseRequest&) const = default;
};

struct PromiseReleaseAnswer {
    std::uint64_t request = 0;
    bool released = false;
    Milliseconds retryAfter { 0 };
    bool operator==(const PromiseReleaseAnswer&) const = default;
};

// Configuration ------------------------------------------------------------------------------------------------------

/// One object of the accepted configuration. `deleted` objects stay known, so that an older copy can't bring them back.
struct ConfigObject {
    std::string kind;
    std::string name;
    ObjectVersion version;
    bool deleted = false;
    /// JSON text as accepted by the object API.
    std::string value;
    bool operator==(const ConfigObject&) const = default;
};

/// Between any two processes: objects newer than what the receiver is known to have.
struct ConfigUpdate {
    /// Every accepted change up to this revision of the store is included in what the sender has sent so far.
    ObjectVersion revision;
    std::vector<ConfigObject> objects;
    bool operator==(const ConfigUpdate&) const = default;
};

// Callers' requests, passed from the entry that got them to the home ---------------------------------------------

enum class CallKind { OpenProgram, Call, EndProgram, GetProgram };

/// A caller's request, checked for form by the entry that received it.
struct CallerRequest {
    CallKind kind = CallKind::Call;
    OrganisationId organisation;
    /// Program called, ended or looked up; for an opening, the parent of a sub-agent. Serial 0: none.
    ProgramId program;
    /// Service to call; empty is the program's own.
    ServiceName service;
    Milliseconds latencyTarget { 0 };
    TokenCount budget;
    /// 0: the next one.
    TurnNumber turn;
    IdempotencyKey key;
    bool idempotent = true;
    /// Head of the history that the caller has; empty when it doesn't say.
    Digest head;
    std::string input;
    TokenCount maxOutputTokens;
    Milliseconds timeLeft { 0 };
    /// The caller expects to be away this long before its next call (a tool runs); 0 when it doesn't say.
    Milliseconds expectedPause { 0 };
    bool operator==(const CallerRequest&) const = default;
};

enum class Ran { No, Yes, Unknown };

enum class ProblemKind {
    BadRequest,
    UnknownProgram,
    ProgramEnded,
    OutOfOrder,
    BudgetExceeded,
    KeyReused,
    HistoryMismatch,
    HistoryLost,
    UnknownService,
    NoCapacity,
    Overloaded,
    DeadlineExceeded,
    Quarantined,
    OutcomeUnknown,
    EndpointFailed,
    NotServing,
    ShuttingDown,
};

/// Why a request got no answer, and whether it ran.
struct Problem {
    ProblemKind kind = ProblemKind::BadRequest;
    Ran ran = Ran::No;
    /// When to come back; 0: coming back does not help.
    Milliseconds retryAfter { 0 };
    /// What was wrong, for the caller's log.
    std::string detail;
    bool operator==(const Problem&) const = default;
};

/// Part of a streamed answer.
struct AnswerTokens {
    std::string text;
    TokenCount tokens;
    bool operator==(const AnswerTokens&) const = default;
};

/// The whole answer.
struct AnswerDone {
    ProgramId program;
    TurnNumber turn;
    Digest head;
    std::string output;
    TokenCount charged;
    TokenCount budgetLeft;
    TokenCount cachedTokens;
    TokenCount prefilledTokens;
    bool operator==(const AnswerDone&) const = default;
};

using CallerEvent = std::variant<AnswerTokens, AnswerDone, Problem>;

/// Entry to home.
struct ForwardRequest {
    CallerTicket ticket;
    CallerRequest request;
    bool operator==(const ForwardRequest&) const = default;
};

/// The caller went away before its answer was complete.
struct ForwardCancel {
    CallerTicket ticket;
    bool operator==(const ForwardCancel&) const = default;
};

struct ForwardEvent {
    CallerTicket ticket;
    CallerEvent event;
    bool operator==(const ForwardEvent&) const = default;
};

using Message = std::variant<Hello, Order, OrderRefused, OrderTokens, OrderEnded, CancelOrder, ReleaseProgram,
    HoldPrefix, LoadReport, RecoveryRequest, RecoveryAnswer, CopyRecords, CopyAnswer, PromiseRequest, PromiseAnswer,
    PromiseReleaseRequest, PromiseReleaseAnswer, ConfigUpdate, ForwardRequest, ForwardCancel, ForwardEvent, ClaimTokens,
    ClaimsKnown, SettleClaim, StoreTurn, TurnStored, FetchTurn, TurnFetched, JournalSet, CopyRequest, CopyPage,
    TurnsRequest, TurnsPage, GossipOffers, GossipRequest, GossipItems, CrashReports, JournalInconclusive>;

}
