#pragma once

#include "Rattandeck/admissionrecord.h"
#include "Rattandeck/callcosts.h"
#include "Rattandeck/eventstream.h"
#include "Rattandeck/gateway.h"

#include <map>
#include <unordered_map>

/// Internal state of the gateway.
namespace Rattandeck {

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
    /// Set when the call is queued.
    AdmissionOrder order {};
    /// The call is counted in the record of organisations, as offered.
    bool isOffered = false;
    /// When the call was offered.
    OrganisationStanding standing;
    bool isInQueueRate = false;
    CallWaits waits;
    /// Time up to which `waits` has the time in the queue.
    TimePoint queueCountedUntil;
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
    TimePoint writtenAt;
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
    /// Events since `workSince`, by which the speed of the instance is observed.
    std::uint64_t workEvents = 0;
    TimePoint workSince;
    /// The data of all events of the turn, if it is retained, those included that earlier requests have brought.
    std::string output;
    std::vector<StreamMark> outputEvents;
    RetainedTurn retained;
    /// Memory of the answer that is counted in `Gateway::Impl::answerBytes`.
    std::size_t answerBytes = 0;
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
        , endpoints(costsOf(limits),
              { [this](const std::string& address) { return this->io.connectedSince(address); },
                  [this](const std::string& address) { return this->io.processAt(address); },
                  [this](const std::string& address) { return this->io.hasIdleConnection(address); } })
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
    /// Set in a planned stop; see `Gateway::beginStop`.
    struct PlannedStop {
        TimePoint takesAllUntil;
        TimePoint endsAt;
    };
    std::optional<PlannedStop> plannedStop;
    /// A moment at which the configuration was the current one.
    std::optional<TimePoint> configConfirmedAt;
    EndpointTable endpoints;
    /// Moving average of the tokens that turns are expected to generate, by service.
    std::unordered_map<ServiceName, double> meanOutputTokens;
    CallCosts costs;
    CrashWatch crashes;
    PermitHolder permits;
    StreamOriginClient origins;
    QuotaHolder quotas;
    GatewayCounts counts;
    /// Retries that may be spent: see `GatewayLimits::retryRatio`.
    double retryBudget;
    /// Memory that the answers of all open calls hold, in bytes.
    std::size_t answerBytes = 0;

    std::unordered_map<CallId, std::unique_ptr<Call>> calls;
    std::unordered_map<SendId, CallId> callOfSend;
    std::uint64_t lastSend = 0;
    /// Calls that wait for capacity or a permit, in the order of `admissionorder.h` and then that of their time in the
    /// queue.
    using QueueKey = std::tuple<AdmissionOrder, TimePoint, CallId>;
    std::map<QueueKey, CallId> queue;
    TimerId queueTimer;
    TimerId roomTimer;
    OrganisationRecord organisationRecord;
    /// By service and whether the calls are first turns; empty without organisations.
    std::map<std::pair<ServiceName, bool>, QueueRate> queueRates;

    // gateway.cpp: start and end of a call
    Call* find(CallId id);
    Call* findBySend(SendId id);
    void refuseUnrouted(CallId id, const GatewayCall& call, RejectionReason reason);
    void prepare(Call& call);
    void findOrigin(Call& call);
    void onOrigin(CallId id, tl::expected<KnownStream, StreamOriginError> outcome);
    bool isPreparing(const Call& call) const;
    void claim(Call& call);
    void fetch(Call& call);
    /// Precondition: the call is open.
    void onClaimed(CallId id, const tl::expected<ClaimOutcome, JournalError>& outcome);
    void onFetched(CallId id, tl::expected<std::string, JournalError> outcome);
    void onPrepared(Call& call);
    void onDeadline(CallId id);
    void onInstanceFailed(const EndpointId& id);
    std::optional<RejectionReason> refusalByHead(const GatewayCall& call) const;
    /// When the call has to be answered at the latest if it arrives now.
    TimePoint deadlineOf(const GatewayCall& call, const Route& route) const;
    /// Whether the call comes too late in a planned stop to be taken.
    bool isTooLateFor(const GatewayCall& call, const Route& route) const;
    std::optional<RejectionReason> admit(const GatewayCall& call, const Organisation* organisation);
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

    // gatewayorganisations.cpp: calls of organisations
    /// Finds out whether the turn that the call continues is stored without an organisation.
    void fetchWithoutOwner(Call& call);

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
    void dequeue(Call& call, bool isSent = false);
    /// Adds the time in the queue since the last count to what the call has waited for.
    void countQueueWait(Call& call) const;
    void scheduleQueue();
    /// Places the first calls of the queue again, `most` at most.
    void processQueue(std::size_t most = SIZE_MAX);
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

    // gatewayadmission.cpp: which calls get room first
    /// Counts the call among those offered, once.
    void noteOffered(Call& call);
    /// Counts the first send of a call.
    void noteServed(const Call& call);
    void onRoom();
    bool mustWaitBehind(const Call& call) const;
    QueueView queueViewOf(const Call& call);
    /// Sets the call's position in the queue.
    void order(Call& call);
    /// Returns false if the queue is full of calls that go first. Refuses the last call of a full queue otherwise.
    bool makeRoomInQueue(const Call& call);
    bool canBeServedInTime(const Call& call);
    void noteQueued(Call& call);
    void noteLeftQueue(Call& call, bool isSent);
    /// Delay after which the caller of a call may retry that has found no room.
    Milliseconds queueRetryDelay(const Call& call, Milliseconds least);

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
    Milliseconds retryDelay(const Call& call, RejectionReason reason);

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

    // gatewayconfigage.cpp: keys while the configuration may have been replaced
    bool isTooOldFor(const Route& route) const;
    std::optional<RejectionReason> keyObjection(const Call& call) const;
    void limitWriting(const Call& call, EndpointSend& details) const;
    void endCallsWithoutKey();
    std::optional<Milliseconds> keyRetryDelay(const TurnId& request, RejectionReason reason) const;

    // gatewaycosts.cpp: what calls cost, and how fast instances work
    static EndpointCosts costsOf(const GatewayLimits& limits);
    static CallSize sizeOf(const Call& call);
    static std::int64_t tokensPerEvent(const Call& call);
    /// Time that the call usually takes at an idle instance once its prompt is read, in milliseconds; 0 if unknown.
    double usualWorkMs(const Call& call) const;
    /// Time in which the call's instance is expected to make the next progress, in milliseconds; 0 if unknown.
    double expectedProgressMs(const Call& call) const;
    Duration stallTimeoutOf(const Call& call) const;
    void noteWork(const Call& call, double milliseconds, bool includesQueue);
    void noteEventTime(Call& call);
    /// Precondition: the answer is complete, and the instance has answered the call.
    void noteAnswerTime(Call& call);

    // gatewayanswers.cpp: relaying of answers
    void noteLeaving(const Call& call, const EndpointAnswer& answer);
    void onAnswerData(Call& call, std::string_view bytes);
    void onAnswerEnd(Call& call, SendOutcome outcome);
    /// Whether the answer's status would tell the caller what the instance has not stated. Such an answer is not
    /// relayed. Precondition: the head of an answer has arrived that does not state that the call has not run.
    static bool isUnfounded(const Call& call);
    /// Whether the instance has run the call and failed. Precondition: as for `isUnfounded`.
    static bool isFailedAnswer(const Call& call);
    bool isProcessUntold(const Call& call) const;
    bool mustHold(Call& call);
    void release(Call& call);
    void noteOrigin(Call& call);
    /// Time for which the caller may resume the stream.
    Milliseconds resumePeriod(const Call& call) const;
    void recordOutput(const Call& call);
    void forwardEvents(Call& call);
    void forwardEvent(Call& call, const StreamEvent& event);
    void onCompleteAnswer(Call& call);
    void onStreamEnd(Call& call);
    /// Ends the answer of a stream whose events have all been relayed.
    void complete(Call& call);
    void store(Call& call);
    void sendToStore(Call& call);
    void onStored(CallId id, const tl::expected<void, JournalError>& outcome);

    // gatewayanswermemory.cpp: what answers hold
    /// Counts the memory of a call's answer, and interrupts the largest answer if all hold too much.
    void boundAnswerMemory(Call& call);
    void releaseAnswerMemory(const Call& call);
};

}
