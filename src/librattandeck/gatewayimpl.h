#pragma once

#include "Rattandeck/eventstream.h"
#include "Rattandeck/gateway.h"

#include <map>
#include <unordered_map>

/// State of a gateway, for its sources only.
namespace Rattandeck {

/// Requests with the same host, path and body have the same one.
Fingerprint fingerprintOf(const GatewayCall& call);

struct GatewayCallState {
    CallId id;
    GatewayCall call;
    /// Keeps `route` alive when the configuration changes.
    std::shared_ptr<const RouteTable> table;
    const Route* route = nullptr;
    ServiceName service;
    TimePoint arrived;
    std::optional<TimePoint> firstSent;
    std::optional<TimePoint> firstEvent;
    TimePoint deadline;
    TimerId deadlineTimer;

    // Preparation
    bool isClaimPending = false;
    bool isFetchPending = false;
    bool isClaimed = false;
    /// The first turn of its program.
    bool isOpening = false;
    std::string transcript;

    // Queue
    bool isQueued = false;
    TimePoint queuedAt;

    // Sendings
    PlacementQuery query;
    std::optional<PlacementChoice> bestChoice;
    SendId send;
    EndpointId endpoint;
    std::uint32_t sends = 0;
    /// Sendings that may have run.
    std::uint32_t runs = 0;
    TimerId stallTimer;

    // Answer
    std::optional<EndpointAnswer> head;
    bool hasBegun = false;
    std::string body;
    EventSplitter splitter;
    std::string lastEvent;
    std::uint64_t events = 0;
    std::string output;
};

struct Gateway::Impl {
    Impl(TimerService& timers, GatewayIo& io, JournalClient& journals, FailureDomain domain, GatewayLimits limits)
        : timers(timers)
        , io(io)
        , journals(journals)
        , domain(std::move(domain))
        , limits(limits)
        , repeatsSaved(limits.repeatBurst)
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
    CrashWatch crashes;
    GatewayCounts counts;
    double repeatsSaved;

    std::unordered_map<CallId, std::unique_ptr<Call>> calls;
    std::unordered_map<SendId, CallId> callOfSend;
    std::uint64_t lastSend = 0;
    /// Waiting calls, the most urgent route first, then by arrival.
    std::map<std::tuple<std::uint32_t, TimePoint, CallId>, CallId> queue;
    TimerId queueTimer;

    // gateway.cpp: beginning and end of a call
    Call* find(CallId id);
    Call* findBySend(SendId id);
    void refuseUnrouted(CallId id, const GatewayCall& call, RejectionReason reason);
    void prepare(Call& call);
    void claim(Call& call);
    void fetch(Call& call);
    /// Precondition: the call is under way.
    void onClaimed(CallId id, const tl::expected<ClaimOutcome, JournalError>& outcome);
    void onFetched(CallId id, tl::expected<std::string, JournalError> outcome);
    void onDeadline(CallId id);
    void onDead(const EndpointId& id);
    void refuse(Call& call, RejectionReason reason);
    /// Refuses the call, or breaks its answer off where that has begun.
    void giveUp(Call& call, RejectionReason reason);
    void settle(Call& call);
    void finish(Call& call, std::string_view outcome, std::string_view reason);
    Milliseconds timeLeft(const Call& call) const;
    Milliseconds retention(const Call& call) const;

    // gatewaysends.cpp: placing and sending
    void place(Call& call);
    bool hasRoom(const Call& call, const PlacementChoice& choice) const;
    void sendTo(Call& call, const PlacementChoice& choice);
    void enqueue(Call& call);
    void dequeue(Call& call);
    void scheduleQueue();
    void pumpQueue();
    void dropSend(Call& call, bool cancel);
    void onSendRefused(Call& call);
    void onSendBroken(Call& call);
    void suspectCrash(Call& call);
    bool takeRepeat();
    bool mayRunAgain(const Call& call) const;
    void watchStall(Call& call);
    void onStall(CallId id);

    // gatewayanswers.cpp: passing answers on
    void takeEvents(Call& call);
    void passOn(Call& call, const StreamEvent& event);
    void onWholeAnswer(Call& call);
    void onStreamEnd(Call& call);
    /// The whole stream has been passed on.
    void complete(Call& call);
    void store(Call& call);
    void onStored(CallId id, const tl::expected<void, JournalError>& outcome);
};

}
