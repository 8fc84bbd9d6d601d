#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/objects.h"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// History checking: what callers, endpoints and operators saw of a concurrent run, and whether the promises held.
/// Plain values and pure functions; nothing here looks into the processes that are checked.
namespace Rattandeck {

/// One logical call of a caller, however often it is sent. Its input carries `callTag`.
using CallId = Strong<struct CallIdTag, std::uint64_t>;
/// One sending of a call (or of an opening, an end) to one entry.
using RequestId = Strong<struct RequestIdTag, std::uint64_t>;
/// One run of a call at an endpoint. Its output carries `runTag`.
using RunId = Strong<struct RunIdTag, std::uint64_t>;

/// Marks in texts, by which the checker tells what belongs to whom.
std::string callTag(CallId);
std::string runTag(RunId);
std::set<CallId> callsIn(std::string_view text);
std::set<RunId> runsIn(std::string_view text);

// Events -----------------------------------------------------------------------------------------------------------

struct RequestSent {
    RequestId request;
    /// 0 for openings, ends and look-ups.
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
/// The caller went away, or the entry that it asked died: no answer is owed any more.
struct RequestAbandoned {
    RequestId request;
};

struct RunStarted {
    RunId run;
    NodeId endpoint;
    CallId call;
    ProgramId program;
    bool idempotent = true;
    /// A model engine gets the program's history before the input; a plain service the input alone.
    bool withHistory = true;
    std::string prompt;
    /// Tokens of the call's own input.
    TokenCount inputTokens;
};
struct RunEnded {
    RunId run;
    /// False: the endpoint died under the call, or it was cancelled.
    bool completed = true;
    std::string output;
    TokenCount outputTokens;
};
/// A sidecar took an order in.
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
/// The platform's list shows the instance as leaving.
struct LeavingListed {
    NodeId node;
};
struct StopAsked {
    NodeId node;
};
struct ProcessExited {
    NodeId node;
};
/// The process is cut off or paused, and so excused from time limits.
struct DisturbanceBegan {
    NodeId node;
};
struct DisturbanceEnded {
    NodeId node;
};

/// The object API took a change.
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

/// Events in the order in which they happened.
struct History {
    std::vector<HistoryEvent> events;
    /// When watching ended.
    TimePoint end {};
};

/// Times that the promises allow.
struct HistoryLimits {
    /// From leaving to the last new work.
    Milliseconds leaving { 5000 };
    Milliseconds configuration { 5000 };
    /// From a program's end until its prefixes are free.
    Milliseconds prefix { 15000 };
    /// From being asked to stop until the exit.
    Milliseconds stop { 90000 };
    /// Beyond a request's own time.
    Milliseconds answer { 3000 };
    /// Time to copy the facts of a lost holder: a second loss within it may lose facts.
    Milliseconds copying { 15000 };
};

// Promises ---------------------------------------------------------------------------------------------------------

/// What must always hold, in the order of the brief.
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
    /// A call started after a later call of its program had started.
    StartedOutOfOrder,
    /// Calls of one program ran at the same time.
    Overlapped,
    /// The head is not the digest of the turns before it.
    BrokenChain,
    /// One turn was answered in two ways.
    TwoAnswersForATurn,
    /// A prompt lacks an answered turn.
    TurnMissing,
    ForeignHistory,
    /// The program or its history was forgotten though at most one process had died.
    HistoryForgotten,
    BudgetExceeded,
    PrefixNotFreed,
    /// The answer is not one that a run of this call gave.
    ForeignAnswer,
    /// The streamed parts don't add up to the answer.
    BrokenStream,
    AnsweredTwice,
    NotAnswered,
    RanAfterAll,
    RanTwice,
    WorkAfterLeaving,
    CutByStop,
    /// A request that was under way at a planned stop was sent away.
    RefusedByStop,
    StopNeverEnds,
    ConfigurationReverted,
    ConfigurationLate,
};
std::string_view toString(ViolationKind);

struct Violation {
    Promise promise = Promise::Order;
    ViolationKind kind = ViolationKind::StartedOutOfOrder;
    /// Index of the event that shows it; the number of events when it is an absence at the end.
    std::size_t event = 0;
};

/// Outcome of one check. With no `checked` the promise was not exercised, which is no pass.
struct PromiseCheck {
    Promise promise = Promise::Order;
    std::uint64_t checked = 0;
    std::vector<Violation> violations;
    /// Losses that the protocol does not rule out (two holders lost within `HistoryLimits::copying`).
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

/// All of the above, in the order of `Promise`.
std::vector<PromiseCheck> checkPromises(const History&, const HistoryLimits&);

/// One line for a report.
std::string describe(const HistoryEvent&);

}
