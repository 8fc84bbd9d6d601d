#include "daemon.h"

#include "disk.h"
#include "notes.h"
#include "platform/directory.h"
#include "platform/names.h"
#include "Rattandeck/bulletins.h"
#include "Rattandeck/journalcopier.h"
#include "Rattandeck/journalmembership.h"
#include "Rattandeck/journalstate.h"
#include "RattandeckApp/commandline.h"
#include "RattandeckNet/peer.h"

#include <csignal>
#include <deque>

using namespace Rattandeck;
using namespace RattandeckApp;
using namespace RattandeckNet;

// Settings -----------------------------------------------------------------------------------------------------------

void bindSettings(SettingsSchema& schema, JournalSettings& s)
{
    bindIdentity(schema, s.instance);
    bindAdmin(schema, s.instance, "health and metrics");
    bindPeers(schema, s.instance, "gateways and journals");
    schema.addStringList("peers.seeds", s.seeds, "addresses at which other journals may be found");
    schema.addAddress("platform.object_store", s.objectStore, "address of the platform's store");
    schema.addString("disk.folder", s.folder, "folder for records; used by this process alone");
    bindToleratedLosses(schema, s.toleratedLosses);
    bindLog(schema, s.instance.log);
}

namespace {

constexpr Milliseconds expiryInterval { 1000 };
constexpr Milliseconds retirementCheckInterval { 200 };
constexpr std::size_t pageRecords = 512;
/// How long segments are kept beyond the longest retention seen, so that a chain's oldest turns are rarely rewritten.
constexpr Milliseconds segmentSlack { 60000 };

// Daemon ---------------------------------------------------------------------------------------------------------

class Daemon : private JournalMembershipIo {
public:
    explicit Daemon(const JournalSettings& settings)
        : settings(settings)
        , notes(settings.folder)
        , network(this->loop, this->hello({}), journalLinkLimits(), this->peerHandlers())
    {
    }

    int run();

private:
    struct Segment {
        JournalDisk::SegmentNumber number = 0;
        TimePoint begunAt;
        /// Number of the last record in earlier segments.
        std::uint64_t recordsBefore = 0;
    };

    Hello hello(const std::string& address) const;
    PeerHandlers peerHandlers();
    bool openDisk();
    /// Returns whether the record was not known before.
    bool applyRecord(const JournalRecord& record);
    void startMembership(const std::string& address);
    void startAdmin();
    void followRetirements();
    void stop();

    // Links
    void onUp(const Hello& hello);
    void onDown(const NodeId& node);
    void onMessage(const NodeId& from, const Message& message);
    void linkToMembers();

    // Records
    void onClaim(const NodeId& from, const ClaimTokens& claim);
    void onStore(const NodeId& from, const StoreTurn& store);
    void onFetch(const NodeId& from, const FetchTurn& fetch);
    void onSettle(const SettleClaim& claim);
    void onCrashes(const NodeId& from, const CrashReports& crashes);
    void onCopyRequest(const NodeId& from, const CopyRequest& request);
    void onCopyPage(const NodeId& from, const CopyPage& page);
    void onTurnsRequest(const NodeId& from, const TurnsRequest& request);
    void onTurnsPage(const NodeId& from, const TurnsPage& page);
    JournalCopier::Io copierIo();
    void expire();
    void removeOldSegments();
    void rewriteThrough(std::uint64_t number);

    // JournalMembershipIo
    void readSet() override;
    void writeSet(const JournalSet& set) override;
    bool askForPage(const NodeId& node, const CopyRequest& request) override;
    void noteComplete(bool isComplete) override;
    void onSetChanged(const JournalSet& set) override;
    void logStep(const std::string& step, const std::string& detail) override { logEvent(step, detail); }
    void onStoredSet(const tl::expected<Platform::StoredObject, Platform::StoreError>& result, bool isWrite);

    // Retirement
    void onRetirement(const Platform::StoredObject& object, bool isRemoved);
    void checkRetirement();
    void writeRetirement(const std::string& phase);

    JournalSettings settings;
    EventLoop loop;
    Metrics metrics;
    JournalNotes notes;
    JournalState state;
    JournalCopier copier { this->copierIo() };
    std::unique_ptr<JournalDisk> disk;
    std::deque<Segment> segments;
    Milliseconds longestRetention { 0 };
    PeerNetwork network;
    std::set<NodeId> linked;
    BulletinBoard board { this->loop.timers(), {},
        [this](const NodeId& node, const Message& message) { return this->network.send(node, message); }, {} };
    std::unique_ptr<Platform::ObjectStore> store;
    std::optional<Platform::StoredObject> storedSet;
    std::unique_ptr<JournalMembership> membership;
    std::unique_ptr<HttpServer> admin;
    std::map<std::string, Platform::StoredObject> retirements;
    std::string retirementPhase;
    bool isRetirementPending = false;
    TimerId retirementTimer;
    bool isStopping = false;
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
    handlers.onUp = [this](const Hello& hello) { this->onUp(hello); };
    handlers.onDown = [this](const NodeId& node) { this->onDown(node); };
    handlers.onMessage = [this](const NodeId& from, const Message& message) { this->onMessage(from, message); };
    return handlers;
}

// Start ----------------------------------------------------------------------------------------------------------

bool Daemon::applyRecord(const JournalRecord& record)
{
    const TimePoint now = this->loop.timers().now();
    if (const auto* claim = std::get_if<SettleClaim>(&record)) {
        this->longestRetention = std::max(this->longestRetention, claim->retention);
        return this->state.apply(*claim, now);
    }
    if (const auto* turn = std::get_if<RetainedTurn>(&record)) {
        this->longestRetention = std::max(this->longestRetention, turn->retention);
        return this->state.apply(*turn, now);
    }
    bool isNew = false;
    for (const CrashReport& report : std::get<CrashReports>(record).reports)
        isNew = this->state.apply(report, now) || isNew;
    return isNew;
}

bool Daemon::openDisk()
{
    JournalDisk::Found found;
    const auto begun = std::chrono::steady_clock::now();
    auto opened = JournalDisk::open(
        this->loop, this->settings.folder, {}, [this](const JournalRecord& record) { this->applyRecord(record); },
        found);
    if (!opened) {
        logError("disk", this->settings.folder + ": can't be read");
        return false;
    }
    this->disk = std::move(*opened);
    const auto taken = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begun);
    logEvent("disk read",
        std::to_string(taken.count()) + " ms, " + std::to_string(found.records) + " records in "
            + std::to_string(found.segments) + " segments, " + std::to_string(found.tornSegments) + " torn; "
            + std::to_string(this->state.turnCount()) + " turns, " + std::to_string(this->state.budgetCount())
            + " budgets; complete: " + (this->notes.isComplete() ? "yes" : "no") + ", epoch "
            + std::to_string(this->notes.set().epoch.value));
    return true;
}

void Daemon::startMembership(const std::string& address)
{
    const JournalMember self { NodeId(this->settings.instance.node), address };
    JournalMembershipIo& io = *this;
    JournalMembershipLimits limits;
    limits.toleratedLosses = static_cast<std::size_t>(std::max<std::int64_t>(this->settings.toleratedLosses, 1));
    this->membership = std::make_unique<JournalMembership>(this->loop.timers(), io, self, limits);
    this->linkToMembers();
    this->membership->start(this->notes.set(), this->notes.isComplete());
    this->linkToMembers();
}

void Daemon::startAdmin()
{
    this->admin = std::make_unique<HttpServer>(
        this->loop, HttpLimits {}, [this](const HttpRequest& request, const HttpResponder& responder) {
            answerAdmin(
                request, responder, [this] { return this->membership->counts(); }, this->metrics);
        });
    this->metrics.provide("rattandeck_journal_turns", "gauge", [this] { return double(this->state.turnCount()); });
    this->metrics.provide("rattandeck_journal_budgets", "gauge", [this] { return double(this->state.budgetCount()); });
    this->metrics.provide("rattandeck_journal_bytes", "gauge", [this] { return double(this->state.bytes()); });
    this->metrics.provide(
        "rattandeck_journal_epoch", "gauge", [this] { return double(this->membership->set().epoch.value); });
    this->metrics.provide(
        "rattandeck_journal_complete", "gauge", [this] { return this->membership->counts() ? 1 : 0; });
    this->metrics.provide(
        "rattandeck_disk_syncs_total", "counter", [this] { return double(this->disk->counts().syncs); });
    this->metrics.provide(
        "rattandeck_disk_failures_total", "counter", [this] { return double(this->disk->counts().failures); });
    this->metrics.provide(
        "rattandeck_disk_written_bytes_total", "counter", [this] { return double(this->disk->counts().bytes); });
    this->metrics.provide(
        "rattandeck_store_calls_total", "counter", [this] { return double(this->store->callCount()); });
}

int Daemon::run()
{
    const auto storeAddress = parseAddress(this->settings.objectStore);
    if (!storeAddress) {
        logError("settings", "platform.object_store: " + this->settings.objectStore);
        return ExitSettings;
    }
    if (!this->openDisk())
        return ExitUnavailable;
    if (!listenAt(this->settings.instance.peersListen, this->network))
        return ExitUnavailable;
    const std::string address = peersAddress(this->settings.instance, this->network.port());
    this->network.setSelf(this->hello(address));
    Platform::StoreLimits storeLimits;
    storeLimits.watchWait = std::chrono::milliseconds(10000);
    this->store = std::make_unique<Platform::ObjectStore>(this->loop, *storeAddress, storeLimits);
    this->startMembership(address);
    this->startAdmin();
    if (!listenAt(this->settings.instance.adminListen, *this->admin))
        return ExitUnavailable;
    this->followRetirements();
    this->expire();
    keepLogFlushed(this->loop.timers());
    this->loop.onSignal(SIGTERM, [this] { this->stop(); });
    this->loop.onSignal(SIGINT, [this] { this->stop(); });
    this->loop.onSignal(SIGHUP, [] { logEvent("reload", "settings are read at the start only"); });
    logEvent("start",
        std::string("version ") + RATTANDECK_VERSION + ", node " + this->settings.instance.node + ", peers " + address);
    printReady({ { "peers", address } });
    this->loop.run();
    logEvent("stopped", this->settings.instance.node);
    flushLog();
    return ExitSuccess;
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

void Daemon::linkToMembers()
{
    std::vector<std::string> addresses = this->settings.seeds;
    for (const JournalMember& member : this->membership->set().members)
        addresses.push_back(member.address);
    this->network.keepLinksTo(parseAddresses(addresses));
}

void Daemon::onUp(const Hello& hello)
{
    this->linked.insert(hello.node);
    logEvent("link up", hello.node.value);
    this->board.onLinkUp(hello.node);
    if (this->membership->set().epoch.value > 0)
        this->network.send(hello.node, this->membership->set());
    if (hello.role == Role::Journal)
        this->membership->onLinkUp(hello.node);
    else if (auto crashes = this->state.crashes(); !crashes.empty())
        this->network.send(hello.node, CrashReports { std::move(crashes) });
}

void Daemon::onDown(const NodeId& node)
{
    this->linked.erase(node);
    logEvent("link down", node.value);
    this->board.onLinkDown(node);
    this->membership->onLinkDown(node);
    this->copier.onLinkDown(node);
}

void Daemon::onMessage(const NodeId& from, const Message& message)
{
    if (const auto* claim = std::get_if<ClaimTokens>(&message))
        this->onClaim(from, *claim);
    else if (const auto* settled = std::get_if<SettleClaim>(&message))
        this->onSettle(*settled);
    else if (const auto* stored = std::get_if<StoreTurn>(&message))
        this->onStore(from, *stored);
    else if (const auto* fetch = std::get_if<FetchTurn>(&message))
        this->onFetch(from, *fetch);
    else if (const auto* set = std::get_if<JournalSet>(&message))
        this->membership->onSetTold(*set);
    else if (const auto* request = std::get_if<CopyRequest>(&message))
        this->onCopyRequest(from, *request);
    else if (const auto* page = std::get_if<CopyPage>(&message))
        this->onCopyPage(from, *page);
    else if (const auto* turnsRequest = std::get_if<TurnsRequest>(&message))
        this->onTurnsRequest(from, *turnsRequest);
    else if (const auto* turns = std::get_if<TurnsPage>(&message))
        this->onTurnsPage(from, *turns);
    else if (const auto* crashes = std::get_if<CrashReports>(&message))
        this->onCrashes(from, *crashes);
    else
        this->board.onMessage(from, message);
}

// Records ------------------------------------------------------------------------------------------------------------

void Daemon::onClaim(const NodeId& from, const ClaimTokens& claim)
{
    const SettleClaim record { claim.budget, claim.claim, claim.retention };
    if (this->applyRecord(record))
        this->disk->append(record, {});
    if (!this->membership->counts())
        return;
    const ClaimsKnown answer { claim.ticket, this->membership->set().epoch, this->state.claims(claim.budget) };
    this->disk->sync([this, from, answer] { this->network.send(from, answer); });
}

void Daemon::onSettle(const SettleClaim& claim)
{
    if (this->applyRecord(claim))
        this->disk->append(claim, {});
}

void Daemon::onCrashes(const NodeId& from, const CrashReports& crashes)
{
    if (!this->applyRecord(crashes))
        return;
    this->disk->append(crashes, {});
    for (const NodeId& node : this->linked) {
        if (node != from)
            this->network.send(node, crashes);
    }
}

void Daemon::onStore(const NodeId& from, const StoreTurn& store)
{
    this->applyRecord(store.turn);
    if (!this->membership->counts()) {
        this->disk->append(store.turn, {});
        return;
    }
    const TurnStored answer { store.ticket, this->membership->set().epoch };
    this->disk->append(store.turn, [this, from, answer] { this->network.send(from, answer); });
}

void Daemon::onFetch(const NodeId& from, const FetchTurn& fetch)
{
    TurnFetched answer;
    answer.ticket = fetch.ticket;
    answer.epoch = this->membership->set().epoch;
    if (auto transcript = this->state.transcript(fetch.turn)) {
        answer.isFound = true;
        answer.missing = std::move(transcript->missing);
        answer.transcript = std::move(transcript->text);
    }
    // A journal that does not count must not say that a turn is missing.
    if (answer.isFound || this->membership->counts())
        this->network.send(from, answer);
}

void Daemon::onCopyRequest(const NodeId& from, const CopyRequest& request)
{
    CopyPage page = this->state.page(request.cursor, pageRecords);
    page.round = request.round;
    page.epoch = this->membership->set().epoch;
    if (page.isLast)
        this->membership->onCopiedBy(from);
    this->network.send(from, page);
}

void Daemon::onCopyPage(const NodeId& from, const CopyPage& page)
{
    for (const SettleClaim& claim : page.claims)
        this->onSettle(claim);
    if (!page.crashes.empty())
        this->onCrashes(from, { page.crashes });
    this->copier.onPage(from, page);
}

void Daemon::onTurnsRequest(const NodeId& from, const TurnsRequest& request)
{
    TurnsPage page;
    for (const TurnId& id : request.turns) {
        if (auto turn = this->state.turn(id))
            page.turns.push_back(std::move(*turn));
    }
    this->network.send(from, page);
}

void Daemon::onTurnsPage(const NodeId& from, const TurnsPage& page)
{
    for (const RetainedTurn& turn : page.turns) {
        if (this->applyRecord(turn))
            this->disk->append(turn, {});
    }
    this->copier.onTurns(from);
}

JournalCopier::Io Daemon::copierIo()
{
    JournalCopier::Io io;
    io.isKnown = [this](const TurnId& turn) { return this->state.hasTurn(turn); };
    io.ask = [this](const NodeId& node, const TurnsRequest& request) { this->network.send(node, request); };
    io.onCopied = [this](const NodeId& node, const CopyPage& page) {
        this->disk->sync([this, node, page] { this->membership->onPage(node, page); });
    };
    return io;
}

void Daemon::expire()
{
    this->state.expire(this->loop.timers().now());
    this->removeOldSegments();
    this->loop.timers().subscribeAfter(expiryInterval, [this] { this->expire(); });
}

void Daemon::removeOldSegments()
{
    const TimePoint now = this->loop.timers().now();
    const auto current = this->disk->currentSegment();
    if (this->segments.empty() || this->segments.back().number != current)
        this->segments.push_back({ current, now, this->state.lastNumber() });
    // A segment was closed when the next one was begun.
    const Duration kept = this->longestRetention * 2 + segmentSlack;
    while (this->segments.size() > 1 && now - this->segments[1].begunAt > kept) {
        this->rewriteThrough(this->segments[1].recordsBefore);
        this->segments.pop_front();
        this->disk->removeBefore(this->segments.front().number);
    }
}

/// Appends the records up to this number that are still wanted, since their segment is about to go.
void Daemon::rewriteThrough(std::uint64_t number)
{
    if (auto crashes = this->state.crashes(); !crashes.empty())
        this->disk->append(CrashReports { std::move(crashes) }, {});
    std::uint64_t cursor = 0;
    while (cursor < number) {
        const CopyPage page = this->state.page(cursor, pageRecords);
        for (const SettleClaim& claim : page.claims)
            this->disk->append(claim, {});
        for (const TurnId& turn : page.turns)
            this->disk->append(*this->state.turn(turn), {});
        if (page.isLast)
            return;
        cursor = page.cursor;
    }
}

// The set in the store -----------------------------------------------------------------------------------------------

void Daemon::readSet()
{
    this->store->read(Platform::Names::journalsKind, Platform::Names::journalsName,
        [this](const auto& result) { this->onStoredSet(result, false); });
}

void Daemon::writeSet(const JournalSet& set)
{
    const auto done = [this](const auto& result) { this->onStoredSet(result, true); };
    const nlohmann::json spec = Platform::writeJournalSet(set);
    if (!this->storedSet) {
        this->store->create(Platform::Names::journalsKind, Platform::Names::journalsName, spec, done);
        return;
    }
    Platform::StoredObject changed = *this->storedSet;
    changed.spec = spec;
    this->store->replace(Platform::Names::journalsKind, changed, done);
}

void Daemon::onStoredSet(const tl::expected<Platform::StoredObject, Platform::StoreError>& result, bool isWrite)
{
    if (!result && result.error() == Platform::StoreError::NotFound && !isWrite) {
        this->storedSet.reset();
        this->membership->onSetRead(std::nullopt);
        return;
    }
    const auto set = result ? Platform::readJournalSet(result->spec) : tl::unexpected(Platform::BadObject { "" });
    if (!set) {
        logEvent("journal set not accessible",
            result ? "malformed: " + set.error().field : std::string(Platform::describe(result.error())));
        this->membership->onSetUnread();
        return;
    }
    this->storedSet = *result;
    if (isWrite)
        this->membership->onSetWritten(*set);
    else
        this->membership->onSetRead(*set);
}

bool Daemon::askForPage(const NodeId& node, const CopyRequest& request) { return this->network.send(node, request); }

void Daemon::noteComplete(bool isComplete)
{
    if (!this->notes.noteComplete(isComplete))
        logError("disk", "notes can't be written");
}

void Daemon::onSetChanged(const JournalSet& set)
{
    if (!this->notes.noteSet(set))
        logError("disk", "notes can't be written");
    if (!this->membership)
        return;
    for (const NodeId& node : this->linked)
        this->network.send(node, set);
    this->linkToMembers();
}

// Retirement ---------------------------------------------------------------------------------------------------------

void Daemon::followRetirements()
{
    Platform::KindHandlers handlers;
    handlers.onSnapshot = [this](const std::vector<Platform::StoredObject>& objects) {
        this->retirements.clear();
        for (const Platform::StoredObject& object : objects)
            this->retirements[object.name] = object;
        this->checkRetirement();
    };
    handlers.onChange
        = [this](const Platform::StoredObject& object, bool isRemoved) { this->onRetirement(object, isRemoved); };
    handlers.onReachable = [](bool isReachable) { logEvent("platform store", isReachable ? "reachable" : "lost"); };
    this->store->follow(Platform::Names::retirementsKind, handlers);
}

void Daemon::onRetirement(const Platform::StoredObject& object, bool isRemoved)
{
    if (isRemoved)
        this->retirements.erase(object.name);
    else
        this->retirements[object.name] = object;
    this->checkRetirement();
}

void Daemon::checkRetirement()
{
    std::set<NodeId> leaving;
    for (const auto& [name, object] : this->retirements)
        leaving.insert(NodeId(name));
    this->membership->setLeaving(leaving);
    if (!this->retirements.contains(this->settings.instance.node))
        return;
    if (this->membership->isEmptied())
        this->writeRetirement("completed");
    else
        this->writeRetirement("running");
    this->loop.timers().cancel(this->retirementTimer);
    if (this->retirementPhase != "completed") {
        this->retirementTimer
            = this->loop.timers().subscribeAfter(retirementCheckInterval, [this] { this->checkRetirement(); });
    }
}

void Daemon::writeRetirement(const std::string& phase)
{
    if (this->retirementPhase == phase || this->isRetirementPending)
        return;
    Platform::StoredObject object = this->retirements.at(this->settings.instance.node);
    object.revision = 0;
    object.status = { { "phase", phase } };
    this->isRetirementPending = true;
    this->store->replaceStatus(Platform::Names::retirementsKind, object, [this, phase](const auto& result) {
        this->isRetirementPending = false;
        if (result)
            this->retirementPhase = phase;
        logEvent("retirement", phase + (result ? "" : ": " + std::string(Platform::describe(result.error()))));
    });
}

}

int runDaemon(const JournalSettings& settings)
{
    if (!startInstanceLog(settings.instance))
        return ExitSettings;
    Daemon daemon(settings);
    return daemon.run();
}
