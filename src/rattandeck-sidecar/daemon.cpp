#include "daemon.h"

#include "endpoint.h"
#include "RattandeckApp/commandline.h"
#include "RattandeckApp/daemon.h"
#include "RattandeckApp/memory.h"
#include "RattandeckNet/peer.h"

#include <csignal>

using namespace Rattandeck;
using namespace RattandeckApp;
using namespace RattandeckNet;

// Settings -----------------------------------------------------------------------------------------------------------

void bindSettings(SettingsSchema& schema, DaemonSettings& s)
{
    bindIdentity(schema, s.instance);
    schema.addRequiredString("service", s.service, "service of the endpoint beside this sidecar");

    schema.addChoice("endpoint.kind", s.endpointKind, { "engine", "service" }, "model engine or plain service");
    schema.addAddress("endpoint.address", s.endpointAddress, "address of the endpoint (HTTP)");
    schema.addBoolean("endpoint.checks_fence", s.endpointChecksFence, "send fencing numbers to the endpoint");
    schema.addInteger("endpoint.cache_tokens", s.cacheCapacity, 0, 1LL << 40U, "tokens that an engine's cache holds");
    schema.addInteger("endpoint.crash_limit", s.crashLimit, 1, 100, "crashes after which a request is quarantined");

    schema.addInteger("admission.concurrency", s.initialConcurrency, 1, 10000, "initial number of concurrent calls");
    schema.addInteger("admission.max_concurrency", s.maxConcurrency, 1, 10000, "maximum number of concurrent calls");
    schema.addInteger("admission.queue_limit", s.queueLimit, 0, 100000, "maximum number of queued calls");
    schema.addMilliseconds("admission.credit_life_ms", s.core.creditLifetime, Milliseconds(100), Milliseconds(60000),
        "lifetime of credits; at most the value in the settings of the entries");
    schema.addMilliseconds("admission.report_interval_ms", s.core.reportInterval, Milliseconds(20), Milliseconds(1500),
        "time between two load reports; twice this time without one counts as a pause of the process");

    schema.addMilliseconds("records.prefix_lease_ms", s.core.prefixLease, Milliseconds(100), Milliseconds(86400000),
        "time after which a prefix that no home renews is released");
    schema.addMilliseconds("records.key_retention_ms", s.core.keyRetention, Milliseconds(1000), Milliseconds(86400000),
        "time for which records with a key are kept after the end of their program");
    schema.addMilliseconds("records.home_absence_ms", s.core.orphanTimeout, Milliseconds(100), Milliseconds(600000),
        "time without a linked entry waiting for an idempotent call after which the call is cancelled");

    bindPeers(schema, s.instance, "entries");
    bindAdmin(schema, s.instance, "health and metrics");
    bindMemory(schema, s.instance.memoryLimitMb);

    bindLog(schema, s.instance.log);
}

// Running sidecar ----------------------------------------------------------------------------------------------------

namespace {

SidecarSettings coreSettings(const DaemonSettings& settings)
{
    SidecarSettings core = settings.core;
    core.node = NodeId(settings.instance.node);
    core.domain = FailureDomain(settings.instance.domain);
    core.service = ServiceName(settings.service);
    core.incarnation = incarnationFromClock();
    core.modelEngine = settings.endpointKind == "engine";
    core.initialConcurrency = static_cast<std::uint32_t>(settings.initialConcurrency);
    core.maxConcurrency = static_cast<std::uint32_t>(settings.maxConcurrency);
    core.queueLimit = static_cast<std::uint32_t>(settings.queueLimit);
    core.crashLimit = static_cast<std::uint32_t>(settings.crashLimit);
    core.cacheCapacity = TokenCount(settings.cacheCapacity);
    return core;
}

class Daemon {
public:
    explicit Daemon(const DaemonSettings& daemonSettings)
        : settings(daemonSettings)
        , coreConfiguration(coreSettings(daemonSettings))
        , admin(this->loop, operatorLimits(), this->memory,
              [this](const HttpRequest& request, const HttpResponder& responder) { this->onAdmin(request, responder); })
        , peers(this->loop, this->hello(), {}, this->memory, this->peerHandlers())
    {
        this->admin.setNeedsBody([](const HttpRequest&) { return false; });
    }

    int run()
    {
        if (!this->startCore() || !this->listen())
            return ExitUnavailable;
        provideMemoryMetrics(this->metrics, this->memory);
        this->refusals.start();
        this->loop.onSignal(SIGTERM, [this] { this->onTerminate(); });
        this->loop.onSignal(SIGINT, [this] { this->loop.stop(); });
        printReady({ { "admin", boundAddress(this->settings.instance.adminListen, this->admin.port()) },
            { "peers", this->coreConfiguration.address } });
        this->loop.run();
        return ExitSuccess;
    }

private:
    // Core and endpoint ----------------------------------------------------------------------------------------------

    bool startCore()
    {
        SidecarEffects effects;
        effects.send = [this](const NodeId& to, const Message& message) { this->peers.send(to, message); };
        effects.startCall = [this](const EndpointCall& call) { this->endpoint.start(call); };
        effects.cancelCall = [this](OrderId order) { this->endpoint.cancel(order); };
        effects.releasePrefix = [this](ProgramId program) { this->endpoint.release(program); };
        effects.releaseAllPrefixes = [this] { this->endpoint.releaseAll(); };
        effects.logAdmission = [](const AdmissionDecision& decision) { logAdmission(decision); };
        effects.logEvent = [](const std::string& event, const std::string& detail) { logEvent(event, detail); };
        this->core = std::make_unique<SidecarCore>(this->coreConfiguration, this->loop.timers(), std::move(effects));
        this->provideMetrics();

        const auto address = parseAddress(this->settings.endpointAddress);
        if (!address) {
            logError("endpoint", this->settings.endpointAddress + ": " + std::string(describe(address.error())));
            return false;
        }
        EndpointSettings endpointSettings { *address };
        endpointSettings.requestPrefix
            = this->settings.instance.node + "-" + std::to_string(this->coreConfiguration.incarnation.value);
        endpointSettings.maxConnections = this->coreConfiguration.maxConcurrency;
        endpointSettings.sendFence = this->settings.endpointChecksFence;
        const auto make = this->coreConfiguration.modelEngine ? makeEngine : makePlainService;
        this->endpoint = make(this->loop, std::move(endpointSettings), this->endpointHandlers());
        return true;
    }

    EndpointHandlers endpointHandlers()
    {
        EndpointHandlers handlers;
        handlers.onTokens = [this](OrderId order, const std::string& text, TokenCount tokens) {
            this->core->onEndpointTokens(order, text, tokens);
        };
        handlers.onFinished
            = [this](OrderId order, const EndpointResult& result) { this->core->onEndpointFinished(order, result); };
        handlers.onFailed
            = [this](OrderId order, EndpointFailure failure) { this->core->onEndpointFailed(order, failure); };
        handlers.onPrefixEvicted = [this](ProgramId program) { this->core->onPrefixEvicted(program); };
        return handlers;
    }

    // Links ----------------------------------------------------------------------------------------------------------

    Hello hello() const
    {
        Hello self;
        self.node = this->coreConfiguration.node;
        self.role = Role::Sidecar;
        self.incarnation = this->coreConfiguration.incarnation;
        self.domain = this->coreConfiguration.domain;
        self.service = this->coreConfiguration.service;
        self.address = this->coreConfiguration.address;
        if (this->core)
            self.configRevision = this->core->status().configRevision;
        return self;
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
        handlers.onMessage = [this](const NodeId& from, const Message& message) {
            this->core->onMessage(from, message);
            // The hello of later links states the configuration revision that is now in force.
            if (std::holds_alternative<ConfigUpdate>(message))
                this->peers.setSelf(this->hello());
        };
        return handlers;
    }

    bool listen()
    {
        const InstanceSettings& instance = this->settings.instance;
        if (!listenAt(instance.adminListen, this->admin) || !listenAt(instance.peersListen, this->peers))
            return false;
        this->coreConfiguration.address = peersAddress(instance, this->peers.port());
        this->peers.setSelf(this->hello());
        return true;
    }

    // Operators ------------------------------------------------------------------------------------------------------

    void provideMetrics()
    {
        const auto provide = [this](const char* name, const char* kind, auto read) {
            this->metrics.provide(name, kind, [this, read] { return static_cast<double>(read(this->core->status())); });
        };
        using Status = SidecarStatus;
        provide("rattandeck_sidecar_leaving", "gauge", [](const Status& s) { return s.leaving ? 1 : 0; });
        provide("rattandeck_sidecar_running", "gauge", [](const Status& s) { return s.running; });
        provide("rattandeck_sidecar_waiting", "gauge", [](const Status& s) { return s.waiting; });
        provide("rattandeck_sidecar_limit", "gauge", [](const Status& s) { return s.limit; });
        provide("rattandeck_sidecar_started_total", "counter", [](const Status& s) { return s.started; });
        provide("rattandeck_sidecar_refused_total", "counter", [](const Status& s) { return s.refused; });
        provide("rattandeck_sidecar_crashes_total", "counter", [](const Status& s) { return s.crashes; });
        provide("rattandeck_sidecar_records", "gauge", [](const Status& s) { return s.records; });
        provide("rattandeck_sidecar_held_prefixes", "gauge", [](const Status& s) { return s.heldPrefixes; });
        provide("rattandeck_sidecar_prefilled_tokens_total", "counter",
            [](const Status& s) { return s.prefilledTokens.value; });
        provide(
            "rattandeck_sidecar_cached_tokens_total", "counter", [](const Status& s) { return s.cachedTokens.value; });
        provide(
            "rattandeck_sidecar_wasted_tokens_total", "counter", [](const Status& s) { return s.wastedTokens.value; });
        provide("rattandeck_sidecar_config_revision", "gauge", [](const Status& s) { return s.configRevision.value; });
    }

    void onAdmin(const HttpRequest& request, const HttpResponder& responder)
    {
        const auto isReady = [this] { return !this->core->status().leaving; };
        answerAdmin(request, responder, isReady, this->metrics);
    }

    // Stopping -------------------------------------------------------------------------------------------------------

    void onTerminate()
    {
        if (this->core->status().leaving)
            return this->loop.stop();
        logEvent("stopping", "finishing calls that are queued or running");
        this->core->beginShutdown();
        PlannedStop steps;
        steps.isDrained = [this] { return this->core->isDrained(); };
        steps.close = [this] {
            this->admin.stopAccepting();
            this->peers.close();
        };
        steps.isClosed = [this] { return this->admin.openConnections() == 0 && this->peers.isClosed(); };
        steps.stop = [this] { this->loop.stop(); };
        runPlannedStop(this->loop.timers(), std::move(steps));
    }

    const DaemonSettings& settings;
    SidecarSettings coreConfiguration;
    // Outlives the connections, the last of which end with the loop.
    MemoryBudget memory { connectionMemory(this->settings.instance.memoryLimitMb) };
    EventLoop loop;
    Metrics metrics;
    RefusalLog refusals { this->loop.timers(), this->memory };
    HttpServer admin;
    std::unique_ptr<SidecarCore> core;
    Endpoint endpoint;
    PeerNetwork peers;
};

}

int runDaemon(const DaemonSettings& settings)
{
    if (!startInstanceLog(settings.instance))
        return ExitSettings;
    limitHeap();
    return Daemon(settings).run();
}
