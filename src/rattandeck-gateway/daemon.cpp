#include "daemon.h"

#include "platform/names.h"
#include "platform/objectcodec.h"
#include "Rattandeck/gossip.h"
#include "RattandeckApp/reload.h"
#include "RattandeckNet/peer.h"
#include "relay.h"

#include <csignal>

using namespace Rattandeck;
using namespace RattandeckApp;
using namespace RattandeckNet;

// Settings -----------------------------------------------------------------------------------------------------------

void bindSettings(SettingsSchema& schema, GatewaySettings& s)
{
    bindIdentity(schema, s.instance);
    schema.addAddress("callers.listen", s.callersListen, "address for callers (HTTP)");
    schema.addAddress("callers.ready", s.readyListen, "address at which the balancer asks for readiness (HTTP)");
    schema.addInteger("callers.max_connections", s.maxConnections, 1, 100000, "open connections of callers");
    bindAdmin(schema, s.instance, "health and metrics");
    schema.addStringList("peers.seeds", s.seeds, "addresses at which journals may be found");
    schema.addAddress("platform.object_store", s.objectStore, "address of the platform's store");
    bindToleratedLosses(schema, s.toleratedLosses);
    schema.addNumber("placement.max_load", s.limits.maxLoad, 0.1, 100,
        "load of an instance, in multiples of its slots, beyond which calls wait here");
    schema.addNumber(
        "placement.opening_load", s.limits.openingLoad, 0.1, 100, "as max_load, for the first turn of a program");
    schema.addBoolean("placement.priorities", s.limits.tellsPriorities, "tell engines the rank of a call's route");
    schema.addNumber(
        "placement.queue_part", s.limits.queuePart, 0, 10, "longest wait for room, as a part of the route's objective");
    schema.addNumber("calls.repeat_ratio", s.limits.repeatRatio, 0, 1, "repeats allowed for each sending");
    schema.addMilliseconds("stop.limit_ms", s.stopLimit, Milliseconds(500), Milliseconds(600000),
        "time from a planned stop to the end of the process");
    bindLog(schema, s.instance.log);
}

namespace {

constexpr Milliseconds sweepInterval { 2000 };
/// Wait before the set of journals is looked for in the store.
constexpr Milliseconds journalSearchInterval { 500 };
/// After the store was away, instances may be missing from it for this long although they live.
constexpr Milliseconds relistGrace { 2000 };
/// Wait before other processes are asked for what the store should tell by itself.
constexpr Milliseconds bulletinPatience { 250 };
constexpr const char* configTopic = "config";
constexpr std::string_view endpointTopicPrefix = "endpoint/";
/// From the start of a planned stop until connections are no longer accepted: the balancer needs two misses.
constexpr Milliseconds stopAcceptingAfter { 3500 };
/// Kept at the end of a planned stop for the last bytes.
constexpr Milliseconds stopReserve { 600 };

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

    // Store
    void followStore(const Address& address);
    void onConfig(const Platform::StoredObject& object);
    void onEndpoints(const std::vector<Platform::StoredObject>& objects);
    void onEndpoint(const Platform::StoredObject& object, bool isRemoved);
    void removeEndpoint(const EndpointId& id);
    void dropEndpoint(const EndpointId& id);
    void onNews(const GossipItem& item);
    void onStoreReachable(bool isReachable);
    void findJournals();

    // Journals
    void onJournalSet(const JournalSet& set);
    void onJournalOperation(const JournalOperationResult& end);
    void linkToJournals();
    void checkJournals();

    SettingsReload<GatewaySettings>::Parts reloadParts(const SettingsSource& source);
    void apply(const GatewaySettings& fresh);
    void stop();
    void closeCallers();
    void endWhenDrained();

    GatewaySettings settings;
    EventLoop loop;
    Metrics metrics;
    PeerNetwork network;
    JournalClient journals;
    Relay relay;
    HttpServer callers;
    HttpServer ready;
    HttpServer admin;
    std::unique_ptr<Platform::ObjectStore> store;
    std::set<NodeId> linkedJournals;
    GossipTable gossip { this->loop.timers(), { bulletinPatience },
        [this](const NodeId& node, const Message& message) { return this->network.send(node, message); },
        [this](const GossipItem& item) { this->onNews(item); } };
    bool hasEndpoints = false;
    /// Enough journals are linked for turns to be served.
    bool hasQuorum = false;
    bool isStoreReachable = false;
    std::optional<TimePoint> storeRegainedAt;
    std::set<EndpointId> missing;
    SettingsReload<GatewaySettings> reload;
    bool isStopping = false;
    TimePoint stopBegun;
};

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
          daemonSettings.limits)
    , callers(this->loop, this->httpLimits(),
          [this](HttpRequest request, const HttpResponder& responder) {
              this->relay.onRequest(std::move(request), responder);
          })
    , ready(this->loop, HttpLimits {},
          [this](const HttpRequest&, const HttpResponder& responder) { this->answerReady(responder); })
    , admin(this->loop, HttpLimits {},
          [this](const HttpRequest& request, const HttpResponder& responder) {
              answerAdmin(
                  request, responder, [this] { return this->isReady(); }, this->metrics);
          })
    , reload(this->loop.timers(), this->reloadParts(source), daemonSettings)
{
}

// Settings while it runs ---------------------------------------------------------------------------------------------

SettingsReload<GatewaySettings>::Parts Daemon::reloadParts(const SettingsSource& source)
{
    SettingsReload<GatewaySettings>::Parts parts;
    parts.source = source;
    parts.bind = bindSettings;
    parts.appliedKeys = { "callers.max_connections", "peers.seeds", "placement.max_load", "placement.opening_load",
        "placement.priorities", "placement.queue_part", "calls.repeat_ratio", "stop.limit_ms", "log.level",
        "log.bytes_per_second" };
    parts.apply = [this](const GatewaySettings& fresh) { this->apply(fresh); };
    return parts;
}

void Daemon::apply(const GatewaySettings& fresh)
{
    this->settings.maxConnections = fresh.maxConnections;
    this->settings.seeds = fresh.seeds;
    this->settings.stopLimit = fresh.stopLimit;
    this->relay.gateway().setLimits(fresh.limits);
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
    handlers.onUp = [this](const Hello& hello) {
        logEvent("journal link up", hello.node.value);
        if (hello.role == Role::Journal)
            this->linkedJournals.insert(hello.node);
        this->checkJournals();
        this->gossip.onLinkUp(hello.node);
    };
    handlers.onDown = [this](const NodeId& node) {
        logEvent("journal link down", node.value);
        this->linkedJournals.erase(node);
        this->checkJournals();
        this->gossip.onLinkDown(node);
        this->journals.onLinkDown(node);
    };
    handlers.onMessage = [this](const NodeId& from, const Message& message) {
        if (const auto* set = std::get_if<JournalSet>(&message))
            this->onJournalSet(*set);
        if (const auto* crashes = std::get_if<CrashReports>(&message))
            this->relay.gateway().onCrashReports(*crashes);
        this->journals.onMessage(from, message);
        this->gossip.onMessage(from, message);
    };
    return handlers;
}

HttpLimits Daemon::httpLimits() const
{
    const CallerLimits given = this->relay.gateway().callerLimits();
    HttpLimits limits;
    limits.maxHeaderBytes = given.maxHeaderBytes;
    limits.maxBodyBytes = given.maxBodyBytes;
    limits.readTimeout = given.headerTimeout;
    limits.idleTimeout = given.idleTimeout;
    limits.maxConnections = static_cast<std::size_t>(this->settings.maxConnections);
    return limits;
}

int Daemon::run()
{
    const auto storeAddress = parseAddress(this->settings.objectStore);
    if (!storeAddress) {
        logError("settings", "platform.object_store: " + this->settings.objectStore);
        return ExitSettings;
    }
    const bool isListening = listenAt(this->settings.callersListen, this->callers)
        && listenAt(this->settings.readyListen, this->ready)
        && listenAt(this->settings.instance.adminListen, this->admin);
    if (!isListening)
        return ExitUnavailable;
    this->provideMetrics();
    this->journals.setObserver([this](const JournalOperationResult& end) { this->onJournalOperation(end); });
    this->relay.onCrashReports([this](const CrashReports& crashes) {
        for (const NodeId& node : this->linkedJournals)
            this->network.send(node, crashes);
    });
    this->linkToJournals();
    this->followStore(*storeAddress);
    this->findJournals();
    this->sweep();
    keepLogFlushed(this->loop.timers());
    this->loop.onSignal(SIGTERM, [this] { this->stop(); });
    this->loop.onSignal(SIGINT, [this] { this->stop(); });
    this->loop.onSignal(SIGHUP, [this] { this->reload.reload("signal"); });
    this->reload.watch();
    logEvent("start", std::string("version ") + RATTANDECK_VERSION + ", node " + this->settings.instance.node);
    printReady({ { "callers", boundAddress(this->settings.callersListen, this->callers.port()) },
        { "ready", boundAddress(this->settings.readyListen, this->ready.port()) } });
    this->loop.run();
    logEvent("stopped", this->settings.instance.node);
    flushLog();
    return ExitSuccess;
}

// Health -------------------------------------------------------------------------------------------------------------

bool Daemon::isReady() const
{
    return !this->isStopping && this->relay.gateway().configVersion() && this->hasEndpoints && this->hasQuorum;
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
    provide("rattandeck_calls_left_total", "counter", [&counts] { return double(counts.left); });
    provide("rattandeck_sends_total", "counter", [&counts] { return double(counts.sends); });
    provide("rattandeck_repeats_total", "counter", [&counts] { return double(counts.repeats); });
    provide("rattandeck_events_total", "counter", [&counts] { return double(counts.events); });
    provide("rattandeck_calls_open", "gauge", [this] { return double(this->relay.gateway().open()); });
    provide("rattandeck_calls_queued", "gauge", [this] { return double(this->relay.gateway().queued()); });
    provide("rattandeck_config_version", "gauge",
        [this] { return double(this->relay.gateway().configVersion().value_or(0)); });
    provide("rattandeck_journals_linked", "gauge", [this] { return double(this->linkedJournals.size()); });
    provide("rattandeck_journal_epoch", "gauge", [this] { return double(this->journals.members().epoch.value); });
    provide("rattandeck_log_lines_dropped_total", "counter", [] { return double(droppedLogLines()); });
    provide("rattandeck_store_calls_total", "counter", [this] { return double(this->store->callCount()); });
    provide(
        "rattandeck_store_answer_age_seconds", "gauge", [this] { return Platform::answerAgeSeconds(*this->store); });
    provide("rattandeck_link_dials_total", "counter", [this] { return double(this->network.dialCount()); });
}

void Daemon::sweep()
{
    this->relay.closeUnusedClients();
    this->loop.timers().subscribeAfter(sweepInterval, [this] { this->sweep(); });
}

// Store --------------------------------------------------------------------------------------------------------------

void Daemon::followStore(const Address& address)
{
    this->store = std::make_unique<Platform::ObjectStore>(this->loop, address);
    Platform::KindHandlers config;
    config.onSnapshot = [this](const std::vector<Platform::StoredObject>& objects) {
        for (const Platform::StoredObject& object : objects)
            this->onConfig(object);
    };
    config.onChange = [this](const Platform::StoredObject& object, bool isRemoved) {
        if (!isRemoved)
            this->onConfig(object);
    };
    this->store->follow(Platform::Names::configKind, config);

    Platform::KindHandlers endpoints;
    endpoints.onSnapshot = [this](const std::vector<Platform::StoredObject>& objects) { this->onEndpoints(objects); };
    endpoints.onChange
        = [this](const Platform::StoredObject& object, bool isRemoved) { this->onEndpoint(object, isRemoved); };
    endpoints.onReachable = [this](bool isReachable) { this->onStoreReachable(isReachable); };
    this->store->follow(Platform::Names::endpointsKind, endpoints);
}

void Daemon::onConfig(const Platform::StoredObject& object)
{
    if (object.name != Platform::Names::configName)
        return;
    this->gossip.post({ configTopic, object.revision, false, object.spec.dump() });
    auto config = Platform::readConfig(object.spec);
    if (!config) {
        logError("configuration", "revision " + std::to_string(object.revision) + ": bad " + config.error().field);
        return;
    }
    const std::uint64_t version = config->version;
    const std::size_t routes = config->routes.size();
    if (!this->relay.gateway().setConfig(std::move(*config)))
        return;
    this->callers.setLimits(this->httpLimits());
    logFields("configuration",
        { { "version", std::int64_t(version) }, { "routes", std::int64_t(routes) },
            { "revision", std::int64_t(object.revision) } });
}

static std::string endpointTopic(const EndpointId& id) { return std::string(endpointTopicPrefix) + id.value; }

void Daemon::onEndpoints(const std::vector<Platform::StoredObject>& objects)
{
    std::set<EndpointId> listed;
    for (const Platform::StoredObject& object : objects) {
        listed.insert(EndpointId(object.name));
        this->onEndpoint(object, false);
    }
    for (const EndpointId& id : this->relay.gateway().endpoints().ids()) {
        if (!listed.contains(id))
            this->removeEndpoint(id);
    }
    this->hasEndpoints = true;
}

void Daemon::onEndpoint(const Platform::StoredObject& object, bool isRemoved)
{
    const EndpointId id(object.name);
    if (isRemoved) {
        this->removeEndpoint(id);
        return;
    }
    this->gossip.post({ endpointTopic(id), object.revision, false, object.spec.dump() });
    const auto instance = Platform::readEndpoint(object);
    if (!instance) {
        logEvent("endpoint unreadable", object.name + ": bad " + instance.error().field);
        this->relay.gateway().onInstanceGone(id);
        return;
    }
    this->missing.erase(id);
    const EndpointInstance* known = this->relay.gateway().endpoints().find(id);
    if (known && *known == *instance)
        return;
    this->relay.gateway().onInstance(*instance);
    logFields("endpoint",
        { { "endpoint", id.value }, { "service", instance->service.value }, { "address", instance->address },
            { "draining", std::int64_t(instance->isDraining) }, { "revision", std::int64_t(object.revision) } });
}

void Daemon::removeEndpoint(const EndpointId& id)
{
    const EndpointInstance* known = this->relay.gateway().endpoints().find(id);
    if (!known)
        return;
    const TimePoint now = this->loop.timers().now();
    const bool mayBeBack = this->storeRegainedAt && now - *this->storeRegainedAt < relistGrace && !known->isDraining;
    logFields("endpoint gone", { { "endpoint", id.value }, { "may_be_back", std::int64_t(mayBeBack) } });
    if (!mayBeBack) {
        this->dropEndpoint(id);
        return;
    }
    this->missing.insert(id);
    this->loop.timers().subscribeAt(*this->storeRegainedAt + relistGrace, [this, id] {
        if (this->missing.erase(id) > 0)
            this->dropEndpoint(id);
    });
}

void Daemon::dropEndpoint(const EndpointId& id)
{
    this->gossip.postRemoval(endpointTopic(id));
    this->relay.gateway().onInstanceGone(id);
}

/// What other gateways have learned from the store while it turned this one away.
void Daemon::onNews(const GossipItem& item)
{
    logFields("news",
        { { "topic", item.topic }, { "version", std::int64_t(item.version) },
            { "removed", std::int64_t(item.isRemoved) } });
    Platform::StoredObject object;
    object.revision = item.version;
    object.spec = nlohmann::json::parse(item.text, nullptr, false);
    if (item.topic == configTopic) {
        object.name = Platform::Names::configName;
        this->onConfig(object);
        return;
    }
    if (!item.topic.starts_with(endpointTopicPrefix))
        return;
    object.name = item.topic.substr(endpointTopicPrefix.size());
    if (item.isRemoved) {
        this->relay.gateway().onInstanceGone(EndpointId(object.name));
        return;
    }
    this->onEndpoint(object, false);
    this->hasEndpoints = true;
}

void Daemon::onStoreReachable(bool isReachable)
{
    logEvent("platform store", isReachable ? "reachable" : "lost");
    if (isReachable && !this->isStoreReachable && this->hasEndpoints)
        this->storeRegainedAt = this->loop.timers().now();
    this->isStoreReachable = isReachable;
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
    this->loop.timers().subscribeAfter(journalSearchInterval, [this] { this->findJournals(); });
}

void Daemon::onJournalSet(const JournalSet& set)
{
    if (!this->journals.setMembers(set))
        return;
    logFields(
        "journal set", { { "epoch", std::int64_t(set.epoch.value) }, { "members", std::int64_t(set.members.size()) } });
    this->linkToJournals();
    this->checkJournals();
}

void Daemon::onJournalOperation(const JournalOperationResult& end)
{
    this->metrics.observe("rattandeck_journal_operation_seconds", std::chrono::duration<double>(end.duration).count(),
        { { "kind", std::string(end.kind) }, { "outcome", std::string(end.error ? describe(*end.error) : "done") } });
    if (!end.error)
        return;
    std::string answered;
    for (const NodeId& node : end.answered)
        answered += (answered.empty() ? "" : " ") + node.value;
    logFields("journals' answer",
        { { "request", end.turn.value }, { "program", end.budget.value }, { "kind", std::string(end.kind) },
            { "outcome", std::string(describe(*end.error)) }, { "answered", answered },
            { "members", std::int64_t(end.members) }, { "epoch", std::int64_t(end.epoch.value) },
            { "duration_ms", std::int64_t(end.duration.count()) }, { "tokens_of_others", end.tokensOfOthers.value },
            { "tokens_asked", end.maxTokens.value }, { "token_limit", end.limit.value } });
}

/// Without enough journals turns are refused here, so callers are sent to other gateways.
void Daemon::checkJournals()
{
    const bool could = this->hasQuorum;
    this->hasQuorum = this->journals.hasQuorum(this->linkedJournals);
    if (this->hasQuorum == could)
        return;
    logFields(this->hasQuorum ? "journals regained" : "journals lost",
        { { "linked", std::int64_t(this->linkedJournals.size()) },
            { "members", std::int64_t(this->journals.members().members.size()) },
            { "epoch", std::int64_t(this->journals.members().epoch.value) } });
    this->callers.closeAfterAnswers(this->isStopping || !this->hasQuorum);
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
    this->stopBegun = this->loop.timers().now();
    logEvent("stop", "planned stop, " + std::to_string(this->relay.gateway().open()) + " calls open");
    this->callers.closeAfterAnswers(true);
    this->loop.timers().subscribeAfter(stopAcceptingAfter, [this] { this->closeCallers(); });
}

void Daemon::closeCallers()
{
    this->callers.stopAccepting();
    this->endWhenDrained();
}

void Daemon::endWhenDrained()
{
    constexpr Milliseconds checkInterval { 50 };
    const bool isOver = this->loop.timers().now() - this->stopBegun >= this->settings.stopLimit - stopReserve;
    if (this->callers.openConnections() == 0 || isOver) {
        logEvent("drained", std::to_string(this->relay.gateway().open()) + " calls cut");
        this->loop.stop();
        return;
    }
    this->loop.timers().subscribeAfter(checkInterval, [this] { this->endWhenDrained(); });
}

}

int runDaemon(const GatewaySettings& settings, const SettingsSource& source)
{
    if (!startInstanceLog(settings.instance))
        return ExitSettings;
    Daemon daemon(settings, source);
    return daemon.run();
}
