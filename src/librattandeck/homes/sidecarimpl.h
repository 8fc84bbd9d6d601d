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

/// Minimum time between two rounds of early reports, which come before the regular ones.
constexpr Milliseconds minEarlyReportInterval { 20 };
/// Deducted from the credit lifetime that is sent to holders, to allow for the time that an order is in transit.
constexpr Milliseconds creditTransitMargin { 50 };
/// Time beyond the caller's deadline for which the sidecar waits for the outcome of a call that is not idempotent.
constexpr Milliseconds outcomeGracePeriod { 10000 };
/// Maximum number of unsent ends, and of refused orders, that are remembered for each link.
constexpr std::size_t maxUnsentEnds = 1024;
constexpr std::size_t maxRefusedOrders = 4096;

/// An order that waits for the outcome of a call.
struct Subscriber {
    NodeId node;
    Incarnation incarnation;
    OrderId order;
    /// Receives the tokens as they are generated, not only the end.
    bool streams = true;
};

/// End position of one part of a streamed answer in the whole text.
struct TextPart {
    std::size_t end = 0;
    TokenCount tokens;
};

/// A queued or running call.
struct SidecarCall {
    /// Id of the call at the endpoint.
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
    /// Whether this call may have caused a crash of the endpoint. Set for all running calls when the endpoint crashes.
    std::optional<bool> crashSuspect;
    /// Start of the period in which no reachable entry has been waiting for the call; empty while one is.
    std::optional<TimePoint> orphanedSince;
    /// The program ended while the call ran.
    bool programEnded = false;
    /// The record of the same turn that this call's own record replaced, if there was one.
    std::optional<TurnRecord> replacedRecord;
};

/// The end of an order, when the `OrderEnded` message could not be sent to the entry.
struct UnsentEnd {
    OrderId order;
    ProgramId program;
    TurnNumber turn;
};

/// State of the link with one entry; kept while the link is down.
struct EntryLink {
    Hello hello;
    bool up = false;
    std::uint64_t reports = 0;
    TimePoint lastReport {};
    bool earlyReportDue = false;
    OrderId accountedOrder;
    std::uint64_t reportedChange = 0;
    /// Number of recent orders, halved at each report interval.
    double activity = 0;
    std::map<OrderId, RefusalReason> refusedOrders;
    /// Refused orders up to this id have been removed from `refusedOrders`. All orders up to this id are therefore
    /// refused, except those that duplicate a record.
    OrderId refusedThrough;
    std::vector<UnsentEnd> unsentEnds;
};

/// Moving averages of the endpoint's speed; 0 while unknown.
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
    /// Runs `callback` after `delay`, unless this object is destroyed first.
    void after(Duration delay, std::function<void()> callback);
    void linkUp(const Hello& hello);
    void linkDown(const NodeId& node);
    void dispatch(const NodeId& from, const Message& message);
    EntryLink* findLink(const NodeId& node);
    bool isReachable(const Subscriber& subscriber);
    void sendTo(const NodeId& node, const Message& message);
    void tick();
    /// Schedules a report with new credits to one entry.
    void scheduleEarlyReport(EntryLink& link);
    /// Schedules a division of credits before the next regular reports. Requests made until then share it.
    void scheduleEarlyReports();
    void sendEarlyReports();
    /// Schedules early reports to active entries without credits, if credits are available.
    void reportToEntriesWithoutCredits();
    void reportAll();
    TokenCount runningTokens() const;
    void report(EntryLink& link, std::uint32_t credits);
    std::uint32_t availableCredits();
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(this->calls.size()) - this->running; }
    std::uint32_t concurrencySlots() const { return static_cast<std::uint32_t>(this->limit.limit); }
    std::map<NodeId, std::uint32_t> divideAvailableCredits();
    /// Refuses the entry's queued orders, since the entry may have abandoned them and sent others instead.
    void refuseQueuedOrders(EntryLink& link);
    /// Removes subscribers of other incarnations of the node.
    void removeStaleSubscribers(const NodeId& node, Incarnation incarnation);
    /// Cancels running idempotent calls for which no reachable entry has waited for the orphan timeout.
    void cancelOrphanedCalls();
    void beginShutdown();
    void checkDrained();
    bool isDrained() const;

    // Orders (sidecarorders.cpp) -------------------------------------------------------------------------------------

    void onOrder(const NodeId& from, const Order& order);
    /// Handles an order that duplicates a call or a record. Returns false when the order is new.
    bool handleDuplicateOrder(EntryLink& link, const Order& order);
    std::optional<RefusalReason> reasonToRefuse(const Order& order);
    bool isQuarantined(const Digest& fingerprint) const;
    void attach(SidecarCall& call, EntryLink& link, OrderId order);
    /// Sends the text generated so far, in the same parts as to other subscribers.
    void resendParts(const SidecarCall& call, const Subscriber& subscriber);
    void refuse(EntryLink& link, const Order& order, RefusalReason reason);
    /// Refuses a queued call, or one that the endpoint has not started, to all its subscribers.
    void refuseCall(OrderId id, RefusalReason reason);
    OrderId enqueue(EntryLink& link, const Order& order);
    void startQueued();
    /// Refuses all queued calls after a pause of this process, since their homes may have abandoned them during the
    /// pause.
    void refuseAfterPause();
    std::optional<OrderId> chooseNext();
    void start(SidecarCall& call);
    void refuseUnmeetableDeadlines();
    bool canMeetDeadline(const Order& order, Duration timeLeft, double waitSeconds) const;
    double queueSeconds(std::uint32_t ahead) const;
    void onCancel(const NodeId& from, const CancelOrder& cancel);
    void cancelRunning(SidecarCall& call);
    void log(const Order& order, const std::string& choice) const;

    // Endpoint (sidecarendpoint.cpp) ---------------------------------------------------------------------------------

    void onTokens(OrderId id, const std::string& text, TokenCount tokens);
    void onFinished(OrderId id, const EndpointResult& result);
    void onFailed(OrderId id, EndpointFailure failure);
    void updateMeasurements(const SidecarCall& call, const EndpointResult& result);
    void accountPrefix(const SidecarCall& call, const EndpointResult& result);
    void recordCrash(SidecarCall& call);
    /// Ends a running call and stores its final record.
    void finish(OrderId id, TurnRecord record, const OrderEnded& end);
    void keepPartialPrefix(const SidecarCall& call);
    TokenCount chargedTokens(const SidecarCall& call, TokenCount outputTokens) const;
    void releasePrefix(const ProgramId& program);
    void evictPrefixes(TokenCount wanted, const ProgramId& except);
    PausedPrefix pausedPrefix(const CachedPrefix& prefix) const;
    void onHoldPrefix(const HoldPrefix& hold);
    bool isActive(const ProgramId& program) const;
    bool isRunning(const ProgramId& program, TurnNumber turn) const;

    // Takeover, copies, ends of programs, configuration (sidecarrecovery.cpp) ----------------------------------------

    /// Raises the fence of the shard and refuses queued calls of a former home.
    void observeEpoch(ShardId shard, Epoch epoch, const NodeId& home);
    void onRecoveryRequest(const NodeId& from, const RecoveryRequest& request);
    RecoveryAnswer buildRecoveryAnswer(ShardId shard, Epoch epoch) const;
    /// Makes the new home the only subscriber of the shard's calls, unless it already is a subscriber.
    void redirectCalls(ShardId shard, const NodeId& home);
    void onCopy(const NodeId& from, const CopyRecords& copy);
    void onRelease(const ReleaseProgram& release);
    void endProgramHere(const ProgramId& program);
    void onConfig(const ConfigUpdate& update);

    // State ----------------------------------------------------------------------------------------------------------

    SidecarSettings settings;
    TimerService& timers;
    SidecarEffects effects;
    /// Expires with this object; scheduled callbacks check it.
    std::shared_ptr<int> alive = std::make_shared<int>();

    std::map<NodeId, EntryLink> links;
    ShardFence fence;
    CreditTable credits;
    std::size_t creditRotation = 0;
    bool earlyReportsScheduled = false;
    TimePoint lastEarlyReports {};
    RecordStore records;
    PrefixTable prefixes;
    /// Tokens of each program that this endpoint has held, to detect repeated prefill.
    std::map<ProgramId, TokenCount> previouslyHeld;
    ConfigReplica config;
    std::map<Digest, std::uint32_t> crashCounts;

    std::map<OrderId, SidecarCall> calls;
    OrderId lastCall;
    std::uint32_t running = 0;
    ConcurrencyLimit limit;
    EndpointSpeed speed;

    TimePoint lastTick {};
    SidecarStatus counters;
    bool isLeaving = false;
    bool finalReportSent = false;
    /// Time at which a leaving sidecar without calls is considered drained.
    TimePoint drainedFrom {};
};

}
