#pragma once

#include "Rattandeck/digest.h"
#include "Rattandeck/entry.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// Simulated environment for tests of `EntryCore`: an object store, links and scripted sidecars in virtual time.
namespace Rattandeck::EntryWorld {

constexpr Milliseconds linkDelay { 1 };
constexpr Milliseconds storeDelay { 2 };

struct Store {
    std::uint64_t revision = 0;
    std::map<ObjectKey, StoredObject> objects;

    ObjectOutcome call(const ObjectRequest& request)
    {
        if (const auto* get = std::get_if<ObjectGet>(&request)) {
            const auto found = this->objects.find(get->key);
            if (found == this->objects.end())
                return tl::unexpected(ObjectError::NotFound);
            return ObjectResult { ObjectVersion(this->revision), { found->second } };
        }
        if (const auto* list = std::get_if<ObjectList>(&request)) {
            ObjectResult result { ObjectVersion(this->revision), {} };
            for (const auto& [key, object] : this->objects) {
                if (key.kind == list->kind)
                    result.objects.push_back(object);
            }
            return result;
        }
        const auto& put = std::get<ObjectPut>(request);
        const auto found = this->objects.find(put.key);
        const ObjectVersion stored = found == this->objects.end() ? ObjectVersion(0) : found->second.version;
        if (stored != put.expected)
            return tl::unexpected(ObjectError::Conflict);
        StoredObject& object = this->objects[put.key];
        object = { put.key, ObjectVersion(++this->revision), false, put.value };
        return ObjectResult { ObjectVersion(this->revision), { object } };
    }

    nlohmann::json value(const std::string& kind, const std::string& name) const
    {
        const auto found = this->objects.find({ kind, name });
        return found == this->objects.end() ? nlohmann::json() : nlohmann::json::parse(found->second.value);
    }
};

/// A sidecar whose behaviour is set by the test.
struct Sidecar {
    Hello hello;
    std::uint64_t sequence = 0;
    std::uint64_t credits = 0;
    std::uint32_t creditCount = 4;
    bool leaving = false;
    /// Orders are answered at once if true; otherwise they remain in `open` until the test finishes them.
    bool answers = true;
    bool crashes = false;
    std::optional<RefusalReason> refusalReason;
    std::vector<std::pair<NodeId, Order>> orders;
    std::map<OrderId, std::pair<NodeId, Order>> open;
    std::map<std::pair<ProgramId, TurnNumber>, TurnRecord> records;
    std::map<ProgramId, ProgramHeader> headers;
    std::set<ProgramId> ended;
    std::map<ShardId, Epoch> fences;
    std::map<ProgramId, std::uint32_t> starts;
    std::vector<CancelOrder> cancels;
};

struct Entry {
    EntrySettings settings;
    std::unique_ptr<EntryCore> core;
    bool storeReachable = true;
    /// The answers to this many of the next updates are lost; the updates themselves take effect.
    int answersToLose = 0;
    /// Delay before updates take effect.
    Milliseconds putDelay { 0 };
    Milliseconds watchDelay { storeDelay };
    /// Each process has its own clock, so that it can be paused separately.
    std::unique_ptr<TimerService> timers;
    bool paused = false;
    std::vector<std::function<void()>> deferredEvents;
};

class World {
public:
    explicit World(std::uint32_t shardCount = 4)
        : shardCount(shardCount)
    {
    }

    TimerService timers;
    Store store;
    std::map<NodeId, Entry> entries;
    std::map<NodeId, Sidecar> sidecars;
    std::set<std::pair<NodeId, NodeId>> cutLinks;
    std::map<CallerTicket, std::vector<CallerEvent>> events;
    std::vector<std::string> log;

    NodeId addEntry(const std::string& name, const std::string& domain, std::uint64_t incarnation = 1)
    {
        NodeId node(name);
        Entry& entry = this->entries[node];
        entry = Entry {};
        entry.settings.node = node;
        entry.settings.domain = FailureDomain(domain);
        entry.settings.incarnation = Incarnation(incarnation);
        entry.settings.address = name + ":1";
        entry.settings.shardCount = this->shardCount;
        EntryEffects effects;
        effects.send = [this, node](const NodeId& to, const Message& message) { this->sendFrom(node, to, message); };
        effects.reply
            = [this](CallerTicket ticket, const CallerEvent& event) { this->events[ticket].push_back(event); };
        effects.callObjects
            = [this, node](std::uint64_t id, const ObjectRequest& request) { this->callStore(node, id, request); };
        effects.logPlacement = [](const PlacementDecision&) {};
        effects.logEvent = [this, name](const std::string& event, const std::string& detail) {
            this->log.push_back(name + ": " + event + ": " + detail);
            if (getenv("WORLD_LOG"))
                std::cerr << this->timers.now().time_since_epoch().count() / 1000000 << " " << this->log.back() << "\n";
        };
        entry.timers = std::make_unique<TimerService>();
        entry.timers->updateNow(this->timers.now());
        entry.core = std::make_unique<EntryCore>(entry.settings, *entry.timers, std::move(effects));
        entry.core->start();
        for (const auto& [other, peer] : this->entries) {
            if (other != node)
                this->link(node, other);
        }
        for (const auto& [other, sidecar] : this->sidecars)
            this->link(node, other);
        return node;
    }

    NodeId addSidecar(const std::string& name, const std::string& domain, const std::string& service = "llm",
        std::uint64_t incarnation = 1)
    {
        NodeId node(name);
        Sidecar& sidecar = this->sidecars[node];
        const std::map<ShardId, Epoch> none;
        sidecar = Sidecar {};
        sidecar.hello.node = node;
        sidecar.hello.role = Role::Sidecar;
        sidecar.hello.incarnation = Incarnation(incarnation);
        sidecar.hello.domain = FailureDomain(domain);
        sidecar.hello.service = ServiceName(service);
        for (const auto& [entry, state] : this->entries)
            this->link(entry, node);
        this->reportAll(node, ++this->reportSeries[node]);
        return node;
    }

    /// Ends the process without a shutdown; its links go down.
    void kill(const NodeId& node)
    {
        this->entries.erase(node);
        this->sidecars.erase(node);
        ++this->reportSeries[node];
        for (auto& [id, entry] : this->entries)
            this->runAt(id, [node](EntryCore& core) { core.onLinkDown(node); });
    }

    void cutLink(const NodeId& a, const NodeId& b)
    {
        this->cutLinks.insert(std::minmax(a, b));
        if (this->entries.contains(a))
            this->entries.at(a).core->onLinkDown(b);
        if (this->entries.contains(b))
            this->entries.at(b).core->onLinkDown(a);
    }

    void restoreLink(const NodeId& a, const NodeId& b)
    {
        this->cutLinks.erase(std::minmax(a, b));
        this->link(a, b);
    }

    void run(Milliseconds time)
    {
        const TimePoint until = this->timers.now() + time;
        while (this->timers.now() < until) {
            this->timers.advanceTo(this->timers.now() + Milliseconds(1));
            for (auto& [node, entry] : this->entries) {
                if (!entry.paused)
                    entry.timers->advanceTo(this->timers.now());
            }
        }
    }

    void pause(const NodeId& node) { this->entries.at(node).paused = true; }
    /// Continues a paused process. It handles the events that arrived during the pause before its own timers.
    void resume(const NodeId& node)
    {
        Entry& entry = this->entries.at(node);
        entry.paused = false;
        entry.timers->updateNow(this->timers.now());
        const auto deferredEvents = std::move(entry.deferredEvents);
        entry.deferredEvents.clear();
        for (const auto& event : deferredEvents)
            event();
    }

    /// Runs `event` at the entry, at once or when a paused entry continues.
    void runAt(const NodeId& node, const std::function<void(EntryCore&)>& event)
    {
        const auto found = this->entries.find(node);
        if (found == this->entries.end())
            return;
        if (found->second.paused) {
            found->second.deferredEvents.push_back([this, node, event] { this->runAt(node, event); });
            return;
        }
        event(*found->second.core);
    }

    CallerTicket sendRequest(const NodeId& entry, CallerRequest request)
    {
        const CallerTicket ticket(++this->lastTicket);
        request.organisation = OrganisationId("org");
        this->entries.at(entry).core->onCallerRequest(ticket, std::move(request));
        return ticket;
    }

    /// Returns the final event, or null if there is none yet.
    const CallerEvent* finalEvent(CallerTicket ticket)
    {
        const std::vector<CallerEvent>& received = this->events[ticket];
        if (received.empty() || std::holds_alternative<AnswerTokens>(received.back()))
            return nullptr;
        return &received.back();
    }
    const AnswerDone* done(CallerTicket ticket)
    {
        const CallerEvent* event = this->finalEvent(ticket);
        return event ? std::get_if<AnswerDone>(event) : nullptr;
    }
    const Problem* problem(CallerTicket ticket)
    {
        const CallerEvent* event = this->finalEvent(ticket);
        return event ? std::get_if<Problem>(event) : nullptr;
    }

    AnswerDone open(const NodeId& entry, std::int64_t budget = 100000)
    {
        CallerRequest request;
        request.kind = CallKind::OpenProgram;
        request.service = ServiceName("llm");
        request.budget = TokenCount(budget);
        const CallerTicket ticket = this->sendRequest(entry, request);
        this->run(Milliseconds(50));
        const AnswerDone* answer = this->done(ticket);
        return answer ? *answer : AnswerDone {};
    }

    static CallerRequest callOf(const ProgramId& program, const std::string& input)
    {
        CallerRequest request;
        request.program = program;
        request.input = input;
        request.maxOutputTokens = TokenCount(10);
        request.timeLeft = Milliseconds(5000);
        return request;
    }

    /// Ends an open order at the sidecar with the given outcome.
    void finish(const NodeId& node, OrderId id, RecordState state = RecordState::Finished, bool crashed = false)
    {
        Sidecar& sidecar = this->sidecars.at(node);
        const auto [home, order] = sidecar.open.at(id);
        sidecar.open.erase(id);
        TurnRecord& record = sidecar.records.at({ order.program.id, order.turn });
        record.state = state;
        record.charged = TokenCount(order.inputTokens.value + 5);
        if (state == RecordState::Finished) {
            record.output = "<" + order.input + ">";
            record.headAfter = chainDigest(record.headBefore, record.turn, record.input, record.output);
        }
        OrderEnded ended;
        ended.id = id;
        ended.record = record;
        ended.endpointCrashed = crashed;
        this->sendFrom(node, home, ended);
    }

    std::uint32_t ownedShardCount(const NodeId& entry) { return this->entries.at(entry).core->status().ownedShards; }

    /// Sends a message over the link; messages of one link arrive in the order in which they were sent.
    void sendFrom(const NodeId& from, const NodeId& to, const Message& message)
    {
        if (this->cutLinks.contains(std::minmax(from, to)))
            return;
        this->timers.subscribeAfter(linkDelay, [this, from, to, message] { this->deliver(from, to, message); });
    }

private:
    void link(const NodeId& entry, const NodeId& other)
    {
        if (!this->entries.contains(entry))
            return this->link(other, entry);
        if (this->cutLinks.contains(std::minmax(entry, other)))
            return;
        Entry& end = this->entries.at(entry);
        if (this->sidecars.contains(other)) {
            end.core->onLinkUp(this->sidecars.at(other).hello);
            this->report(other, entry);
            return;
        }
        Entry& peer = this->entries.at(other);
        end.core->onLinkUp(helloOf(peer));
        peer.core->onLinkUp(helloOf(end));
    }

    static Hello helloOf(const Entry& entry)
    {
        Hello hello;
        hello.node = entry.settings.node;
        hello.incarnation = entry.settings.incarnation;
        hello.domain = entry.settings.domain;
        hello.address = entry.settings.address;
        return hello;
    }

    void report(const NodeId& node, const NodeId& entry)
    {
        Sidecar& sidecar = this->sidecars.at(node);
        LoadReport report;
        report.sequence = ++sidecar.sequence;
        report.service = sidecar.hello.service;
        report.leaving = sidecar.leaving;
        report.limit = sidecar.creditCount;
        if (!sidecar.leaving && sidecar.creditCount > 0)
            report.credits = { CreditId(++sidecar.credits), sidecar.creditCount, Milliseconds(3000) };
        this->sendFrom(node, entry, report);
    }

    void reportAll(const NodeId& node, std::uint64_t series)
    {
        if (!this->sidecars.contains(node) || this->reportSeries[node] != series)
            return;
        for (const auto& [entry, state] : this->entries)
            this->report(node, entry);
        this->timers.subscribeAfter(Milliseconds(1000), [this, node, series] { this->reportAll(node, series); });
    }

    void callStore(const NodeId& node, std::uint64_t id, const ObjectRequest& request)
    {
        const std::uint64_t process = this->entries.at(node).settings.incarnation.value;
        const auto answer = [this, node, process, id](const ObjectOutcome& outcome) {
            this->timers.subscribeAfter(storeDelay, [this, node, process, id, outcome] {
                const auto entry = this->entries.find(node);
                if (entry != this->entries.end() && entry->second.settings.incarnation.value == process)
                    this->runAt(node, [id, outcome](EntryCore& core) { core.onObjectOutcome(id, outcome); });
            });
        };
        Entry& entry = this->entries.at(node);
        if (!entry.storeReachable)
            return answer(tl::unexpected(ObjectError::Unavailable));
        const bool isPut = std::holds_alternative<ObjectPut>(request);
        if (isPut && entry.putDelay.count() > 0) {
            this->timers.subscribeAfter(entry.putDelay, [this, request, answer] {
                const ObjectOutcome late = this->store.call(request);
                if (late)
                    this->notifyWatchers(late->objects.front());
                answer(late);
            });
            return;
        }
        const ObjectOutcome outcome = this->store.call(request);
        if (isPut && outcome)
            this->notifyWatchers(outcome->objects.front());
        if (isPut && entry.answersToLose > 0) {
            --entry.answersToLose;
            return;
        }
        answer(outcome);
    }

    void notifyWatchers(const StoredObject& object)
    {
        for (const auto& [node, entry] : this->entries) {
            this->timers.subscribeAfter(entry.watchDelay, [this, node = node, object] {
                const auto found = this->entries.find(node);
                if (found != this->entries.end() && found->second.storeReachable)
                    this->runAt(node, [object](EntryCore& core) { core.onObjectChanged(object, object.version); });
            });
        }
    }

    void deliver(const NodeId& from, const NodeId& to, const Message& message)
    {
        if (this->cutLinks.contains(std::minmax(from, to)))
            return;
        const auto entry = this->entries.find(to);
        const bool fromLives = this->entries.contains(from) || this->sidecars.contains(from);
        if (entry != this->entries.end() && fromLives)
            this->runAt(to, [from, message](EntryCore& core) { core.onMessage(from, message); });
        if (this->sidecars.contains(to))
            this->onSidecarMessage(this->sidecars.at(to), from, message);
    }

    void onSidecarMessage(Sidecar& sidecar, const NodeId& from, const Message& message)
    {
        if (const auto* order = std::get_if<Order>(&message))
            this->onOrder(sidecar, from, *order);
        else if (const auto* recovery = std::get_if<RecoveryRequest>(&message))
            this->answerRecovery(sidecar, from, *recovery);
        else if (const auto* copy = std::get_if<CopyRecords>(&message)) {
            for (const ProgramHeader& header : copy->programs)
                sidecar.headers[header.id] = header;
            for (const TurnRecord& record : copy->records)
                sidecar.records[{ record.program, record.turn }] = record;
            this->sendFrom(sidecar.hello.node, from, CopyAnswer { copy->copy, false });
        } else if (const auto* release = std::get_if<ReleaseProgram>(&message)) {
            if (release->ended)
                sidecar.ended.insert(release->program);
        } else if (const auto* cancel = std::get_if<CancelOrder>(&message))
            sidecar.cancels.push_back(*cancel);
    }

    void onOrder(Sidecar& sidecar, const NodeId& from, const Order& order)
    {
        Epoch& fence = sidecar.fences[order.shard];
        sidecar.orders.emplace_back(from, order);
        if (order.epoch < fence)
            return this->sendFrom(sidecar.hello.node, from, OrderRefused { order.id, RefusalReason::StaleEpoch });
        fence = order.epoch;
        const auto known = sidecar.records.find({ order.program.id, order.turn });
        if (known != sidecar.records.end()) {
            if (known->second.state != RecordState::Started) {
                OrderEnded ended;
                ended.id = order.id;
                ended.record = known->second;
                this->sendFrom(sidecar.hello.node, from, ended);
            }
            return;
        }
        if (sidecar.refusalReason)
            return this->sendFrom(sidecar.hello.node, from, OrderRefused { order.id, *sidecar.refusalReason });
        ++sidecar.starts[order.program.id];
        TurnRecord record;
        record.program = order.program.id;
        record.turn = order.turn;
        record.attempt = order.attempt;
        record.epoch = order.epoch;
        record.service = order.service;
        record.key = order.key;
        record.idempotent = order.idempotent;
        record.request = order.request;
        record.input = order.input;
        record.charged = order.reserved;
        record.headBefore = order.headBefore;
        sidecar.records[{ order.program.id, order.turn }] = record;
        sidecar.headers[order.program.id] = order.program;
        sidecar.open[order.id] = { from, order };
        if (sidecar.crashes)
            this->finish(sidecar.hello.node, order.id, RecordState::Failed, true);
        else if (sidecar.answers)
            this->finish(sidecar.hello.node, order.id);
    }

    void answerRecovery(Sidecar& sidecar, const NodeId& from, const RecoveryRequest& request)
    {
        RecoveryAnswer answer;
        answer.shard = request.shard;
        answer.epoch = request.epoch;
        answer.incarnation = sidecar.hello.incarnation;
        Epoch& fence = sidecar.fences[request.shard];
        answer.refused = request.epoch < fence;
        fence = std::max(fence, request.epoch);
        for (const auto& [id, header] : sidecar.headers) {
            if (id.shard == request.shard)
                answer.programs.push_back(header);
        }
        for (const auto& [key, record] : sidecar.records) {
            if (key.first.shard == request.shard)
                answer.records.push_back(record);
        }
        for (auto& [id, open] : sidecar.open) {
            const auto& record = sidecar.records.at({ open.second.program.id, open.second.turn });
            if (open.second.shard == request.shard) {
                answer.running.push_back({ id, record });
                open.first = from;
            }
        }
        this->sendFrom(sidecar.hello.node, from, answer);
    }

    std::uint32_t shardCount;
    std::uint64_t lastTicket = 0;
    std::map<NodeId, std::uint64_t> reportSeries;
};

}
