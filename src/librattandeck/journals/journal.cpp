#include "Rattandeck/journal.h"

#include "Rattandeck/journalcopier.h"
#include "Rattandeck/journaltransfer.h"
#include "unsyncedrecords.h"

#include <algorithm>

namespace Rattandeck {

constexpr std::size_t pageRecords = 512;
/// Names per answer to a comparison. They take 64 kB, so that they don't delay other messages on a narrow link.
constexpr std::size_t pageNames = 4096;

struct Journal::Impl : private JournalMembershipIo {
    Impl(TimerService& timers, JournalIo& io, JournalMember self, JournalMembershipLimits limits)
        : timers(timers)
        , io(io)
        , state([this](const DiskLocation& location) { return this->io.readTurn(location); })
        , membership(timers, *this, std::move(self), limits)
        , transfer(this->transferIo())
        , copier(this->copierIo())
        , unsynced([this](std::function<void()> onDurable) { this->io.sync(std::move(onDurable)); })
    {
    }

    TimerService& timers;
    JournalIo& io;
    JournalState state;
    JournalMembership membership;
    JournalTransfer transfer;
    JournalCopier copier;
    UnsyncedRecords unsynced;
    std::set<NodeId> linked;
    bool isWritable = true;
    Milliseconds longestTurnRetention { 0 };

    JournalTransfer::Io transferIo();
    JournalCopier::Io copierIo();

    /// Each returns whether the record is new.
    template <typename Record> bool apply(const Record& record);
    bool apply(const CrashReports& crashes);
    /// News of the store are kept beside the journal's own records, which they don't concern.
    void apply(const GossipItems&) { }
    template <typename Record> bool applyAndAppend(const Record& record);
    bool isOnDisk(const SettleClaim& claim) const;
    bool isOnDisk(const RetainedTurn& turn) const;

    void onClaim(const NodeId& from, const ClaimTokens& claim);
    void onSettled(const SettleClaim& settled);
    void onStore(const NodeId& from, const StoreTurn& store);
    void onFetch(const NodeId& from, const FetchTurn& fetch);
    void onCrashes(const NodeId& from, const CrashReports& crashes);
    void onCopyRequest(const NodeId& from, const CopyRequest& request);
    /// Returns the page that answers a request for copying.
    CopyPage copyPage(const NodeId& from, const CopyRequest& request);
    void onCopyPage(const NodeId& from, CopyPage page);
    void onStored(const NodeId& from, const CopyPage& page);
    void onTurnsRequest(const NodeId& from, const TurnsRequest& request);
    void onTurnsPage(const NodeId& from, const TurnsPage& page);

    // JournalMembershipIo
    void readSet() override { this->io.readSet(); }
    void writeSet(const JournalSet& set) override { this->io.writeSet(set); }
    bool requestPage(const NodeId& node, const CopyRequest& request) override
    {
        return this->transfer.requestPage(node, request);
    }
    void sendStanding(const NodeId& node, const JournalStanding& standing) override { this->io.send(node, standing); }
    void persistSyncState(const JournalSyncState& syncState) override { this->io.persistSyncState(syncState); }
    void onSetChanged(const JournalSet& set) override;
    void logStep(const std::string& step, const std::string& detail) override { this->io.logStep(step, detail); }
};

// Records ------------------------------------------------------------------------------------------------------------

template <typename Record> bool Journal::Impl::apply(const Record& record)
{
    if constexpr (!std::is_same_v<Record, SettleClaim>)
        this->longestTurnRetention = std::max(this->longestTurnRetention, record.retention);
    return this->state.apply(record, this->timers.now());
}

bool Journal::Impl::apply(const CrashReports& crashes)
{
    bool isNew = false;
    for (const CrashReport& report : crashes.reports)
        isNew = this->state.apply(report, this->timers.now()) || isNew;
    return isNew;
}

static RecordKey keyOf(const RetainedTurn& turn) { return { {}, turn.id }; }
static RecordKey keyOf(const SettleClaim& settled) { return { settled.budget, settled.claim.turn }; }

/// Applies a record and appends it to the disk if it is new.
template <typename Record> bool Journal::Impl::applyAndAppend(const Record& record)
{
    if (!this->apply(record))
        return false;
    this->io.append(record);
    if constexpr (!std::is_same_v<Record, CrashReports>)
        this->unsynced.add(keyOf(record));
    return true;
}

bool Journal::Impl::isOnDisk(const SettleClaim& claim) const
{
    const std::vector<TokenClaim> claims = this->state.claims(claim.budget);
    const bool isKnown
        = std::ranges::any_of(claims, [&claim](const TokenClaim& known) { return known.turn == claim.claim.turn; });
    return isKnown && !this->unsynced.contains(keyOf(claim));
}

bool Journal::Impl::isOnDisk(const RetainedTurn& turn) const
{
    return this->state.hasTurn(turn.id) && !this->unsynced.contains(keyOf(turn));
}

void Journal::Impl::onClaim(const NodeId& from, const ClaimTokens& claim)
{
    const SettleClaim record { claim.budget, claim.claim, claim.retention };
    const bool canAcknowledge = this->isWritable || this->isOnDisk(record);
    if (canAcknowledge)
        this->applyAndAppend(record);
    if (!canAcknowledge || !this->membership.isVoting()) {
        this->io.send(from, JournalInconclusive { claim.ticket });
        return;
    }
    const ClaimsKnown answer { claim.ticket, this->membership.set().epoch, this->state.claims(claim.budget) };
    this->unsynced.whenDurable(keyOf(record), [this, from, answer] { this->io.send(from, answer); });
}

/// Not acknowledged. What is not taken here is known to the other journals, and a settled claim takes precedence.
void Journal::Impl::onSettled(const SettleClaim& settled)
{
    if (this->isWritable)
        this->applyAndAppend(settled);
}

void Journal::Impl::onStore(const NodeId& from, const StoreTurn& store)
{
    if (TurnId missing = this->state.firstUnknown(store.turn.previous); !missing.value.empty()) {
        this->io.send(from, JournalInconclusive { store.ticket, std::move(missing) });
        return;
    }
    const bool canAcknowledge = this->isWritable || this->isOnDisk(store.turn);
    if (canAcknowledge)
        this->applyAndAppend(store.turn);
    if (!canAcknowledge || !this->membership.isVoting()) {
        this->io.send(from, JournalInconclusive { store.ticket });
        return;
    }
    const TurnStored answer { store.ticket, this->membership.set().epoch };
    // A gateway repeats a store whose acknowledgement is late.
    this->unsynced.whenDurable(keyOf(store.turn), [this, from, answer] { this->io.send(from, answer); });
}

void Journal::Impl::onFetch(const NodeId& from, const FetchTurn& fetch)
{
    TurnFetched answer;
    answer.ticket = fetch.ticket;
    answer.epoch = this->membership.set().epoch;
    if (auto transcript = this->state.transcript(fetch.turn)) {
        answer.isFound = true;
        answer.missing = std::move(transcript->missing);
        answer.transcript = std::move(transcript->text);
    }
    const bool isUnreadable = !answer.isFound && this->state.hasTurn(fetch.turn);
    if (isUnreadable)
        this->io.logStep("turn can't be read", fetch.turn.value);
    // A journal that may lack records of other members, or cannot read the turn, must not report it as missing.
    const bool isConclusive = answer.isFound || (this->membership.canConfirmAbsence() && !isUnreadable);
    // A chain may be too long for a message.
    if (!isConclusive || !this->io.send(from, answer))
        this->io.send(from, JournalInconclusive { fetch.ticket });
}

void Journal::Impl::onCrashes(const NodeId& from, const CrashReports& crashes)
{
    if (!this->isWritable || !this->applyAndAppend(crashes))
        return;
    for (const NodeId& node : this->linked) {
        if (node != from)
            this->io.send(node, crashes);
    }
}

// Copying ------------------------------------------------------------------------------------------------------------

JournalTransfer::Io Journal::Impl::transferIo()
{
    JournalTransfer::Io transferIo;
    transferIo.digests = [this] { return this->state.digests(); };
    transferIo.lackingNames = [this](std::string_view names) { return this->state.lackingNames(names); };
    transferIo.send = [this](const NodeId& node, const CopyRequest& request) { return this->io.send(node, request); };
    return transferIo;
}

JournalCopier::Io Journal::Impl::copierIo()
{
    JournalCopier::Io copierIo;
    copierIo.isKnown = [this](const TurnId& turn) { return this->state.hasTurn(turn); };
    copierIo.requestTurns = [this](const NodeId& node, const TurnsRequest& request) { this->io.send(node, request); };
    copierIo.onCopied = [this](const NodeId& node, const CopyPage& page) {
        this->unsynced.whenAllDurable([this, node, page] { this->onStored(node, page); });
    };
    return copierIo;
}

void Journal::Impl::onCopyRequest(const NodeId& from, const CopyRequest& request)
{
    CopyPage page = this->copyPage(from, request);
    page.round = request.round;
    page.epoch = this->membership.set().epoch;
    if (page.isComparison)
        page.cursor = request.cursor;
    this->io.send(from, page);
}

CopyPage Journal::Impl::copyPage(const NodeId& from, const CopyRequest& request)
{
    if (!request.digests.empty()) {
        CopyPage page = this->state.compare(request.digests, request.firstBucket, pageNames);
        if (page.firstBucket == 0 && page.areAllCompared && page.names.empty())
            this->membership.onCopiedBy(from);
        return page;
    }
    if (!request.wanted.empty() || request.isCopied) {
        // Records that arrived before this journal knew the set may not have been copied under an earlier one.
        if (request.isCopied && request.copiedEpoch >= this->membership.set().epoch)
            this->membership.onCopiedBy(from);
        return this->state.recordsOf(request.wanted);
    }
    CopyPage page = this->state.page(request.cursor, pageRecords);
    if (page.isLast)
        this->membership.onCopiedBy(from);
    return page;
}

void Journal::Impl::onCopyPage(const NodeId& from, CopyPage page)
{
    for (const SettleClaim& claim : page.claims)
        this->applyAndAppend(claim);
    if (!page.crashes.empty())
        this->onCrashes(from, { page.crashes });
    if (this->transfer.accept(from, page))
        this->copier.onPage(from, page);
}

void Journal::Impl::onStored(const NodeId& from, const CopyPage& page)
{
    if (const auto progress = this->transfer.onStored(from, page))
        this->membership.onPage(from, *progress);
}

void Journal::Impl::onTurnsRequest(const NodeId& from, const TurnsRequest& request)
{
    TurnsPage page;
    for (const TurnId& id : request.turns) {
        auto turn = this->state.turn(id);
        if (turn) {
            page.turns.push_back(std::move(*turn));
        } else if (!this->state.hasTurn(id)) {
            page.expired.push_back(id);
        } else {
            // Without an answer, the requester asks again, or another journal. An answer without the turn would mean to
            // an older version that the turn has expired.
            this->io.logStep("turn can't be read", id.value);
            return;
        }
    }
    this->io.send(from, page);
}

void Journal::Impl::onTurnsPage(const NodeId& from, const TurnsPage& page)
{
    for (const RetainedTurn& turn : page.turns)
        this->applyAndAppend(turn);
    this->copier.onTurns(from, page);
}

void Journal::Impl::onSetChanged(const JournalSet& set)
{
    this->io.persistSet(set);
    for (const NodeId& node : this->linked)
        this->io.send(node, set);
    this->io.onSetChanged(set);
}

// Public -------------------------------------------------------------------------------------------------------------

Journal::Journal(TimerService& timers, JournalIo& io, JournalMember self, JournalMembershipLimits limits)
    : impl(std::make_unique<Impl>(timers, io, std::move(self), limits))
{
}

Journal::~Journal() = default;

void Journal::restore(const RecoveredRecord& record)
{
    std::visit([this](const auto& known) { this->impl->apply(known); }, record);
}

void Journal::start(const JournalSet& persistedSet, const JournalSyncState& syncState)
{
    this->impl->membership.start(persistedSet, syncState);
}

void Journal::onSetRead(const std::optional<JournalSet>& set) { this->impl->membership.onSetRead(set); }

void Journal::onSetWritten(const JournalSet& set) { this->impl->membership.onSetWritten(set); }

void Journal::onSetCallFailed() { this->impl->membership.onSetCallFailed(); }

void Journal::setRetiring(std::set<NodeId> retiring) { this->impl->membership.setRetiring(std::move(retiring)); }

void Journal::setWritable(bool isWritable)
{
    this->impl->isWritable = isWritable;
    this->impl->membership.setWritable(isWritable);
}

void Journal::onLinkUp(const NodeId& node, Role role)
{
    this->impl->linked.insert(node);
    if (this->impl->membership.set().epoch.value > 0)
        this->impl->io.send(node, this->impl->membership.set());
    if (role == Role::Journal)
        this->impl->membership.onLinkUp(node);
    else if (auto crashes = this->impl->state.crashes(); !crashes.empty())
        this->impl->io.send(node, CrashReports { std::move(crashes) });
}

void Journal::onLinkDown(const NodeId& node)
{
    this->impl->linked.erase(node);
    this->impl->membership.onLinkDown(node);
    this->impl->transfer.onLinkDown(node);
    this->impl->copier.onLinkDown(node);
}

void Journal::onMessage(const NodeId& from, const Message& message)
{
    if (const auto* claim = std::get_if<ClaimTokens>(&message))
        this->impl->onClaim(from, *claim);
    else if (const auto* settled = std::get_if<SettleClaim>(&message))
        this->impl->onSettled(*settled);
    else if (const auto* stored = std::get_if<StoreTurn>(&message))
        this->impl->onStore(from, *stored);
    else if (const auto* fetch = std::get_if<FetchTurn>(&message))
        this->impl->onFetch(from, *fetch);
    else if (const auto* set = std::get_if<JournalSet>(&message))
        this->impl->membership.onSetReceived(*set);
    else if (const auto* standing = std::get_if<JournalStanding>(&message))
        this->impl->membership.onStanding(from, *standing);
    else if (const auto* request = std::get_if<CopyRequest>(&message))
        this->impl->onCopyRequest(from, *request);
    else if (const auto* page = std::get_if<CopyPage>(&message))
        this->impl->onCopyPage(from, *page);
    else if (const auto* turnsRequest = std::get_if<TurnsRequest>(&message))
        this->impl->onTurnsRequest(from, *turnsRequest);
    else if (const auto* turns = std::get_if<TurnsPage>(&message))
        this->impl->onTurnsPage(from, *turns);
    else if (const auto* crashes = std::get_if<CrashReports>(&message))
        this->impl->onCrashes(from, *crashes);
}

void Journal::onWritten(const TurnId& turn, const DiskLocation& location)
{
    this->impl->state.onWritten(turn, location);
}

void Journal::expire() { this->impl->state.expire(this->impl->timers.now()); }

void Journal::rewriteThrough(std::uint64_t sequence)
{
    JournalState& state = this->impl->state;
    if (auto crashes = state.crashes(); !crashes.empty())
        this->impl->io.append(CrashReports { std::move(crashes) });
    while (state.hasThrough(sequence)) {
        const CopyPage oldest = state.takeOldest(sequence, pageRecords);
        for (const SettleClaim& claim : oldest.claims)
            this->impl->io.append(claim);
        for (const TurnId& id : oldest.turns) {
            if (const auto turn = state.loadIntoMemory(id))
                this->impl->io.append(*turn);
            else
                this->impl->io.logStep("turn can't be read", id.value + ", not rewritten to a new segment");
        }
    }
}

bool Journal::hasRecordsThrough(std::uint64_t sequence) const
{
    // Crash reports have no sequence number; those of any segment may be the only copy.
    return !this->impl->state.crashes().empty() || this->impl->state.hasThrough(sequence);
}

const JournalSet& Journal::set() const { return this->impl->membership.set(); }

bool Journal::isVoting() const { return this->impl->membership.isVoting(); }

bool Journal::isRetirementComplete() const { return this->impl->membership.isRetirementComplete(); }

const JournalState& Journal::state() const { return this->impl->state; }

Milliseconds Journal::longestTurnRetention() const { return this->impl->longestTurnRetention; }

}
