#include "trial.h"

#include "callers.h"
#include "network.h"
#include "objectapi.h"

namespace RattandeckProve {

namespace {

    constexpr Milliseconds listInterval { 500 };
    constexpr Milliseconds normalLag { 300 };
    constexpr Milliseconds longLag { 4000 };
    /// Time after which the platform's list drops a dead instance.
    constexpr Milliseconds listedAfterDeath { 5000 };
    constexpr Milliseconds operatorDelay { 40 };
    /// A process still counts as disturbed for this time after a fault, while its links are re-established.
    constexpr Milliseconds settleTime { 3000 };
    constexpr Milliseconds operatorInterval { 4000 };

    /// The components of one trial, and the injection of faults into them.
    class Trial {
    public:
        Trial(const Schedule& schedule, bool keepLog)
            : schedule(schedule)
            , world(schedule.seed)
            , chance(world.chanceFor(6))
            , cluster(world, this->effects())
            , network(world, cluster)
            , objects(world, cluster)
            , endpoints(world, cluster, natures)
            , callers(world, cluster, natures)
        {
            this->world.keepLog = keepLog;
        }

        TrialOutcome run();

    private:
        ClusterEffects effects();
        void listInstances();
        void publishList();
        void runOperator();
        void raceOperators(const Fault& fault);
        void changePolicy(const std::string& name);

        bool injectFault(const Fault& fault);
        bool killProcess(Process& process, Milliseconds away);
        bool freezeProcess(Process& process, Milliseconds length);
        bool cutLink(const Fault& fault);
        bool isolate(Process& process, Milliseconds length);
        bool stopProcess(Process& process, Milliseconds away);
        void restart(Process& process, Duration away);
        void disturb(const Process& process, Milliseconds length);

        const Schedule& schedule;
        World world;
        Chance chance;
        std::map<CallId, CallNature> natures;
        Cluster cluster;
        Network network;
        FakeObjectApi objects;
        FakeEndpoints endpoints;
        Callers callers;
        std::uint32_t lagging = 0;
        std::uint64_t policyChanges = 0;
        std::map<NodeId, std::uint32_t> disturbances;
        std::map<NodeId, ListedInstance> listed;
        TrialOutcome outcome;
    };

    // Set-up ----------------------------------------------------------------------------------------------------------

    ClusterEffects Trial::effects()
    {
        ClusterEffects effects;
        effects.send = [this](Process& from, const NodeId& to, const Message& message) {
            this->network.send(from, to, message);
        };
        effects.callObjects = [this](Process& from, std::uint64_t request, const ObjectRequest& body) {
            this->objects.call(from, request, body);
        };
        effects.reply = [this](CallerTicket ticket, const CallerEvent& event) { this->callers.onReply(ticket, event); };
        effects.startCall = [this](Process& from, const EndpointCall& call) { this->endpoints.start(from, call); };
        effects.cancelCall = [this](Process& from, OrderId order) { this->endpoints.cancel(from, order); };
        effects.releasePrefix
            = [this](Process& from, ProgramId program) { this->endpoints.releasePrefix(from, program); };
        effects.releaseAllPrefixes = [this](Process& from) { this->endpoints.releaseAll(from); };
        effects.started = [this](Process& process) {
            this->network.onStarted(process);
            this->listed[process.node] = { process.node, false, process.node.value, process.domain, process.service };
        };
        effects.ended = [this](Process& process, bool planned) {
            this->network.onEnded(process, planned);
            if (process.isEntry())
                this->callers.onEntryEnded(process);
            const Life life = process.life;
            this->world.after(planned ? Milliseconds(0) : listedAfterDeath, [this, &process, life] {
                if (process.life == life && !process.alive)
                    this->listed.erase(process.node);
            });
        };
        return effects;
    }

    void Trial::listInstances()
    {
        this->world.after(listInterval, [this] { this->listInstances(); });
        this->publishList();
    }

    void Trial::publishList()
    {
        std::vector<ListedInstance> list;
        for (const auto& [node, instance] : this->listed)
            list.push_back(instance);
        for (std::uint32_t i = 0; i < entryCount; ++i) {
            const Duration lag = this->chance.between(Milliseconds(10), this->lagging > 0 ? longLag : normalLag);
            this->world.after(lag, [this, i, list] {
                Process& entry = this->cluster.at(i);
                this->cluster.deliver(entry, entry.life, [&entry, list] { entry.entry->onInstanceList(list); });
            });
        }
    }

    // Operators -------------------------------------------------------------------------------------------------------

    void Trial::runOperator()
    {
        if (this->world.now() < TimePoint(faultWindow))
            this->world.after(operatorInterval, [this] { this->runOperator(); });
        this->changePolicy("p" + std::to_string(this->chance.below(2)));
    }

    void Trial::changePolicy(const std::string& name)
    {
        const ObjectKey key { "policy", name };
        const ObjectVersion seen = this->objects.versionOf(key);
        this->world.after(this->chance.between(Milliseconds(1), operatorDelay), [this, key, seen] {
            const std::string value = R"({"programs": "organisation=savers", "missing_prefix_weight": )"
                + std::to_string(++this->policyChanges % 7) + "}";
            this->objects.putByOperator(key, seen, value);
        });
    }

    // Faults ----------------------------------------------------------------------------------------------------------

    void Trial::disturb(const Process& process, Milliseconds length)
    {
        if (++this->disturbances[process.node] == 1)
            this->world.record(DisturbanceBegan { process.node });
        this->world.after(length + settleTime, [this, node = process.node] {
            if (--this->disturbances[node] == 0)
                this->world.record(DisturbanceEnded { node });
        });
    }

    void Trial::restart(Process& process, Duration away)
    {
        const Life life = process.life;
        this->world.after(away, [this, &process, life] {
            if (!process.alive && process.life == life)
                this->cluster.start(process);
        });
    }

    bool Trial::killProcess(Process& process, Milliseconds away)
    {
        if (!process.alive)
            return false;
        this->cluster.kill(process);
        this->restart(process, away);
        return true;
    }

    bool Trial::freezeProcess(Process& process, Milliseconds length)
    {
        if (!process.canRun())
            return false;
        this->disturb(process, length);
        this->cluster.freeze(process);
        const Life life = process.life;
        this->world.after(length, [this, &process, life] {
            if (process.alive && process.life == life)
                this->cluster.thaw(process);
        });
        return true;
    }

    bool Trial::cutLink(const Fault& fault)
    {
        if (fault.node == fault.peer)
            return false;
        this->disturb(this->cluster.at(fault.node), fault.duration);
        this->disturb(this->cluster.at(fault.peer), fault.duration);
        this->network.cut(fault.node, fault.peer);
        this->world.after(fault.duration, [this, fault] { this->network.heal(fault.node, fault.peer); });
        return true;
    }

    bool Trial::isolate(Process& process, Milliseconds length)
    {
        this->disturb(process, length);
        const std::uint32_t index = process.index;
        this->objects.beginCut(index);
        for (std::uint32_t other = 0; other < processCount; ++other) {
            if (other != index)
                this->network.cut(index, other);
        }
        this->world.after(length, [this, index] {
            this->objects.endCut(index);
            for (std::uint32_t other = 0; other < processCount; ++other) {
                if (other != index)
                    this->network.heal(index, other);
            }
        });
        return true;
    }

    bool Trial::stopProcess(Process& process, Milliseconds away)
    {
        if (!process.canRun() || process.stopping)
            return false;
        this->listed[process.node].leaving = true;
        this->world.record(LeavingListed { process.node });
        // Either the platform's list shows the instance as leaving first, or the process is told to stop first.
        const Life life = process.life;
        this->world.after(this->chance.between(Milliseconds(0), Milliseconds(2000)), [this, &process, life, away] {
            if (process.alive && process.life == life && !process.stopping)
                this->cluster.stop(process, [this, &process, away] { this->restart(process, away); });
        });
        return true;
    }

    void Trial::raceOperators(const Fault& fault)
    {
        const std::string name = "p" + std::to_string(fault.node % 2);
        this->changePolicy(name);
        this->changePolicy(name);
    }

    bool Trial::injectFault(const Fault& fault)
    {
        Process& process = this->cluster.at(fault.node);
        switch (fault.kind) {
        case FaultKind::Kill:
            return this->killProcess(process, fault.duration);
        case FaultKind::Freeze:
            return this->freezeProcess(process, fault.duration);
        case FaultKind::Cut:
            return this->cutLink(fault);
        case FaultKind::BreakLink:
            return this->network.breakLink(fault.node, fault.peer);
        case FaultKind::Isolate:
            return this->isolate(process, fault.duration);
        case FaultKind::CutStore:
            if (!process.isEntry())
                return false;
            this->disturb(process, fault.duration);
            this->objects.beginCut(fault.node);
            this->world.after(fault.duration, [this, fault] { this->objects.endCut(fault.node); });
            return true;
        case FaultKind::Outage:
            this->objects.beginOutage();
            this->world.after(fault.duration, [this] { this->objects.endOutage(); });
            return true;
        case FaultKind::LoseAnswers:
            this->objects.beginLosingAnswers();
            this->world.after(fault.duration, [this] { this->objects.endLosingAnswers(); });
            return true;
        case FaultKind::LateWatches:
            this->objects.beginLateWatches();
            this->world.after(fault.duration, [this] { this->objects.endLateWatches(); });
            return true;
        case FaultKind::LagList:
            ++this->lagging;
            this->world.after(fault.duration, [this] { --this->lagging; });
            return true;
        case FaultKind::CrashEndpoint:
            return !process.isEntry() && this->endpoints.crash(fault.node);
        case FaultKind::Stop:
            return this->stopProcess(process, fault.duration);
        case FaultKind::RaceOperators:
            this->raceOperators(fault);
            return true;
        case FaultKind::Poison:
            this->callers.startPoisoned();
            return true;
        default:
            // The remaining kinds concern machines with disks, which this system does not have.
            return false;
        }
    }

    // Run -------------------------------------------------------------------------------------------------------------

    TrialOutcome Trial::run()
    {
        for (Process& process : this->cluster.all())
            this->world.after(this->chance.between(Milliseconds(0), Milliseconds(500)),
                [this, &process] { this->cluster.start(process); });
        this->network.start();
        this->listInstances();
        this->callers.start();
        this->world.after(operatorInterval, [this] { this->runOperator(); });
        for (const Fault& fault : this->schedule.faults) {
            this->world.after(fault.at, [this, fault] {
                if (!this->injectFault(fault))
                    return;
                this->world.note("fault: " + toString(fault.kind) + " " + this->cluster.at(fault.node).node.value + " "
                    + this->cluster.at(fault.peer).node.value);
                ++this->outcome.faults.at(static_cast<std::size_t>(fault.kind));
            });
        }
        this->world.clock.advanceTo(TimePoint(trialLength));
        this->world.history.end = TimePoint(trialLength);
        HistoryLimits limits;
        this->outcome.checks = checkPromises(this->world.history, limits);
        this->outcome.history = std::move(this->world.history);
        this->outcome.log = std::move(this->world.log);
        return std::move(this->outcome);
    }

}

TrialOutcome runTrial(const Schedule& schedule, bool keepLog) { return Trial(schedule, keepLog).run(); }

}
