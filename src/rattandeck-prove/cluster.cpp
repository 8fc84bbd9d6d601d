#include "cluster.h"

#include "Rattandeck/config.h"

namespace RattandeckProve {

namespace {

    constexpr std::int64_t million = 1000000;
    /// Small enough that any two clocks diverge by less than `clockMargin` during a lease.
    constexpr std::int64_t maxDriftPpm = 20000;
    constexpr Milliseconds exitPoll { 50 };
    constexpr std::uint32_t shardCount = 8;
    constexpr Milliseconds prefixLease { 8000 };

    Process makeProcess(Chance& chance, std::uint32_t index)
    {
        static const std::array<std::string, 3> domains { "north", "west", "south" };
        Process process;
        process.index = index;
        process.domain = FailureDomain(domains.at(index % domains.size()));
        process.driftPpm = static_cast<std::int64_t>(chance.below(2 * maxDriftPpm)) - maxDriftPpm;
        process.clockOffset = chance.between(Milliseconds(0), Milliseconds(1000000));
        if (index < entryCount) {
            process.node = NodeId("e" + std::to_string(index + 1));
            return process;
        }
        process.engine = index < entryCount + engineCount;
        process.service = ServiceName(process.engine ? "llm" : "tool");
        process.node = NodeId((process.engine ? "s" : "t") + std::to_string(index - entryCount + 1));
        return process;
    }

}

Cluster::Cluster(World& world, ClusterEffects effects)
    : world(world)
    , chance(world.chanceFor(2))
    , effects(std::move(effects))
{
    for (std::uint32_t i = 0; i < processCount; ++i)
        this->processes.push_back(makeProcess(this->chance, i));
}

Process* Cluster::find(const NodeId& node)
{
    for (Process& process : this->processes) {
        if (process.node == node)
            return &process;
    }
    return nullptr;
}

Hello Cluster::helloOf(const Process& process) const
{
    Hello hello;
    hello.node = process.node;
    hello.role = process.isEntry() ? Role::Entry : Role::Sidecar;
    hello.incarnation = process.incarnation;
    hello.domain = process.domain;
    hello.service = process.service;
    hello.address = process.node.value;
    hello.configRevision = process.entry ? process.entry->status().configRevision
        : process.sidecar                ? process.sidecar->status().configRevision
                                         : ObjectVersion();
    return hello;
}

// Time -------------------------------------------------------------------------------------------------------------

TimePoint Cluster::localTime(const Process& process) const
{
    const Duration real = this->world.now().time_since_epoch();
    return TimePoint(process.clockOffset + real + Duration(real.count() / million * process.driftPpm));
}

void Cluster::arm(Process& process)
{
    if (process.wake)
        this->world.clock.cancel(*process.wake);
    process.wake.reset();
    if (!process.canRun())
        return;
    const std::optional<TimePoint> due = process.timers->nextDue();
    if (!due)
        return;
    const Duration left = std::max(Duration(0), *due - this->localTime(process));
    // Rounded up so that the local clock has reached the due time at the wake-up, even with the maximum drift.
    const Duration real = left + Duration(left.count() / million * maxDriftPpm) + Duration(million);
    const Life life = process.life;
    process.wake = this->world.clock.subscribeAfter(real, [this, &process, life] {
        process.wake.reset();
        if (process.life != life || !process.canRun())
            return;
        process.timers->advanceTo(this->localTime(process));
        this->observeConfiguration(process);
        this->arm(process);
    });
}

void Cluster::run(Process& process, const std::function<void()>& action)
{
    process.timers->updateNow(this->localTime(process));
    action();
    this->observeConfiguration(process);
    this->arm(process);
}

void Cluster::deliver(Process& process, Life life, std::function<void()> action)
{
    if (!process.alive || process.life != life)
        return;
    if (process.frozen)
        process.inbox.push_back(std::move(action));
    else
        this->run(process, action);
}

void Cluster::observeConfiguration(Process& process)
{
    const ConfigUpdate inForce = process.entry ? process.entry->configuration() : process.sidecar->configuration();
    for (const ConfigObject& object : inForce.objects) {
        ObjectVersion& known = process.inForce[{ object.kind, object.name }];
        if (known == object.version)
            continue;
        known = object.version;
        this->world.record(ConfigInForce { process.node, { object.kind, object.name }, object.version });
    }
}

// Starts and ends -----------------------------------------------------------------------------------------------------

void Cluster::start(Process& process)
{
    ++process.life.value;
    ++process.incarnation.value;
    process.alive = true;
    process.frozen = false;
    process.stopping = false;
    process.inForce.clear();
    process.timers = std::make_unique<TimerService>();
    process.timers->updateNow(this->localTime(process));
    this->world.record(ProcessStarted { process.node });
    if (process.isEntry())
        this->makeEntry(process);
    else
        this->makeSidecar(process);
    this->effects.started(process);
    this->run(process, [&process] {
        if (process.entry)
            process.entry->start();
    });
}

void Cluster::makeEntry(Process& process)
{
    EntrySettings settings;
    settings.node = process.node;
    settings.incarnation = process.incarnation;
    settings.domain = process.domain;
    settings.address = process.node.value;
    settings.shardCount = shardCount;
    settings.seed = this->chance.number();
    EntryEffects entryEffects;
    entryEffects.send
        = [this, &process](const NodeId& to, const Message& message) { this->effects.send(process, to, message); };
    entryEffects.reply = [this](CallerTicket ticket, const CallerEvent& event) { this->effects.reply(ticket, event); };
    entryEffects.callObjects = [this, &process](std::uint64_t request, const ObjectRequest& body) {
        this->effects.callObjects(process, request, body);
    };
    entryEffects.logPlacement = [this, &process](const PlacementDecision& decision) {
        this->world.note(process.node.value + " places " + toString(decision.program) + " turn "
            + std::to_string(decision.turn.value) + " on " + decision.choice.value);
    };
    entryEffects.logEvent = [this, &process](const std::string& event, const std::string& detail) {
        this->world.note(process.node.value + " " + event + ": " + detail);
    };
    process.entry = std::make_unique<EntryCore>(settings, *process.timers, entryEffects);
}

void Cluster::makeSidecar(Process& process)
{
    SidecarSettings settings;
    settings.node = process.node;
    settings.incarnation = process.incarnation;
    settings.domain = process.domain;
    settings.service = process.service;
    settings.address = process.node.value;
    settings.modelEngine = process.engine;
    settings.initialConcurrency = 2;
    settings.prefixLease = prefixLease;
    SidecarEffects sidecarEffects;
    sidecarEffects.send
        = [this, &process](const NodeId& to, const Message& message) { this->effects.send(process, to, message); };
    sidecarEffects.startCall = [this, &process](const EndpointCall& call) { this->effects.startCall(process, call); };
    sidecarEffects.cancelCall = [this, &process](OrderId order) { this->effects.cancelCall(process, order); };
    sidecarEffects.releasePrefix
        = [this, &process](ProgramId program) { this->effects.releasePrefix(process, program); };
    sidecarEffects.releaseAllPrefixes = [this, &process] { this->effects.releaseAllPrefixes(process); };
    sidecarEffects.logAdmission = [this, &process](const AdmissionDecision& decision) {
        if (decision.choice == "queue")
            this->world.record(WorkAccepted { process.node });
        this->world.note(process.node.value + " " + decision.choice + " " + toString(decision.program) + " turn "
            + std::to_string(decision.turn.value));
    };
    sidecarEffects.logEvent = [this, &process](const std::string& event, const std::string& detail) {
        this->world.note(process.node.value + " " + event + ": " + detail);
    };
    process.sidecar = std::make_unique<SidecarCore>(settings, *process.timers, sidecarEffects);
}

void Cluster::end(Process& process, bool planned)
{
    if (planned)
        this->world.record(ProcessExited { process.node });
    else
        this->world.record(ProcessDied { process.node });
    process.alive = false;
    process.frozen = false;
    process.inbox.clear();
    if (process.wake)
        this->world.clock.cancel(*process.wake);
    process.wake.reset();
    process.entry.reset();
    process.sidecar.reset();
    process.timers.reset();
    this->effects.ended(process, planned);
}

void Cluster::kill(Process& process) { this->end(process, false); }

void Cluster::freeze(Process& process)
{
    process.frozen = true;
    this->arm(process);
}

void Cluster::thaw(Process& process)
{
    process.frozen = false;
    std::deque<std::function<void()>> inbox;
    inbox.swap(process.inbox);
    // A resumed process may handle its queued input before or after its expired timers, so the trial chooses at random.
    if (this->chance.happens(0.5))
        this->run(process, [] {});
    else
        this->run(process, [this, &process] { process.timers->advanceTo(this->localTime(process)); });
    for (const auto& action : inbox)
        this->run(process, action);
}

void Cluster::stop(Process& process, std::function<void()> exited)
{
    process.stopping = true;
    this->world.record(StopAsked { process.node });
    this->deliver(process, process.life, [&process] {
        if (process.entry)
            process.entry->beginShutdown();
        else
            process.sidecar->beginShutdown();
    });
    this->pollExit(process, process.life, std::move(exited));
}

void Cluster::pollExit(Process& process, Life life, std::function<void()> exited)
{
    this->world.after(exitPoll, [this, &process, life, exited = std::move(exited)] {
        if (!process.alive || process.life != life)
            return;
        const bool drained
            = process.canRun() && (process.entry ? process.entry->isDrained() : process.sidecar->isDrained());
        if (!drained)
            return this->pollExit(process, life, exited);
        this->end(process, true);
        exited();
    });
}

}
