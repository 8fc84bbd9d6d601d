#pragma once

#include "Rattandeck/entry.h"
#include "Rattandeck/sidecar.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// What one role has spent so far.
struct Spending {
    std::chrono::nanoseconds processorTime { 0 };
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Calls of the object API so far.
struct StoreCalls {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watchEvents = 0;
};

/// Real entry and sidecar cores in one thread under virtual time, joined by links that lose nothing. It accounts for
/// processor time, messages and calls of the object API; it models no engine: calls end after a fixed time.
class LocalSystem {
public:
    explicit LocalSystem(std::uint32_t shardCount);

    Rattandeck::NodeId addEntry(const std::string& name, const std::string& domain);
    Rattandeck::NodeId addSidecar(const std::string& name, const std::string& domain);
    /// The process dies; its links go down.
    void kill(const Rattandeck::NodeId& node);

    /// Advances virtual time.
    void run(Rattandeck::Milliseconds time);
    /// Runs until the ticket has its final answer, `limit` at most.
    std::optional<Rattandeck::CallerEvent> await(Rattandeck::CallerTicket ticket, Rattandeck::Milliseconds limit);

    /// Sends a caller's request to an entry.
    Rattandeck::CallerTicket ask(const Rattandeck::NodeId& entry, Rattandeck::CallerRequest request);
    /// Stores an object as an operator would, and tells every watch.
    void storeObject(const Rattandeck::ObjectKey& key, const std::string& value);

    Rattandeck::EntryCore& entry(const Rattandeck::NodeId& node) { return *this->entries.at(node); }
    Rattandeck::TimePoint now() const { return this->timers.now(); }
    const Spending& spent(const Rattandeck::NodeId& node) { return this->spending[node]; }
    const StoreCalls& storeCalls() const { return this->calls; }
    /// Bytes and messages between processes of this kind of message, by its name.
    const std::map<std::size_t, Spending>& byKind() const { return this->kinds; }

private:
    struct OpenCall {
        Rattandeck::NodeId sidecar;
        Rattandeck::EndpointCall call;
    };

    /// Runs `work` on behalf of a process that still lives, and books its processor time.
    void on(const Rattandeck::NodeId& node, const std::function<void()>& work);
    Rattandeck::TimerService& startClock(const Rattandeck::NodeId& node);
    /// The process whose timer is due first, if that is before the next delivery and before `until`.
    std::optional<Rattandeck::NodeId> nextProcess(Rattandeck::TimePoint until) const;
    void link(const Rattandeck::NodeId& a, const Rattandeck::NodeId& b);
    void greet(const Rattandeck::NodeId& to, const Rattandeck::Hello& hello);
    void send(const Rattandeck::NodeId& from, const Rattandeck::NodeId& to, const Rattandeck::Message& message);
    void deliver(const Rattandeck::NodeId& from, const Rattandeck::NodeId& to, const std::string& bytes);
    Rattandeck::ObjectOutcome callStore(const Rattandeck::ObjectRequest& request);
    Rattandeck::ObjectOutcome put(const Rattandeck::ObjectPut& put);
    void tellWatches(const Rattandeck::StoredObject& object);

    std::uint32_t shardCount;
    /// Deliveries; each process has a timer service of its own, so that its timers count as its processor time.
    Rattandeck::TimerService timers;
    std::map<Rattandeck::NodeId, std::unique_ptr<Rattandeck::TimerService>> clocks;
    std::map<Rattandeck::NodeId, Rattandeck::Hello> hellos;
    std::map<Rattandeck::NodeId, std::unique_ptr<Rattandeck::EntryCore>> entries;
    std::map<Rattandeck::NodeId, std::unique_ptr<Rattandeck::SidecarCore>> sidecars;
    std::map<Rattandeck::NodeId, Spending> spending;
    std::map<std::size_t, Spending> kinds;
    std::map<Rattandeck::CallerTicket, Rattandeck::CallerEvent> answers;
    std::uint64_t lastTicket = 0;
    std::uint64_t revision = 0;
    std::map<Rattandeck::ObjectKey, Rattandeck::StoredObject> objects;
    StoreCalls calls;
};
