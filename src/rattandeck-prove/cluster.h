#pragma once

#include "world.h"

#include "Rattandeck/entry.h"
#include "Rattandeck/sidecar.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace RattandeckProve {

/// Distinguishes the successive lives of a simulated process: each start begins a new one.
using Life = Strong<struct LifeTag, std::uint64_t>;

struct Process {
    std::uint32_t index = 0;
    NodeId node;
    FailureDomain domain;
    /// Empty for entries.
    ServiceName service;
    bool engine = false;

    bool alive = false;
    bool frozen = false;
    bool stopping = false;
    Life life;
    Incarnation incarnation;
    /// Drift and offset of the process's local clock against the simulated time.
    std::int64_t driftPpm = 0;
    Duration clockOffset { 0 };
    std::unique_ptr<TimerService> timers;
    std::unique_ptr<EntryCore> entry;
    std::unique_ptr<SidecarCore> sidecar;
    std::optional<TimerId> wake;
    /// Input that arrived while the process was frozen.
    std::deque<std::function<void()>> inbox;
    std::map<ObjectKey, ObjectVersion> inForce;

    bool isEntry() const { return this->service.value.empty(); }
    bool canRun() const { return this->alive && !this->frozen; }
};

/// Callbacks for the output of the cores and for starts and ends of processes; set by the trial.
struct ClusterEffects {
    std::function<void(Process&, const NodeId& to, const Message&)> send;
    std::function<void(Process&, std::uint64_t request, const ObjectRequest&)> callObjects;
    std::function<void(CallerTicket, const CallerEvent&)> reply;
    std::function<void(Process&, const EndpointCall&)> startCall;
    std::function<void(Process&, OrderId)> cancelCall;
    std::function<void(Process&, ProgramId)> releasePrefix;
    std::function<void(Process&)> releaseAllPrefixes;
    /// A process has started, or has ended by a planned exit or by its death.
    std::function<void(Process&)> started;
    std::function<void(Process&, bool planned)> ended;
};

/// The simulated processes of a trial, each with its own timers and local clock.
class Cluster {
public:
    Cluster(World& world, ClusterEffects effects);

    Process& at(std::uint32_t index) { return this->processes[index]; }
    Process* find(const NodeId& node);
    std::vector<Process>& all() { return this->processes; }

    void start(Process& process);
    void kill(Process& process);
    void freeze(Process& process);
    void thaw(Process& process);
    /// Begins a planned stop. `exited` is called after the exit, but not if the process dies first.
    void stop(Process& process, std::function<void()> exited);

    /// Runs `action` in the process, or queues it while the process is frozen. Drops it if the process has died or
    /// restarted since `life`.
    void deliver(Process& process, Life life, std::function<void()> action);
    Hello helloOf(const Process& process) const;

private:
    TimePoint localTime(const Process& process) const;
    void arm(Process& process);
    void run(Process& process, const std::function<void()>& action);
    void observeConfiguration(Process& process);
    void makeEntry(Process& process);
    void makeSidecar(Process& process);
    void pollExit(Process& process, Life life, std::function<void()> exited);
    void end(Process& process, bool planned);

    World& world;
    Chance chance;
    ClusterEffects effects;
    std::vector<Process> processes;
};

}
