#include "localsystem.h"

#include "Rattandeck/wire.h"

#include <ctime>

using namespace Rattandeck;

namespace {

constexpr Milliseconds linkDelay { 2 };
constexpr Milliseconds storeDelay { 5 };
constexpr Milliseconds callTime { 20 };

std::chrono::nanoseconds processorTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

}

LocalSystem::LocalSystem(std::uint32_t shards)
    : shardCount(shards)
{
    // Time 0 stands for a lease that has always been expired, so the clock starts later.
    this->timers.advanceTo(TimePoint(std::chrono::hours(1)));
}

// Processes ----------------------------------------------------------------------------------------------------------

void LocalSystem::runAs(const NodeId& node, const std::function<void()>& work)
{
    if (!this->entries.contains(node) && !this->sidecars.contains(node))
        return;
    const auto begun = processorTime();
    this->nodeTimers.at(node)->updateNow(this->timers.now());
    work();
    this->nodeUsage[node].processorTime += processorTime() - begun;
}

TimerService& LocalSystem::addNodeTimers(const NodeId& node)
{
    auto& clock = this->nodeTimers[node];
    clock = std::make_unique<TimerService>();
    clock->updateNow(this->timers.now());
    return *clock;
}

NodeId LocalSystem::addEntry(const std::string& name, const std::string& domain)
{
    NodeId node(name);
    EntrySettings settings;
    settings.node = node;
    settings.incarnation = Incarnation(this->hellos.size() + 1);
    settings.domain = FailureDomain(domain);
    settings.address = name + ":1";
    settings.shardCount = this->shardCount;
    EntryEffects effects;
    effects.send = [this, node](const NodeId& to, const Message& message) { this->send(node, to, message); };
    effects.reply = [this](CallerTicket ticket, const CallerEvent& event) {
        if (!std::holds_alternative<AnswerTokens>(event))
            this->answers.emplace(ticket, event);
    };
    effects.callObjects = [this, node](std::uint64_t id, const ObjectRequest& request) {
        this->timers.subscribeAfter(storeDelay, [this, node, id, request] {
            const ObjectOutcome outcome = this->callStore(request);
            this->timers.subscribeAfter(storeDelay, [this, node, id, outcome] {
                this->runAs(node, [&] { this->entries.at(node)->onObjectOutcome(id, outcome); });
            });
        });
    };
    effects.logPlacement = [](const PlacementDecision&) {};
    effects.logEvent = [](const std::string&, const std::string&) {};

    Hello hello;
    hello.node = node;
    hello.role = Role::Entry;
    hello.incarnation = settings.incarnation;
    hello.domain = settings.domain;
    hello.address = settings.address;
    this->hellos[node] = hello;
    this->entries[node] = std::make_unique<EntryCore>(settings, this->addNodeTimers(node), std::move(effects));
    this->runAs(node, [&] { this->entries.at(node)->start(); });
    for (const auto& [other, known] : this->hellos) {
        if (other != node)
            this->link(node, other);
    }
    return node;
}

NodeId LocalSystem::addSidecar(const std::string& name, const std::string& domain)
{
    NodeId node(name);
    SidecarSettings settings;
    settings.node = node;
    settings.incarnation = Incarnation(this->hellos.size() + 1);
    settings.domain = FailureDomain(domain);
    settings.service = ServiceName("model");
    settings.address = name + ":1";
    SidecarEffects effects;
    effects.send = [this, node](const NodeId& to, const Message& message) { this->send(node, to, message); };
    effects.startCall = [this, node](const EndpointCall& call) {
        this->timers.subscribeAfter(callTime, [this, node, order = call.order] {
            const EndpointResult result { std::string(400, 'a'), TokenCount(100), TokenCount(0), TokenCount(100) };
            this->runAs(node, [&] { this->sidecars.at(node)->onEndpointFinished(order, result); });
        });
    };
    effects.cancelCall = [](OrderId) {};
    effects.releasePrefix = [](ProgramId) {};
    effects.logAdmission = [](const AdmissionDecision&) {};
    effects.logEvent = [](const std::string&, const std::string&) {};

    Hello hello;
    hello.node = node;
    hello.role = Role::Sidecar;
    hello.incarnation = settings.incarnation;
    hello.domain = settings.domain;
    hello.service = settings.service;
    hello.address = settings.address;
    this->hellos[node] = hello;
    this->sidecars[node] = std::make_unique<SidecarCore>(settings, this->addNodeTimers(node), std::move(effects));
    for (const auto& [other, core] : this->entries)
        this->link(node, other);
    return node;
}

void LocalSystem::kill(const NodeId& node)
{
    if (const auto found = this->entries.find(node); found != this->entries.end())
        this->entries.erase(found);
    if (const auto found = this->sidecars.find(node); found != this->sidecars.end())
        this->sidecars.erase(found);
    this->hellos.erase(node);
    this->nodeTimers.erase(node);
    for (const auto& [other, core] : this->entries)
        this->runAs(other, [&, entry = core.get()] { entry->onLinkDown(node); });
    for (const auto& [other, core] : this->sidecars)
        this->runAs(other, [&, sidecar = core.get()] { sidecar->onLinkDown(node); });
}

// Links --------------------------------------------------------------------------------------------------------------

void LocalSystem::link(const NodeId& a, const NodeId& b)
{
    const bool bothSidecars = this->sidecars.contains(a) && this->sidecars.contains(b);
    if (bothSidecars)
        return;
    this->deliverHello(a, this->hellos.at(b));
    this->deliverHello(b, this->hellos.at(a));
}

void LocalSystem::deliverHello(const NodeId& to, const Hello& hello)
{
    this->timers.subscribeAfter(linkDelay, [this, to, hello] {
        this->runAs(to, [&] {
            if (const auto found = this->entries.find(to); found != this->entries.end())
                found->second->onLinkUp(hello);
            else
                this->sidecars.at(to)->onLinkUp(hello);
        });
    });
}

void LocalSystem::send(const NodeId& from, const NodeId& to, const Message& message)
{
    std::string bytes = encode(message);
    for (ResourceUsage* account : { &this->nodeUsage[from], &this->kindUsage[message.index()] }) {
        ++account->messages;
        account->bytes += bytes.size();
    }
    this->timers.subscribeAfter(
        linkDelay, [this, from, to, bytes = std::move(bytes)] { this->deliver(from, to, bytes); });
}

void LocalSystem::deliver(const NodeId& from, const NodeId& to, const std::string& bytes)
{
    this->runAs(to, [&] {
        const auto message = decode(bytes);
        if (!message)
            return;
        if (const auto found = this->entries.find(to); found != this->entries.end())
            found->second->onMessage(from, *message);
        else
            this->sidecars.at(to)->onMessage(from, *message);
    });
}

// Store --------------------------------------------------------------------------------------------------------------

ObjectOutcome LocalSystem::put(const ObjectPut& put)
{
    ++this->calls.writes;
    const auto found = this->objects.find(put.key);
    const ObjectVersion stored = found == this->objects.end() ? ObjectVersion(0) : found->second.version;
    if (stored != put.expected)
        return tl::unexpected(ObjectError::Conflict);
    StoredObject& object = this->objects[put.key];
    object = { put.key, ObjectVersion(++this->revision), false, put.value };
    this->notifyWatches(object);
    return ObjectResult { ObjectVersion(this->revision), { object } };
}

ObjectOutcome LocalSystem::callStore(const ObjectRequest& request)
{
    if (const auto* update = std::get_if<ObjectPut>(&request))
        return this->put(*update);
    ++this->calls.reads;
    ObjectResult result { ObjectVersion(this->revision), {} };
    if (const auto* get = std::get_if<ObjectGet>(&request)) {
        const auto found = this->objects.find(get->key);
        if (found == this->objects.end())
            return tl::unexpected(ObjectError::NotFound);
        result.objects.push_back(found->second);
        return result;
    }
    for (const auto& [key, object] : this->objects) {
        if (key.kind == std::get<ObjectList>(request).kind)
            result.objects.push_back(object);
    }
    return result;
}

void LocalSystem::notifyWatches(const StoredObject& object)
{
    for (const auto& [node, core] : this->entries) {
        ++this->calls.watchEvents;
        this->timers.subscribeAfter(storeDelay, [this, node = node, object] {
            this->runAs(node, [&] { this->entries.at(node)->onObjectChanged(object, object.version); });
        });
    }
}

void LocalSystem::storeObject(const ObjectKey& key, const std::string& value)
{
    const auto found = this->objects.find(key);
    this->put({ key, found == this->objects.end() ? ObjectVersion(0) : found->second.version, value });
}

// Callers ------------------------------------------------------------------------------------------------------------

CallerTicket LocalSystem::sendRequest(const NodeId& entry, CallerRequest request)
{
    const CallerTicket ticket(++this->lastTicket);
    this->runAs(entry, [&] { this->entries.at(entry)->onCallerRequest(ticket, std::move(request)); });
    return ticket;
}

std::optional<NodeId> LocalSystem::nextProcess(TimePoint until) const
{
    std::optional<NodeId> next;
    TimePoint earliest = std::min(this->timers.nextDue().value_or(until), until);
    for (const auto& [node, clock] : this->nodeTimers) {
        const auto due = clock->nextDue();
        if (due && *due < earliest) {
            earliest = *due;
            next = node;
        }
    }
    return next;
}

void LocalSystem::run(Milliseconds time)
{
    const TimePoint until = this->timers.now() + time;
    while (true) {
        if (const auto node = this->nextProcess(until)) {
            const TimePoint due = *this->nodeTimers.at(*node)->nextDue();
            this->timers.updateNow(due);
            this->runAs(*node, [&] { this->nodeTimers.at(*node)->advanceTo(due); });
            continue;
        }
        const auto due = this->timers.nextDue();
        if (!due || *due > until)
            break;
        this->timers.advanceTo(*due);
    }
    this->timers.advanceTo(until);
}

std::optional<CallerEvent> LocalSystem::await(CallerTicket ticket, Milliseconds limit)
{
    const TimePoint until = this->timers.now() + limit;
    while (!this->answers.contains(ticket) && this->timers.now() < until)
        this->run(linkDelay);
    const auto found = this->answers.find(ticket);
    if (found == this->answers.end())
        return std::nullopt;
    return found->second;
}
