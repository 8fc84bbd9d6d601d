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

/// A link that is down for longer has lost its node.
constexpr Milliseconds reconnectTime { 1000 };
/// How often shards, homes and members are looked over.
constexpr Milliseconds reviewInterval { 500 };
/// Entries that start together see each other's leases within this, before they divide the shards.
constexpr Milliseconds settlingTime { 1500 };
/// An entry of the next rank waits this much longer before it takes a shard over.
constexpr Milliseconds rankDelay { 2000 };
/// Without a link for this long, and missing in the instance list, a member is gone.
constexpr Milliseconds goneAfter { 10000 };
/// Wait for the answer to one copy before another holder is tried.
constexpr Milliseconds copyTimeout { 1000 };
constexpr Milliseconds copyRetryDelay { 200 };
/// A stopping entry waits so long at most for copies of its facts.
constexpr Milliseconds lastCopiesTime { 5000 };
/// After its release it stays so long at most, until the successors of homes that have died have asked it.
constexpr Milliseconds longestStay { 10000 };
/// The members are listed anew no sooner than this for each member, so that a rollout doesn't cause a flood of lists.
constexpr Milliseconds listTimePerMember { 5 };
/// Longest time that a request may say it has left.
constexpr Milliseconds longestTimeLeft { 24 * 3600 * 1000 };
/// Configuration is listed anew this often, in case a watch has missed something.
constexpr Milliseconds listInterval { 30000 };
/// Time left of a request that doesn't say.
constexpr Milliseconds defaultTimeLeft { 60000 };
/// The home's own answer at the deadline goes before that of the entry that passed the request on.
constexpr Milliseconds forwardSlack { 250 };
/// Callers of a shard that is being taken over should come back after this.
constexpr Milliseconds takeoverRetry { 500 };

/// A caller that should go to another entry may do so at once.
constexpr Milliseconds otherEntryRetry { 10 };
/// A sidecar ends a call at its deadline; without a word by this much later the outcome counts as unknown.
constexpr Milliseconds endSlack { 2000 };
/// Calls that may wait for a credit of one service.
constexpr std::size_t serviceQueueLimit = 1024;

struct EntryCore::Impl {
    Impl(EntrySettings settings, TimerService& timers, EntryEffects effects);

    // Basics (entry.cpp) ---------------------------------------------------------------------------------------------

    TimePoint now() const { return this->timers.now(); }
    /// Calls back unless this object is gone by then.
    TimerId after(Duration delay, std::function<void()> callback);
    std::uint64_t nextSeed();
    void log(const std::string& event, const std::string& detail) const { this->effects.logEvent(event, detail); }
    void send(const NodeId& to, const Message& message);
    /// Sends one caller an event; a final one ends the ticket.
    void reply(const Caller& caller, const CallerEvent& event);
    void replyAll(const std::vector<Caller>& callers, const CallerEvent& event);
    void refuse(const Caller& caller, ProblemKind kind, Ran ran, Milliseconds retryAfter, const std::string& detail);
    void dispatch(const NodeId& from, const Message& message);
    void review();

    // Objects (entryobjects.cpp) -------------------------------------------------------------------------------------

    using ObjectCallback = std::function<void(const ObjectOutcome&)>;
    void callObjects(const ObjectRequest& request, ObjectCallback done);
    void finishObjectCall(std::uint64_t request, const ObjectOutcome& outcome);
    void noteStore(bool reachable);
    void readConfig();
    void listConfig(std::size_t kind);
    void configChanged(const std::vector<ConfigObject>& changed, const NodeId& from);
    void sendConfig(const NodeId& to, const ConfigUpdate& update);
    void onConfigUpdate(const NodeId& from, const ConfigUpdate& update);
    void sendMap(const NodeId& to);
    bool isQuarantined(const Digest& fingerprint) const;
    void noteCrash(const Digest& fingerprint, const ServiceName& service);
    void writeCrash(const Digest& fingerprint, const ServiceName& service);
    void writeQuarantine(const Digest& fingerprint, const ServiceName& service);
    bool configKnown() const;
    void onObjectChanged(const StoredObject& object);

    // Lease (entrylease.cpp) -----------------------------------------------------------------------------------------

    bool hasAuthority() const;
    void renewLease();
    void readLeaseBack();
    void writeLease();
    void onLeaseWritten(const ObjectOutcome& outcome, TimePoint begun, std::vector<PromiseGrantor> named);
    std::vector<PromiseGrantor> chooseGrantors() const;
    void requestPromises();
    void onPromiseRequest(const NodeId& from, const PromiseRequest& request);
    void onPromiseAnswer(const NodeId& from, const PromiseAnswer& answer);
    void onPromiseReleaseRequest(const NodeId& from, const PromiseReleaseRequest& request);
    void observeLease(const StoredObject& object);
    void listLeases();
    void leaveLease(const std::string& reason);
    void releaseLease();
    /// After the release: others have taken the shards, and hold what this entry held for them.
    bool othersSettled() const;

    // Members (entrymembers.cpp) -------------------------------------------------------------------------------------

    void registerSelf();
    /// Tells the homes whose copies are held here to put them elsewhere.
    void unregisterSelf();
    void registerSidecar(const NodeId& node);
    void putMember(const Member& member, ObjectVersion expected, std::function<void(bool)> done);
    void memberSeen(const StoredObject& object);
    /// Lists the members; `done` gets the revision, or nothing when the store can't be read.
    void listMembers(std::function<void(std::optional<ObjectVersion>)> done);
    void reviewMembers();
    ProcessIndex processOf(const NodeId& node, Incarnation incarnation, const FailureDomain& domain);
    void loseProcess(ProcessIndex process);
    bool isRegistered(const NodeId& node, Incarnation incarnation) const;

    // Shards (entryshards.cpp) ---------------------------------------------------------------------------------------

    struct Claim {
        NodeId holder;
        std::vector<ShardId> shards;
        ObjectVersion leaseVersion;
        LeaseObject lease;
        /// The lease of a living holder must be broken first.
        bool mustRevoke = false;
        bool mustRelease = false;
        std::set<NodeId> released;
        std::uint64_t request = 0;
        TimePoint begun {};
        ShardMap base;
        /// The shards were handed over by a living home.
        bool handedOver = false;
        /// Facts of processes that ended later may have been lost.
        ObjectVersion completeThrough;
        /// The process of the holder that stopped in order: its answer alone is complete. 0: there is none.
        Incarnation knowing;
        std::uint64_t serial = 0;
        std::uint32_t conflicts = 0;
    };
    struct Recovery {
        ShardId shard;
        Epoch epoch;
        std::map<NodeId, Incarnation> awaited;
        /// The former home, if it may still answer; it is not missed when it doesn't.
        std::set<NodeId> welcome;
        std::vector<ReceivedAnswer> answers;
        std::uint32_t processesLost = 0;
        /// The former home stopped in order, and the process that did so is asked.
        bool formerKnowsAll = false;
        std::uint64_t serial = 0;
    };

    void applyMap(const ShardMap& newer);
    void readMap(std::function<void(bool)> done);
    void reviewShards();
    std::vector<NodeId> liveEntries(const NodeId& except) const;
    struct ClaimGround {
        TimePoint from {};
        /// Successors wait in the order of their rank.
        bool ranked = true;
        Claim claim;
    };
    std::optional<ClaimGround> groundFor(ShardId shard, const ShardSlot& slot);
    std::optional<Claim> claimFor(ShardId shard, const ShardSlot& slot);
    /// The lease is valid and the object API can be reached, so that this entry's word may go into the map.
    bool holdsLease() const;
    bool mayTakeShards() const;
    bool ownSlotsTaken() const;
    ObjectVersion writtenCompleteThrough() const;
    std::string writerName();
    void beginClaim(Claim claim);
    void revokeLease();
    void releasesNext();
    void askReleases();
    void onPromiseReleaseAnswer(const NodeId& from, const PromiseReleaseAnswer& answer);
    void checkReleases();
    void lowerCompleteThrough();
    void readBeforeClaim();
    void writeClaim();
    void readClaimBack();
    void claimTaken();
    void abandonClaim();
    bool claimIs(std::uint64_t serial) const { return this->claim && this->claim->serial == serial; }
    void dropShard(ShardId shard);
    void serveShard(ShardId shard);
    struct HandOver {
        NodeId to;
        std::size_t count = 0;
    };
    void handOver();
    std::optional<HandOver> wantedHandOver() const;
    void settleHandOver(const std::vector<ShardId>& given, ObjectVersion base);
    HomeShard* servedShard(ShardId shard);

    // Census (entrycensus.cpp) ---------------------------------------------------------------------------------------

    void beginRecovery(const Claim& claim);
    void startRecovery(ShardId shard, const RecoveryScope& roll, const Claim& claim);
    void storeOwnFacts(const HomeShard& shard);
    void onRecoveryRequest(const NodeId& from, const RecoveryRequest& request);
    void onRecoveryAnswer(const NodeId& from, const RecoveryAnswer& answer);
    void finishRecovery(ShardId shard);
    void installProgram(HomeShard& shard, MergedProgram merged);
    void adopt(HomeShard& shard, HomeProgram& program, const AdoptedCall& running);
    void chargeMerged(HomeShard& shard, HomeProgram& program);
    void mergeLate(HomeShard& shard, const ReceivedAnswer& heard);
    bool takeLateRunning(HomeShard& shard, HomeProgram& program, const AdoptedCall& running);
    void liftGap(HomeShard& shard);
    /// Doesn't wait for a process any more that can't answer.
    void forgetMissed(const Member& member);
    /// A problem as it can be told while records may be missing, for good or for now.
    Problem tell(const HomeShard& shard, const ProgramId& program, const Problem& problem) const;
    void writeGap(ShardId shard);
    RecoveryAnswer ownAnswer(ShardId shard, Epoch epoch) const;

    // Copies (entrycopies.cpp) ---------------------------------------------------------------------------------------

    struct PendingCopy {
        NodeId node;
        ProcessIndex process;
        std::function<void(bool accepted)> done;
    };
    struct CopyStore {
        std::map<ProgramId, ProgramHeader> programs;
        std::set<ProgramId> ended;
        std::deque<std::pair<TimePoint, ProgramId>> endedAt;
        std::map<std::tuple<ProgramId, TurnNumber, std::uint32_t>, TurnRecord> records;
    };
    using CopiedCallback = std::function<void(std::optional<ProcessIndex>)>;

    bool otherDomainKnown() const;
    bool isElsewhere(ProcessIndex process) const;
    bool stands(const std::vector<ProcessIndex>& holders) const;
    std::optional<NodeId> pickHolder(ShardId shard, const std::vector<NodeId>& excluded) const;
    /// Copies facts to one holder after another until one takes them, `attempts` times at most. `done` gets the holder,
    /// or nothing when there is nobody to hold them.
    void copyFacts(CopyRecords facts, std::uint32_t attempts, std::vector<NodeId> excluded, CopiedCallback done);
    void onCopyRecords(const NodeId& from, const CopyRecords& copy);
    void onCopyAnswer(const NodeId& from, const CopyAnswer& answer);
    void onReleaseProgram(const ReleaseProgram& release);
    void purgeCopies();
    void copyProgram(HomeShard& shard, HomeProgram& program);
    void reviewCopies();
    /// Members that have left in order and are not marked gone yet.
    void limitCompleteThrough(ObjectVersion limit);
    bool membersLeaving() const;
    bool factsSettled() const;

    // Calls (entrycalls.cpp) -----------------------------------------------------------------------------------------

    struct Forwarded {
        NodeId home;
        Ran ranIfLost = Ran::Unknown;
        TimerId timer;
    };

    void route(const Caller& caller, CallerRequest request, bool forwarded);
    void forward(const Caller& caller, const NodeId& home, const CallerRequest& request);
    void atHome(const Caller& caller, CallerRequest request);
    void openProgram(const Caller& caller, const CallerRequest& request);
    void openSubAgent(const Caller& caller, const CallerRequest& request);
    void announceOpening(const Caller& caller, HomeShard& shard, const ProgramId& id);
    void endProgram(const Caller& caller, HomeShard& shard, HomeProgram& program);
    void finishEnd(HomeShard& shard, HomeProgram& program);
    void releaseEnded(HomeShard& shard, HomeProgram& program);
    void releaseEngines(HomeShard& shard, HomeProgram& program, bool ended);
    void callProgram(const Caller& caller, HomeShard& shard, HomeProgram& program, CallerRequest request);
    void answerRepeat(const Caller& caller, HomeShard& shard, HomeProgram& program, TurnNumber turn);
    void callerGone(const Caller& caller);
    /// Answers a caller that has joined something under way when its own time is over.
    void limitWait(const Caller& caller, Milliseconds timeLeft);
    void getProgram(const Caller& caller, HomeShard& shard, HomeProgram& program);
    void refuseMissing(const Caller& caller, const HomeShard& shard, const CallerRequest& request);
    std::optional<NodeId> anyOtherHome();
    HomeShard* anyOwnShard();
    void purgeEnded(HomeShard& shard);

    // Orders (entryorders.cpp) ---------------------------------------------------------------------------------------

    /// What the policies say about the programs of one organisation and service, for one service called.
    struct ProgramClass {
        OrganisationId organisation;
        ServiceName program;
        ServiceName called;
        auto operator<=>(const ProgramClass&) const = default;
    };
    struct ClassPolicy {
        std::uint64_t generation = 0;
        std::uint64_t fleetGeneration = 0;
        PlacementSettings settings;
        /// Sidecars that the policies admit; nothing when they admit all.
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
    void pump(const ServiceName& service);
    double priorityOf(const HomeShard& shard, const HomeProgram& program) const;
    void sendOrder(HomeShard& shard, HomeProgram& program, const TakenCredit& credit, PlacementDecision decision);
    void armDeadline(const ProgramId& id, ProgramCall& call);
    ProgramCall* findCall(const ProgramId& id, std::uint64_t call, HomeShard** shard, HomeProgram** program);
    /// Ends the current call without a record: it has never run, or nobody waits for it.
    void failCall(HomeShard& shard, HomeProgram& program, const Problem& problem);
    void releaseReservation(HomeShard& shard, HomeProgram& program, ProgramCall& call, TokenCount charged);
    void onDeadline(const ProgramId& id, std::uint64_t call);
    void onOrderTokens(const NodeId& from, const OrderTokens& tokens);
    void onOrderRefused(const NodeId& from, const OrderRefused& refused);
    void onOrderEnded(const NodeId& from, const OrderEnded& ended);
    void onLoadReport(const NodeId& from, const LoadReport& report);
    /// Sends the current call elsewhere if it may run again; else returns false.
    bool retryElsewhere(HomeShard& shard, HomeProgram& program);
    /// Returns false when the program holds something else in the place of the record.
    bool lateRecord(const NodeId& from, const TurnRecord& record);
    void settle(HomeShard& shard, HomeProgram& program, HeldRecord held);
    void settleUnknown(HomeShard& shard, HomeProgram& program);
    /// Ends the current call, which is idempotent and may have run, without an outcome: its turn can be taken again.
    void leaveOpen(HomeShard& shard, HomeProgram& program, const Problem& problem);
    /// Ends an ordered call whose sidecar does not answer.
    void giveUp(HomeShard& shard, HomeProgram& program, const Problem& problem);
    void finishCall(const ProgramId& id, std::uint64_t call);
    void recordEnd(HomeShard& shard, HomeProgram& program);
    void pausePrefix(HomeShard& shard, HomeProgram& program, const ProgramCall& call);
    std::vector<std::pair<ProgramId, std::uint64_t>> callsAt(const NodeId& sidecar);
    TurnRecord openRecord(const HomeProgram& program, const ProgramCall& call) const;
    void takeBack(HomeProgram& program, ProgramCall& call);
    void onSidecarUnlinked(const NodeId& node);
    void onSidecarLinked(const NodeId& node, bool sameProcess);
    void sidecarLost(const ProgramId& id, std::uint64_t call, bool forGood);

    // State ----------------------------------------------------------------------------------------------------------

    struct Node {
        Hello hello;
        bool linked = false;
        TimePoint downSince {};
        /// Its last report said so: once its link is down it won't come back.
        bool leaving = false;
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
    std::shared_ptr<int> alive = std::make_shared<int>();
    std::uint64_t seeds = 0;
    EntryStatus counters;
    bool started = false;
    TimePoint startedAt {};
    bool shuttingDown = false;
    TimePoint shutdownBegun {};
    TimePoint leaseReleasedAt {};
    /// Revision at which this entry was said to be gone; 0: not yet.
    ObjectVersion ownEnd;

    std::uint64_t lastObjectRequest = 0;
    std::unordered_map<std::uint64_t, ObjectCallback> objectCalls;
    bool storeReachable = true;
    ConfigReplica config;
    bool configListed = false;
    TimePoint configListedAt {};
    std::map<Digest, std::uint32_t> crashCounts;
    PolicySet policies;
    std::set<Digest> quarantined;

    HeldLease lease;
    std::uint64_t leaseRenewals = 0;
    bool leaseCallOpen = false;
    bool leaseInDoubt = true;
    TimePoint leaseTriedAt {};
    std::optional<TimePoint> leaseFirstHeld;
    /// Another incarnation of this node has taken the lease: this one stops for good.
    bool superseded = false;
    /// The lease of this node's former process, which must lapse before its shards can be taken over.
    std::optional<ObservedLease> formerLease;
    bool releaseWanted = false;
    bool leaseReleased = false;
    ObjectVersion completeThrough;
    std::optional<ObjectVersion> completeThroughLimit;
    std::vector<std::function<void(bool)>> afterRenewal;
    std::map<NodeId, ObservedLease> observed;
    std::uint64_t lastPromiseRequest = 0;
    std::map<std::uint64_t, TimePoint> promiseRequests;
    TimePoint promisesRequestedAt {};
    PromiseTable promises;

    std::map<NodeId, Member> members;
    /// Members in other failure domains that are not gone.
    std::size_t membersElsewhere = 0;
    bool selfRegistered = false;
    bool membersListOpen = false;
    bool membersChanged = true;
    bool membersListed = false;
    std::set<NodeId> memberPutsOpen;
    std::set<NodeId> listedNodes;
    bool instancesListed = false;

    ShardMap map;
    bool mapReadOpen = false;
    std::uint64_t mapWrites = 0;
    std::string mapText;
    std::unordered_map<ShardId, HomeShard> shards;
    std::unordered_map<ShardId, Epoch> fences;
    std::optional<Claim> claim;
    std::uint64_t lastClaim = 0;
    std::uint64_t lastPromiseReleaseRequest = 0;
    std::map<ShardId, TimePoint> handedOverSince;
    TimePoint handOverTriedAt {};
    bool handOverOpen = false;
    /// A claim on this version of the map may still take effect.
    ObjectVersion claimInDoubt;
    std::map<NodeId, TimePoint> homeMissingSince;
    std::unordered_map<ShardId, Recovery> recoveries;
    std::unordered_map<ShardId, std::map<NodeId, Incarnation>> missed;
    /// What the census heard, for as long as somebody is missed.
    std::unordered_map<ShardId, std::vector<ReceivedAnswer>> receivedAnswers;
    std::set<ShardId> gapsUnwritten;
    bool gapWriteOpen = false;
    std::uint64_t lastRecovery = 0;
    std::uint32_t nextOwnShard = 0;

    std::unordered_map<NodeId, Node> nodes;
    /// Those of `nodes` that are entries.
    std::set<NodeId> entryNodes;
    std::vector<Process> processes;
    std::map<std::pair<NodeId, Incarnation>, ProcessIndex> lifeIndexes;
    SidecarPool sidecarPool;
    std::unordered_map<ServiceName, ServiceQueue> queues;
    std::map<ProgramClass, ClassPolicy> classPolicies;
    /// For nodes without a link: the next process of a sidecar may stand beside the same engine.
    std::map<NodeId, std::deque<ReleaseProgram>> unsentReleases;

    std::uint64_t lastCopy = 0;
    std::unordered_map<std::uint64_t, PendingCopy> copies;
    std::unordered_map<ShardId, CopyStore> copyStores;
    bool recopyWanted = false;
    std::uint32_t recopiesOpen = 0;
    std::optional<ObjectVersion> throughWanted;
    bool throughListOpen = false;
    TimePoint throughListedAt {};

    std::set<CallerTicket> tickets;
    std::map<CallerTicket, Forwarded> forwarded;
    std::map<Caller, ProgramId> callers;
    std::unordered_map<OrderId, ProgramId> orders;
    std::uint64_t orderBase = 0;
    std::uint64_t lastOrder = 0;
    std::uint64_t lastCall = 0;
    std::uint64_t openings = 0;
    RetryBudget retries;
    std::map<OrganisationId, std::uint32_t> runningOf;
    ProgramAdmission programAdmission;
    std::uint32_t runningTotal = 0;
};

/// What can be said of a request that was not looked up: one that may be a repeat may have run before.
Ran ranIfRefused(const CallerRequest& request);

}
