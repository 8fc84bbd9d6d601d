#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/objects.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Rattandeck {

struct EntrySettings {
    NodeId node;
    Incarnation incarnation;
    FailureDomain domain;
    std::string address;
    std::uint32_t shardCount = 64;
    /// Lease duration, measured from before the renewing call is sent. The lease is renewed each time that a third of
    /// this time has passed.
    Milliseconds leaseDuration { 6000 };
    /// Added by observers of a lease to allow for clock drift.
    Milliseconds clockMargin { 300 };
    /// How long a grantor's promise is valid. Promises of a majority of the grantors replace the lease while the object
    /// API is unreachable.
    Milliseconds promiseLifetime { 3000 };
    /// Maximum time for which a sidecar's credit may be valid. Must be at least `SidecarSettings::creditLifetime` of
    /// every sidecar.
    Milliseconds creditLifetime { 3000 };
    Milliseconds objectCallTimeout { 1000 };
    Milliseconds recoveryTimeout { 1000 };
    /// Maximum ratio of retries of idempotent calls to first attempts.
    double retryBudget = 0.1;
    /// Number of endpoint crashes after which requests with the same fingerprint are quarantined.
    std::uint32_t crashLimit = 2;
    /// Maximum time that a call may wait for capacity before it is refused.
    Milliseconds queueLimit { 2000 };
    std::uint64_t seed = 1;
};

/// One candidate of a placement with its score; the lowest score is chosen.
struct PlacementCandidate {
    NodeId sidecar;
    double waitSeconds = 0;
    double prefillSeconds = 0;
    double transferSeconds = 0;
    double score = 0;
};

/// Record of a placement for the log: the candidates, their scores and the choice.
struct PlacementDecision {
    ProgramId program;
    TurnNumber turn;
    OrderId order;
    std::string policy;
    std::vector<PlacementCandidate> candidates;
    NodeId choice;
};

/// Output functions of an `EntryCore`. They must not block; results are delivered later through its `on...` functions.
struct EntryEffects {
    std::function<void(const NodeId& to, const Message&)> send;
    std::function<void(CallerTicket, const CallerEvent&)> reply;
    /// Calls the object API; the outcome is passed to `onObjectOutcome` with the same `request`.
    std::function<void(std::uint64_t request, const ObjectRequest&)> callObjects;
    std::function<void(const PlacementDecision&)> logPlacement;
    /// Logs an event for operators, such as a takeover, a lost lease or a gap. `detail` is already formatted.
    std::function<void(const std::string& event, const std::string& detail)> logEvent;
};

/// State and counters for metrics and status pages.
struct EntryStatus {
    /// This entry has authority (a valid lease or enough promises), and at least one shard has a home.
    bool isServing = false;
    /// The lease has expired, and authority rests on grantors' promises because the object API is unreachable.
    bool reliesOnPromises = false;
    std::uint32_t ownedShards = 0;
    std::uint32_t openPrograms = 0;
    std::uint64_t ordersSent = 0;
    std::uint64_t ordersRetried = 0;
    std::uint64_t ordersRefused = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t objectCalls = 0;
    std::uint64_t gaps = 0;
    ObjectVersion configRevision;
};

/// Decision logic of an entry, without I/O: it holds a lease, is the home of the programs in its shards, and places
/// their calls on sidecars. docs/DESIGN.md describes the protocol and the guarantees that each step gives.
///
/// Thread safety: not synchronised; call from the thread that advances `timers`.
class EntryCore {
public:
    /// Precondition: `timers` outlives this object; every function in `effects` is set.
    EntryCore(EntrySettings settings, TimerService& timers, EntryEffects effects);
    ~EntryCore();

    /// Starts the periodic work: registration, lease renewal and claiming of shards.
    void start();

    /// Handles a caller's request. Each ticket gets exactly one final event (`AnswerDone` or `Problem`) through
    /// `reply`. Precondition: `ticket` was not used before.
    void onCallerRequest(CallerTicket ticket, CallerRequest request);
    /// The caller has disconnected; no more replies are sent for `ticket`.
    void onCallerDisconnected(CallerTicket ticket);

    /// A link to an entry or sidecar is up; `hello` is its first message. Replaces an earlier link with that node.
    void onLinkUp(const Hello& hello);
    void onLinkDown(const NodeId& node);
    /// Precondition: the link with `from` is up.
    void onMessage(const NodeId& from, const Message& message);

    void onObjectOutcome(std::uint64_t request, const ObjectOutcome& outcome);
    /// A watched object has changed. Notifications may be delayed, repeated or reordered.
    void onObjectChanged(const StoredObject& object, ObjectVersion revision);
    void onInstanceList(const std::vector<ListedInstance>& instances);

    /// Begins a graceful shutdown: new requests are refused, requests in flight finish, the state is replicated, then
    /// the lease is released.
    void beginShutdown();
    /// True after `beginShutdown` when the lease is released, all requests have been answered, and the other entries no
    /// longer need the state of this one. A fixed time after the release, that last condition is dropped.
    bool isDrained() const;

    EntryStatus status() const;
    /// The configuration objects known here, including deletions.
    ConfigUpdate configuration() const;
    /// Programs that this entry is the home of and that have not ended, in unspecified order.
    std::vector<ProgramHeader> openPrograms() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
