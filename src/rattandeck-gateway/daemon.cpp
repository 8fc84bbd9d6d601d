#include "daemon.h"

#include "configage.h"
#include "platform/names.h"
#include "platform/objectcodec.h"
#include "Rattandeck/turnscope.h"
#include "RattandeckApp/memory.h"
#include "RattandeckApp/reload.h"
#include "RattandeckNet/peer.h"
#include "relay.h"
#include "storefeed.h"

#include <random>

using namespace Rattandeck;
using namespace RattandeckApp;
using namespace RattandeckNet;

// Settings -----------------------------------------------------------------------------------------------------------

void bindSettings(SettingsSchema& schema, GatewaySettings& s)
{
    bindIdentity(schema, s.instance);
    schema.addAddress("callers.listen", s.callersListen, "address that callers connect to (HTTP)");
    schema.addAddress("callers.ready", s.readyListen, "address of the readiness check for the load balancer (HTTP)");
    schema.addInteger(
        "callers.max_connections", s.maxConnections, 1, 100000, "maximum number of open connections from callers");
    bindAdmin(schema, s.instance, "health and metrics");
    schema.addStringList("peers.seeds", s.seeds, "addresses of journals, used until the journal set is known");
    schema.addAddress("platform.object_store", s.objectStore, "address of the platform's object store");
    bindToleratedLosses(schema, s.toleratedLosses);
    schema.addNumber("placement.max_load", s.limits.maxLoad, 0.1, 100,
        "load of an instance, in multiples of its slots, from which on calls wait in the queue");
    schema.addNumber("placement.opening_load", s.limits.firstTurnMaxLoad, 0.1, 100,
        "like max_load, for the first turn of a program");
    schema.addBoolean(
        "placement.priorities", s.limits.forwardsPriorities, "send the rank of a call's route to engines");
    schema.addBoolean("placement.learn_everywhere", s.limits.learnsEverywhere,
        "place calls by learned speeds also in services whose instances don't state how long work takes");
    schema.addNumber("placement.queue_part", s.limits.maxQueueWaitRatio, 0, 10,
        "maximum time in the queue, as a fraction of the route's objective");
    schema.addMilliseconds("keys.max_config_age_ms", s.limits.maxConfigAge, Milliseconds(0), Milliseconds(600000),
        "time within which the removal of a key takes effect at all gateways (0: no bound)");
    schema.addNumber("calls.repeat_ratio", s.limits.retryRatio, 0, 1, "retries allowed per send, on average");
    schema.addMilliseconds(
        "stop.limit_ms", s.stopLimit, Milliseconds(500), Milliseconds(600000), "maximum duration of a planned stop");
    bindMemory(schema, s.instance.memoryLimitMb);
    bindLog(schema, s.instance.log);
}

namespace {

constexpr Milliseconds sweepInterval { 2000 };
constexpr Milliseconds storeViewInterval { 200 };
/// Copies of a request's body while it runs: the core's, and the one that is being sent to the instance.
constexpr std::size_t requestCopies = 2;
/// The shortest header field: a letter, a colon and the line end.
constexpr std::size_t minFieldBytes = 4;
/// Interval at which the journal set is read from the store while it is unknown or no journal is connected. All
/// gateways together make at most 40 such calls a second, since they share the rate of the store.
constexpr Milliseconds minJournalSearchInterval { 500 };
constexpr Milliseconds journalSearchIntervalPerGateway { 25 };
/// Delay from the start of a planned stop until connections are no longer accepted: the load balancer removes the
/// gateway only after two failed readiness checks.
constexpr Milliseconds stopAcceptingDelay { 3500 };
/// Delay from the start of a planned stop until calls are refused that may not be answered before its end. The load
/// balancer still sends new connections here before that.
constexpr Milliseconds stopTakingDelay { 2500 };
/// Part of the stop limit that is reserved for sending the last bytes.
constexpr Milliseconds stopReserve { 600 };
/// Part of it in which the last answers are written.
constexpr Milliseconds lastAnswersTime { 200 };

// Daemon ---------------------------------------------------------------------------------------------------------

class Daemon {
public:
    Daemon(const GatewaySettings& settings, const SettingsSource& source);

    int run();

private:
    Hello hello() const;
    PeerHandlers peerHandlers();
    HttpLimits httpLimits() const;

    bool isReady() const;
    void answerReady(const HttpResponder& responder) const;
    void provideMetrics();
    void sweep();
    void noteStoreView();
    void checkStoreView();

    // Store
    void watchStore(const Address& address);
    void findJournals();

    // Journals
    void onJournalSet(const JournalSet& set);
    void onJournalOperation(const JournalOperationResult& result);
    void linkToJournals();
    void checkJournals();
    void closeOrKeepCallers();

    SettingsReload<GatewaySettings>::Parts reloadParts(const SettingsSource& source);
    void apply(const GatewaySettings& fresh);
    void stop();
    void closeCallers();
    void endWhenDrained();
    TimePoint stopEndsAt() const { return this->stopStartedAt + this->settings.stopLimit - stopReserve; }

    GatewaySettings settings;
    // Outlives the connections, the last of which end with the loop.
    MemoryBudget memory { connectionMemory(this->settings.instance.memoryLimitMb) };
    EventLoop loop;
    Metrics metrics;
    PeerNetwork network;
    JournalClient journals;
    Relay relay;
    HttpServer callers;
    HttpServer ready;
    HttpServer admin;
    RefusalLog refusals { this->loop.timers(), this->memory };
    std::unique_ptr<Platform::ObjectStore> store;
    std::set<NodeId> linkedJournals;
    StoreFeed feed { this->loop, NodeId(this->settings.instance.node), this->relay.gateway(),
        [this](const NodeId& node, const Message& message) { return this->network.send(node, message); },
        [this] { this->callers.setLimits(this->httpLimits()); } };
    ConfigAge configAge { this->loop, this->relay.gateway(), this->feed,
        [this](const NodeId& node, const Message& message) { return this->network.send(node, message); },
        [this] { this->closeOrKeepCallers(); } };
    /// Whether enough journals are connected to serve turns.
    bool hasJournalQuorum = false;
    SettingsReload<GatewaySettings> reload;
    std::minstd_rand random { std::random_device {}() };
    bool isStopping = false;
    TimePoint stopStartedAt;
};

/// Gateways that lose the issuers of permits at the same moment must not send their next calls in step.
GatewayLimits gatewayLimits(const GatewaySettings& settings)
{
    GatewayLimits limits = settings.limits;
    limits.permits.seed = std::random_device {}();
    limits.quotas.seed = std::random_device {}();
    limits.node = NodeId(settings.instance.node);
    limits.placementSeed = std::random_device {}() | 1U;
    limits.origins.copies = toleratedLosses(settings.toleratedLosses) + 1;
    limits.maxAnswerBytes = answerMemory(settings.instance.memoryLimitMb);
    return limits;
}

JournalClientLimits journalLimits(const GatewaySettings& settings)
{
    JournalClientLimits limits;
    limits.copies = toleratedLosses(settings.toleratedLosses) + 1;
    return limits;
}

Daemon::Daemon(const GatewaySettings& daemonSettings, const SettingsSource& source)
    : settings(daemonSettings)
    , network(this->loop, this->hello(), journalLinkLimits(), this->peerHandlers())
    , journals(this->loop.timers(), journalLimits(daemonSettings),
          [this](const NodeId& node, const Message& message) { return this->network.send(node, message); })
    , relay(this->loop, this->metrics, this->journals, FailureDomain(daemonSettings.instance.domain),
          gatewayLimits(daemonSettings))
    , callers(this->loop, this->httpLimits(), this->memory,
          [this](HttpRequest request, const HttpResponder& responder) {
              this->relay.onRequest(std::move(request), responder);
          })
    , ready(this->loop, operatorLimits(), this->memory,
          [this](const HttpRequest&, const HttpResponder& responder) { this->answerReady(responder); })
    , admin(this->loop, operatorLimits(), this->memory,
          [this](const HttpRequest& request, const HttpResponder& responder) {
              answerAdmin(
                  request, responder, [this] { return this->isReady(); }, this->metrics);
          })
    , reload(this->loop.timers(), this->reloadParts(source), daemonSettings)
{
    this->callers.setNeedsBody([this](const HttpRequest& head) { return this->relay.needsBody(head); });
    for (HttpServer* server : { &this->ready, &this->admin })
        server->setNeedsBody([](const HttpRequest&) { return false; });
}

// Reload of settings -------------------------------------------------------------------------------------------------

SettingsReload<GatewaySettings>::Parts Daemon::reloadParts(const SettingsSource& source)
{
    SettingsReload<GatewaySettings>::Parts parts;
    parts.source = source;
    parts.bind = bindSettings;
    parts.appliedKeys = { "callers.max_connections", "peers.seeds", "placement.max_load", "placement.opening_load",
        "placement.priorities", "placement.queue_part", "keys.max_config_age_ms", "calls.repeat_ratio", "stop.limit_ms",
        "memory.limit_mb", "log.level", "log.bytes_per_second" };
    parts.apply = [this](const GatewaySettings& fresh) { this->apply(fresh); };
    return parts;
}

void Daemon::apply(const GatewaySettings& fresh)
{
    this->settings.maxConnections = fresh.maxConnections;
    this->settings.seeds = fresh.seeds;
    this->settings.stopLimit = fresh.stopLimit;
    this->memory.setLimit(connectionMemory(fresh.instance.memoryLimitMb));
    GatewayLimits limits = fresh.limits;
    limits.maxAnswerBytes = answerMemory(fresh.instance.memoryLimitMb);
    this->relay.gateway().setLimits(limits);
    this->configAge.setMaxAge(fresh.limits.maxConfigAge);
    this->callers.setLimits(this->httpLimits());
    adjustLog(fresh.instance.log);
    this->linkToJournals();
}

Hello Daemon::hello() const
{
    Hello self;
    self.node = NodeId(this->settings.instance.node);
    self.role = Role::Gateway;
    self.incarnation = incarnationFromClock();
    self.domain = FailureDomain(this->settings.instance.domain);
    return self;
}

PeerHandlers Daemon::peerHandlers()
{
    PeerHandlers handlers;
    handlers.onTooLong = logTooLong;
    handlers.onUp = [this](const Hello& hello) {
        logEvent("journal link up", hello.node.value);
        if (hello.role == Role::Journal) {
            this->linkedJournals.insert(hello.node);
            this->relay.gateway().onJournalUp(hello.node, hello.domain);
            this->configAge.onLinkUp(hello.node);
        }
        if (hello.domain.value == this->settings.instance.domain)
            this->journals.setNear(hello.node);
        this->checkJournals();
        this->feed.news().onLinkUp(hello.node);
    };
    handlers.onDown = [this](const NodeId& node) {
        logEvent("journal link down", node.value);
        this->linkedJournals.erase(node);
        this->relay.gateway().onJournalDown(node);
        this->configAge.onLinkDown(node);
        this->checkJournals();
        this->feed.news().onLinkDown(node);
        this->journals.onLinkDown(node);
    };
    handlers.onMessage = [this](const NodeId& from, const Message& message) {
        if (const auto* set = std::get_if<JournalSet>(&message))
            this->onJournalSet(*set);
        if (const auto* crashes = std::get_if<CrashReports>(&message))
            this->relay.gateway().onCrashReports(*crashes);
        this->relay.gateway().onJournalMessage(from, message);
        this->journals.onMessage(from, message);
        this->feed.news().onMessage(from, message);
        this->configAge.onMessage(from, message);
        if (std::holds_alternative<StoreView>(message))
            this->noteStoreView();
    };
    return handlers;
}

HttpLimits Daemon::httpLimits() const
{
    const CallerLimits configured = this->relay.gateway().callerLimits();
    HttpLimits limits;
    limits.maxHeaderBytes = configured.maxHeaderBytes;
    // Callers' limits bound the bytes of a head alone; what its fields take beside their text counts in the budget.
    limits.maxHeaderFields = configured.maxHeaderBytes / minFieldBytes;
    limits.maxBodyBytes = configured.maxBodyBytes;
    limits.readTimeout = configured.headerTimeout;
    limits.idleTimeout = configured.idleTimeout;
    limits.maxConnections = allowedConnections(static_cast<std::size_t>(this->settings.maxConnections));
    limits.requestCopies = requestCopies;
    return limits;
}

int Daemon::run()
{
    const auto storeAddress = parseAddress(this->settings.objectStore);
    if (!storeAddress) {
        logError("settings", "platform.object_store is not a valid address: " + this->settings.objectStore);
        return ExitSettings;
    }
    const bool isListening = listenAt(this->settings.callersListen, this->callers)
        && listenAt(this->settings.readyListen, this->ready)
        && listenAt(this->settings.instance.adminListen, this->admin);
    if (!isListening)
        return ExitUnavailable;
    this->provideMetrics();
    this->journals.setObserver([this](const JournalOperationResult& result) { this->onJournalOperation(result); });
    this->relay.onCrashReports([this](const CrashReports& crashes) {
        for (const NodeId& node : this->linkedJournals)
            this->network.send(node, crashes);
    });
    this->relay.onLeaving([this](const EndpointId& endpoint, std::int64_t startedAt) {
        this->feed.news().publishLeaving(endpoint, startedAt);
    });
    this->relay.onJournalMessage(
        [this](const NodeId& journal, const Message& message) { return this->network.send(journal, message); });
    this->linkToJournals();
    this->watchStore(*storeAddress);
    this->findJournals();
    this->sweep();
    this->checkStoreView();
    this->refusals.start();
    this->reload.watch();
    DaemonRun run;
    run.node = this->settings.instance.node;
    run.addresses = { { "callers", boundAddress(this->settings.callersListen, this->callers.port()) },
        { "ready", boundAddress(this->settings.readyListen, this->ready.port()) } };
    run.onStop = [this] { this->stop(); };
    run.onReload = [this] { this->reload.reload("signal"); };
    runUntilStopped(this->loop, run);
    return ExitSuccess;
}

// Health -------------------------------------------------------------------------------------------------------------

bool Daemon::isReady() const
{
    return !this->isStopping && this->relay.gateway().configVersion() && this->feed.hasEndpoints()
        && this->hasJournalQuorum && !this->configAge.isTooOld();
}

void Daemon::answerReady(const HttpResponder& responder) const
{
    responder.send({ this->isReady() ? 200 : 503, {}, {} });
}

void Daemon::provideMetrics()
{
    const auto provide = [this](const char* name, const char* kind, std::function<double()> read) {
        this->metrics.provide(name, kind, std::move(read));
    };
    const auto& counts = this->relay.gateway().counts();
    provide("rattandeck_calls_total", "counter", [&counts] { return double(counts.calls); });
    provide("rattandeck_calls_answered_total", "counter", [&counts] { return double(counts.answered); });
    provide("rattandeck_calls_refused_total", "counter", [&counts] { return double(counts.refused); });
    provide("rattandeck_calls_broken_total", "counter", [&counts] { return double(counts.broken); });
    provide("rattandeck_calls_left_total", "counter", [&counts] { return double(counts.abandoned); });
    provide("rattandeck_sends_total", "counter", [&counts] { return double(counts.sends); });
    provide("rattandeck_repeats_total", "counter", [&counts] { return double(counts.retries); });
    provide("rattandeck_events_total", "counter", [&counts] { return double(counts.events); });
    provide("rattandeck_calls_open", "gauge", [this] { return double(this->relay.gateway().openCalls()); });
    provide("rattandeck_calls_queued", "gauge", [this] { return double(this->relay.gateway().queuedCalls()); });
    provide("rattandeck_endpoints_limited", "gauge",
        [this] { return double(this->relay.gateway().permits().limitedInstances()); });
    // An instance is slow from this factor of the usual time on.
    constexpr double slow = 1.3;
    provide("rattandeck_endpoints_slow", "gauge",
        [this] { return double(this->relay.gateway().endpoints().slowInstances(slow, this->loop.timers().now())); });
    provide("rattandeck_streams_resumed_total", "counter", [&counts] { return double(counts.resumptions); });
    provide("rattandeck_streams_unknown_total", "counter", [&counts] { return double(counts.unknownStreams); });
    provide("rattandeck_calls_passed_over_total", "counter", [&counts] { return double(counts.passedOver); });
    provide(
        "rattandeck_calls_refused_for_queue_total", "counter", [&counts] { return double(counts.refusedForQueue); });
    provide("rattandeck_calls_far_above_share_total", "counter", [&counts] { return double(counts.farAboveShare); });
    provide("rattandeck_calls_owed_total", "counter", [&counts] { return double(counts.owed); });
    const auto& quotas = this->relay.gateway().quotas().counts();
    provide("rattandeck_quota_tokens_taken_total", "counter", [&quotas] { return double(quotas.taken); });
    provide("rattandeck_quota_tokens_unused_total", "counter", [&quotas] { return quotas.unused; });
    provide("rattandeck_quota_calls_waited_total", "counter", [&quotas] { return double(quotas.waited); });
    provide("rattandeck_quota_wait_seconds_total", "counter",
        [&quotas] { return std::chrono::duration<double>(quotas.waitedFor).count(); });
    provide("rattandeck_quota_unavailable_total", "counter", [&quotas] { return double(quotas.unavailable); });
    provide("rattandeck_quota_messages_total", "counter", [&quotas] { return double(quotas.messages); });
    provide("rattandeck_gateways", "gauge",
        [this] { return double(this->relay.gateway().permits().gatewayCount().value_or(0)); });
    provide("rattandeck_config_version", "gauge",
        [this] { return double(this->relay.gateway().configVersion().value_or(0)); });
    provide("rattandeck_journals_linked", "gauge", [this] { return double(this->linkedJournals.size()); });
    provide("rattandeck_journal_epoch", "gauge", [this] { return double(this->journals.members().epoch.value); });
    provide("rattandeck_log_lines_dropped_total", "counter", [] { return double(droppedLogLines()); });
    provide("rattandeck_link_dials_total", "counter", [this] { return double(this->network.dialCount()); });
    provideLinkTraffic(this->metrics, this->network);
    provideMemoryMetrics(this->metrics, this->memory);
}

void Daemon::sweep()
{
    this->relay.closeUnusedClients();
    this->loop.timers().subscribeAfter(sweepInterval, [this] { this->sweep(); });
}

/// Tells the gateway how old its knowledge of the instances is.
void Daemon::noteStoreView()
{
    if (const auto age = this->feed.news().viewAge())
        this->relay.gateway().onStoreViewed(this->loop.timers().now() - *age);
}

void Daemon::checkStoreView()
{
    this->noteStoreView();
    this->loop.timers().subscribeAfter(storeViewInterval, [this] { this->checkStoreView(); });
}

// Store --------------------------------------------------------------------------------------------------------------

void Daemon::watchStore(const Address& address)
{
    this->store = std::make_unique<Platform::ObjectStore>(this->loop, address);
    Platform::provideStoreMetrics(this->metrics, *this->store);
    this->feed.news().provideMetrics(this->metrics);
    this->configAge.provideMetrics(this->metrics);
    this->configAge.start(*this->store);
    this->configAge.setMaxAge(this->settings.limits.maxConfigAge);
    this->feed.news().start(*this->store);
}

// Journals -----------------------------------------------------------------------------------------------------------

void Daemon::findJournals()
{
    const bool isLost = this->linkedJournals.empty() || this->journals.members().members.empty();
    if (isLost) {
        this->store->read(Platform::Names::journalsKind, Platform::Names::journalsName, [this](const auto& result) {
            if (!result)
                return;
            if (const auto set = Platform::readJournalSet(result->spec))
                this->onJournalSet(*set);
        });
    }
    // Drawn, so that gateways that lose the journals at the same moment don't read in step.
    const std::uint32_t gateways = this->relay.gateway().permits().gatewayCount().value_or(1);
    const Milliseconds mean = std::max(minJournalSearchInterval, journalSearchIntervalPerGateway * gateways);
    std::uniform_int_distribution<std::int64_t> delay(mean.count() / 2, mean.count() * 3 / 2);
    this->loop.timers().subscribeAfter(Milliseconds(delay(this->random)), [this] { this->findJournals(); });
}

void Daemon::onJournalSet(const JournalSet& set)
{
    if (!this->journals.setMembers(set))
        return;
    this->relay.gateway().setJournals(set.members);
    logFields(
        "journal set", { { "epoch", std::int64_t(set.epoch.value) }, { "members", std::int64_t(set.members.size()) } });
    this->linkToJournals();
    this->checkJournals();
}

void Daemon::onJournalOperation(const JournalOperationResult& result)
{
    const double seconds = std::chrono::duration<double>(result.duration).count();
    const MetricLabels labels { { "kind", std::string(result.kind) },
        { "outcome", std::string(result.error ? describe(*result.error) : "done") } };
    this->metrics.observe("rattandeck_journal_operation_seconds", seconds, labels);
    this->metrics.count("rattandeck_journal_operations_total", labels);
    this->metrics.count("rattandeck_journal_operation_seconds_total", labels, seconds);
    if (!result.error)
        return;
    std::string answered;
    for (const NodeId& node : result.answered)
        answered += (answered.empty() ? "" : " ") + node.value;
    logFields("journals' answer",
        { { "request", unscopedTurn(result.turn).value }, { "program", result.budget.value },
            { "kind", std::string(result.kind) }, { "outcome", std::string(describe(*result.error)) },
            { "answered", answered }, { "members", std::int64_t(result.members) },
            { "epoch", std::int64_t(result.epoch.value) }, { "duration_ms", std::int64_t(result.duration.count()) },
            { "tokens_of_others", result.tokensOfOthers.value }, { "tokens_asked", result.maxTokens.value },
            { "token_limit", result.limit.value } });
}

/// Without a quorum of journals this gateway refuses turns. Each of its answers therefore closes the caller's
/// connection, so that the caller reconnects to another gateway.
void Daemon::checkJournals()
{
    const bool hadQuorum = this->hasJournalQuorum;
    this->hasJournalQuorum = this->journals.hasQuorum(this->linkedJournals);
    if (this->hasJournalQuorum == hadQuorum)
        return;
    logFields(this->hasJournalQuorum ? "journals regained" : "journals lost",
        { { "linked", std::int64_t(this->linkedJournals.size()) },
            { "members", std::int64_t(this->journals.members().members.size()) },
            { "epoch", std::int64_t(this->journals.members().epoch.value) } });
    this->closeOrKeepCallers();
}

/// Callers' connections are closed after answers while other gateways serve them better.
void Daemon::closeOrKeepCallers()
{
    this->callers.closeAfterAnswers(this->isStopping || !this->hasJournalQuorum || this->configAge.isTooOld());
}

void Daemon::linkToJournals()
{
    std::vector<std::string> addresses;
    for (const JournalMember& member : this->journals.members().members)
        addresses.push_back(member.address);
    if (addresses.empty())
        addresses = this->settings.seeds;
    this->network.keepLinksTo(parseAddresses(addresses));
}

// Stop ---------------------------------------------------------------------------------------------------------------

void Daemon::stop()
{
    if (this->isStopping)
        return;
    this->isStopping = true;
    this->stopStartedAt = this->loop.timers().now();
    logEvent("stop", "planned stop, " + std::to_string(this->relay.gateway().openCalls()) + " calls open");
    this->callers.closeAfterAnswers(true);
    this->relay.gateway().beginStop(this->stopStartedAt + stopTakingDelay, this->stopEndsAt());
    this->loop.timers().subscribeAfter(stopAcceptingDelay, [this] { this->closeCallers(); });
}

void Daemon::closeCallers()
{
    this->callers.stopAccepting();
    this->endWhenDrained();
}

void Daemon::endWhenDrained()
{
    constexpr Milliseconds checkInterval { 50 };
    const bool isTimeUp = this->loop.timers().now() >= this->stopEndsAt();
    if (this->callers.openConnections() == 0 || isTimeUp) {
        logEvent("drained", std::to_string(this->relay.gateway().openCalls()) + " calls ended");
        this->relay.gateway().endOpenCalls();
        this->loop.timers().subscribeAfter(isTimeUp ? lastAnswersTime : Milliseconds(0), [this] { this->loop.stop(); });
        return;
    }
    this->loop.timers().subscribeAfter(checkInterval, [this] { this->endWhenDrained(); });
}

}

int runDaemon(const GatewaySettings& settings, const SettingsSource& source)
{
    if (!startInstanceLog(settings.instance))
        return ExitSettings;
    limitHeap();
    Daemon daemon(settings, source);
    return daemon.run();
}
