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
    /// A lease counts from before the renewing call; renewed at a third of this.
    Milliseconds leaseDuration { 6000 };
    /// Added by observers of a lease, for clocks that run at different speeds.
    Milliseconds clockMargin { 300 };
    /// Life of promises that stand in for the lease in an outage of the object API.
    Milliseconds promiseLifetime { 3000 };
    /// Must be at least the sidecars' credit life.
    Milliseconds creditLifetime { 3000 };
    Milliseconds objectCallTimeout { 1000 };
    Milliseconds recoveryTimeout { 1000 };
    /// Repeats of idempotent calls allowed, as a share of first attempts.
    double retryBudget = 0.1;
    /// Endpoint crashes after which a request's fingerprint is held.
    std::uint32_t crashLimit = 2;
    /// Longest time that a refused or queued call may wait for capacity before it is refused.
    Milliseconds queueLimit { 2000 };
    std::uint64_t seed = 1;
};

/// One candidate of a placement as it was weighed; lower scores win.
struct PlacementCandidate {
    NodeId sidecar;
    double waitSeconds = 0;
    double prefillSeconds = 0;
    double transferSeconds = 0;
    double score = 0;
};

/// Why a call went where it went. One is logged for each placement.
struct PlacementDecision {
    ProgramId program;
    TurnNumber turn;
    OrderId order;
    std::string policy;
    std::vector<PlacementCandidate> candidates;
    NodeId choice;
};

/// How an `EntryCore` acts on the world. Every function returns at once; answers come back as events.
struct EntryEffects {
    std::function<void(const NodeId& to, const Message&)> send;
    std::function<void(CallerTicket, const CallerEvent&)> reply;
    /// Calls the object API; the outcome comes to `onObjectOutcome` under `request`.
    std::function<void(std::uint64_t request, const ObjectRequest&)> callObjects;
    std::function<void(const PlacementDecision&)> logPlacement;
    /// Something an operator may want to know: takeover, lost lease, gap. Already formatted by `describe`.
    std::function<void(const std::string& event, const std::string& detail)> logEvent;
};

/// Numbers for metrics and status pages.
struct EntryStatus {
    /// Holds authority, and the system has homes for programs.
    bool serving = false;
    /// Authority comes from guarantors' promises because the object API can't be reached.
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

/// The decisions of an entry: it holds a lease, is the home of the programs in its shards, and places their calls.
/// docs/DESIGN.md gives the protocol and the promises that rest on each step.
///
/// Thread safety: not synchronised; call from the thread that advances `timers`.
class EntryCore {
public:
    /// Precondition: `timers` outlives this object; every function in `effects` is set.
    EntryCore(EntrySettings settings, TimerService& timers, EntryEffects effects);
    ~EntryCore();

    /// Reads the lease and the shard map and begins to take part.
    void start();

    /// A caller's request. Exactly one final event (`AnswerDone` or `Problem`) is sent to `reply` for each ticket.
    /// Precondition: `ticket` was not used before.
    void onCallerRequest(CallerTicket ticket, CallerRequest request);
    /// The caller went away; no more replies are sent for `ticket`.
    void onCallerDisconnected(CallerTicket ticket);

    /// A link to a peer or sidecar is up; `hello` is its first message. Replaces an earlier link with that node.
    void onLinkUp(const Hello& hello);
    void onLinkDown(const NodeId& node);
    /// Precondition: the link with `from` is up.
    void onMessage(const NodeId& from, const Message& message);

    void onObjectOutcome(std::uint64_t request, const ObjectOutcome& outcome);
    /// A watched object changed. May come late, repeated, or out of order.
    void onObjectChanged(const StoredObject& object, ObjectVersion revision);
    void onInstanceList(const std::vector<ListedInstance>& instances);

    /// Begins a planned stop: new requests go elsewhere, running ones finish, shards are handed over.
    void beginShutdown();
    /// After `beginShutdown`: nothing is left to wait for.
    bool isDrained() const;

    EntryStatus status() const;
    /// The configuration objects in force here, deletions included.
    ConfigUpdate configuration() const;
    /// Programs that this entry is the home of and that have not ended, in no order.
    std::vector<ProgramHeader> openPrograms() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
