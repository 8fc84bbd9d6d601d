#pragma once

#include "librattandeckprove/chance.h"
#include "librattandeckprove/search.h"

#include "Rattandeck/gateway.h"
#include "Rattandeck/journal.h"
#include "Rattandeck/timer.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

/// Simulation of gateways and journals in virtual time. It runs the real cores with simulated disks, links, platform
/// store, endpoint instances and callers.
namespace RattandeckProve {

using namespace Rattandeck;

struct Process;

/// The clock, random generator and log of a run, shared by all its parts.
///
/// Thread safety: none; a run is single-threaded.
struct World {
    explicit World(std::uint64_t seed)
        : chance(seed)
    {
    }

    TimePoint now() const { return this->clock.now(); }
    void after(Duration delay, std::function<void()> callback)
    {
        this->clock.subscribeAfter(delay, std::move(callback));
    }
    void note(const std::string& line)
    {
        const auto at = std::chrono::duration_cast<Milliseconds>(this->now().time_since_epoch()).count();
        if (this->keepLog)
            this->log.push_back(std::to_string(at) + " ms: " + line);
    }

    TimerService clock;
    Chance chance;
    /// The journal whose disk completed a sync last.
    Process* lastSynced = nullptr;
    bool keepLog = false;
    std::vector<std::string> log;
};

/// The disk of a machine. Only durable records survive a loss of power.
struct Disk {
    std::vector<JournalRecord> durable;
    /// Appended records that are not synced yet.
    std::deque<JournalRecord> written;
    /// Total records appended and made durable. Records lost before a sync are subtracted from `appendedCount`.
    std::uint64_t appendedCount = 0;
    std::uint64_t durableCount = 0;
    JournalSet persistedSet;
    JournalSyncState persistedSyncState;
    Milliseconds syncTime { 2 };
    TimePoint lastSync;

    /// The durable record as it is read at start-up: a turn without its text.
    RecoveredRecord found(std::size_t index) const;
    /// Makes written records durable, in order, until `durableCount` reaches this count.
    void makeDurable(std::uint64_t count);
    /// The process ended or the machine lost power: a random number of the oldest unsynced records becomes durable and
    /// the rest is lost.
    void loseUnsynced(Chance& chance, bool canLoseAll);
};

/// Operations and events of a process, which the other parts of the simulation handle.
struct ProcessEffects {
    std::function<bool(Process& from, const NodeId& to, const Message& message)> send;
    std::function<void(Process& journal)> readSet;
    std::function<void(Process& journal, const JournalSet& set)> writeSet;
    /// Creates the interface of a gateway to callers and endpoint instances.
    std::function<std::unique_ptr<GatewayIo>(Process& gateway)> makeGatewayIo;
    std::function<void(Process& process)> started;
    std::function<void(Process& process)> ended;
};

/// A journal or a gateway. It may be restarted.
struct Process : JournalIo {
    Process(World& world, const ProcessEffects& effects, NodeId node, Role role);

    World& world;
    const ProcessEffects& effects;
    NodeId node;
    Role role;
    Disk disk;
    /// Number of the current run, increased at each start.
    std::uint64_t runNumber = 0;
    bool isRunning = false;
    bool isFrozen = false;
    /// The machine has been removed permanently.
    bool isRemoved = false;
    /// Revision of the stored set that the process read last; 0 if there was none.
    std::uint64_t knownRevision = 0;

    std::unique_ptr<TimerService> timers;
    std::unique_ptr<Journal> journal;
    std::unique_ptr<GatewayIo> gatewayIo;
    std::unique_ptr<JournalClient> client;
    std::unique_ptr<Gateway> gateway;

    bool isJournal() const { return this->role == Role::Journal; }
    bool canRun() const { return this->isRunning && !this->isFrozen; }
    std::string address() const { return this->node.value + ":1"; }

    void start();
    void kill(bool isPowerLost);
    void freeze();
    void resume();
    /// Runs the callback in the process, or after the current freeze. Does nothing if the target run has ended by then.
    void deliver(std::uint64_t targetRun, std::function<void()> callback);
    void advance();

    void onLinkUp(const Process& peer);
    void onLinkDown(const Process& peer);
    void onMessage(const NodeId& from, const Message& message);

    // JournalIo
    bool send(const NodeId& to, const Message& message) override { return this->effects.send(*this, to, message); }
    void append(const JournalRecord& record) override;
    std::optional<RetainedTurn> readTurn(const DiskLocation& location) override;
    void sync(std::function<void()> onDurable) override;
    void persistSyncState(const JournalSyncState& syncState) override { this->disk.persistedSyncState = syncState; }
    void persistSet(const JournalSet& set) override { this->disk.persistedSet = set; }
    void readSet() override { this->effects.readSet(*this); }
    void writeSet(const JournalSet& set) override { this->effects.writeSet(*this, set); }
    void onSetChanged(const JournalSet&) override { }
    void logStep(const std::string& step, const std::string& detail) override
    {
        this->world.note(this->node.value + " " + step + ": " + detail);
    }

private:
    void startJournal();
    void startGateway();
    void end();

    /// Callbacks that were delivered while the process was frozen.
    std::deque<std::function<void()>> inbox;
};

}
