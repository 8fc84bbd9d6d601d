#pragma once

#include "Rattandeck/instancespeed.h"
#include "Rattandeck/types.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Endpoint instances that are called directly: their addresses, their load, and the choice of one for a call.
namespace Rattandeck {

/// Identifies a part of a prompt that several calls may share.
using PromptPartId = Strong<struct PromptPartIdTag, std::string>;

struct EndpointInstance {
    EndpointId id;
    ServiceName service;
    /// "host:port".
    std::string address;
    FailureDomain domain;
    SoftwareVersion version;
    /// Number of calls that it runs concurrently.
    std::uint32_t slots = 1;
    /// The instance is shutting down and takes no new calls.
    bool isDraining = false;
    /// Start time of its process, in milliseconds since 1970. Distinguishes two processes that use the same id.
    std::int64_t startedAt = 0;
    bool operator==(const EndpointInstance&) const = default;
};

/// Load that an instance reports with an answer.
struct EndpointLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    /// Empty if the instance doesn't state it. It changes several times a second.
    std::optional<WorkTimePercent> pace = std::nullopt;
};

/// One part of a prompt.
struct PromptPart {
    PromptPartId id;
    TokenCount tokens;
};

/// Properties of a call that its placement depends on.
struct PlacementQuery {
    ServiceName service;
    /// The parts in the order in which they appear in the prompt.
    std::vector<PromptPart> prompt;
    /// Affinity key of a plain call: calls with the same key are served faster by the same instance.
    std::string subject;
    /// The caller's failure domain.
    FailureDomain domain;
    /// Calls with the same key share the beginning of their prompts, beyond what all calls share. All processes prefer
    /// the same instance for a key. Empty if there is no such key.
    std::string prefixKey;
    /// For a stream that has begun: the version that it goes on at. Only instances of this version are chosen, and of
    /// those that leave only the ones that have just announced it.
    std::optional<SoftwareVersion> version;
    /// The call begins a stream that may have to go on at another instance of the same version.
    bool mayBeResumed = false;
    /// Instances that this call has been sent to already.
    std::set<EndpointId> excluded;
    /// Expected number of tokens that the call generates, relative to the mean of the calls of its service. The load of
    /// an instance delays a longer call by more, so that of two calls the longer one waits for a limited instance.
    double relativeLength = 1;
    /// Time that the call usually takes at an idle instance once its prompt is read, in milliseconds; 0 if unknown.
    double workMs = 0;
    /// Load up to which an instance has room for the call, in multiples of its slots.
    double maxLoad = std::numeric_limits<double>::infinity();
};

struct PlacementChoice {
    EndpointId endpoint;
    std::string address;
    /// Expected number of calls at the instance, without this one.
    double expectedLoad = 0;
    /// Age of the load report that the estimate uses; empty when it uses only the calls of this process.
    std::optional<Milliseconds> reportAge;
    std::uint32_t slots = 1;
    /// Prompt tokens that the instance is expected to have in its cache.
    std::int64_t cachedTokens = 0;
    /// Time that work is expected to take there, relative to the usual time.
    double workTime = 1;
    /// Expected time until the answer is complete, in milliseconds; less than that by the time of the work where that
    /// is not known.
    double expectedMs = 0;
    /// Its load is below the `maxLoad` of the query.
    bool hasRoom = true;
    /// Expected time until the instance may be sent the call.
    Milliseconds wait { 0 };
    /// The limited instance that would have been chosen if no call had to wait; empty if there is none.
    EndpointId passedOver;
};

/// Room that the limit of an instance leaves for a call.
struct LimitRoom {
    /// The instance states a limit of calls a second.
    bool isLimited = false;
    /// Expected time until the instance may be sent the call; empty if that is not expected in time.
    std::optional<Milliseconds> wait = Milliseconds(0);
};
using LimitRooms = std::function<LimitRoom(const EndpointId&)>;

/// What the connections of this process tell of the process that serves at an instance's address.
struct ConnectionKnowledge {
    /// Since when there has been a connection without a gap; empty without one.
    std::function<std::optional<TimePoint>(const std::string& address)> connectedSince;
    /// Start time of the process, by its own answer, with no gap in the connections since; empty if it has not told.
    std::function<std::optional<std::int64_t>(const std::string& address)> processAt;
    /// Whether a call can be sent there without opening a connection.
    std::function<bool(const std::string& address)> hasIdle;
};

/// Cost model of the placement. Each value in milliseconds estimates how much latency a property of the instance adds
/// to a call. What depends on the instance's work is multiplied by the time that work is expected to take there,
/// relative to the usual time (`InstanceSpeed`), so that these figures alone decide where instances are alike.
struct EndpointCosts {
    /// Latency that each other call in the engine's batch adds.
    double batchedCallMs = 8.5;
    /// Latency added by each call that waits for a slot.
    double queuedCallMs = 30;
    /// Rate at which an engine reads the part of a prompt that it has not cached. The batch waits meanwhile.
    double prefillTokensPerMs = 400;
    double crossDomainMs = 7;
    /// Time saved by an instance that has recently served the same subject.
    double subjectAffinityMs = 12;
    /// Penalty for an instance that failed within `failurePenaltyPeriod`.
    double recentFailureMs = 150;
    Milliseconds failurePenaltyPeriod { 2000 };
    /// Penalty for an instance without another one of its version, for streams that may have to go on at another one.
    double loneVersionMs = 20;
    /// Time for which a stream that has to go on at its version may be sent to an instance that has announced its
    /// leave. Together with the time in which the news arrives it is shorter than what instances wait before they
    /// leave.
    Milliseconds leavingGracePeriod { 500 };
    /// Penalty for such an instance: others of the version are chosen first.
    double leavingMs = 1000;
    /// Of an instance whose connections were lost or refused, or whose entry is that of an earlier process than the one
    /// known, the version counts only if the platform's store still lists it this much later: by then a process that
    /// was started again has registered.
    Milliseconds registrationPeriod { 3000 };
    /// Age up to which a view of the platform's store shows which process is running: a start takes longer.
    Milliseconds recentView { 1500 };
    /// The weight of a load report falls linearly with its age, to zero at this age. The rest of the weight is that of
    /// the mean load of the other instances.
    Milliseconds maxReportAge { 2000 };
    /// Penalty for an instance that fails all calls while others of its service fail none. It is in proportion to the
    /// share of failures beyond `toleratedFailures` and twice that of the service, and falls linearly to zero with the
    /// age of the last answer.
    double failingMs = 1000;
    double toleratedFailures = 0.3;
    Milliseconds failingPeriod { 4000 };
    /// Instances whose cost exceeds the least one by no more than this are chosen from at random: processes that have
    /// seen the same reports must not all choose one.
    double nearEqualMs = 2;
    /// Whether speeds, failures and near-equal costs count in all services. Otherwise they count only in services whose
    /// instances state how long work takes: those are known to be unlike.
    bool learnsEverywhere = true;
    /// Seed of that choice; 0: the first instance of least cost is chosen.
    std::uint64_t seed = 0;
    /// Share by which each other call in a batch lengthens the work of a call: about `batchedCallMs` of a turn that
    /// takes 0.4 s. Used to compare times of work that were observed under different loads.
    double batchedCallShare = 0.02;
    SpeedPolicy speed;
};

/// A piece of work that an instance has done.
struct ObservedWork {
    double milliseconds = 0;
    /// What it takes usually, at an idle instance.
    double usualMs = 0;
    /// Expected load of the instance when it got the call.
    double load = 0;
    /// The time includes the wait for a slot.
    bool includesQueue = false;
};

/// The instances of all services, with an estimate of their load.
///
/// A call with a `prefixKey` is preferably sent to the instance with the highest hash of its id and the key
/// (rendezvous hashing: Thaler and Ravishankar, 1998), so that the turns of a program find their prefix cached although
/// different processes place them. A preferred instance that is busier than others by more than the prefix is worth is
/// passed over. While some instances state no limit, one of them is preferred: the turns of a program would alternate
/// between a limited instance and others.
///
/// Thread safety: not synchronised.
class EndpointTable {
public:
    explicit EndpointTable(EndpointCosts costs = {}, ConnectionKnowledge connections = {});
    ~EndpointTable();
    EndpointTable(const EndpointTable&) = delete;
    EndpointTable& operator=(const EndpointTable&) = delete;

    /// Adds or updates an instance. A changed start time discards the load and cache state of the previous process.
    void put(const EndpointInstance& instance, TimePoint now);
    void remove(const EndpointId& id);
    std::vector<EndpointId> ids() const;
    const EndpointInstance* find(const EndpointId& id) const;
    /// The software version of the instance's process `startedAt`; empty when another process may run by now. That is
    /// excluded while the view of the store is recent, and for a process to which a connection has been open since.
    std::optional<SoftwareVersion> versionOf(const EndpointId& id, std::int64_t startedAt, TimePoint now) const;

    /// Returns the instance with the lowest expected latency for the call, the wait for its limit included. Instances
    /// with `query.maxLoad` or more are chosen only if there are no others. Empty when no instance takes calls. Without
    /// `rooms`, no instance is limited.
    std::optional<PlacementChoice> choose(
        const PlacementQuery& query, TimePoint now, const LimitRooms& rooms = {}) const;

    void onSent(const EndpointId& id, const PlacementQuery& query);
    /// A call that was sent to the instance has ended, with any outcome.
    void onEnded(const EndpointId& id);
    void onLoad(const EndpointId& id, const EndpointLoad& load, TimePoint now);
    /// An instance has done work. Returns what its load, its stated pace and its known speed don't explain of the time,
    /// as a natural logarithm.
    double onWork(const EndpointId& id, const ObservedWork& work, TimePoint now);
    /// A call to the instance was answered, or failed.
    void onOutcome(const EndpointId& id, bool isFailure, TimePoint now);
    /// Whether what was learned of the service's instances counts; see `EndpointCosts::learnsEverywhere`.
    bool isLearned(const ServiceName& service) const;
    /// Time that work is expected to take at the instance, relative to the usual time; 1 where it doesn't count.
    double workTime(const EndpointId& id, TimePoint now) const;
    /// Number of instances whose work is expected to take at least `factor` times the usual time.
    std::size_t slowInstances(double factor, TimePoint now) const;
    /// A call to the instance was interrupted, or the instance could not be reached.
    void onFailure(const EndpointId& id, TimePoint now);
    /// The instance's process `startedAt` leaves, whatever its entry says. Returns whether that was not known. Also
    /// taken for an instance that is not in the table now.
    bool onLeaving(const EndpointId& id, std::int64_t startedAt, TimePoint now);
    /// The machine of the instance refused a connection: its process has ended, and another one may run under the id
    /// before that is known here.
    void onUnreachable(const EndpointId& id, TimePoint now);
    /// All connections to an address have ended without announcement: as `onUnreachable`, for the instance there.
    void onConnectionsLost(const std::string& address, TimePoint now);
    /// The instances that this process knows are those that the platform's store listed at `viewedAt`, or later.
    void onStoreViewed(TimePoint viewedAt);
    /// The instance refused a call because it has no free capacity.
    void onFull(const EndpointId& id, TimePoint now);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
