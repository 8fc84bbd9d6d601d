#include "daemon.h"

#include "callerapi.h"
#include "decisions.h"
#include "RattandeckApp/commandline.h"
#include "RattandeckApp/daemon.h"
#include "RattandeckApp/memory.h"
#include "RattandeckApp/objectclient.h"
#include "RattandeckNet/peer.h"

#include <csignal>
#include <set>

using namespace Rattandeck;
using namespace RattandeckApp;
using namespace RattandeckNet;

// Settings -----------------------------------------------------------------------------------------------------------

void bindSettings(SettingsSchema& schema, DaemonSettings& s)
{
    bindIdentity(schema, s.instance);

    schema.addAddress("callers.listen", s.callersListen, "address for callers (HTTP)");
    schema.addInteger(
        "callers.max_connections", s.maxConnections, 1, 100000, "maximum number of open caller connections");
    schema.addInteger("callers.max_body_bytes", s.maxBodyBytes, 1024, 64 << 20, "maximum size of a request body");
    bindAdmin(schema, s.instance, "health, metrics and explain");
    schema.addInteger("admin.decisions_kept", s.decisionsKept, 0, 1000000, "placement decisions kept for explain");
    bindPeers(schema, s.instance, "entries and sidecars");
    bindMemory(schema, s.instance.memoryLimitMb);

    schema.addAddress("platform.object_api", s.objectApi, "address of the object API");
    schema.addAddress("platform.instance_list", s.instanceList, "address of the instance list");
    schema.addMilliseconds("platform.instance_list_interval_ms", s.instanceListInterval, Milliseconds(100),
        Milliseconds(60000), "interval between reads of the instance list");
    schema.addMilliseconds("platform.call_timeout_ms", s.core.objectCallTimeout, Milliseconds(50), Milliseconds(30000),
        "time-out of a call to the object API");

    schema.addInteger("shards.count", s.shardCount, 1, 4096, "shards of the system; the same everywhere");
    schema.addMilliseconds("lease.duration_ms", s.core.leaseDuration, Milliseconds(300), Milliseconds(120000),
        "lease duration; the lease is renewed every third of it");
    schema.addMilliseconds("lease.clock_margin_ms", s.core.clockMargin, Milliseconds(0), Milliseconds(10000),
        "added by observers of a lease to allow for clock drift");
    schema.addMilliseconds("lease.promise_life_ms", s.core.promiseLifetime, Milliseconds(100), Milliseconds(60000),
        "validity of grantors' promises while the object API is unreachable");
    schema.addMilliseconds("lease.credit_life_ms", s.core.creditLifetime, Milliseconds(100), Milliseconds(60000),
        "validity of credits; at least the value that the sidecars use");
    schema.addMilliseconds("lease.census_timeout_ms", s.core.recoveryTimeout, Milliseconds(50), Milliseconds(60000),
        "maximum wait for the answers of members after a takeover");

    schema.addNumber("calls.retry_ratio", s.core.retryBudget, 0, 1, "maximum ratio of retries to first attempts");
    schema.addInteger(
        "calls.crash_limit", s.crashLimit, 1, 100, "endpoint crashes after which a request is quarantined");
    schema.addMilliseconds("calls.queue_limit_ms", s.core.queueLimit, Milliseconds(0), Milliseconds(600000),
        "maximum wait for capacity before a call is refused");
    schema.addInteger("seed", s.seed, 0, INT64_MAX, "seed of the random generator for placement");

    bindLog(schema, s.instance.log);
}

// The running entry --------------------------------------------------------------------------------------------------

namespace {

EntrySettings coreSettings(const DaemonSettings& settings)
{
    EntrySettings core = settings.core;
    core.node = NodeId(settings.instance.node);
    core.domain = FailureDomain(settings.instance.domain);
    core.incarnation = incarnationFromClock();
    core.shardCount = static_cast<std::uint32_t>(settings.shardCount);
    core.crashLimit = static_cast<std::uint32_t>(settings.crashLimit);
    core.seed = static_cast<std::uint64_t>(settings.seed);
    return core;
}

class Daemon {
public:
    explicit Daemon(const DaemonSettings& daemonSettings)
        : settings(daemonSettings)
        , coreConfiguration(coreSettings(daemonSettings))
        , decisions(static_cast<std::size_t>(daemonSettings.decisionsKept))
        , callers(this->loop, this->httpLimits(), this->memory, this->metrics)
        , admin(this->loop, operatorLimits(), this->memory,
              [this](const HttpRequest& request, const HttpResponder& responder) { this->onAdmin(request, responder); })
        , peers(this->loop, this->hello(), {}, this->memory, this->peerHandlers())
    {
        this->admin.setNeedsBody([](const HttpRequest&) { return false; });
    }

    int run()
    {
        if (!this->listen())
            return ExitUnavailable;
        this->startCore();
        provideMemoryMetrics(this->metrics, this->memory);
        this->refusals.start();
        this->loop.onSignal(SIGTERM, [this] { this->onTerminate(); });
        this->loop.onSignal(SIGINT, [this] { this->loop.stop(); });
        printReady({ { "callers", boundAddress(this->settings.callersListen, this->callers.port()) },
            { "admin", boundAddress(this->settings.instance.adminListen, this->admin.port()) },
            { "peers", this->coreConfiguration.address } });
        this->loop.run();
        return ExitSuccess;
    }

private:
    // Listening --------------------------------------------------------------------------------------------------

    HttpLimits httpLimits() const
    {
        HttpLimits limits;
        limits.maxConnections = allowedConnections(static_cast<std::size_t>(this->settings.maxConnections));
        limits.maxBodyBytes = static_cast<std::size_t>(this->settings.maxBodyBytes);
        return limits;
    }

    Hello hello() const
    {
        Hello self;
        self.node = this->coreConfiguration.node;
        self.role = Role::Entry;
        self.incarnation = this->coreConfiguration.incarnation;
        self.domain = this->coreConfiguration.domain;
        self.address = this->coreConfiguration.address;
        return self;
    }

    bool listen()
    {
        this->callers.onRequest = [this](CallerTicket ticket, CallerRequest request) {
            this->core->onCallerRequest(ticket, std::move(request));
        };
        this->callers.onGone = [this](CallerTicket ticket) { this->core->onCallerDisconnected(ticket); };
        const InstanceSettings& instance = this->settings.instance;
        if (!listenAt(this->settings.callersListen, this->callers) || !listenAt(instance.adminListen, this->admin)
            || !listenAt(instance.peersListen, this->peers))
            return false;
        this->coreConfiguration.address = peersAddress(instance, this->peers.port());
        this->peers.setSelf(this->hello());
        return true;
    }

    // Core and platform ---------------------------------------------------------------------------------------------

    void startCore()
    {
        EntryEffects effects;
        effects.send = [this](const NodeId& to, const Message& message) { this->peers.send(to, message); };
        effects.reply = [this](CallerTicket ticket, const CallerEvent& event) { this->callers.reply(ticket, event); };
        effects.callObjects
            = [this](std::uint64_t id, const ObjectRequest& request) { this->callObjects(id, request); };
        effects.logPlacement = [this](const PlacementDecision& decision) {
            logPlacement(decision);
            this->decisions.add(decision);
        };
        effects.logEvent = [](const std::string& event, const std::string& detail) { logEvent(event, detail); };
        this->core = std::make_unique<EntryCore>(this->coreConfiguration, this->loop.timers(), std::move(effects));
        this->provideMetrics();

        if (const auto address = parseAddress(this->settings.objectApi)) {
            this->objects
                = std::make_unique<ObjectClient>(this->loop, *address, this->coreConfiguration.objectCallTimeout);
            this->objects->watch(ObjectVersion(0), [this](const StoredObject& object, ObjectVersion revision) {
                this->core->onObjectChanged(object, revision);
            });
        }
        if (const auto address = parseAddress(this->settings.instanceList)) {
            this->instances
                = std::make_unique<InstanceListClient>(this->loop, *address, this->settings.instanceListInterval,
                    [this](const std::vector<ListedInstance>& listed) { this->onInstanceList(listed); });
        }
        this->core->start();
    }

    void callObjects(std::uint64_t id, const ObjectRequest& request)
    {
        if (!this->objects) {
            this->loop.post([this, id] { this->core->onObjectOutcome(id, tl::unexpected(ObjectError::Unavailable)); });
            return;
        }
        this->objects->call(
            request, [this, id](const ObjectOutcome& outcome) { this->core->onObjectOutcome(id, outcome); });
    }

    // An entry connects to every sidecar, and to the entries whose names sort after its own, so that each pair of nodes
    // has one link.
    void onInstanceList(const std::vector<ListedInstance>& listed)
    {
        std::vector<Address> dialled;
        for (const ListedInstance& instance : listed) {
            const bool isSidecar = !instance.service.value.empty();
            const auto address = parseAddress(instance.address);
            if (address && (isSidecar || instance.node > this->coreConfiguration.node))
                dialled.push_back(*address);
        }
        this->peers.keepLinksTo(dialled);
        this->core->onInstanceList(listed);
    }

    PeerHandlers peerHandlers()
    {
        PeerHandlers handlers;
        handlers.onUp = [this](const Hello& hello) {
            logEvent("link up", hello.node.value);
            this->core->onLinkUp(hello);
        };
        handlers.onDown = [this](const NodeId& node) {
            logEvent("link down", node.value);
            this->core->onLinkDown(node);
        };
        handlers.onMessage
            = [this](const NodeId& from, const Message& message) { this->core->onMessage(from, message); };
        return handlers;
    }

    // Operators ------------------------------------------------------------------------------------------------------

    void provideMetrics()
    {
        const auto provide = [this](const char* name, const char* kind, auto read) {
            this->metrics.provide(name, kind, [this, read] { return static_cast<double>(read(this->core->status())); });
        };
        provide("rattandeck_entry_serving", "gauge", [](const EntryStatus& s) { return s.isServing ? 1 : 0; });
        provide(
            "rattandeck_entry_on_promises", "gauge", [](const EntryStatus& s) { return s.reliesOnPromises ? 1 : 0; });
        provide("rattandeck_entry_owned_shards", "gauge", [](const EntryStatus& s) { return s.ownedShards; });
        provide("rattandeck_entry_open_programs", "gauge", [](const EntryStatus& s) { return s.openPrograms; });
        provide("rattandeck_entry_orders_total", "counter", [](const EntryStatus& s) { return s.ordersSent; });
        provide("rattandeck_entry_retries_total", "counter", [](const EntryStatus& s) { return s.ordersRetried; });
        provide("rattandeck_entry_refused_total", "counter", [](const EntryStatus& s) { return s.ordersRefused; });
        provide("rattandeck_entry_takeovers_total", "counter", [](const EntryStatus& s) { return s.takeovers; });
        provide("rattandeck_entry_object_calls_total", "counter", [](const EntryStatus& s) { return s.objectCalls; });
        provide("rattandeck_entry_gaps_total", "counter", [](const EntryStatus& s) { return s.gaps; });
        provide(
            "rattandeck_entry_config_revision", "gauge", [](const EntryStatus& s) { return s.configRevision.value; });
    }

    void onAdmin(const HttpRequest& request, const HttpResponder& responder)
    {
        if (request.path == "/v1/decisions")
            return this->onExplain(request, responder);
        if (request.path == "/v1/programs")
            return responder.send(
                { 200, { { "content-type", "application/json" } }, toJson(this->core->openPrograms()) });
        const auto isReady = [this] { return this->core->status().isServing && !this->terminating; };
        answerAdmin(request, responder, isReady, this->metrics);
    }

    void onExplain(const HttpRequest& request, const HttpResponder& responder)
    {
        ProgramId program;
        const auto asked = request.query.find("program");
        if (asked == request.query.end() || !parseProgramId(asked->second, program))
            return responder.send({ 400, {}, "a program id is needed\n" });
        responder.send({ 200, { { "content-type", "application/json" } }, this->decisions.toJson(program) });
    }

    // Stopping -------------------------------------------------------------------------------------------------------

    void onTerminate()
    {
        if (this->terminating)
            return this->loop.stop();
        this->terminating = true;
        logEvent("stopping", "finishing requests in flight");
        this->core->beginShutdown();
        PlannedStop steps;
        steps.isDrained = [this] { return this->core->isDrained() && this->callers.inFlight() == 0; };
        steps.close = [this] {
            this->callers.stopAccepting();
            this->admin.stopAccepting();
            this->peers.close();
        };
        steps.isClosed = [this] {
            return this->callers.openConnections() == 0 && this->admin.openConnections() == 0 && this->peers.isClosed();
        };
        steps.stop = [this] { this->loop.stop(); };
        runPlannedStop(this->loop.timers(), std::move(steps));
    }

    const DaemonSettings& settings;
    EntrySettings coreConfiguration;
    // Outlives the connections, the last of which end with the loop.
    MemoryBudget memory { connectionMemory(this->settings.instance.memoryLimitMb) };
    EventLoop loop;
    Metrics metrics;
    RefusalLog refusals { this->loop.timers(), this->memory };
    DecisionHistory decisions;
    CallerApi callers;
    HttpServer admin;
    PeerNetwork peers;
    std::unique_ptr<EntryCore> core;
    std::unique_ptr<ObjectClient> objects;
    std::unique_ptr<InstanceListClient> instances;
    bool terminating = false;
};

}

int runDaemon(const DaemonSettings& settings)
{
    if (!startInstanceLog(settings.instance))
        return ExitSettings;
    limitHeap();
    return Daemon(settings).run();
}
