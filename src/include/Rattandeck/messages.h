#pragma once

#include "Rattandeck/gossipmessages.h"
#include "Rattandeck/journalmessages.h"
#include "Rattandeck/permitmessages.h"
#include "Rattandeck/quotamessages.h"
#include "Rattandeck/streammessages.h"
#include "Rattandeck/types.h"

#include <string>
#include <variant>
#include <vector>

/// Messages between processes. Plain structs; `wire.h` encodes them. Receivers ignore unknown fields, and missing
/// fields keep the defaults below, so that processes of different versions can run side by side.
namespace Rattandeck {

constexpr std::uint32_t protocolVersion = 1;

enum class Role { Entry, Sidecar, Gateway, Journal };

/// First message on a link, sent by both sides.
struct Hello {
    std::uint32_t protocol = protocolVersion;
    NodeId node;
    Role role = Role::Entry;
    Incarnation incarnation;
    FailureDomain domain;
    /// Service of a sidecar's endpoint; empty for an entry.
    ServiceName service;
    /// Address at which the sender accepts links, as "host:port".
    std::string address;
    ObjectVersion configRevision;
    bool operator==(const Hello&) const = default;
};

// Programs and records -------------------------------------------------------------------------------------------

/// Program data that is stored with every copy of its records, so that the program can be rebuilt from any of them.
struct ProgramHeader {
    ProgramId id;
    /// Program whose budget this one is charged to; equal to `id` unless this is a sub-agent.
    ProgramId root;
    OrganisationId organisation;
    ServiceName service;
    /// Target for the end-to-end latency of the whole program.
    Milliseconds latencyTarget { 0 };
    /// Maximum of prompt and generated tokens charged to the root program and its sub-agents together.
    TokenCount budget;
    auto operator<=>(const ProgramHeader&) const = default;
};

enum class RecordState {
    /// Written before the call is sent to the endpoint; the call may be running.
    Started,
    Finished,
    /// The endpoint reported a failure; the call may still have taken effect.
    Failed,
    /// The call has not run and will not run under this attempt number.
    NotRun,
    /// It can no longer be determined whether the call ran.
    Unknown,
};

/// One call of a program: the request, its outcome and its position in the digest chain.
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
    /// Digest of the caller's request; distinguishes a retry from a different request with the same turn or key.
    Digest request;
    std::string input;
    std::string output;
    /// Charged to the budget; the reserved maximum until the outcome is known.
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
    /// A valid credit of this sidecar. An order without one is refused and does not run.
    CreditId credit;
    /// Time left until the caller's deadline when the order is sent.
    Milliseconds timeLeft { 0 };
    /// Orders with smaller values run first; see `ordering.h`.
    double priority = 0;
    Digest request;
    Digest headBefore;
    /// History before this turn, as sent to the engine; empty for plain services.
    std::string history;
    TokenCount historyTokens;
    std::string input;
    TokenCount inputTokens;
    TokenCount maxOutputTokens;
    /// Maximum number of tokens that this call can charge to the budget.
    TokenCount reserved;
    bool operator==(const Order&) const = default;
};

enum class RefusalReason {
    /// The order's epoch is lower than the highest one known for the shard.
    StaleEpoch,
    NoCredit,
    Overloaded,
    Leaving,
    /// The deadline has passed or can't be met.
    TooLate,
    /// Requests with this fingerprint have reached the limit of endpoint crashes.
    Quarantined,
    /// An existing record of this turn or key contradicts the order.
    Conflict,
    /// The head of the order's history differs from the head of the record chain.
    HistoryMismatch,
};

/// Sidecar to entry: the order has not run and will not run under this attempt number.
struct OrderRefused {
    OrderId id;
    RefusalReason reason = RefusalReason::Overloaded;
    Milliseconds retryAfter { 0 };
    bool operator==(const OrderRefused&) const = default;
};

/// Sidecar to entry: part of a streamed answer. Parts are numbered consecutively from 0.
struct OrderTokens {
    OrderId id;
    std::uint32_t part = 0;
    std::string text;
    TokenCount tokens;
    bool operator==(const OrderTokens&) const = default;
};

/// Sidecar to entry: the final record. Also answers an order for a turn that has already finished.
struct OrderEnded {
    OrderId id;
    TurnRecord record;
    /// Prompt tokens that the engine found in its cache, and those that it had to prefill.
    TokenCount cachedTokens;
    TokenCount prefilledTokens;
    /// The endpoint crashed while it ran this call.
    bool endpointCrashed = false;
    bool operator==(const OrderEnded&) const = default;
};

/// Entry to sidecar: no caller waits for the answer any more. A non-idempotent call that has started is still run to
/// its end.
struct CancelOrder {
    OrderId id;
    bool operator==(const CancelOrder&) const = default;
};

/// Entry to sidecar: the program has ended or moved; the engine memory held for it can be freed.
struct ReleaseProgram {
    ShardId shard;
    Epoch epoch;
    ProgramId program;
    /// The program has ended: its records can be deleted too, except records with an idempotency key, which are kept
    /// for the retention time.
    bool ended = true;
    bool operator==(const ReleaseProgram&) const = default;
};

/// Entry to sidecar: the program pauses while a tool runs. The prefix should be kept in the engine's cache for the
/// expected pause.
struct HoldPrefix {
    ProgramId program;
    Milliseconds expectedPause { 0 };
    bool operator==(const HoldPrefix&) const = default;
};

// Load, credits, cache ---------------------------------------------------------------------------------------------

/// Permission to start `count` orders within `lifetime` after it was issued, by the sidecar's clock.
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

/// Sidecar to each linked entry, once per second and after significant changes. Replaces the previous report.
struct LoadReport {
    std::uint64_t sequence = 0;
    ServiceName service;
    bool leaving = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Current concurrency limit of the sidecar.
    std::uint32_t limit = 0;
    /// Prompt and output tokens of waiting calls.
    TokenCount waitingTokens;
    /// Measured speeds: prefill for the whole engine, decoding per call at the current batch size. 0 while unknown.
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    TokenCount cacheCapacity;
    /// Memory of running calls and of prefixes held for open programs; prefixes of ended programs that are still in the
    /// cache are not included.
    TokenCount cacheUsed;
    /// Highest id among the receiving entry's orders that this report includes.
    OrderId accountedOrder;
    CreditGrant credits;
    /// Prefixes held for programs in shards whose home is the receiving entry: the changes since the last report, or
    /// all of them when `prefixesComplete`.
    std::vector<HeldPrefix> heldPrefixes;
    std::vector<ProgramId> droppedPrefixes;
    bool prefixesComplete = false;
    bool operator==(const LoadReport&) const = default;
};

// Takeover -----------------------------------------------------------------------------------------------------------

/// New home to every sidecar and entry: report the records held for the shard, and refuse lower epochs from now on.
struct RecoveryRequest {
    ShardId shard;
    Epoch epoch;
    bool operator==(const RecoveryRequest&) const = default;
};

/// A call that is still running. It continues, and its `OrderEnded` is sent to the new home under the id `order`.
struct RunningOrder {
    OrderId order;
    TurnRecord record;
    bool operator==(const RunningOrder&) const = default;
};

struct RecoveryAnswer {
    ShardId shard;
    Epoch epoch;
    Incarnation incarnation;
    /// The member knows a higher epoch, so the requester is not the home. The remaining fields are empty.
    bool refused = false;
    std::vector<ProgramHeader> programs;
    std::vector<ProgramId> endedPrograms;
    std::vector<TurnRecord> records;
    std::vector<RunningOrder> running;
    bool operator==(const RecoveryAnswer&) const = default;
};

/// Home to an entry or sidecar in another failure domain: store copies of these records.
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
    /// The receiver knows a higher epoch, so the sender is no longer the home.
    bool refused = false;
    bool operator==(const CopyAnswer&) const = default;
};

// Outage of the object API ----------------------------------------------------------------------------------------

/// Lease holder to its grantors, while it can't renew its lease: asks for a promise to support no takeover of the
/// holder's shards. A grantor that can reach the object API itself grants none.
struct PromiseRequest {
    std::uint64_t request = 0;
    Incarnation incarnation;
    ObjectVersion leaseVersion;
    bool operator==(const PromiseRequest&) const = default;
};

struct PromiseAnswer {
    std::uint64_t request = 0;
    bool granted = false;
    /// The holder measures the lifetime from before it sent the request, the grantor from its answer, so that the
    /// promise expires at the holder first.
    Milliseconds lifetime { 0 };
    bool operator==(const PromiseAnswer&) const = default;
};

/// Successor to the grantors of an expired lease: asks to release that version of the lease. A grantor does so when
/// its promise to the holder, if any, has ended; it then grants no further promise for that version or an earlier one.
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

/// One object of the accepted configuration. Deleted objects are kept as tombstones, so that an older copy can't
/// restore them.
struct ConfigObject {
    std::string kind;
    std::string name;
    ObjectVersion version;
    bool deleted = false;
    /// JSON text as accepted by the object API.
    std::string value;
    bool operator==(const ConfigObject&) const = default;
};

/// Between any two processes: objects newer than those that the receiver is known to have.
struct ConfigUpdate {
    /// The sender's updates so far, this one included, contain every accepted change up to this revision of the store.
    ObjectVersion revision;
    std::vector<ConfigObject> objects;
    bool operator==(const ConfigUpdate&) const = default;
};

// Callers' requests, forwarded from the receiving entry to the home ----------------------------------------------

enum class CallKind { OpenProgram, Call, EndProgram, GetProgram };

/// A caller's request; the entry that received it has validated its syntax.
struct CallerRequest {
    CallKind kind = CallKind::Call;
    OrganisationId organisation;
    /// Program to call, end or look up; when a program is opened, the parent of the sub-agent. Serial 0: none.
    ProgramId program;
    /// Service to call; empty means the program's own service.
    ServiceName service;
    Milliseconds latencyTarget { 0 };
    TokenCount budget;
    /// Turn to run; 0 means the next one.
    TurnNumber turn;
    IdempotencyKey key;
    bool idempotent = true;
    /// Head of the caller's copy of the history; empty when not given.
    Digest head;
    std::string input;
    TokenCount maxOutputTokens;
    Milliseconds timeLeft { 0 };
    /// Expected time until the caller's next call, e.g. while a tool runs; 0 when not given.
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

/// The reason why a request was not answered, and whether its call ran.
struct Problem {
    ProblemKind kind = ProblemKind::BadRequest;
    Ran ran = Ran::No;
    /// Delay before a retry; 0 means that a retry can't succeed.
    Milliseconds retryAfter { 0 };
    /// Description of the problem for the caller's log.
    std::string detail;
    bool operator==(const Problem&) const = default;
};

struct AnswerTokens {
    std::string text;
    TokenCount tokens;
    bool operator==(const AnswerTokens&) const = default;
};

/// Final event of an answered request; contains the complete output.
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

/// Receiving entry to home.
struct ForwardRequest {
    CallerTicket ticket;
    CallerRequest request;
    bool operator==(const ForwardRequest&) const = default;
};

/// Receiving entry to home: the caller disconnected before its answer was complete.
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
    TurnsRequest, TurnsPage, GossipOffers, GossipRequest, GossipItems, CrashReports, JournalInconclusive,
    JournalStanding, PermitRequests, PermitGrants, GatewaysLinked, StoreView, GossipNotice, GossipDigests, StreamBegun,
    StreamPassedOn, StreamOriginRequest, StreamOriginAnswer, QuotaRequests, QuotaGrants, ConfigAgeRequest,
    ConfigAgeAnswer>;

}
