#pragma once

#include "Rattandeck/crashwatch.h"
#include "Rattandeck/endpoints.h"
#include "Rattandeck/gatewaycalls.h"
#include "Rattandeck/gatewaylog.h"
#include "Rattandeck/journalclient.h"
#include "Rattandeck/permitholder.h"
#include "Rattandeck/quotaholder.h"
#include "Rattandeck/routing.h"
#include "Rattandeck/streamorigins.h"
#include "Rattandeck/timer.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Rattandeck {

/// I/O that the gateway needs: connections to callers, instances and journals, and the log. The gateway calls these
/// functions from within its member functions; an implementation must not call the gateway before it returns, except
/// `Gateway::onSendWritten` from `send`.
class GatewayIo {
public:
    virtual ~GatewayIo() = default;

    /// Sends the call to an instance. The answer is reported to `onAnswerHead`, `onAnswerData` and `onAnswerEnd`.
    virtual void send(CallId call, SendId send, EndpointSend details) = 0;
    /// Cancels a send. Nothing more is reported for it.
    virtual void cancelSend(SendId send) = 0;
    /// Since when this process has been connected to an instance's address without a gap; empty without a connection.
    virtual std::optional<TimePoint> connectedSince(const std::string& address) const = 0;
    /// Whether a call can be sent to an instance's address without opening a connection.
    virtual bool hasIdleConnection(const std::string& address) const = 0;
    /// Start time of the process that serves at an instance's address, by its own answer, if it can't have been
    /// replaced since; empty if it has not told. `Gateway::onProcessTold` follows each answer.
    virtual std::optional<std::int64_t> processAt(const std::string& address) const = 0;

    /// Answers the caller with the status and headers that the send received and a complete body.
    virtual void answer(CallId call, SendId send, std::string body) = 0;
    /// Begins a streamed answer with the status and headers that the send received.
    virtual void begin(CallId call, SendId send) = 0;
    virtual void write(CallId call, std::string_view bytes) = 0;
    /// Whether the caller reads its answer more slowly than it arrives, so that the instance's answer is held back.
    virtual bool isCallerBehind(CallId /*call*/) const { return false; }
    virtual void end(CallId call) = 0;
    /// Aborts an answer that has begun, so that the caller can tell that it is incomplete.
    virtual void abortAnswer(CallId call) = 0;
    virtual void refuse(CallId call, const CallRefusal& refusal) = 0;

    /// Reports crashes, and answers that void them, to the journals, which store them and forward them to the other
    /// gateways.
    virtual void reportCrashes(const std::vector<CrashReport>& reports) = 0;
    /// Returns false when no link to the journal is up.
    virtual bool sendToJournal(const NodeId& journal, const Message& message) = 0;

    virtual void logSend(const SendDecision& decision) = 0;
    virtual void logSendFailure(const SendFailure& failure) = 0;
    virtual void logEnd(const CallEnd& end) = 0;
    virtual void logLimit(const LimitChange& change) = 0;
    /// An answer has told that the instance's process `startedAt` leaves, which was not known: tells the other
    /// gateways.
    virtual void reportLeaving(const EndpointId& endpoint, std::int64_t startedAt) = 0;
    /// An instance says something of its leave that can't be understood; it is ignored.
    virtual void logInvalidLeaving(const EndpointId& endpoint, const std::string& text) = 0;
    /// An instance's load report can't be read, or its pace can't, which is ignored then.
    virtual void logInvalidLoad(const EndpointId& endpoint, const std::string& text) = 0;
    /// An instance states a limit that is not a rate; it is ignored.
    virtual void logInvalidLimit(const EndpointId& endpoint, const std::string& text) = 0;
};

struct GatewayLimits {
    /// Open calls, in any state.
    std::size_t maxCalls = 2000;
    /// Calls in the queue for an instance with free capacity.
    std::size_t maxQueued = 400;
    /// Maximum time that a call waits in the queue, as a fraction of the latency objective of its route.
    double maxQueueWaitRatio = 0.25;
    /// Maximum time that a call waits for a permit to be sent to a limited instance, as a fraction of the latency
    /// objective of its route. A call that would have to wait longer is refused at once.
    double maxPermitWaitRatio = 1.0;
    /// Maximum load of an instance, in multiples of its slots. Calls wait in the gateway's queue while the best
    /// instance has this load or more.
    double maxLoad = 1.5;
    /// As `maxLoad`, for the first turn of a program. It is lower so that programs already running have precedence.
    double firstTurnMaxLoad = 0.85;
    /// As `maxLoad`, for a stream that has to go on at its version. It is higher because new streams can go elsewhere.
    double resumedMaxLoad = 3;
    /// Sends the rank of a call's route to engines, which order admission and preemption by it.
    bool forwardsPriorities = true;
    /// Interval at which queued calls are placed again.
    Milliseconds queueInterval { 10 };
    /// Number of sends that a call may use in addition to its route's `maxRuns`, because a send that an instance
    /// refused does not count as a run. Sends to instances that refuse the connection are not counted.
    std::uint32_t maxExtraSends = 3;
    /// A resumable stream that delivers no event within this time is resumed at another instance.
    Milliseconds streamStallTimeout { 700 };
    /// An idempotent call that is not answered within this multiple of its route's objective is retried.
    double stallTimeoutRatio = 1.0;
    /// Retry budget: retries allowed per send, on average.
    double retryRatio = 0.1;
    /// Upper bound on the unused part of the retry budget; also the budget at start-up.
    double retryBurst = 20;
    /// Retry delay that is sent to a refused caller.
    Milliseconds retryAfter { 250 };
    /// As `retryAfter`, for the first turn of a program.
    Milliseconds firstTurnRetryAfter { 500 };
    /// Number of gateways that share the connections of an instance, until a journal has told it.
    std::uint32_t gatewayCount = 5;
    /// Largest answer that is buffered until it is complete; longer ones are streamed to the caller. Does not apply to
    /// routes whose calls are answered by an event stream.
    std::size_t maxBufferedAnswer = 256UL * 1024;
    /// Largest single event of a stream, and largest answer without events on a route of streams. An answer that
    /// exceeds it counts as interrupted.
    std::size_t maxEvent = 1024UL * 1024;
    /// Largest output of a turn that is retained; a longer one is interrupted.
    std::size_t maxRetainedOutput = 8UL * 1024 * 1024;
    /// Memory that the answers of all open calls may hold together, in bytes. Beyond it, the largest is interrupted.
    std::size_t maxAnswerBytes = 64UL * 1024 * 1024;
    /// Time for which the first event of a stream that may be resumed is held until the process that sent it has told
    /// which one it is. A stream that breaks before that can't be resumed.
    Milliseconds maxProcessWait { 60 };
    /// Knowledge of what streams began at; see `streamorigins.h`.
    StreamOriginLimits origins;
    /// Time for which a caller that states no deadline may resume a stream.
    Milliseconds defaultResumePeriod { 60000 };
    /// Added to the time until a caller's deadline, in which it may resume a stream.
    Milliseconds resumeMargin { 1000 };
    /// Seed of the choice among instances that are expected to be equally fast; 0: the first one is chosen. That at the
    /// start holds.
    std::uint64_t placementSeed = 0;
    /// See `EndpointCosts::learnsEverywhere`; that at the start holds.
    bool learnsEverywhere = true;
    /// Settings of the permits for limited instances; those at the start hold.
    PermitSettings permits;
    /// Settings of the allowances of organisations; those at the start hold.
    QuotaSettings quotas;
    /// Id of this gateway, which selects the issuer that it asks first.
    NodeId node;
    /// Time for which turns may be continued on a route that doesn't state it.
    Milliseconds defaultRetention { 60000 };
    /// Added to the retention of a turn, together with the time left to its caller's deadline: a caller has the end of
    /// an answer later than journals store the turn, and its next request takes time to arrive.
    Milliseconds retentionMargin { 5000 };
    /// Time for which journals keep claims beyond the retention of turns. A stopped program may return within that
    /// retention after its stop, which follows its last turn after a pause.
    Milliseconds maxProgramPause { 120000 };
    /// Bound on the age of the configuration by which callers' keys are admitted; 0 if there is none. See
    /// `configconfirmation.h`.
    Milliseconds maxConfigAge { 0 };
};

struct GatewayCounts {
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    /// Calls whose answer was aborted after it had begun.
    std::uint64_t broken = 0;
    /// Calls whose caller disconnected.
    std::uint64_t abandoned = 0;
    std::uint64_t sends = 0;
    std::uint64_t retries = 0;
    std::uint64_t events = 0;
    /// Calls that resumed a stream, and those of them whose stream's origin was not known.
    std::uint64_t resumptions = 0;
    std::uint64_t unknownStreams = 0;
    /// Sends to another instance than the best one, because the limit of that one left no room in time.
    std::uint64_t passedOver = 0;
    /// Calls refused at once because the queue was too long for them.
    std::uint64_t refusedForQueue = 0;
    /// Calls of organisations far above their share, and of organisations owed room; see `admissionorder.h`.
    std::uint64_t farAboveShare = 0;
    std::uint64_t owed = 0;
};

/// Relays calls to endpoint instances: finds the route, checks the program's token budget, rebuilds the prompt of a
/// continued turn, chooses an instance, relays the answer, and stores the turn for later turns that continue it.
///
/// A call runs at most once unless it is idempotent or its stream can be resumed. A call that was refused with
/// `mayHaveRun` false has not run and will not run later.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class Gateway {
public:
    Gateway(TimerService& timers, GatewayIo& io, JournalClient& journals, FailureDomain domain,
        const GatewayLimits& limits);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// Replaces the limits, also for open calls.
    void setLimits(const GatewayLimits& limits);
    /// Applies a configuration if its version is higher than the current one. Returns whether it was applied.
    bool setConfig(RoutingConfig config);
    /// Version of the current configuration; empty before the first one.
    std::optional<std::uint64_t> configVersion() const;
    /// Whether the current configuration asks callers for keys.
    bool hasOrganisations() const;
    /// Limits of the current configuration.
    CallerLimits callerLimits() const;
    const EndpointTable& endpoints() const;
    /// Adds or updates an instance.
    void onInstance(const EndpointInstance& instance);
    void onInstanceRemoved(const EndpointId& id);
    /// Another gateway was told by the instance's process `startedAt` that it leaves.
    void onInstanceLeaving(const EndpointId& id, std::int64_t startedAt);
    /// All connections to an instance's address have ended without announcement.
    void onConnectionsLost(const std::string& address);
    /// The process that serves at an instance's address has told which one it is.
    void onProcessTold(const std::string& address);
    /// What is known of the instances is what the platform's store listed at `viewedAt`, or later.
    void onStoreViewed(TimePoint viewedAt);
    /// The configuration in force, or a later one, was the current one at `confirmedAt`.
    void onConfigConfirmed(TimePoint confirmedAt);
    /// Whether calls with keys are refused because the configuration was not confirmed as current lately.
    bool isConfigTooOld() const;
    /// Takes crash reports that a journal forwarded.
    void onCrashReports(const CrashReports& crashes);

    /// Journals in the set, links to them, and messages about permits (`PermitHolder`), origins of streams
    /// (`StreamOriginClient`) and allowances (`QuotaHolder`); other messages are ignored.
    void setJournals(const std::vector<JournalMember>& members);
    void onJournalUp(const NodeId& journal, const FailureDomain& domain = {});
    void onJournalDown(const NodeId& journal);
    void onJournalMessage(const NodeId& from, const Message& message);

    void onCall(CallId id, GatewayCall call);
    /// Returns whether a call needs its body. If not, `onCall` refuses it by what its head says, at this moment.
    bool needsBody(const GatewayCall& head) const;
    /// The caller disconnected. Ignored for calls that have ended.
    void onCallerDisconnected(CallId id);

    /// A planned stop has begun: the process ends at `endsAt`. Calls that arrive later than `takesAllUntil` are refused
    /// at once, as not run, if their deadline is later than the end. Those that arrive before it are taken, because
    /// most are answered long before their deadline, and callers may not have been sent elsewhere yet.
    void beginStop(TimePoint takesAllUntil, TimePoint endsAt);
    /// Ends all open calls, because the process is about to end: refuses those without an answer, and aborts the
    /// others.
    void endOpenCalls();

    /// The call is about to be written to its connection. Until then it can't have run.
    void onSendWritten(SendId id);
    void onAnswerHead(SendId id, const EndpointAnswer& answer);
    void onAnswerData(SendId id, std::string_view bytes);
    /// Returns whether the gateway has done with the send. Otherwise it ends it later by `GatewayIo::cancelSend`.
    bool onAnswerEnd(SendId id, SendOutcome outcome);

    /// Number of open calls.
    std::size_t openCalls() const;
    std::size_t queuedCalls() const;
    const PermitHolder& permits() const;
    const QuotaHolder& quotas() const;
    const GatewayCounts& counts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
