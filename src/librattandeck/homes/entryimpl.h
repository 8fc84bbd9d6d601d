#pragma once

#include "home.h"
#include "lease.h"
#include "members.h"
#include "programadmission.h"
#include "recovery.h"
#include "shardmap.h"
#include "sidecarpool.h"

#include "Rattandeck/config.h"
#include "Rattandeck/describe.h"
#include "Rattandeck/entry.h"
#include "Rattandeck/limits.h"
#include "Rattandeck/policy.h"

#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace Rattandeck {

/// A node is considered lost when its link has been down for longer than this.
constexpr Milliseconds reconnectTimeout { 1000 };
/// Interval of the periodic checks of the lease, shards, members and replicas.
constexpr Milliseconds periodicCheckInterval { 500 };
/// Delay from the first lease to the first claim. Entries that start together see each other's leases in this time, so
/// that each claims its share of the shards only.
constexpr Milliseconds startupDelay { 1500 };
/// Delay per rank before a successor claims a shard, so that successors rarely claim at the same time.
constexpr Milliseconds rankDelay { 2000 };
/// A member without a link for this long that is missing in the instance list is marked as removed.
constexpr Milliseconds memberRemovalTimeout { 10000 };
/// Time-out for the answer of one holder, after which another holder is tried.
constexpr Milliseconds replicationTimeout { 1000 };
constexpr Milliseconds replicationRetryDelay { 200 };
/// Maximum time that an entry waits at shutdown for the replication of its state.
constexpr Milliseconds finalReplicationTimeout { 5000 };
/// Maximum time that an entry runs after it has released its lease, to answer the recovery of shards whose home has
/// failed.
constexpr Milliseconds maxDrainTime { 10000 };
/// Minimum interval between two requests for the list of members, multiplied by the number of members. It limits the
/// number of requests during a rollout, which changes many members.
constexpr Milliseconds listIntervalPerMember { 5 };
/// Upper bound on the time to the deadline that a request may set.
constexpr Milliseconds maxTimeLeft { 24 * 3600 * 1000 };
/// Interval at which the configuration is listed, in case a watch has missed a change.
constexpr Milliseconds listInterval { 30000 };
/// Time to the deadline of a request that does not set one.
constexpr Milliseconds defaultTimeLeft { 60000 };
/// Time beyond the deadline for which the forwarding entry waits for the home's answer, so that an answer that the home
/// gives at the deadline arrives before the forwarding entry answers the caller itself.
constexpr Milliseconds forwardGracePeriod { 250 };
/// Retry delay for callers of a shard that is being taken over.
constexpr Milliseconds takeoverRetryDelay { 500 };

/// Retry delay for callers that should use another entry. It is short, since they can do so at once.
constexpr Milliseconds otherEntryRetryDelay { 10 };
/// A sidecar ends a call at its deadline. If its report has not arrived within this time after the deadline, the
/// outcome is recorded as unknown.
constexpr Milliseconds deadlineGracePeriod { 2000 };
/// Maximum number of calls that wait for a credit of one service.
constexpr std::size_t serviceQueueLimit = 1024;

struct EntryCore::Impl {
    Impl(EntrySettings settings, TimerService& timers, EntryEffects effects);

    // Basics (entry.cpp) ---------------------------------------------------------------------------------------------

    TimePoint now() const { return this->timers.now(); }
    /// Calls `callback` after `delay`, unless this object is destroyed first.
    TimerId after(Duration delay, std::function<void()> callback);
    std::uint64_t nextRandomSeed();
    void log(const std::string& event, const std::string& detail) const { this->effects.logEvent(event, detail); }
    void send(const NodeId& to, const Message& message);
    /// Sends an event to a caller. A final event ends the ticket.
    void reply(const Caller& caller, const CallerEvent& event);
    void replyAll(const std::vector<Caller>& callers, const CallerEvent& event);
    void refuse(const Caller& caller, ProblemKind kind, Ran ran, Milliseconds retryAfter, const std::string& detail);
    void dispatch(const NodeId& from, const Message& message);
    void runPeriodicChecks();

    // Objects (entryobjects.cpp) -------------------------------------------------------------------------------------

    using ObjectCallback = std::function<void(const ObjectOutcome&)>;
    void callObjects(const ObjectRequest& request, ObjectCallback done);
    void finishObjectCall(std::uint64_t request, const ObjectOutcome& outcome);
    void onStoreReachability(bool reachable);
    void readConfig();
    void listConfig(std::size_t kind);
    void configChanged(const std::vector<ConfigObject>& changed, const NodeId& from);
    void sendConfig(const NodeId& to, const ConfigUpdate& update);
    void onConfigUpdate(const NodeId& from, const ConfigUpdate& update);
    void sendMap(const NodeId& to);
    bool isQuarantined(const Digest& fingerprint) const;
    void recordCrash(const Digest& fingerprint, const ServiceName& service);
    void writeCrashCount(const Digest& fingerprint, const ServiceName& service);
    void writeQuarantine(const Digest& fingerprint, const ServiceName& service);
    bool isConfigKnown() const;
    void onObjectChanged(const StoredObject& object);

    // Lease (entrylease.cpp) -----------------------------------------------------------------------------------------

    bool hasAuthority() const;
    void renewLease();
    void readLeaseBack();
    void writeLease();
    void onLeaseWritten(
        const ObjectOutcome& outcome, TimePoint writeStartedAt, std::vector<PromiseGrantor> chosenGrantors);
    std::vector<PromiseGrantor> chooseGrantors() const;
    void requestPromises();
    void onPromiseRequest(const NodeId& from, const PromiseRequest& request);
    void onPromiseAnswer(const NodeId& from, const PromiseAnswer& answer);
    void onPromiseReleaseRequest(const NodeId& from, const PromiseReleaseRequest& request);
    void observeLease(const StoredObject& object);
    void listLeases();
    void onLeaseLost(const std::string& reason);
    void releaseLease();
    /// True after the release when every shard has another live home and the replicas held here are no longer needed.
    bool isTakeoverComplete() const;

    // Members (entrymembers.cpp) -------------------------------------------------------------------------------------

    void registerSelf();
    /// Marks this entry as removed, so that the homes whose replicas are held here place them on other nodes.
    void unregisterSelf();
    void registerSidecar(const NodeId& node);
    void putMember(const Member& member, ObjectVersion expected, std::function<void(bool)> done);
    void onMemberObject(const StoredObject& object);
    /// Lists the members. `done` receives the revision, or nothing when the store can't be read.
    void listMembers(std::function<void(std::optional<ObjectVersion>)> done);
    void checkMembers();
    ProcessIndex processIndexOf(const NodeId& node, Incarnation incarnation, const FailureDomain& domain);
    void markProcessLost(ProcessIndex process);
    bool isRegistered(const NodeId& node, Incarnation incarnation) const;

    // Shards (entryshards.cpp) ---------------------------------------------------------------------------------------

    struct Claim {
        NodeId holder;
        std::vector<ShardId> shards;
        ObjectVersion leaseVersion;
        LeaseObject lease;
        /// The lease has not been released, so it must be revoked before the claim.
        bool mustRevokeLease = false;
        /// A quorum of the lease's grantors must release their promises before the claim.
        bool needsPromiseReleases = false;
        std::set<NodeId> released;
        std::uint64_t request = 0;
        TimePoint startedAt {};
        ShardMap baseMap;
        /// The home has handed the shards over and may still be running.
        bool isHandedOver = false;
        /// State held by processes that ended after this revision may be lost.
        ObjectVersion completeThrough;
        /// The incarnation of the holder if it stopped serving cleanly, so that its answer alone is complete; else 0.
        Incarnation cleanStopIncarnation;
        std::uint64_t serial = 0;
        std::uint32_t conflicts = 0;
    };
    struct Recovery {
        ShardId shard;
        Epoch epoch;
        std::map<NodeId, Incarnation> pendingNodes;
        /// The former home, if it is reachable. Recovery can be complete without its answer.
        std::set<NodeId> optionalNodes;
        std::vector<ReceivedAnswer> answers;
        std::uint32_t processesLost = 0;
        /// The process of the former home that is queried stopped serving cleanly, so its answer alone is complete.
        bool isFormerHomeComplete = false;
        std::uint64_t serial = 0;
    };

    void applyMap(const ShardMap& newer);
    void readMap(std::function<void(bool)> done);
    void checkShards();
    std::vector<NodeId> liveEntries(const NodeId& except) const;
    struct ClaimEligibility {
        TimePoint eligibleFrom {};
        /// Whether a delay that increases with the successor's rank is added to `eligibleFrom`.
        bool ranked = true;
        Claim claim;
    };
    std::optional<ClaimEligibility> eligibilityOf(ShardId shard, const ShardSlot& slot);
    std::optional<Claim> dueClaim(ShardId shard, const ShardSlot& slot);
    /// True when the stored lease is valid and the object API is reachable, so that this entry may write the shard map.
    bool hasStoredLease() const;
    bool canClaimShards() const;
    bool holdsAllOwnSlots() const;
    ObjectVersion writtenCompleteThrough() const;
    std::string writerName();
    void beginClaim(Claim claim);
    void revokeLease();
    void continueClaim();
    void requestReleases();
    void onPromiseReleaseAnswer(const NodeId& from, const PromiseReleaseAnswer& answer);
    void checkReleases();
    void lowerCompleteThrough();
    void readBeforeClaim();
    void writeClaim();
    void readClaimBack();
    void onClaimWritten();
    void abandonClaim();
    bool isCurrentClaim(std::uint64_t serial) const { return this->claim && this->claim->serial == serial; }
    void dropShard(ShardId shard);
    void beginServing(ShardId shard);
    struct HandOver {
        NodeId to;
        std::size_t count = 0;
    };
    void handOver();
    std::optional<HandOver> planHandOver() const;
    void resolveHandOver(const std::vector<ShardId>& handedOver, ObjectVersion base);
    HomeShard* servedShard(ShardId shard);

    // Recovery (entryrecovery.cpp) -----------------------------------------------------------------------------------

    void recoverShards(const Claim& claim);
    void startRecovery(ShardId shard, const RecoveryScope& scope, const Claim& claim);
    void storeAsReplica(const HomeShard& shard);
    void onRecoveryRequest(const NodeId& from, const RecoveryRequest& request);
    void onRecoveryAnswer(const NodeId& from, const RecoveryAnswer& answer);
    void finishRecovery(ShardId shard);
    void installProgram(HomeShard& shard, MergedProgram merged);
    void adoptRunningCall(HomeShard& shard, HomeProgram& program, const AdoptedCall& running);
    void chargeRecoveredProgram(HomeShard& shard, HomeProgram& program);
    void mergeLateAnswer(HomeShard& shard, const ReceivedAnswer& received);
    bool adoptLateCall(HomeShard& shard, HomeProgram& program, const AdoptedCall& running);
    void closeGap(HomeShard& shard);
    /// Stops waiting for the answers of processes that have ended or been replaced.
    void removeUnreachable(const Member& member);
    /// Returns the problem to report to a caller. It differs from `problem` if records of the program may be lost or
    /// are temporarily unreachable.
    Problem problemForCaller(const HomeShard& shard, const ProgramId& program, const Problem& problem) const;
    void writeGap(ShardId shard);
    RecoveryAnswer ownAnswer(ShardId shard, Epoch epoch) const;

    // Replication (entryreplication.cpp) -----------------------------------------------------------------------------

    struct PendingReplication {
        NodeId node;
        ProcessIndex process;
        std::function<void(bool accepted)> done;
    };
    struct ReplicaStore {
        std::map<ProgramId, ProgramHeader> programs;
        std::set<ProgramId> ended;
        std::deque<std::pair<TimePoint, ProgramId>> endedAt;
        std::map<std::tuple<ProgramId, TurnNumber, std::uint32_t>, TurnRecord> records;
    };
    using ReplicationCallback = std::function<void(std::optional<ProcessIndex>)>;

    bool isOtherDomainKnown() const;
    bool isInOtherDomain(ProcessIndex process) const;
    bool isReplicated(const std::vector<ProcessIndex>& holders) const;
    std::optional<NodeId> chooseHolder(ShardId shard, const std::vector<NodeId>& excluded) const;
    /// Sends program state to one holder after another until one accepts it, with at most `attempts` attempts. `done`
    /// receives the holder, or nothing when no holder is available.
    void replicate(CopyRecords state, std::uint32_t attempts, std::vector<NodeId> excluded, ReplicationCallback done);
    void onCopyRecords(const NodeId& from, const CopyRecords& copy);
    void onCopyAnswer(const NodeId& from, const CopyAnswer& answer);
    void onReleaseProgram(const ReleaseProgram& release);
    void purgeReplicas();
    void replicateProgram(HomeShard& shard, HomeProgram& program);
    void checkReplicas();
    void limitCompleteThrough(ObjectVersion limit);
    /// True when a member has shut down normally, its link is down, and it is not marked as removed yet.
    bool hasLeavingMembers() const;
    bool isFullyReplicated() const;

    // Calls (entrycalls.cpp) -----------------------------------------------------------------------------------------

    struct ForwardedRequest {
        NodeId home;
        Ran ranIfLost = Ran::Unknown;
        TimerId timer;
    };

    void route(const Caller& caller, CallerRequest request, bool forwarded);
    void forward(const Caller& caller, const NodeId& home, const CallerRequest& request);
    void handleAtHome(const Caller& caller, CallerRequest request);
    void openProgram(const Caller& caller, const CallerRequest& request);
    void openSubAgent(const Caller& caller, const CallerRequest& request);
    void replicateOpening(const Caller& caller, HomeShard& shard, const ProgramId& id);
    void endProgram(const Caller& caller, HomeShard& shard, HomeProgram& program);
    void replicateEnd(HomeShard& shard, HomeProgram& program);
    void releaseEndedProgram(HomeShard& shard, HomeProgram& program);
    void releaseHolders(HomeShard& shard, HomeProgram& program, bool ended);
    void callProgram(const Caller& caller, HomeShard& shard, HomeProgram& program, CallerRequest request);
    void answerRepeatedCall(const Caller& caller, HomeShard& shard, HomeProgram& program, TurnNumber turn);
    void onCallerDisconnected(const Caller& caller);
    /// Answers the caller when `timeLeft` has passed, for a caller that has joined an operation with a different
    /// deadline.
    void armWaitTimeout(const Caller& caller, Milliseconds timeLeft);
    void getProgram(const Caller& caller, HomeShard& shard, HomeProgram& program);
    void refuseUnknownProgram(const Caller& caller, const HomeShard& shard, const CallerRequest& request);
    std::optional<NodeId> anyOtherHome();
    HomeShard* anyOwnShard();
    void purgeEnded(HomeShard& shard);

    // Orders (entryorders.cpp) ---------------------------------------------------------------------------------------

    /// Key of cached policies: the programs of one organisation and service, and the service that they call.
    struct ProgramClass {
        OrganisationId organisation;
        ServiceName program;
        ServiceName called;
        auto operator<=>(const ProgramClass&) const = default;
    };
    struct ClassPolicy {
        std::uint64_t generation = 0;
        std::uint64_t sidecarPoolGeneration = 0;
        PlacementSettings settings;
        /// Sidecars that the policies admit; empty optional when all are admitted.
        std::optional<std::unordered_set<NodeId>> admitted;
    };
    ClassPolicy& policyFor(const HomeProgram& program, const ServiceName& called);

    struct WaitingCall {
        ProgramId program;
        std::uint64_t call = 0;
    };
    struct ServiceQueue {
        std::vector<WaitingCall> calls;
        std::optional<TimePoint> saturatedSince;
        std::uint32_t placedInInterval = 0;
        double placedPerSecond = 0;
    };

    void startNext(HomeShard& shard, HomeProgram& program);
    void startCall(HomeShard& shard, HomeProgram& program);
    void placeCall(HomeShard& shard, HomeProgram& program);
    bool tryPlace(HomeShard& shard, HomeProgram& program);
    void enqueue(HomeShard& shard, HomeProgram& program);
    void dispatchQueue(const ServiceName& service);
    double priorityOf(const HomeShard& shard, const HomeProgram& program) const;
    void sendOrder(HomeShard& shard, HomeProgram& program, const TakenCredit& credit, PlacementDecision decision);
    void armDeadline(const ProgramId& id, ProgramCall& call);
    ProgramCall* findCall(const ProgramId& id, std::uint64_t call, HomeShard** shard, HomeProgram** program);
    /// Ends the current call with a problem and without a record. Attempts that may have run are kept as the program's
    /// unresolved attempts.
    void failCall(HomeShard& shard, HomeProgram& program, const Problem& problem);
    void releaseReservation(HomeShard& shard, HomeProgram& program, ProgramCall& call, TokenCount charged);
    void onDeadline(const ProgramId& id, std::uint64_t call);
    void onOrderTokens(const NodeId& from, const OrderTokens& tokens);
    void onOrderRefused(const NodeId& from, const OrderRefused& refused);
    void onOrderEnded(const NodeId& from, const OrderEnded& ended);
    void onLoadReport(const NodeId& from, const LoadReport& report);
    /// Places the current call on another sidecar if it may run again; else returns false.
    bool retryElsewhere(HomeShard& shard, HomeProgram& program);
    /// Adds a record that arrived after its order was closed. Returns false when another request has taken its turn.
    bool addLateRecord(const NodeId& from, const TurnRecord& record);
    void recordOutcome(HomeShard& shard, HomeProgram& program, HeldRecord held);
    void recordUnknownOutcome(HomeShard& shard, HomeProgram& program);
    /// Ends the current call, which is idempotent and may have run, without an outcome. Its turn can be used again.
    void leaveUnresolved(HomeShard& shard, HomeProgram& program, const Problem& problem);
    /// Ends an ordered call whose sidecar doesn't answer.
    void abandonCall(HomeShard& shard, HomeProgram& program, const Problem& problem);
    void finishCall(const ProgramId& id, std::uint64_t call);
    void markEnded(HomeShard& shard, HomeProgram& program);
    void applyPausePolicy(HomeShard& shard, HomeProgram& program, const ProgramCall& call);
    std::vector<std::pair<ProgramId, std::uint64_t>> callsOrderedAt(const NodeId& sidecar);
    TurnRecord unresolvedRecordOf(const HomeProgram& program, const ProgramCall& call) const;
    void detachOrder(HomeProgram& program, ProgramCall& call);
    void onSidecarUnlinked(const NodeId& node);
    void onSidecarLinked(const NodeId& node, bool isSameProcess);
    void onSidecarLost(const ProgramId& id, std::uint64_t call, bool forGood);

    // State ----------------------------------------------------------------------------------------------------------

    struct Node {
        Hello hello;
        bool linked = false;
        TimePoint downSince {};
        /// Set by the node's last load report. The node will not reconnect after its link goes down.
        bool isLeaving = false;
        ProcessIndex process;
    };
    struct Process {
        NodeId node;
        Incarnation incarnation;
        FailureDomain domain;
        bool lost = false;
    };

    EntrySettings settings;
    TimerService& timers;
    EntryEffects effects;
    std::shared_ptr<int> lifetimeGuard = std::make_shared<int>();
    std::uint64_t seedsDrawn = 0;
    EntryStatus counters;
    bool started = false;
    TimePoint startedAt {};
    bool isShuttingDown = false;
    TimePoint shutdownStartedAt {};
    TimePoint leaseReleasedAt {};
    /// Revision at which this entry was marked as removed; 0 before that.
    ObjectVersion ownRemovalRevision;

    std::uint64_t lastObjectRequest = 0;
    std::unordered_map<std::uint64_t, ObjectCallback> objectCalls;
    bool isStoreReachable = true;
    ConfigReplica config;
    bool hasConfigList = false;
    TimePoint configListedAt {};
    std::map<Digest, std::uint32_t> crashCounts;
    PolicySet policies;
    std::set<Digest> quarantined;

    HeldLease lease;
    std::uint64_t leaseRenewals = 0;
    bool isLeaseCallInFlight = false;
    bool isStoredLeaseUnknown = true;
    TimePoint leaseAttemptedAt {};
    std::optional<TimePoint> leaseFirstHeld;
    /// A later incarnation of this node holds the lease, so this one must not take it again.
    bool isSuperseded = false;
    /// The lease of this node's previous process, which must expire before its shards can be claimed.
    std::optional<ObservedLease> formerLease;
    bool isReleasingLease = false;
    bool isLeaseReleased = false;
    ObjectVersion completeThrough;
    std::optional<ObjectVersion> completeThroughLimit;
    std::vector<std::function<void(bool)>> renewalCallbacks;
    std::map<NodeId, ObservedLease> observed;
    std::uint64_t lastPromiseRequest = 0;
    std::map<std::uint64_t, TimePoint> promiseRequests;
    TimePoint promisesRequestedAt {};
    PromiseTable promises;

    std::map<NodeId, Member> members;
    /// Number of members in other failure domains that are not removed.
    std::size_t membersInOtherDomains = 0;
    bool isSelfRegistered = false;
    bool isMemberListInFlight = false;
    bool hasMemberChanges = true;
    bool hasMemberList = false;
    std::set<NodeId> memberWritesInFlight;
    std::set<NodeId> listedNodes;
    bool hasInstanceList = false;

    ShardMap map;
    bool isMapReadInFlight = false;
    std::uint64_t mapWrites = 0;
    std::string mapText;
    std::unordered_map<ShardId, HomeShard> shards;
    std::unordered_map<ShardId, Epoch> fences;
    std::optional<Claim> claim;
    std::uint64_t lastClaim = 0;
    std::uint64_t lastPromiseReleaseRequest = 0;
    std::map<ShardId, TimePoint> handedOverSince;
    TimePoint handOverAttemptedAt {};
    bool isHandOverInFlight = false;
    /// Version of the map that the last claim was based on. Until a later version is seen, that claim may still take
    /// effect.
    ObjectVersion unresolvedClaimBase;
    std::map<NodeId, TimePoint> homeLeaseMissingSince;
    std::unordered_map<ShardId, Recovery> recoveries;
    std::unordered_map<ShardId, std::map<NodeId, Incarnation>> unansweredProcesses;
    /// Answers received in each recovery. They are kept until every process has answered or can't answer any more.
    std::unordered_map<ShardId, std::vector<ReceivedAnswer>> receivedAnswers;
    std::set<ShardId> unwrittenGaps;
    bool isGapWriteInFlight = false;
    std::uint64_t lastRecovery = 0;
    std::uint32_t nextOwnShard = 0;

    std::unordered_map<NodeId, Node> nodes;
    /// The entries among `nodes`.
    std::set<NodeId> entryNodes;
    std::vector<Process> processes;
    std::map<std::pair<NodeId, Incarnation>, ProcessIndex> processIndexes;
    SidecarPool sidecarPool;
    std::unordered_map<ServiceName, ServiceQueue> queues;
    std::map<ProgramClass, ClassPolicy> classPolicies;
    /// Release messages for nodes whose link is down. They are sent even to a later process of the node, since a
    /// sidecar may restart while its engine keeps running.
    std::map<NodeId, std::deque<ReleaseProgram>> unsentReleases;

    std::uint64_t lastReplication = 0;
    std::unordered_map<std::uint64_t, PendingReplication> pendingReplications;
    std::unordered_map<ShardId, ReplicaStore> replicaStores;
    bool isReplicationDue = false;
    std::uint32_t replicationsInFlight = 0;
    std::optional<ObjectVersion> pendingCompleteThrough;
    bool isCompleteThroughListInFlight = false;
    TimePoint completeThroughListedAt {};

    std::set<CallerTicket> tickets;
    std::map<CallerTicket, ForwardedRequest> forwarded;
    std::map<Caller, ProgramId> callers;
    std::unordered_map<OrderId, ProgramId> orders;
    std::uint64_t orderBase = 0;
    std::uint64_t lastOrder = 0;
    std::uint64_t lastCall = 0;
    std::uint64_t openings = 0;
    RetryBudget retryBudget;
    std::map<OrganisationId, std::uint32_t> runningByOrganisation;
    ProgramAdmission programAdmission;
    std::uint32_t runningTotal = 0;
};

/// Value of `Ran` for a request that is refused before its program is looked up. If the request may be a repetition, an
/// earlier one may have run.
Ran ranIfRefused(const CallerRequest& request);

}
