#pragma once

#include "Rattandeck/entry.h"
#include "Rattandeck/sidecar.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Cumulative resource usage of a process, or of a kind of message.
struct ResourceUsage {
    std::chrono::nanoseconds processorTime { 0 };
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Cumulative number of object API operations.
struct StoreCalls {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watchEvents = 0;
};

/// Runs real entry and sidecar cores in one thread under virtual time, connected by lossless links. Counts processor
/// time, messages and object API operations. Engines are not modelled: each call takes a fixed time.
class LocalSystem {
public:
    explicit LocalSystem(std::uint32_t shardCount);

    Rattandeck::NodeId addEntry(const std::string& name, const std::string& domain);
    Rattandeck::NodeId addSidecar(const std::string& name, const std::string& domain);
    /// Terminates a process. Its links go down.
    void kill(const Rattandeck::NodeId& node);

    /// Advances virtual time by `time`.
    void run(Rattandeck::Milliseconds time);
    /// Runs until the request has its final answer, or until `limit` has passed; then returns nullopt.
    std::optional<Rattandeck::CallerEvent> await(Rattandeck::CallerTicket ticket, Rattandeck::Milliseconds limit);

    /// Sends a caller's request to an entry.
    Rattandeck::CallerTicket sendRequest(const Rattandeck::NodeId& entry, Rattandeck::CallerRequest request);
    /// Stores an object as an operator would, and notifies every watch.
    void storeObject(const Rattandeck::ObjectKey& key, const std::string& value);

    Rattandeck::EntryCore& entry(const Rattandeck::NodeId& node) { return *this->entries.at(node); }
    Rattandeck::TimePoint now() const { return this->timers.now(); }
    const ResourceUsage& usage(const Rattandeck::NodeId& node) { return this->nodeUsage[node]; }
    const StoreCalls& storeCalls() const { return this->calls; }
    /// Messages and bytes between processes, by the index of the message type in the variant `Message`.
    const std::map<std::size_t, ResourceUsage>& usageByKind() const { return this->kindUsage; }

private:
    struct OpenCall {
        Rattandeck::NodeId sidecar;
        Rattandeck::EndpointCall call;
    };

    /// Runs `work` as the given process and adds the processor time to its usage. Does nothing if the process has been
    /// terminated.
    void runAs(const Rattandeck::NodeId& node, const std::function<void()>& work);
    Rattandeck::TimerService& addNodeTimers(const Rattandeck::NodeId& node);
    /// The process with the earliest timer, if that timer is due before the next delivery and before `until`.
    std::optional<Rattandeck::NodeId> nextProcess(Rattandeck::TimePoint until) const;
    void link(const Rattandeck::NodeId& a, const Rattandeck::NodeId& b);
    void deliverHello(const Rattandeck::NodeId& to, const Rattandeck::Hello& hello);
    void send(const Rattandeck::NodeId& from, const Rattandeck::NodeId& to, const Rattandeck::Message& message);
    void deliver(const Rattandeck::NodeId& from, const Rattandeck::NodeId& to, const std::string& bytes);
    Rattandeck::ObjectOutcome callStore(const Rattandeck::ObjectRequest& request);
    Rattandeck::ObjectOutcome put(const Rattandeck::ObjectPut& put);
    void notifyWatches(const Rattandeck::StoredObject& object);

    std::uint32_t shardCount;
    /// Schedules deliveries. Each process has a separate timer service, so that the processor time of its timers is
    /// attributed to it.
    Rattandeck::TimerService timers;
    std::map<Rattandeck::NodeId, std::unique_ptr<Rattandeck::TimerService>> nodeTimers;
    std::map<Rattandeck::NodeId, Rattandeck::Hello> hellos;
    std::map<Rattandeck::NodeId, std::unique_ptr<Rattandeck::EntryCore>> entries;
    std::map<Rattandeck::NodeId, std::unique_ptr<Rattandeck::SidecarCore>> sidecars;
    std::map<Rattandeck::NodeId, ResourceUsage> nodeUsage;
    std::map<std::size_t, ResourceUsage> kindUsage;
    std::map<Rattandeck::CallerTicket, Rattandeck::CallerEvent> answers;
    std::uint64_t lastTicket = 0;
    std::uint64_t revision = 0;
    std::map<Rattandeck::ObjectKey, Rattandeck::StoredObject> objects;
    StoreCalls calls;
};
