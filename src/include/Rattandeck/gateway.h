#pragma once

#include "Rattandeck/crashwatch.h"
#include "Rattandeck/endpoints.h"
#include "Rattandeck/journalclient.h"
#include "Rattandeck/routing.h"
#include "Rattandeck/timer.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Rattandeck {

// Calls and answers ----------------------------------------------------------------------------------------------

/// One attempt of a caller. A caller that tries again makes another call.
using CallId = Strong<struct CallIdTag, std::uint64_t>;
/// One sending of a call to an endpoint instance.
using SendId = Strong<struct SendIdTag, std::uint64_t>;

/// A caller's request, decoded.
struct GatewayCall {
    /// The caller's name for this attempt.
    TurnId request;
    std::string host;
    /// Without the query.
    std::string path;
    std::string body;
    /// How long the caller waits.
    std::optional<Milliseconds> timeLeft;
    /// The program that the call belongs to; empty for a call of its own.
    BudgetId program;
    /// Names the line of turns within the program.
    std::string session;
    /// Tokens that all turns of the program may generate.
    std::optional<TokenCount> tokenLimit;
    /// Most tokens that this turn generates.
    TokenCount maxOutputTokens;
    std::vector<PromptPart> prompt;
    std::string subject;
    /// The turn that this one continues; empty at the start of a chain.
    TurnId previousTurn;
    /// The caller has the events of an earlier attempt up to this one.
    std::string resumeAfter;
};

/// How a call is sent to an endpoint instance.
struct EndpointSend {
    EndpointId endpoint;
    std::string address;
    Milliseconds timeLeft { 0 };
    /// 0 is the most urgent; nothing leaves it to the engine.
    std::optional<std::uint32_t> priority;
    /// Replaces the caller's body when the turn continues a chain.
    std::optional<std::string> body;
    /// Replaces the caller's last event when a stream goes on at another instance.
    std::optional<std::string> resumeAfter;
    /// Connections to the instance that this process may have.
    std::uint32_t maxConnections = 1;
};

/// Beginning of an instance's answer.
struct EndpointAnswer {
    int status = 0;
    /// The instance says that it has not run the call and will not.
    bool isNotRun = false;
    /// The body is a stream of events.
    bool isEventStream = false;
    /// The instance vouches for the answer. A success without this is none.
    bool isSigned = false;
    std::optional<EndpointLoad> load;
};

enum class SendOutcome {
    /// The answer is complete.
    Complete,
    /// No byte of the call was sent.
    NotSent,
    /// As `NotSent`, since no connection to the instance came.
    Unreachable,
    /// The answer is missing or incomplete; the call may have run.
    Broken,
};

enum class RejectionReason {
    NoRoute,
    NotReady,
    Overloaded,
    NoInstance,
    BudgetSpent,
    UnknownTurn,
    JournalsUnavailable,
    /// The time of the caller or of the route is over.
    TimedOut,
    /// The call was sent and its answer was lost.
    AnswerLost,
    /// The same request has crashed several instances.
    Held,
};

/// An answer of our own.
struct CallRefusal {
    RejectionReason reason = RejectionReason::NotReady;
    bool mayHaveRun = false;
    /// When to come back; 0: coming back does not help, or nothing is known.
    Milliseconds retryAfter { 0 };
};

std::string_view describe(RejectionReason reason);

// Decisions, for the log -----------------------------------------------------------------------------------------

struct SendDecision {
    CallId call;
    TurnId request;
    BudgetId program;
    std::string route;
    std::uint64_t configVersion = 0;
    PlacementChoice choice;
    /// Sendings of this call so far, this one included.
    std::uint32_t attempt = 1;
    Milliseconds timeLeft { 0 };
    Milliseconds waited { 0 };
};

struct CallEnd {
    TurnId request;
    BudgetId program;
    std::string route;
    /// "answered", "refused", "broken" or "left".
    std::string_view outcome;
    std::string_view reason;
    std::string endpoint;
    int status = 0;
    std::uint32_t sends = 0;
    std::uint64_t events = 0;
    Milliseconds duration { 0 };
    /// From the arrival to the first sending; nothing when there was none.
    std::optional<Milliseconds> waited;
    /// From the arrival to the first event of a stream.
    std::optional<Milliseconds> firstEvent;
    /// The configuration that the call was handled under; 0: none.
    std::uint64_t configVersion = 0;
    /// The best instance when the call was last placed, and the calls that waited here.
    std::optional<PlacementChoice> bestChoice;
    std::size_t queued = 0;
};

// Gateway --------------------------------------------------------------------------------------------------------

/// What the gateway asks of its surroundings. Calls come from within the gateway's own functions and must not call it
/// back before they return.
class GatewayIo {
public:
    virtual ~GatewayIo() = default;

    /// Sends the call; the answer comes through `onAnswerHead`, `onAnswerData` and `onAnswerEnd`.
    virtual void send(CallId call, SendId send, EndpointSend what) = 0;
    /// Breaks a sending off; nothing more is reported of it.
    virtual void cancelSend(SendId send) = 0;

    /// Answers the caller with the head of the sending's answer and a whole body.
    virtual void answer(CallId call, SendId send, std::string body) = 0;
    /// Begins a streamed answer with the head of the sending's answer.
    virtual void begin(CallId call, SendId send) = 0;
    virtual void write(CallId call, std::string_view bytes) = 0;
    virtual void end(CallId call) = 0;
    /// Ends the answer so that the caller sees that it is incomplete.
    virtual void abortAnswer(CallId call) = 0;
    virtual void refuse(CallId call, const CallRefusal& refusal) = 0;

    /// To be told to the journals, which keep it and tell the other gateways.
    virtual void reportCrashes(const std::vector<CrashReport>& reports) = 0;

    virtual void logSend(const SendDecision& decision) = 0;
    virtual void logEnd(const CallEnd& end) = 0;
};

struct GatewayLimits {
    /// Calls under way, whatever their state.
    std::size_t maxCalls = 2000;
    /// Calls that wait for an instance with room.
    std::size_t maxQueued = 400;
    /// A call waits for room for at most this part of its route's objective.
    double queuePart = 0.25;
    /// Load of an instance, in multiples of its slots, beyond which calls wait here.
    double maxLoad = 1.5;
    /// As `maxLoad`, for the first turn of a program: what was let in is carried through first.
    double openingLoad = 0.85;
    /// Tells engines the rank of a call's route, by which they admit first and preempt.
    bool tellsPriorities = true;
    /// Interval at which waiting calls are tried again.
    Milliseconds queueInterval { 10 };
    /// Sendings that did not run, beyond those that may have.
    std::uint32_t maxRefusedSends = 3;
    /// A resumable stream whose next event takes longer goes on at another instance.
    Milliseconds streamStall { 700 };
    /// An idempotent call without an answer after this multiple of its objective is sent again.
    double stallObjectives = 1.0;
    /// Repeats allowed for each first sending, on average.
    double repeatRatio = 0.1;
    /// Repeats that may be saved up.
    double repeatBurst = 20;
    /// When a refused caller is told to come back.
    Milliseconds retryAfter { 250 };
    /// As `retryAfter`, for the first turn of a program.
    Milliseconds openingRetryAfter { 500 };
    /// Gateways that share the connections of an instance.
    std::uint32_t gateways = 5;
    /// Largest answer that is collected before it is passed on.
    std::size_t maxWholeAnswer = 256UL * 1024;
    /// Claims and turns are kept at least this long.
    Milliseconds minRetention { 60000 };
};

struct GatewayCounts {
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t broken = 0;
    std::uint64_t left = 0;
    std::uint64_t sends = 0;
    std::uint64_t repeats = 0;
    std::uint64_t events = 0;
};

/// Relays calls to endpoint instances: finds the route, checks the program's token budget, rebuilds the prompt of a
/// continued turn, chooses an instance, passes the answer on, and keeps the turn for those that will continue it.
///
/// A call runs at most once unless it is idempotent or its stream can be resumed; a refusal with `mayHaveRun` false has
/// not run and never will.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class Gateway {
public:
    Gateway(TimerService& timers, GatewayIo& io, JournalClient& journals, FailureDomain domain, GatewayLimits limits);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// Takes other limits over; calls under way go on under them.
    void setLimits(const GatewayLimits& limits);
    /// Takes a configuration over unless a later one is in force. Returns whether it did.
    bool setConfig(RoutingConfig config);
    /// The version in force; nothing before the first.
    std::optional<std::uint64_t> configVersion() const;
    /// Limits of the configuration in force.
    CallerLimits callerLimits() const;
    const EndpointTable& endpoints() const;
    /// Adds or changes an instance.
    void onInstance(const EndpointInstance& instance);
    void onInstanceGone(const EndpointId& id);
    /// Told by a journal.
    void onCrashReports(const CrashReports& crashes);

    void onCall(CallId id, GatewayCall call);
    /// The caller went away. Ignored for calls that have ended.
    void onCallerDisconnected(CallId id);

    void onAnswerHead(SendId id, const EndpointAnswer& answer);
    void onAnswerData(SendId id, std::string_view bytes);
    void onAnswerEnd(SendId id, SendOutcome outcome);

    /// Calls under way.
    std::size_t open() const;
    std::size_t queued() const;
    const GatewayCounts& counts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
