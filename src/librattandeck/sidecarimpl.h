#pragma once

#include "sidecarcredits.h"
#include "sidecarfence.h"
#include "sidecarprefixes.h"
#include "sidecarrecords.h"

#include "Rattandeck/cachepolicy.h"
#include "Rattandeck/config.h"
#include "Rattandeck/limits.h"
#include "Rattandeck/sidecar.h"

#include <map>
#include <optional>

namespace Rattandeck {

/// Least time between two divisions of credits before the regular reports.
constexpr Milliseconds reportSpacing { 20 };
/// Holders are told a credit's life without the time that an order may be on its way.
constexpr Milliseconds creditTransit { 50 };
/// How much longer than the caller's deadline the outcome of a call that isn't idempotent is awaited.
constexpr Milliseconds outcomeGrace { 10000 };
/// Ends that an entry missed, and refused orders, remembered for each link.
constexpr std::size_t maxMissedEnds = 1024;
constexpr std::size_t maxRefusedOrders = 4096;

/// An order that awaits the outcome of a call.
struct Subscriber {
    NodeId node;
    Incarnation incarnation;
    OrderId order;
    /// Wants the tokens as they come, not only the end.
    bool streams = true;
};

/// Where a part of a streamed answer ends in the whole text.
struct TextPart {
    std::size_t end = 0;
    TokenCount tokens;
};

/// A queued or running call.
struct SidecarCall {
    /// Its id at the endpoint.
    OrderId id;
    Order order;
    Digest fingerprint;
    std::vector<Subscriber> subscribers;
    TimePoint arrived {};
    TimePoint deadline {};
    bool running = false;
    TimePoint started {};
    std::optional<TimePoint> firstTokens;
    TokenCount heldAtStart;
    std::string text;
    TokenCount textTokens;
    std::vector<TextPart> parts;
    /// Decided for all running calls when the endpoint crashes: may this call have caused it?
    std::optional<bool> crashSuspect;
    /// Since when nobody who is linked awaits it.
    std::optional<TimePoint> unattendedSince;
    /// The program ended while the call ran.
    bool programEnded = false;
    /// Record that this call's own took the place of.
    std::optional<TurnRecord> formerRecord;
};

/// An order's end that could not be sent.
struct MissedEnd {
    OrderId order;
    ProgramId program;
    TurnNumber turn;
};

struct EntryLink {
    Hello hello;
    bool up = false;
    std::uint64_t reports = 0;
    TimePoint lastReport {};
    bool earlyReportDue = false;
    OrderId accountedOrder;
    std::uint64_t reportedChange = 0;
    /// Recent orders, halved at each report interval.
    double activity = 0;
    std::map<OrderId, RefusalReason> refusedOrders;
    /// Refused orders up to this one were forgotten: only repeats of records are taken up to here.
    OrderId refusedThrough;
    std::vector<MissedEnd> missedEnds;
};

/// Smoothed measurements of the endpoint; 0 while unknown.
struct EndpointSpeed {
    double callSeconds = 0;
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
};

inline double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

struct SidecarCore::Impl {
    Impl(SidecarSettings settings, TimerService& timers, SidecarEffects effects);

    // Links and reports (sidecar.cpp) --------------------------------------------------------------------------------

    TimePoint now() const { return this->timers.now(); }
    /// Calls back unless this object is gone by then.
    void after(Duration delay, std::function<void()> callback);
    void linkUp(const Hello& hello);
    void linkDown(const NodeId& node);
    void dispatch(const NodeId& from, const Message& message);
    EntryLink* findLink(const NodeId& node);
    bool isReachable(const Subscriber& subscriber);
    void sendTo(const NodeId& node, const Message& message);
    void tick();
    /// Reports to one entry soon, with fresh credits.
    void reportEarly(EntryLink& link);
    void divideEarly();
    void sendEarlyReports();
    void reportToHungry();
    void reportAll();
    TokenCount runningTokens() const;
    void report(EntryLink& link, std::uint32_t credits);
    std::uint32_t creditRoom();
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(this->calls.size()) - this->running; }
    std::uint32_t places() const { return static_cast<std::uint32_t>(this->limit.limit); }
    std::map<NodeId, std::uint32_t> divideRoom();
    /// The entry's queued calls never start: it may have given them up and gone on.
    void dropQueued(EntryLink& link);
    /// Drops subscribers of other incarnations of a node.
    void forgetSubscribers(const NodeId& node, Incarnation incarnation);
    /// Cancels what may be cancelled among the calls that nobody linked has awaited for long.
    void cancelAbandoned();
    void beginShutdown();
    void checkDrained();
    bool isDrained() const;

    // Orders (sidecarorders.cpp) -------------------------------------------------------------------------------------

    void onOrder(const NodeId& from, const Order& order);
    /// Takes an order that repeats a call or a record. Returns false when it is a new one.
    bool takeRepeat(EntryLink& link, const Order& order);
    std::optional<RefusalReason> reasonToRefuse(const Order& order);
    bool isQuarantined(const Digest& fingerprint) const;
    void attach(SidecarCall& call, EntryLink& link, OrderId order);
    /// Sends what has been generated so far, in the parts that others got.
    void resendParts(const SidecarCall& call, const Subscriber& subscriber);
    void refuse(EntryLink& link, const Order& order, RefusalReason reason);
    /// Refuses a queued call, or one that the endpoint has not begun, to all who await it.
    void refuseCall(OrderId id, RefusalReason reason);
    OrderId enqueue(EntryLink& link, const Order& order);
    void startQueued();
    /// After a pause of this process nothing that waits may start: its home may have given it up long ago.
    void refuseAfterPause();
    std::optional<OrderId> chooseNext();
    void start(SidecarCall& call);
    void dropHopeless();
    bool canMeet(const Order& order, Duration timeLeft, double waitSeconds) const;
    double queueSeconds(std::uint32_t ahead) const;
    void onCancel(const NodeId& from, const CancelOrder& cancel);
    void cancelRunning(SidecarCall& call);
    void log(const Order& order, const std::string& choice) const;

    // Endpoint (sidecarendpoint.cpp) ---------------------------------------------------------------------------------

    void onTokens(OrderId id, const std::string& text, TokenCount tokens);
    void onFinished(OrderId id, const EndpointResult& result);
    void onFailed(OrderId id, EndpointFailure failure);
    void measure(const SidecarCall& call, const EndpointResult& result);
    void accountPrefix(const SidecarCall& call, const EndpointResult& result);
    void noteCrash(SidecarCall& call);
    /// Ends a running call with its final record.
    void finish(OrderId id, TurnRecord record, const OrderEnded& end);
    void keepPartialPrefix(const SidecarCall& call);
    TokenCount chargeOf(const SidecarCall& call, TokenCount outputTokens) const;
    void releasePrefix(const ProgramId& program);
    void makeRoom(TokenCount wanted, const ProgramId& except);
    PausedPrefix pausedPrefix(const CachedPrefix& prefix) const;
    void onHoldPrefix(const HoldPrefix& hold);
    bool isActive(const ProgramId& program) const;
    bool isRunning(const ProgramId& program, TurnNumber turn) const;

    // Takeover, copies, ends, configuration (sidecarfacts.cpp) -------------------------------------------------------

    /// Raises the fence. Queued calls of a former home never start.
    void seeEpoch(ShardId shard, Epoch epoch, const NodeId& home);
    void onRecoveryRequest(const NodeId& from, const RecoveryRequest& request);
    RecoveryAnswer factsOf(ShardId shard, Epoch epoch) const;
    void redirect(ShardId shard, const NodeId& home);
    void onCopy(const NodeId& from, const CopyRecords& copy);
    void onRelease(const ReleaseProgram& release);
    void endProgramHere(const ProgramId& program);
    void onConfig(const ConfigUpdate& update);

    // State ----------------------------------------------------------------------------------------------------------

    SidecarSettings settings;
    TimerService& timers;
    SidecarEffects effects;
    std::shared_ptr<int> alive = std::make_shared<int>();

    std::map<NodeId, EntryLink> links;
    ShardFence fence;
    CreditBook credits;
    std::size_t creditRotation = 0;
    bool earlyDivisionDue = false;
    TimePoint lastEarlyDivision {};
    RecordStore records;
    PrefixTable prefixes;
    /// Most tokens of each program that this endpoint has held, to tell prefill that was wasted.
    std::map<ProgramId, TokenCount> onceHeld;
    ConfigReplica config;
    std::map<Digest, std::uint32_t> crashCounts;

    std::map<OrderId, SidecarCall> calls;
    OrderId lastCall;
    std::uint32_t running = 0;
    ConcurrencyLimit limit;
    EndpointSpeed speed;

    TimePoint lastTick {};
    SidecarStatus counters;
    bool leaving = false;
    bool finalReportSent = false;
    TimePoint drainedFrom {};
};

}
