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

/// Gateways and journals under virtual time: the real cores, with fakes of disks, links, the platform's store, endpoint
/// instances and callers.
namespace RattandeckProve {

using namespace Rattandeck;

struct Process;

/// True time, chance and the record of what was found, shared by all parts of a run.
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
    /// The journal whose disk made a record durable last.
    Process* lastDurable = nullptr;
    bool keepLog = false;
    std::vector<std::string> log;
};

/// What a machine keeps without power.
struct Disk {
    std::vector<JournalRecord> durable;
    /// Appended and not yet synced.
    std::deque<JournalRecord> written;
    /// Records appended and made durable so far, counted through all losses.
    std::uint64_t appendedCount = 0;
    std::uint64_t durableCount = 0;
    JournalSet persistedSet;
    JournalSyncState persistedSyncState;
    Milliseconds syncTime { 2 };
    TimePoint lastSync;

    /// What a start finds of a durable record.
    RecoveredRecord found(std::size_t index) const;
    /// Makes the first records that were written durable, up to this count.
    void makeDurable(std::uint64_t count);
    /// The process ended, or the machine lost power: what was not synced is kept up to some record.
    void loseTail(Chance& chance, bool mayLoseAll);
};

/// What happens to a process; the parts of the world subscribe to it.
struct ProcessEffects {
    std::function<bool(Process& from, const NodeId& to, const Message& message)> send;
    std::function<void(Process& journal)> readSet;
    std::function<void(Process& journal, const JournalSet& set)> writeSet;
    /// A gateway's relations to callers and to endpoint instances.
    std::function<std::unique_ptr<GatewayIo>(Process& gateway)> makeGatewayIo;
    std::function<void(Process& process)> started;
    std::function<void(Process& process)> ended;
};

/// A journal or a gateway; it may run several times.
struct Process : JournalIo {
    Process(World& world, const ProcessEffects& effects, NodeId node, Role role);

    World& world;
    const ProcessEffects& effects;
    NodeId node;
    Role role;
    Disk disk;
    /// Counts its runs.
    std::uint64_t life = 0;
    bool isAlive = false;
    bool isFrozen = false;
    /// The machine is gone for good.
    bool isRemoved = false;
    /// The revision of the stored set that it read last; 0: there was none.
    std::uint64_t knownRevision = 0;

    std::unique_ptr<TimerService> timers;
    std::unique_ptr<Journal> journal;
    std::unique_ptr<GatewayIo> gatewayIo;
    std::unique_ptr<JournalClient> client;
    std::unique_ptr<Gateway> gateway;

    bool isJournal() const { return this->role == Role::Journal; }
    bool canRun() const { return this->isAlive && !this->isFrozen; }
    std::string address() const { return this->node.value + ":1"; }

    void start();
    void kill(bool isPowerLost);
    void freeze();
    void thaw();
    /// Runs the callback in the process, after a freeze if there is one, unless that run has ended by then.
    void deliver(std::uint64_t toLife, std::function<void()> callback);
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

    /// What came while it was frozen.
    std::deque<std::function<void()>> inbox;
};

}
