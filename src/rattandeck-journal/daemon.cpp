#include "daemon.h"

#include "disk.h"
#include "metadata.h"
#include "platform/names.h"
#include "platform/objectcodec.h"
#include "platform/storegossip.h"
#include "Rattandeck/journal.h"
#include "Rattandeck/journalsegments.h"
#include "Rattandeck/permitissuer.h"
#include "Rattandeck/quotaissuer.h"
#include "Rattandeck/streamorigins.h"
#include "RattandeckApp/memory.h"
#include "RattandeckApp/reload.h"
#include "RattandeckNet/peer.h"

#include <algorithm>
#include <iterator>
#include <utility>

using namespace Rattandeck;
using namespace RattandeckApp;
using namespace RattandeckNet;

// Settings -----------------------------------------------------------------------------------------------------------

void bindSettings(SettingsSchema& schema, JournalSettings& s)
{
    bindIdentity(schema, s.instance);
    bindAdmin(schema, s.instance, "health and metrics");
    bindPeers(schema, s.instance, "gateways and journals");
    schema.addStringList("peers.seeds", s.seeds, "addresses of other journals to contact at start-up");
    schema.addAddress("platform.object_store", s.objectStore, "address of the platform's store");
    schema.addString("disk.folder", s.folder, "folder for records; must not be shared with another process");
    schema.addInteger("disk.max_bytes", s.maxDiskBytes, 0, std::int64_t { 1 } << 50,
        "bytes in the folder beyond which nothing is written, as on a full disk (0: no bound)");
    bindToleratedLosses(schema, s.toleratedLosses);
    bindMemory(schema, s.instance.memoryLimitMb);
    bindLog(schema, s.instance.log);
}

namespace {

constexpr Milliseconds expiryInterval { 1000 };
constexpr Milliseconds retirementCheckInterval { 200 };
/// How long the store holds a watch of retirements: each journal makes one call in this time.
constexpr Milliseconds retirementWatchWait { 10000 };
/// Interval at which metadata that could not be written is written again.
constexpr Milliseconds metadataRetryInterval { 200 };
/// Delay before news of the store is synced to the disk, unless a record of the journal is synced sooner.
constexpr Milliseconds newsSyncDelay { 100 };

// Daemon ---------------------------------------------------------------------------------------------------------

class Daemon : private JournalIo {
public:
    Daemon(const JournalSettings& settings, const SettingsSource& source)
        : settings(settings)
        , metadata(settings.folder)
        , network(this->loop, this->hello({}), journalLinkLimits(), this->memory, this->peerHandlers())
        , reload(this->loop.timers(), this->reloadParts(source), settings)
    {
    }

    int run();

private:
    Hello hello(const std::string& address) const;
    PeerHandlers peerHandlers();
    void createJournal(const std::string& address);
    void createStore(const Address& address);
    bool openDisk();
    void startAdmin();
    void watchRetirements();
    SettingsReload<JournalSettings>::Parts reloadParts(const SettingsSource& source);
    void stop();

    // Links
    void onUp(const Hello& hello);
    void onDown(const NodeId& node);
    void onMessage(const NodeId& from, const Message& message);
    void updateLinks(const JournalSet& set);

    void expire();
    JournalSegments::Io segmentsIo();

    // Full disk
    void setMaxDiskBytes(std::int64_t maxBytes);
    void updateWritable();
    void retryMetadata();

    // News of the store, which survive a restart while the store is down
    Platform::StoreNewsHandlers storeNewsHandlers();
    void onRecovered(RecoveredRecord record);
    void onConfig(const Platform::StoredObject& object);
    void syncNews();

    // JournalIo
    bool send(const NodeId& to, const Message& message) override { return this->network.send(to, message); }
    void append(const JournalRecord& record) override { this->disk->append(record); }
    bool isWritable() const { return this->isDiskWritable && this->metadata.isWritten(); }
    std::optional<RetainedTurn> readTurn(const DiskLocation& location) override { return this->disk->read(location); }
    void sync(std::function<void()> onDurable) override;
    void persistSyncState(const JournalSyncState& syncState) override;
    void persistSet(const JournalSet& set) override;
    void readSet() override;
    void writeSet(const JournalSet& set) override;
    void onSetChanged(const JournalSet& set) override;
    void logStep(const std::string& step, const std::string& detail) override { logEvent(step, detail); }
    void onSetCallDone(const tl::expected<Platform::StoredObject, Platform::StoreError>& result, bool isWrite);

    // Retirement
    void onRetirement(const Platform::StoredObject& object, bool isRemoved);
    void updateRetirement();
    void writeRetirement(bool isRetirementComplete);

    JournalSettings settings;
    // Outlives the connections, the last of which end with the loop.
    MemoryBudget memory { connectionMemory(this->settings.instance.memoryLimitMb) };
    EventLoop loop;
    Metrics metrics;
    RefusalLog refusals { this->loop.timers(), this->memory };
    JournalMetadata metadata;
    std::unique_ptr<Journal> journal;
    std::unique_ptr<JournalDisk> disk;
    std::unique_ptr<JournalSegments> segments;
    PeerNetwork network;
    /// Journals pass on what they read in the store, and use none of it themselves.
    Platform::StoreGossip storeNews { this->loop, NodeId(this->settings.instance.node), Role::Journal,
        [this](const NodeId& node, const Message& message) { return this->network.send(node, message); },
        [] { return 1U; }, this->storeNewsHandlers() };
    PermitIssuer permits { this->loop.timers(), NodeId(this->settings.instance.node),
        [this](const NodeId& node, const Message& message) { return this->network.send(node, message); } };
    QuotaIssuer quotas { this->loop.timers(), NodeId(this->settings.instance.node),
        [this](const NodeId& node, const Message& message) { return this->network.send(node, message); } };
    /// Version of the configuration that `quotas` applies.
    std::uint64_t quotasVersion = 0;
    StreamOriginTable origins { this->loop.timers() };
    std::unique_ptr<Platform::ObjectStore> store;
    std::optional<Platform::StoredObject> storedSet;
    std::unique_ptr<HttpServer> admin;
    std::map<std::string, Platform::StoredObject> retirements;
    /// Whether the last retirement status that was written to the store reported completion.
    std::optional<bool> reportedCompletion;
    bool isRetirementPending = false;
    TimerId retirementTimer;
    SettingsReload<JournalSettings> reload;
    bool isStopping = false;
    /// What the disk holds of the news of the store, until it has been read.
    std::vector<GossipItem> recoveredNews;
    bool isNewsSyncPending = false;
    bool isDiskWritable = true;
    /// What the journal was told last.
    bool wasWritable = true;
    bool isMetadataRetryPending = false;
};

Hello Daemon::hello(const std::string& address) const
{
    Hello self;
    self.node = NodeId(this->settings.instance.node);
    self.role = Role::Journal;
    self.incarnation = incarnationFromClock();
    self.domain = FailureDomain(this->settings.instance.domain);
    self.address = address;
    return self;
}

PeerHandlers Daemon::peerHandlers()
{
    PeerHandlers handlers;
    handlers.onTooLong = logTooLong;
    handlers.onUp = [this](const Hello& hello) { this->onUp(hello); };
    handlers.onDown = [this](const NodeId& node) { this->onDown(node); };
    handlers.onMessage = [this](const NodeId& from, const Message& message) { this->onMessage(from, message); };
    return handlers;
}

// Start ----------------------------------------------------------------------------------------------------------

bool Daemon::openDisk()
{
    JournalDisk::RecoveryStats recoveryStats;
    const auto startedAt = std::chrono::steady_clock::now();
    auto opened = JournalDisk::open(
        this->loop, this->settings.folder, {}, [this](RecoveredRecord record) { this->onRecovered(std::move(record)); },
        recoveryStats);
    if (!opened) {
        logError("disk", this->settings.folder + ": can't be read");
        return false;
    }
    this->disk = std::move(*opened);
    this->disk->setOnTurnWritten(
        [this](const TurnId& turn, const DiskLocation& location) { this->journal->onWritten(turn, location); });
    this->disk->setOnWritable([this](bool isWritable) {
        this->isDiskWritable = isWritable;
        this->updateWritable();
    });
    this->setMaxDiskBytes(this->settings.maxDiskBytes);
    this->storeNews.restore(std::exchange(this->recoveredNews, {}));
    if (const auto config = this->storeNews.config())
        this->onConfig(*config);
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - startedAt);
    this->metrics.observe("rattandeck_disk_read_seconds", std::chrono::duration<double>(elapsed).count());
    logEvent("disk read",
        std::to_string(elapsed.count()) + " ms, " + std::to_string(recoveryStats.records) + " records in "
            + std::to_string(recoveryStats.segments) + " segments, " + std::to_string(recoveryStats.tornSegments)
            + " torn; " + std::to_string(this->journal->state().turnCount()) + " turns, "
            + std::to_string(this->journal->state().budgetCount())
            + " budgets; complete: " + (this->metadata.syncState().isComplete ? "yes" : "no") + ", epoch "
            + std::to_string(this->metadata.set().epoch.value));
    return true;
}

void Daemon::startAdmin()
{
    this->admin = std::make_unique<HttpServer>(
        this->loop, operatorLimits(), this->memory, [this](const HttpRequest& request, const HttpResponder& responder) {
            answerAdmin(
                request, responder, [this] { return this->journal->isVoting(); }, this->metrics);
        });
    this->admin->setNeedsBody([](const HttpRequest&) { return false; });
    provideMemoryMetrics(this->metrics, this->memory);
    this->refusals.start();
    this->metrics.provide(
        "rattandeck_journal_turns", "gauge", [this] { return double(this->journal->state().turnCount()); });
    this->metrics.provide(
        "rattandeck_journal_budgets", "gauge", [this] { return double(this->journal->state().budgetCount()); });
    this->metrics.provide(
        "rattandeck_journal_bytes", "gauge", [this] { return double(this->journal->state().bytes()); });
    this->metrics.provide(
        "rattandeck_journal_epoch", "gauge", [this] { return double(this->journal->set().epoch.value); });
    this->metrics.provide("rattandeck_journal_writable", "gauge", [this] { return this->isWritable() ? 1 : 0; });
    this->metrics.provide("rattandeck_journal_complete", "gauge", [this] { return this->journal->isVoting() ? 1 : 0; });
    this->metrics.provide(
        "rattandeck_disk_syncs_total", "counter", [this] { return double(this->disk->stats().syncs); });
    this->metrics.provide(
        "rattandeck_disk_failures_total", "counter", [this] { return double(this->disk->stats().failures); });
    this->metrics.provide(
        "rattandeck_disk_written_bytes_total", "counter", [this] { return double(this->disk->stats().bytes); });
    this->metrics.provide("rattandeck_journal_bytes_in_memory", "gauge",
        [this] { return double(this->journal->state().bytesInMemory()); });
    this->metrics.provide(
        "rattandeck_endpoints_limited", "gauge", [this] { return double(this->permits.limitedInstances()); });
    this->metrics.provide(
        "rattandeck_permits_issued_total", "counter", [this] { return double(this->permits.issuedPermits()); });
    this->metrics.provide("rattandeck_largest_limit_use", "gauge", [this] { return this->permits.takeLargestUse(); });
    const auto& quotaCounts = this->quotas.counts();
    this->metrics.provide(
        "rattandeck_quota_organisations", "gauge", [this] { return double(this->quotas.limitedOrganisations()); });
    this->metrics.provide("rattandeck_quota_issuing", "gauge", [this] { return this->quotas.isIssuing() ? 1 : 0; });
    this->metrics.provide(
        "rattandeck_quota_tokens_granted_total", "counter", [&quotaCounts] { return quotaCounts.granted; });
    this->metrics.provide(
        "rattandeck_quota_tokens_returned_total", "counter", [&quotaCounts] { return quotaCounts.returned; });
    this->metrics.provide(
        "rattandeck_quota_tokens_denied_total", "counter", [&quotaCounts] { return double(quotaCounts.denied); });
    this->metrics.provide("rattandeck_stream_origins", "gauge", [this] { return double(this->origins.size()); });
    Platform::provideStoreMetrics(this->metrics, *this->store);
    this->storeNews.provideMetrics(this->metrics);
    provideLinkTraffic(this->metrics, this->network);
}

void Daemon::createJournal(const std::string& address)
{
    JournalMembershipLimits limits;
    limits.toleratedLosses = toleratedLosses(this->settings.toleratedLosses);
    JournalIo& io = *this;
    this->journal = std::make_unique<Journal>(
        this->loop.timers(), io, JournalMember { NodeId(this->settings.instance.node), address }, limits);
    this->segments = std::make_unique<JournalSegments>(*this->journal, this->segmentsIo());
}

void Daemon::createStore(const Address& address)
{
    this->store = std::make_unique<Platform::ObjectStore>(this->loop, address);
}

int Daemon::run()
{
    const auto storeAddress = parseAddress(this->settings.objectStore);
    if (!storeAddress) {
        logError("settings", "platform.object_store: " + this->settings.objectStore);
        return ExitSettings;
    }
    if (!listenAt(this->settings.instance.peersListen, this->network))
        return ExitUnavailable;
    const std::string address = peersAddress(this->settings.instance, this->network.port());
    this->network.setSelf(this->hello(address));
    this->createJournal(address);
    if (!this->openDisk())
        return ExitUnavailable;
    this->createStore(*storeAddress);
    this->updateLinks(this->metadata.set());
    this->permits.setMembers(this->metadata.set().members);
    this->quotas.setMembers(this->metadata.set().members);
    this->journal->start(this->metadata.set(), this->metadata.syncState());
    this->startAdmin();
    if (!listenAt(this->settings.instance.adminListen, *this->admin))
        return ExitUnavailable;
    this->watchRetirements();
    this->storeNews.start(*this->store);
    this->expire();
    this->reload.watch();
    DaemonRun run;
    run.node = this->settings.instance.node;
    run.startDetail = ", peers " + address;
    run.addresses = { { "peers", address } };
    run.onStop = [this] { this->stop(); };
    run.onReload = [this] { this->reload.reload("signal"); };
    runUntilStopped(this->loop, run);
    return ExitSuccess;
}

SettingsReload<JournalSettings>::Parts Daemon::reloadParts(const SettingsSource& source)
{
    SettingsReload<JournalSettings>::Parts parts;
    parts.source = source;
    parts.bind = bindSettings;
    parts.appliedKeys = { "peers.seeds", "disk.max_bytes", "log.level", "log.bytes_per_second" };
    parts.apply = [this](const JournalSettings& reloaded) {
        this->settings.seeds = reloaded.seeds;
        this->setMaxDiskBytes(reloaded.maxDiskBytes);
        adjustLog(reloaded.instance.log);
        this->updateLinks(this->journal->set());
    };
    return parts;
}

void Daemon::stop()
{
    if (this->isStopping)
        return;
    this->isStopping = true;
    logEvent("stop", "planned stop");
    PlannedStop steps;
    steps.isDrained = [] { return true; };
    steps.close = [this] { this->network.close(); };
    steps.isClosed = [this] { return this->network.isClosed(); };
    steps.stop = [this] { this->loop.stop(); };
    runPlannedStop(this->loop.timers(), std::move(steps));
}

// Links --------------------------------------------------------------------------------------------------------------

void Daemon::updateLinks(const JournalSet& set)
{
    std::vector<std::string> addresses = this->settings.seeds;
    for (const JournalMember& member : set.members)
        addresses.push_back(member.address);
    this->network.keepLinksTo(parseAddresses(addresses));
}

void Daemon::onUp(const Hello& hello)
{
    logEvent("link up", hello.node.value);
    this->storeNews.onLinkUp(hello.node);
    this->permits.onLinkUp(hello.node, hello.role);
    this->quotas.onLinkUp(hello.node, hello.role);
    this->journal->onLinkUp(hello.node, hello.role);
}

void Daemon::onDown(const NodeId& node)
{
    logEvent("link down", node.value);
    this->storeNews.onLinkDown(node);
    this->permits.onLinkDown(node);
    this->quotas.onLinkDown(node);
    this->journal->onLinkDown(node);
}

void Daemon::onMessage(const NodeId& from, const Message& message)
{
    this->journal->onMessage(from, message);
    this->storeNews.onMessage(from, message);
    this->permits.onMessage(from, message);
    this->quotas.onMessage(from, message);
    this->origins.onMessage(
        from, message, [this](const NodeId& node, const Message& answer) { return this->network.send(node, answer); });
}

// Segments -----------------------------------------------------------------------------------------------------------

void Daemon::expire()
{
    this->journal->expire();
    this->segments->removeOld(this->loop.timers().now(), this->wasWritable);
    this->loop.timers().subscribeAfter(expiryInterval, [this] { this->expire(); });
}

JournalSegments::Io Daemon::segmentsIo()
{
    JournalSegments::Io segmentsIo;
    segmentsIo.current = [this] { return this->disk->currentSegment(); };
    segmentsIo.onBegun = [this] { this->disk->append(GossipItems { this->storeNews.items() }); };
    segmentsIo.removeBefore = [this](JournalSegments::Number number) { this->disk->removeBefore(number); };
    segmentsIo.removeExpiredBefore
        = [this](JournalSegments::Number number) { this->disk->removeExpiredBefore(number); };
    return segmentsIo;
}

// Full disk ----------------------------------------------------------------------------------------------------------

void Daemon::setMaxDiskBytes(std::int64_t maxBytes)
{
    this->disk->quota().setMaxBytes(static_cast<std::uint64_t>(maxBytes));
    this->metadata.quota().setMaxBytes(static_cast<std::uint64_t>(maxBytes));
}

/// Tells the journal whether it may take records. The set of journals and the synchronisation state must be on disk
/// too: after a restart this journal would else answer by those that it had before.
void Daemon::updateWritable()
{
    if (!this->metadata.isWritten() && !this->isMetadataRetryPending) {
        this->isMetadataRetryPending = true;
        this->loop.timers().subscribeAfter(metadataRetryInterval, [this] { this->retryMetadata(); });
    }
    const bool isWritableNow = this->isWritable();
    if (isWritableNow == this->wasWritable)
        return;
    this->wasWritable = isWritableNow;
    this->journal->setWritable(isWritableNow);
    if (!isWritableNow) {
        logError("disk", "can't be written: nothing is acknowledged until it can");
        return;
    }
    logEvent("disk", "can be written again");
    // What came meanwhile was not written.
    this->disk->append(GossipItems { this->storeNews.items() });
    this->syncNews();
}

void Daemon::retryMetadata()
{
    this->isMetadataRetryPending = false;
    this->metadata.retry();
    this->updateWritable();
}

void Daemon::sync(std::function<void()> onDurable)
{
    const TimePoint startedAt = this->loop.timers().now();
    this->disk->sync([this, startedAt, onDurable = std::move(onDurable)] {
        const std::chrono::duration<double> elapsed = this->loop.timers().now() - startedAt;
        this->metrics.observe("rattandeck_disk_sync_seconds", elapsed.count());
        onDurable();
    });
}

// News of the store
// ----------------------------------------------------------------------------------------------------

Platform::StoreNewsHandlers Daemon::storeNewsHandlers()
{
    Platform::StoreNewsHandlers handlers;
    handlers.onItem = [this](const GossipItem& item) {
        // While the disk refuses writes, they would pile up in memory.
        if (!this->wasWritable)
            return;
        this->disk->append(GossipItems { { item } });
        this->syncNews();
    };
    handlers.onConfig = [this](const Platform::StoredObject& object) { this->onConfig(object); };
    return handlers;
}

/// Journals use nothing of the configuration but the allowances of organisations.
void Daemon::onConfig(const Platform::StoredObject& object)
{
    const auto config = Platform::readConfig(object.spec);
    if (!config || config->version <= this->quotasVersion)
        return;
    this->quotasVersion = config->version;
    this->quotas.setOrganisations(config->organisations.value_or(std::vector<Organisation> {}));
}

void Daemon::syncNews()
{
    if (this->isNewsSyncPending)
        return;
    this->isNewsSyncPending = true;
    this->loop.timers().subscribeAfter(newsSyncDelay, [this] {
        this->isNewsSyncPending = false;
        this->disk->sync([] {});
    });
}

void Daemon::onRecovered(RecoveredRecord record)
{
    if (auto* news = std::get_if<GossipItems>(&record))
        std::ranges::move(news->items, std::back_inserter(this->recoveredNews));
    else
        this->journal->restore(record);
}

// The set in the store -----------------------------------------------------------------------------------------------

void Daemon::readSet()
{
    this->store->read(Platform::Names::journalsKind, Platform::Names::journalsName,
        [this](const auto& result) { this->onSetCallDone(result, false); });
}

void Daemon::writeSet(const JournalSet& set)
{
    const auto done = [this](const auto& result) { this->onSetCallDone(result, true); };
    const nlohmann::json spec = Platform::writeJournalSet(set);
    if (!this->storedSet) {
        this->store->create(Platform::Names::journalsKind, Platform::Names::journalsName, spec, done);
        return;
    }
    Platform::StoredObject changed = *this->storedSet;
    changed.spec = spec;
    this->store->replace(Platform::Names::journalsKind, changed, done);
}

void Daemon::onSetCallDone(const tl::expected<Platform::StoredObject, Platform::StoreError>& result, bool isWrite)
{
    if (!result && result.error() == Platform::StoreError::NotFound && !isWrite) {
        this->storedSet.reset();
        this->journal->onSetRead(std::nullopt);
        return;
    }
    const auto set = result ? Platform::readJournalSet(result->spec) : tl::unexpected(Platform::DecodeError { "" });
    if (!set) {
        logEvent("journal set not accessible",
            result ? "malformed: " + set.error().field : std::string(Platform::describe(result.error())));
        this->journal->onSetCallFailed();
        return;
    }
    this->storedSet = *result;
    if (isWrite)
        this->journal->onSetWritten(*set);
    else
        this->journal->onSetRead(*set);
}

void Daemon::persistSyncState(const JournalSyncState& syncState)
{
    if (!this->metadata.persistSyncState(syncState))
        logError("disk", "notes can't be written");
    // Not at once: the journal must not be called back from here.
    this->loop.post([this] { this->updateWritable(); });
}

void Daemon::persistSet(const JournalSet& set)
{
    if (!this->metadata.persistSet(set))
        logError("disk", "notes can't be written");
    this->loop.post([this] { this->updateWritable(); });
}

void Daemon::onSetChanged(const JournalSet& set)
{
    this->updateLinks(set);
    this->permits.setMembers(set.members);
    this->quotas.setMembers(set.members);
}

// Retirement ---------------------------------------------------------------------------------------------------------

void Daemon::watchRetirements()
{
    Platform::KindHandlers handlers;
    handlers.onSnapshot = [this](const std::vector<Platform::StoredObject>& objects, std::uint64_t) {
        this->retirements.clear();
        for (const Platform::StoredObject& object : objects)
            this->retirements[object.name] = object;
        this->updateRetirement();
    };
    handlers.onChange
        = [this](const Platform::StoredObject& object, bool isRemoved) { this->onRetirement(object, isRemoved); };
    handlers.onReachable = [](bool isReachable) { logEvent("platform store", isReachable ? "reachable" : "lost"); };
    this->store->follow(Platform::Names::retirementsKind, handlers, retirementWatchWait);
}

void Daemon::onRetirement(const Platform::StoredObject& object, bool isRemoved)
{
    if (isRemoved)
        this->retirements.erase(object.name);
    else
        this->retirements[object.name] = object;
    this->updateRetirement();
}

void Daemon::updateRetirement()
{
    std::set<NodeId> retiring;
    for (const auto& [name, object] : this->retirements)
        retiring.insert(NodeId(name));
    this->journal->setRetiring(retiring);
    if (!this->retirements.contains(this->settings.instance.node))
        return;
    this->writeRetirement(this->journal->isRetirementComplete());
    this->loop.timers().cancel(this->retirementTimer);
    if (!this->reportedCompletion.value_or(false)) {
        this->retirementTimer
            = this->loop.timers().subscribeAfter(retirementCheckInterval, [this] { this->updateRetirement(); });
    }
}

void Daemon::writeRetirement(bool isRetirementComplete)
{
    if (this->reportedCompletion == isRetirementComplete || this->isRetirementPending)
        return;
    Platform::StoredObject object = this->retirements.at(this->settings.instance.node);
    object.revision = 0;
    object.status = Platform::writeRetirementStatus(isRetirementComplete);
    this->isRetirementPending = true;
    this->store->replaceStatus(
        Platform::Names::retirementsKind, object, [this, isRetirementComplete](const auto& result) {
            this->isRetirementPending = false;
            if (result)
                this->reportedCompletion = isRetirementComplete;
            const std::string phase = isRetirementComplete ? "completed" : "running";
            logEvent("retirement", phase + (result ? "" : ": " + std::string(Platform::describe(result.error()))));
        });
}

}

int runDaemon(const JournalSettings& settings, const SettingsSource& source)
{
    if (!startInstanceLog(settings.instance))
        return ExitSettings;
    limitHeap();
    Daemon daemon(settings, source);
    return daemon.run();
}
