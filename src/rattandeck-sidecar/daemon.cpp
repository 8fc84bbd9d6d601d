#include "daemon.h"

#include "endpoint.h"
#include "RattandeckApp/commandline.h"
#include "RattandeckApp/metrics.h"
#include "RattandeckNet/peer.h"

#include <chrono>
#include <csignal>
#include <iostream>

using namespace Rattandeck;
using namespace RattandeckApp;
using namespace RattandeckNet;

// Settings -----------------------------------------------------------------------------------------------------------

void bindSettings(SettingsSchema& schema, DaemonSettings& s)
{
    schema.addRequiredString("node", s.node, "name of this instance, unique in the system");
    schema.addRequiredString("domain", s.domain, "failure domain of this instance");
    schema.addRequiredString("service", s.service, "service of the endpoint beside this sidecar");

    schema.addChoice("endpoint.kind", s.endpointKind, { "engine", "service" }, "model engine or plain service");
    schema.addAddress("endpoint.address", s.endpointAddress, "address of the endpoint (HTTP)");
    schema.addBoolean("endpoint.checks_fence", s.endpointChecksFence, "send fencing numbers to the endpoint");
    schema.addInteger("endpoint.cache_tokens", s.cacheCapacity, 0, 1LL << 40U, "tokens that an engine's cache holds");
    schema.addInteger("endpoint.crash_limit", s.crashLimit, 1, 100, "crashes after which a request is held");

    schema.addInteger("admission.concurrency", s.initialConcurrency, 1, 10000, "calls that run at once, to begin with");
    schema.addInteger("admission.max_concurrency", s.maxConcurrency, 1, 10000, "most calls that run at once");
    schema.addInteger("admission.queue_limit", s.queueLimit, 0, 100000, "most calls that wait");
    schema.addMilliseconds("admission.credit_life_ms", s.core.creditLife, Milliseconds(100), Milliseconds(60000),
        "life of credits; at most what the entries reckon with");
    schema.addMilliseconds("admission.report_interval_ms", s.core.reportInterval, Milliseconds(20), Milliseconds(1500),
        "time between two load reports; twice this without one is a pause of the process");

    schema.addMilliseconds("records.prefix_lease_ms", s.core.prefixLease, Milliseconds(100), Milliseconds(86400000),
        "a prefix that no home renews goes free after this");
    schema.addMilliseconds("records.key_retention_ms", s.core.keyRetention, Milliseconds(1000), Milliseconds(86400000),
        "records with a key outlive their program by this");
    schema.addMilliseconds("records.home_absence_ms", s.core.homeAbsence, Milliseconds(100), Milliseconds(600000),
        "idempotent calls that nobody has awaited for this long are cancelled");

    schema.addAddress("peers.listen", s.peersListen, "address for entries (HTTP/2)");
    schema.addAddress("peers.advertise", s.peersAdvertise, "address that entries dial, if it differs");
    schema.addAddress("admin.listen", s.adminListen, "address for health and metrics (HTTP)");

    schema.addChoice("log.level", s.log.level, { "debug", "info", "warning", "error" }, "lowest level written");
    schema.addChoice("log.format", s.log.format, { "text", "json" }, "form of the lines");
    schema.addString("log.file", s.log.file, "file to append to; empty is standard error");
}

// The parts of a running sidecar -------------------------------------------------------------------------------------

namespace {

constexpr Milliseconds drainCheckInterval { 50 };

SidecarSettings coreSettings(const DaemonSettings& settings)
{
    SidecarSettings core = settings.core;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    core.node = NodeId(settings.node);
    core.domain = FailureDomain(settings.domain);
    core.service = ServiceName(settings.service);
    // Grows from one start to the next, also on another machine with a roughly right clock.
    core.incarnation = Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count()));
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
        , admin(this->loop, {},
              [this](const HttpRequest& request, const HttpResponder& responder) { this->onAdmin(request, responder); })
        , peers(this->loop, this->hello(), {}, this->peerHandlers())
    {
    }

    int run()
    {
        if (!this->startCore() || !this->listen())
            return ExitUnavailable;
        this->loop.onSignal(SIGTERM, [this] { this->onTerminate(); });
        this->loop.onSignal(SIGINT, [this] { this->loop.stop(); });
        std::cout << "ready admin=" << boundAddress(this->settings.adminListen, this->admin.port())
                  << " peers=" << this->peersAddress() << std::endl;
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
            = this->settings.node + "-" + std::to_string(this->coreConfiguration.incarnation.value);
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
        handlers.onPrefixDropped = [this](ProgramId program) { this->core->onPrefixDropped(program); };
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
            // Later links are greeted with the configuration that has been taken in.
            if (std::holds_alternative<ConfigUpdate>(message))
                this->peers.setSelf(this->hello());
        };
        return handlers;
    }

    static std::string boundAddress(const std::string& requested, std::uint16_t port)
    {
        Address address = parseAddress(requested).value_or(Address {});
        address.port = port;
        return toString(address);
    }

    std::string peersAddress() const
    {
        if (!this->settings.peersAdvertise.empty())
            return this->settings.peersAdvertise;
        return boundAddress(this->settings.peersListen, this->peers.port());
    }

    template <typename Listener> static bool listenOn(Listener& listener, const std::string& text)
    {
        const auto address = parseAddress(text);
        const auto result = address ? listener.listen(*address) : tl::unexpected(address.error());
        if (!result)
            logError("listen", text + ": " + std::string(describe(result.error())));
        return result.has_value();
    }

    bool listen()
    {
        if (!listenOn(this->admin, this->settings.adminListen) || !listenOn(this->peers, this->settings.peersListen))
            return false;
        this->coreConfiguration.address = this->peersAddress();
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
        const HttpHeaders text { { "content-type", "text/plain; version=0.0.4" } };
        if (request.path == "/healthz")
            return responder.send({ 200, text, "ok\n" });
        if (request.path == "/readyz") {
            const bool ready = !this->core->status().leaving;
            return responder.send({ ready ? 200 : 503, text, ready ? "ready\n" : "not ready\n" });
        }
        if (request.path == "/metrics")
            return responder.send({ 200, text, this->metrics.render() });
        responder.send({ 404, text, "no such page\n" });
    }

    // Stopping -------------------------------------------------------------------------------------------------------

    void onTerminate()
    {
        if (this->core->status().leaving)
            return this->loop.stop();
        logEvent("stopping", "finishing calls that are queued or running");
        this->core->beginShutdown();
        this->checkDrained();
    }

    void checkDrained()
    {
        if (this->core->isDrained()) {
            this->peers.close();
            this->loop.post([this] { this->loop.stop(); });
            return;
        }
        this->loop.timers().subscribeAfter(drainCheckInterval, [this] { this->checkDrained(); });
    }

    const DaemonSettings& settings;
    SidecarSettings coreConfiguration;
    EventLoop loop;
    Metrics metrics;
    HttpServer admin;
    std::unique_ptr<SidecarCore> core;
    Endpoint endpoint;
    PeerNetwork peers;
};

}

int runDaemon(const DaemonSettings& settings)
{
    if (!startLog(settings.log, settings.node)) {
        std::cerr << settings.log.file << ": can't be opened\n";
        return ExitSettings;
    }
    return Daemon(settings).run();
}
