#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/objects.h"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// History checking: records what callers, endpoints and operators observe of a concurrent run, and checks these
/// observations against the promises of the system. It consists of plain values and pure functions and does not use the
/// internal state of the processes under test.
namespace Rattandeck {

/// Identifies one logical call of a caller; retries of a call share its ID. The call's input contains `callTag`.
using CallId = Strong<struct CallIdTag, std::uint64_t>;
/// Identifies one request to one entry: one attempt of a call, or a request that opens, ends or looks up a program.
using RequestId = Strong<struct RequestIdTag, std::uint64_t>;
/// Identifies one execution of a call at an endpoint. Its output contains `runTag`.
using RunId = Strong<struct RunIdTag, std::uint64_t>;

/// Tags in inputs and outputs, by which the checks find the call or run that a piece of text comes from.
std::string callTag(CallId);
std::string runTag(RunId);
std::set<CallId> callsIn(std::string_view text);
std::set<RunId> runsIn(std::string_view text);

// Events -----------------------------------------------------------------------------------------------------------

struct RequestSent {
    RequestId request;
    /// 0 for requests that open, end or look up a program.
    CallId call;
    NodeId entry;
    CallerRequest body;
};
/// The entry has read the request.
struct RequestArrived {
    RequestId request;
};
struct RequestEvent {
    RequestId request;
    CallerEvent event;
};
/// The caller closed its connection, or the entry died, so the request no longer has to be answered.
struct RequestAbandoned {
    RequestId request;
};

struct RunStarted {
    RunId run;
    NodeId endpoint;
    CallId call;
    ProgramId program;
    bool idempotent = true;
    /// True for a model engine, whose prompt holds the program's history before the input. A plain service receives
    /// only the input.
    bool withHistory = true;
    std::string prompt;
    /// Tokens of the call's own input.
    TokenCount inputTokens;
};
struct RunEnded {
    RunId run;
    /// False if the endpoint died during the run or the run was cancelled.
    bool completed = true;
    std::string output;
    TokenCount outputTokens;
};
/// A sidecar accepted an order for its endpoint.
struct WorkAccepted {
    NodeId endpoint;
};
struct PrefixHeld {
    NodeId endpoint;
    ProgramId program;
};
struct PrefixFreed {
    NodeId endpoint;
    ProgramId program;
};

struct ProcessStarted {
    NodeId node;
};
struct ProcessDied {
    NodeId node;
};
/// The platform's instance list marks the instance as leaving.
struct LeavingListed {
    NodeId node;
};
struct StopAsked {
    NodeId node;
};
struct ProcessExited {
    NodeId node;
};
/// The process is partitioned from the network or paused; time limits do not apply to it until the disturbance ends.
struct DisturbanceBegan {
    NodeId node;
};
struct DisturbanceEnded {
    NodeId node;
};

/// The object API accepted a configuration change.
struct ConfigAccepted {
    ObjectKey key;
    ObjectVersion version;
};
struct ConfigInForce {
    NodeId node;
    ObjectKey key;
    ObjectVersion version;
};

using HistoryFact = std::variant<RequestSent, RequestArrived, RequestEvent, RequestAbandoned, RunStarted, RunEnded,
    WorkAccepted, PrefixHeld, PrefixFreed, ProcessStarted, ProcessDied, LeavingListed, StopAsked, ProcessExited,
    DisturbanceBegan, DisturbanceEnded, ConfigAccepted, ConfigInForce>;

struct HistoryEvent {
    TimePoint at {};
    HistoryFact fact;
};

/// The events of one run, in the order of their occurrence.
struct History {
    std::vector<HistoryEvent> events;
    /// End of the observation.
    TimePoint end {};
};

/// Time limits of the promises.
struct HistoryLimits {
    /// Time after the start of leaving within which an endpoint may still accept new work.
    Milliseconds leaving { 5000 };
    /// From the first process that applies a configuration change until all undisturbed processes have applied it.
    Milliseconds configuration { 5000 };
    /// From a program's end until the endpoints have freed its prefixes.
    Milliseconds prefix { 15000 };
    /// From the request to stop until the process exits.
    Milliseconds stop { 90000 };
    /// Added to the time limit of the request itself.
    Milliseconds answer { 3000 };
    /// Time in which the state of a lost replica is copied to a new one. If another replica is lost within this time,
    /// the state may be lost.
    Milliseconds copying { 15000 };
};

// Promises ---------------------------------------------------------------------------------------------------------

/// Guarantees of the system, in the order of the requirements.
enum class Promise {
    Order,
    OwnHistory,
    Budget,
    EngineMemory,
    OwnAnswer,
    NotRunIsTrue,
    AtMostOnce,
    Leaving,
    PlannedStop,
    Configuration,
};
constexpr std::size_t promiseCount = 10;
std::string_view toString(Promise);

enum class ViolationKind {
    /// A call started although a later call of its program had already started.
    StartedOutOfOrder,
    /// Two calls of one program ran concurrently.
    Overlapped,
    /// The head in an answer is not the chained digest of the program's turns up to this answer.
    BrokenChain,
    /// Two different answers were given for the same turn.
    TwoAnswersForATurn,
    /// A prompt does not contain a turn that had been answered before.
    TurnMissing,
    /// A prompt contains a call of another program, or the prompt for a plain service contains any other call.
    ForeignHistory,
    /// The program or its history was lost although no process had died within `HistoryLimits::copying` of
    /// another loss.
    HistoryForgotten,
    BudgetExceeded,
    PrefixNotFreed,
    /// The answer is not the output of any run of this call.
    ForeignAnswer,
    /// The concatenated stream parts differ from the final answer.
    BrokenStream,
    /// A request received another answer, or another part of one, after its final answer.
    AnsweredTwice,
    NotAnswered,
    /// A call ran although every request sent for it before the run was answered with "not run".
    RanAfterAll,
    /// A non-idempotent call ran more than once.
    RanTwice,
    WorkAfterLeaving,
    /// A process exited in a planned stop while a request or run was still in progress on it.
    CutByStop,
    /// A request that had arrived before a planned stop was rejected because of the stop.
    RefusedByStop,
    StopNeverEnds,
    ConfigurationReverted,
    ConfigurationLate,
};
std::string_view toString(ViolationKind);

struct Violation {
    Promise promise = Promise::Order;
    ViolationKind kind = ViolationKind::StartedOutOfOrder;
    /// Index of the event that shows the violation, or the number of events if an expected event had not occurred by
    /// the end of the history.
    std::size_t event = 0;
};

/// Result of one check. If `checked` is 0, the history did not exercise the promise, which does not count as a pass.
struct PromiseCheck {
    Promise promise = Promise::Order;
    /// Number of cases that were checked.
    std::uint64_t checked = 0;
    std::vector<Violation> violations;
    /// Losses of state that the protocol permits, because two replicas were lost within `HistoryLimits::copying`.
    std::uint64_t excused = 0;
};

PromiseCheck checkOrder(const History&, const HistoryLimits&);
PromiseCheck checkOwnHistory(const History&, const HistoryLimits&);
PromiseCheck checkBudget(const History&, const HistoryLimits&);
PromiseCheck checkEngineMemory(const History&, const HistoryLimits&);
PromiseCheck checkOwnAnswer(const History&, const HistoryLimits&);
PromiseCheck checkNotRun(const History&, const HistoryLimits&);
PromiseCheck checkAtMostOnce(const History&, const HistoryLimits&);
PromiseCheck checkLeaving(const History&, const HistoryLimits&);
PromiseCheck checkPlannedStop(const History&, const HistoryLimits&);
PromiseCheck checkConfiguration(const History&, const HistoryLimits&);

/// Runs all the checks above, in the order of `Promise`.
std::vector<PromiseCheck> checkPromises(const History&, const HistoryLimits&);

/// Formats the event as one line of a report.
std::string describe(const HistoryEvent&);

}
