#include "entryimpl.h"

#include "Rattandeck/digest.h"

#include <type_traits>

namespace Rattandeck {

// Basics -----------------------------------------------------------------------------------------------------------

namespace {

    // Order ids are unique across entries and processes: the upper bits are a hash of the process, the lower ones a
    // count.
    constexpr unsigned orderCountBits = 40;

    std::uint64_t orderBaseOf(const EntrySettings& settings)
    {
        const std::uint64_t process = hash64(settings.node.value, settings.incarnation.value);
        return process << orderCountBits;
    }

    bool isFinal(const CallerEvent& event) { return !std::holds_alternative<AnswerTokens>(event); }

}

Ran ranIfRefused(const CallerRequest& request)
{
    const bool mayBeRepeat = !request.key.value.empty() || request.turn.value != 0;
    return mayBeRepeat ? Ran::Unknown : Ran::No;
}

EntryCore::Impl::Impl(EntrySettings settings, TimerService& timers, EntryEffects effects)
    : settings(std::move(settings))
    , timers(timers)
    , effects(std::move(effects))
    , promises(timers.now(), this->settings.promiseLifetime)
    , orderBase(orderBaseOf(this->settings))
{
    this->retryBudget.ratio = this->settings.retryBudget;
}

TimerId EntryCore::Impl::after(Duration delay, std::function<void()> callback)
{
    return this->timers.subscribeAfter(
        delay, [guard = std::weak_ptr<int>(this->lifetimeGuard), callback = std::move(callback)] {
            if (!guard.expired())
                callback();
        });
}

std::uint64_t EntryCore::Impl::nextRandomSeed()
{
    return hash64(this->settings.node.value, this->settings.seed + ++this->seedsDrawn);
}

void EntryCore::Impl::send(const NodeId& to, const Message& message)
{
    const auto found = this->nodes.find(to);
    if (found != this->nodes.end() && found->second.linked)
        this->effects.send(to, message);
}

void EntryCore::Impl::reply(const Caller& caller, const CallerEvent& event)
{
    if (isFinal(event))
        this->callers.erase(caller);
    if (!caller.peer.value.empty()) {
        this->send(caller.peer, ForwardEvent { caller.ticket, event });
        return;
    }
    if (!this->tickets.contains(caller.ticket))
        return;
    if (isFinal(event))
        this->tickets.erase(caller.ticket);
    this->effects.reply(caller.ticket, event);
}

void EntryCore::Impl::replyAll(const std::vector<Caller>& callers, const CallerEvent& event)
{
    // Iterates by index, since a reply may cause the next request to arrive, which may append to the list.
    for (std::size_t i = 0; i < callers.size(); ++i)
        this->reply(callers[i], event);
}

void EntryCore::Impl::refuse(
    const Caller& caller, ProblemKind kind, Ran ran, Milliseconds retryAfter, const std::string& detail)
{
    this->reply(caller, Problem { kind, ran, retryAfter, detail });
}

void EntryCore::Impl::runPeriodicChecks()
{
    this->after(periodicCheckInterval, [this] { this->runPeriodicChecks(); });
    this->renewLease();
    this->requestPromises();
    this->checkMembers();
    this->checkReplicas();
    this->checkShards();
    if (this->now() >= this->configListedAt + listInterval || !this->hasConfigList)
        this->readConfig();
    this->releaseLease();
    this->purgeReplicas();
    for (auto& [shard, home] : this->shards)
        this->purgeEnded(home);
    for (auto& [service, queue] : this->queues) {
        const double perSecond = queue.placedInInterval / std::chrono::duration<double>(periodicCheckInterval).count();
        queue.placedPerSecond = (queue.placedPerSecond + perSecond) / 2;
        queue.placedInInterval = 0;
    }
}

// Messages ---------------------------------------------------------------------------------------------------------

void EntryCore::Impl::dispatch(const NodeId& from, const Message& message)
{
    std::visit(
        [&](const auto& body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, OrderTokens>)
                this->onOrderTokens(from, body);
            else if constexpr (std::is_same_v<Body, OrderEnded>)
                this->onOrderEnded(from, body);
            else if constexpr (std::is_same_v<Body, OrderRefused>)
                this->onOrderRefused(from, body);
            else if constexpr (std::is_same_v<Body, LoadReport>)
                this->onLoadReport(from, body);
            else if constexpr (std::is_same_v<Body, RecoveryRequest>)
                this->onRecoveryRequest(from, body);
            else if constexpr (std::is_same_v<Body, RecoveryAnswer>)
                this->onRecoveryAnswer(from, body);
            else if constexpr (std::is_same_v<Body, CopyRecords>)
                this->onCopyRecords(from, body);
            else if constexpr (std::is_same_v<Body, CopyAnswer>)
                this->onCopyAnswer(from, body);
            else if constexpr (std::is_same_v<Body, ReleaseProgram>)
                this->onReleaseProgram(body);
            else if constexpr (std::is_same_v<Body, PromiseRequest>)
                this->onPromiseRequest(from, body);
            else if constexpr (std::is_same_v<Body, PromiseAnswer>)
                this->onPromiseAnswer(from, body);
            else if constexpr (std::is_same_v<Body, PromiseReleaseRequest>)
                this->onPromiseReleaseRequest(from, body);
            else if constexpr (std::is_same_v<Body, PromiseReleaseAnswer>)
                this->onPromiseReleaseAnswer(from, body);
            else if constexpr (std::is_same_v<Body, ConfigUpdate>)
                this->onConfigUpdate(from, body);
            else if constexpr (std::is_same_v<Body, ForwardRequest>)
                this->route({ from, body.ticket }, body.request, true);
            else if constexpr (std::is_same_v<Body, ForwardCancel>)
                this->onCallerDisconnected({ from, body.ticket });
            else if constexpr (std::is_same_v<Body, ForwardEvent>) {
                const auto found = this->forwarded.find(body.ticket);
                if (found == this->forwarded.end() || found->second.home != from)
                    return;
                if (isFinal(body.event)) {
                    this->timers.cancel(found->second.timer);
                    this->forwarded.erase(found);
                }
                this->reply({ {}, body.ticket }, body.event);
            }
            // Other messages are sent to sidecars only, or arrive before the link is up.
        },
        message);
}

// Links ------------------------------------------------------------------------------------------------------------

void EntryCore::onLinkUp(const Hello& hello)
{
    Impl& entry = *this->impl;
    Impl::Node& node = entry.nodes[hello.node];
    if (node.linked)
        this->onLinkDown(hello.node);
    const bool known = node.hello.node == hello.node;
    const bool isSameProcess = known && node.hello.incarnation == hello.incarnation;
    if (known && !isSameProcess)
        entry.markProcessLost(node.process);
    node.hello = hello;
    node.linked = true;
    node.isLeaving = false;
    node.process = entry.processIndexOf(hello.node, hello.incarnation, hello.domain);
    entry.processes[node.process.value].lost = false;

    // Changes sent on a link that broke may be lost, even if the peer has seen a later revision since.
    entry.sendConfig(hello.node, entry.config.all());
    if (hello.role == Role::Sidecar) {
        entry.sidecarPool.onLinkUp(hello);
        entry.registerSidecar(hello.node);
        entry.onSidecarLinked(hello.node, isSameProcess);
    } else {
        entry.entryNodes.insert(hello.node);
        entry.sendMap(hello.node);
    }
    for (const auto& [shard, recovery] : entry.recoveries)
        entry.send(hello.node, RecoveryRequest { shard, recovery.epoch });
    for (const auto& [shard, nodes] : entry.unansweredProcesses) {
        const auto home = entry.shards.find(shard);
        if (home != entry.shards.end() && nodes.contains(hello.node))
            entry.send(hello.node, RecoveryRequest { shard, home->second.epoch });
    }
    for (const ReleaseProgram& release : entry.unsentReleases[hello.node])
        entry.send(hello.node, release);
    entry.unsentReleases.erase(hello.node);
}

void EntryCore::onLinkDown(const NodeId& node)
{
    Impl& entry = *this->impl;
    const auto found = entry.nodes.find(node);
    if (found == entry.nodes.end() || !found->second.linked)
        return;
    found->second.linked = false;
    found->second.downSince = entry.now();
    if (found->second.isLeaving)
        entry.checkMembers();
    const ProcessIndex process = found->second.process;
    entry.after(reconnectTimeout, [&entry, node, process] {
        const Impl::Node& later = entry.nodes.at(node);
        if (!later.linked && later.process == process)
            entry.markProcessLost(process);
    });
    entry.sidecarPool.onLinkDown(node);
    entry.onSidecarUnlinked(node);

    std::vector<CallerTicket> lost;
    for (const auto& [ticket, forwardedRequest] : entry.forwarded) {
        if (forwardedRequest.home == node)
            lost.push_back(ticket);
    }
    for (const CallerTicket ticket : lost) {
        const Ran ran = entry.forwarded.at(ticket).ranIfLost;
        entry.timers.cancel(entry.forwarded.at(ticket).timer);
        entry.forwarded.erase(ticket);
        entry.refuse({ {}, ticket }, ProblemKind::NotServing, ran, takeoverRetryDelay, "the program's home was lost");
    }
    std::vector<Caller> disconnected;
    for (const auto& [caller, program] : entry.callers) {
        if (caller.peer == node)
            disconnected.push_back(caller);
    }
    for (const Caller& caller : disconnected)
        entry.onCallerDisconnected(caller);
}

// Public class -----------------------------------------------------------------------------------------------------

EntryCore::EntryCore(EntrySettings settings, TimerService& timers, EntryEffects effects)
    : impl(std::make_unique<Impl>(std::move(settings), timers, std::move(effects)))
{
}

EntryCore::~EntryCore() = default;

void EntryCore::start()
{
    Impl& entry = *this->impl;
    entry.started = true;
    entry.startedAt = entry.now();
    entry.promises = PromiseTable(entry.now(), entry.settings.promiseLifetime);
    entry.runPeriodicChecks();
}

void EntryCore::onCallerRequest(CallerTicket ticket, CallerRequest request)
{
    this->impl->tickets.insert(ticket);
    this->impl->route({ {}, ticket }, std::move(request), false);
}

void EntryCore::onCallerDisconnected(CallerTicket ticket)
{
    Impl& entry = *this->impl;
    entry.tickets.erase(ticket);
    const auto found = entry.forwarded.find(ticket);
    if (found == entry.forwarded.end()) {
        entry.onCallerDisconnected({ {}, ticket });
        return;
    }
    entry.timers.cancel(found->second.timer);
    entry.send(found->second.home, ForwardCancel { ticket });
    entry.forwarded.erase(found);
}

void EntryCore::onMessage(const NodeId& from, const Message& message) { this->impl->dispatch(from, message); }

void EntryCore::onObjectOutcome(std::uint64_t request, const ObjectOutcome& outcome)
{
    this->impl->finishObjectCall(request, outcome);
}

void EntryCore::onObjectChanged(const StoredObject& object, ObjectVersion /*revision*/)
{
    this->impl->onObjectChanged(object);
}

void EntryCore::onInstanceList(const std::vector<ListedInstance>& instances)
{
    Impl& entry = *this->impl;
    std::set<NodeId> leaving;
    entry.listedNodes.clear();
    for (const ListedInstance& instance : instances) {
        entry.listedNodes.insert(instance.node);
        if (instance.leaving)
            leaving.insert(instance.node);
    }
    entry.hasInstanceList = true;
    entry.sidecarPool.setLeavingNodes(std::move(leaving));
}

void EntryCore::beginShutdown()
{
    this->impl->isShuttingDown = true;
    this->impl->shutdownStartedAt = this->impl->now();
    this->impl->log("shutdown begins", "new requests are refused");
    this->impl->releaseLease();
}

bool EntryCore::isDrained() const
{
    const Impl& entry = *this->impl;
    return entry.isShuttingDown && entry.isLeaseReleased && entry.tickets.empty() && entry.isTakeoverComplete();
}

std::vector<ProgramHeader> EntryCore::openPrograms() const
{
    std::vector<ProgramHeader> open;
    for (const auto& [shard, home] : this->impl->shards) {
        for (const auto& [id, program] : home.programs) {
            if (!program.ended)
                open.push_back(program.header);
        }
    }
    return open;
}

ConfigUpdate EntryCore::configuration() const { return this->impl->config.all(); }

EntryStatus EntryCore::status() const
{
    const Impl& entry = *this->impl;
    EntryStatus status = entry.counters;
    // Programs can be opened once any shard has a home, which may be this entry or another.
    const bool anyHome = std::any_of(
        entry.map.slots.begin(), entry.map.slots.end(), [](const ShardSlot& slot) { return !slot.home.value.empty(); });
    status.isServing = entry.hasAuthority() && anyHome;
    status.reliesOnPromises = status.isServing && entry.lease.reliesOnPromises(entry.now());
    status.ownedShards = 0;
    status.openPrograms = 0;
    for (const auto& [shard, home] : entry.shards) {
        if (home.isServing)
            ++status.ownedShards;
        status.openPrograms += static_cast<std::uint32_t>(home.programs.size() - home.ended.size());
    }
    status.configRevision = std::max(entry.config.revision(), entry.config.highestVersion());
    return status;
}

}
