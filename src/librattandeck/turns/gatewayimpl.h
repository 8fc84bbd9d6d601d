#pragma once

#include "Rattandeck/eventstream.h"
#include "Rattandeck/gateway.h"

#include <map>
#include <unordered_map>

/// Internal state of the gateway.
namespace Rattandeck {

/// Hash of a request's host, path, subject, previous turn and body. Identifies a request that comes again, to count the
/// crashes that it causes. The input of a turn is a small part of its prompt, so the turn that it continues is
/// included.
Fingerprint fingerprintOf(const GatewayCall& call);

struct GatewayCallState {
    CallId id;
    GatewayCall call;
    /// Keeps `route` valid after a change of the configuration.
    std::shared_ptr<const RouteTable> table;
    const Route* route = nullptr;
    /// The caller's organisation; null if it has none. Valid as long as `table`.
    const Organisation* organisation = nullptr;
    ServiceName service;
    TimePoint arrived;
    std::optional<TimePoint> firstSent;
    std::optional<TimePoint> firstEvent;
    TimePoint deadline;
    TimerId deadlineTimer;

    // Preparation
    /// The call resumes a stream that began with another request.
    bool isResumption = false;
    bool isOriginPending = false;
    bool isClaimPending = false;
    bool isFetchPending = false;
    /// The call waits for a token of its organisation's allowance, or has yet to ask for one.
    bool isQuotaPending = false;
    bool isQuotaAsked = false;
    std::optional<QuotaToken> quotaToken;
    /// Set once the call has been refused for the lack of a token.
    QuotaRefusal quotaRefusal;
    bool isClaimed = false;
    /// The call is the first turn of its program.
    bool isFirstTurn = false;
    std::string transcript;
    std::optional<TimePoint> preparedAt;

    // Queue
    bool isQueued = false;
    TimePoint queuedAt;
    /// Instance for which the call waits for a permit; empty if there is none.
    EndpointId awaited;
    std::size_t awaitedUrgency = 0;

    // Sends
    PlacementQuery query;
    std::optional<PlacementChoice> bestChoice;
    SendId send;
    EndpointId endpoint;
    std::uint32_t sends = 0;
    /// Sends to instances that refused the connection, which count toward no limit: each instance is tried once.
    std::uint32_t unreachableSends = 0;
    /// Sends that may have run; while the current one has not been written, it is counted too.
    std::uint32_t runs = 0;
    /// The current send has been written to its connection.
    bool isWritten = false;
    TimePoint sentAt;
    /// Start time of the process that the instance had when the call was sent.
    std::int64_t instanceStartedAt = 0;
    /// The round of the current send; see `CrashWatch`.
    std::uint32_t crashRound = 0;
    TimerId stallTimer;

    // Answer
    std::optional<EndpointAnswer> head;
    bool hasAnswerBegun = false;
    std::string body;
    EventSplitter splitter;
    /// Ends the wait for the process to tell which one it is, while the first event is held.
    TimerId processTimer;
    bool hasAwaitedProcess = false;
    /// The answer broke off while its first event was held.
    bool isBrokenWhileHeld = false;
    std::string lastEvent;
    std::uint64_t events = 0;
    std::uint64_t eventsOfSend = 0;
    std::string output;
    RetainedTurn retained;
    std::optional<TimePoint> storeStarted;
    std::optional<TimePoint> storeEnded;
    std::uint32_t storeRetries = 0;
    TimerId storeTimer;
};

struct Gateway::Impl {
    Impl(
        TimerService& timers, GatewayIo& io, JournalClient& journals, FailureDomain domain, const GatewayLimits& limits)
        : timers(timers)
        , io(io)
        , journals(journals)
        , domain(std::move(domain))
        , limits(limits)
        , endpoints(EndpointCosts {},
              { [this](const std::string& address) { return this->io.connectedSince(address); },
                  [this](const std::string& address) { return this->io.processAt(address); } })
        , permits(timers, this->permitIo(), limits.permits)
        , origins(
              timers,
              [this](
                  const NodeId& journal, const Message& message) { return this->io.sendToJournal(journal, message); },
              limits.origins)
        , quotas(timers, limits.node, this->quotaIo(), limits.quotas)
        , retryBudget(limits.retryBurst)
    {
    }

    using Call = GatewayCallState;

    TimerService& timers;
    GatewayIo& io;
    JournalClient& journals;
    FailureDomain domain;
    GatewayLimits limits;
    std::shared_ptr<const RouteTable> table;
    EndpointTable endpoints;
    /// Moving average of the tokens that turns are expected to generate, by service.
    std::unordered_map<ServiceName, double> meanOutputTokens;
    CrashWatch crashes;
    PermitHolder permits;
    StreamOriginClient origins;
    QuotaHolder quotas;
    GatewayCounts counts;
    /// Retries that may be spent: see `GatewayLimits::retryRatio`.
    double retryBudget;

    std::unordered_map<CallId, std::unique_ptr<Call>> calls;
    std::unordered_map<SendId, CallId> callOfSend;
    std::uint64_t lastSend = 0;
    /// Calls that wait for capacity or a permit: streams that have to go on at their version before all others, then in
    /// the order of their routes' rank, first turns after the others, then in that of their time in the queue.
    using QueueKey = std::tuple<bool, std::uint32_t, bool, TimePoint, CallId>;
    std::map<QueueKey, CallId> queue;
    TimerId queueTimer;

    // gateway.cpp: start and end of a call
    Call* find(CallId id);
    Call* findBySend(SendId id);
    void refuseUnrouted(CallId id, const GatewayCall& call, RejectionReason reason);
    void prepare(Call& call);
    void findOrigin(Call& call);
    void onOrigin(CallId id, const tl::expected<StreamOrigin, StreamOriginError>& outcome);
    bool isPreparing(const Call& call) const;
    void claim(Call& call);
    void fetch(Call& call);
    /// Precondition: the call is open.
    void onClaimed(CallId id, const tl::expected<ClaimOutcome, JournalError>& outcome);
    void onFetched(CallId id, tl::expected<std::string, JournalError> outcome);
    void onPrepared(Call& call);
    void onDeadline(CallId id);
    void onInstanceFailed(const EndpointId& id);
    std::optional<RejectionReason> admit(const GatewayCall& call);
    void refuse(Call& call, RejectionReason reason);
    /// Refuses the call, or aborts its answer if that has begun.
    void failCall(Call& call, RejectionReason reason);
    void settle(Call& call);
    void finish(Call& call, std::string_view outcome, std::string_view reason);
    Milliseconds timeLeft(const Call& call) const;
    /// For how long journals keep the turn from now on.
    Milliseconds turnRetention(const Call& call) const;
    /// For how long journals keep the turn's claim from now on.
    Milliseconds claimRetention(const Call& call) const;

    // gatewaysends.cpp: placement, queue and sends
    void place(Call& call);
    double maxLoadFor(const Call& call) const;
    std::optional<PlacementChoice> choose(const Call& call, const PlacementQuery& query) const;
    void placeWithoutChoice(Call& call);
    void sendTo(Call& call, const PlacementChoice& choice);
    EndpointSend detailsOf(const Call& call, const PlacementChoice& choice) const;
    SendDecision decisionOf(const Call& call, const PlacementChoice& choice) const;
    static QueueKey queueKey(const Call& call);
    Duration maxQueueWait(const Call& call) const;
    void enqueue(Call& call);
    void dequeue(Call& call);
    void scheduleQueue();
    void processQueue();
    void dropSend(Call& call, bool cancel);
    void onSendRefused(Call& call, SendFailureCause cause);
    void onSendInterrupted(Call& call, SendFailureCause cause);
    void logFailure(const Call& call, SendFailureCause cause);
    void recordLostAnswer(const Call& call);
    void recordAnswer(const Call& call);
    bool tryWithdrawRetry();
    bool mayRunAgain(const Call& call) const;
    void restartStallTimer(Call& call);
    void onStall(CallId id);
    bool canMove(const Call& call) const;
    void keepStalled(Call& call);

    // gatewaylimits.cpp: instances that state a limit
    PermitHolder::Io permitIo();
    void noteLimit(const Call& call, const EndpointAnswer& answer);
    /// Notes the length of a call, and returns it in relation to the mean.
    double relativeLength(const Call& call);
    LimitRoom roomAt(const Call& call, const EndpointId& endpoint) const;
    /// Whether the call may wait for a permit that is expected after `wait`.
    bool mayAwaitPermit(const Call& call, Milliseconds wait) const;
    void awaitPermit(Call& call, const EndpointId& endpoint);
    void stopAwaiting(Call& call);
    /// Requests a permit for the call while its tokens are claimed and its transcript is fetched.
    void anticipatePermit(Call& call);
    /// Delay after which the caller of a refused call may retry.
    Milliseconds retryDelay(const Call& call, RejectionReason reason) const;

    // gatewayquotas.cpp: allowances of organisations
    QuotaHolder::Io quotaIo();
    /// Whether each call of the organisation needs a token.
    static bool isMetered(const Call& call);
    /// Takes a token, or waits for one, or refuses the call. Returns false if the call has been refused.
    bool acquireToken(Call& call);
    /// Asks for the call's token as soon as its kind is known. Returns false if the call has been refused.
    bool prepareToken(Call& call);
    void onToken(CallId id, const QuotaHolder::Outcome& outcome);
    void refuseForQuota(Call& call, const QuotaRefusal& refusal);
    /// Whether the call may be sent now, as far as its organisation's allowance matters. Otherwise it waits for a
    /// token, or has been refused.
    bool renewToken(Call& call);
    /// Returns a token that the call has not used.
    void releaseToken(Call& call);

    // gatewayanswers.cpp: relaying of answers
    void noteLeaving(const Call& call, const EndpointAnswer& answer);
    void onAnswerEnd(Call& call, SendOutcome outcome);
    bool isProcessUntold(const Call& call) const;
    bool mustHold(Call& call);
    void release(Call& call);
    void noteOrigin(Call& call);
    void forwardEvents(Call& call);
    void forwardEvent(Call& call, const StreamEvent& event);
    void onCompleteAnswer(Call& call);
    void onStreamEnd(Call& call);
    /// Ends the answer of a stream whose events have all been relayed.
    void complete(Call& call);
    void store(Call& call);
    void sendToStore(Call& call);
    void onStored(CallId id, const tl::expected<void, JournalError>& outcome);
};

}
