#include "Rattandeck/journalmembership.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Rattandeck {

constexpr Milliseconds tickInterval { 50 };

namespace {

    /// Progress of copying the records of one other journal.
    struct CopyProgress {
        std::uint64_t round = 0;
        std::uint64_t cursor = 0;
        /// When the outstanding page was requested; empty when none is outstanding.
        std::optional<TimePoint> requestedAt;
        /// The epoch of the set that the journal knew when it made the last page.
        Epoch copiedEpoch;
        bool isCopied = false;
    };

    struct Peer {
        bool isUp = false;
        TimePoint linkChangedAt;
        /// The latest standing that it has told over the current link.
        std::optional<JournalStanding> standing;
        CopyProgress copyProgress;
    };

}

struct JournalMembership::Impl {
    Impl(TimerService& timers, JournalMembershipIo& io, JournalMember self, JournalMembershipLimits limits)
        : timers(timers)
        , io(io)
        , self(std::move(self))
        , limits(limits)
    {
    }

    TimerService& timers;
    JournalMembershipIo& io;
    JournalMember self;
    JournalMembershipLimits limits;
    JournalSet set;
    TimePoint startedAt;
    TimerId ticker;
    JournalSyncState syncState;
    /// The stored set has been read since the last attempt to change it, and its epoch is the one in force here. Only
    /// then may a change be proposed.
    bool isStoredSetCurrent = false;
    bool isStoreEmpty = false;
    bool isCallPending = false;
    std::optional<TimePoint> lastRead;
    std::uint64_t lastRound = 0;
    std::map<NodeId, Peer> peers;
    std::set<NodeId> retiring;
    std::set<NodeId> copiedBy;
    /// The standing that all linked journals have been told.
    JournalStanding announced;
    bool isWritable = true;
    Epoch removedInEpoch;

    const JournalMember* findMember(const NodeId& node) const;
    bool isMember() const;
    bool isUp(const NodeId& node) const;
    bool isDownFor(const NodeId& node, Duration time) const;
    std::vector<NodeId> others() const;
    /// The journals to copy records from: the other members, and reachable retiring journals that have been removed.
    std::vector<NodeId> sources() const;
    bool lacksRecords() const;
    /// What a linked journal has told under the present set.
    std::optional<JournalStanding> standingOf(const NodeId& node) const;
    /// Whether a replaced journal that has its records is this one, which joins with them, or a retiring one that the
    /// members copy.
    bool bringsBack(const NodeId& node) const;
    /// The number of reachable members besides `except` that lack records or have not told under the present set that
    /// they don't, except those that lack only records that are brought back. This journal counts while its disk
    /// refuses records.
    std::size_t countLacking(const NodeId& except) const;

    void tick();
    void adopt(const JournalSet& newSet);
    void announceStanding();
    void copy();
    void requestNextPage(const NodeId& node, CopyProgress& copyProgress);
    bool hasCopiedAll(Epoch since) const;
    /// Whether the records of the other members have to be copied. A voting member copies in the background.
    bool mustCopy() const { return !this->syncState.isComplete || this->syncState.copiedEpoch < this->set.epoch; }
    void markComplete();
    void proposeChange();
    void proposeJoining();
    void proposeRemoval();
    void propose(JournalSet changed, const std::string& why);
    void requestSetRead();
};

// Queries ------------------------------------------------------------------------------------------------------------

const JournalMember* JournalMembership::Impl::findMember(const NodeId& node) const
{
    const auto found
        = std::ranges::find_if(this->set.members, [&node](const JournalMember& member) { return member.node == node; });
    return found == this->set.members.end() ? nullptr : &*found;
}

bool JournalMembership::Impl::isMember() const
{
    const JournalMember* member = this->findMember(this->self.node);
    return member && member->address == this->self.address;
}

bool JournalMembership::Impl::isUp(const NodeId& node) const
{
    const auto found = this->peers.find(node);
    return found != this->peers.end() && found->second.isUp;
}

bool JournalMembership::Impl::isDownFor(const NodeId& node, Duration time) const
{
    const auto found = this->peers.find(node);
    const TimePoint since = found == this->peers.end() ? this->startedAt : found->second.linkChangedAt;
    return !this->isUp(node) && this->timers.now() - std::max(since, this->startedAt) >= time;
}

std::vector<NodeId> JournalMembership::Impl::others() const
{
    std::vector<NodeId> nodes;
    for (const JournalMember& member : this->set.members) {
        if (member.node != this->self.node)
            nodes.push_back(member.node);
    }
    return nodes;
}

std::vector<NodeId> JournalMembership::Impl::sources() const
{
    std::vector<NodeId> nodes = this->others();
    for (const NodeId& node : this->retiring) {
        if (node != this->self.node && this->isUp(node) && !this->findMember(node))
            nodes.push_back(node);
    }
    return nodes;
}

bool JournalMembership::Impl::lacksRecords() const
{
    if (!this->isMember())
        return !this->syncState.wasComplete;
    return !this->syncState.isComplete && !this->syncState.isAddition;
}

std::optional<JournalStanding> JournalMembership::Impl::standingOf(const NodeId& node) const
{
    const auto found = this->peers.find(node);
    const bool isKnown = found != this->peers.end() && found->second.isUp && found->second.standing
        && found->second.standing->epoch == this->set.epoch;
    return isKnown ? found->second.standing : std::nullopt;
}

bool JournalMembership::Impl::bringsBack(const NodeId& node) const
{
    if (node == this->self.node)
        return this->syncState.wasComplete;
    const auto standing = this->standingOf(node);
    return !this->findMember(node) && this->retiring.contains(node) && standing && !standing->lacksRecords;
}

std::size_t JournalMembership::Impl::countLacking(const NodeId& except) const
{
    std::size_t count = this->isWritable ? 0 : 1;
    for (const NodeId& node : this->others()) {
        if (node == except || !this->isUp(node))
            continue;
        const auto standing = this->standingOf(node);
        const bool isHarmless = standing && (!standing->lacksRecords || this->bringsBack(standing->replaced));
        count += isHarmless ? 0 : 1;
    }
    return count;
}

// Sets -----------------------------------------------------------------------------------------------------------

/// How a journal has joined with the set `later`. Nothing is known of it unless `later` directly follows `former`.
static JournalSyncState stateAfterJoining(const JournalSet& former, const JournalSet& later)
{
    JournalSyncState joined;
    if (later.epoch.value != former.epoch.value + 1)
        return joined;
    std::vector<NodeId> removed;
    for (const JournalMember& member : former.members) {
        if (std::ranges::find(later.members, member) == later.members.end())
            removed.push_back(member.node);
    }
    joined.isAddition = removed.empty();
    // A journal with a new address replaces itself; its former disk does not return.
    if (removed.size() == 1 && removed.front() != later.proposer)
        joined.replaced = removed.front();
    return joined;
}

void JournalMembership::Impl::adopt(const JournalSet& newSet)
{
    if (newSet.epoch <= this->set.epoch)
        return;
    const bool wasMember = this->isMember();
    const JournalSet former = std::exchange(this->set, newSet);
    this->copiedBy.clear();
    if (wasMember && !this->isMember())
        this->removedInEpoch = newSet.epoch;
    // A journal that is not a member does not receive new records, and a journal that has just joined lacks earlier
    // ones. Both must copy the records of the members before they vote.
    const bool hasJoined = newSet.proposer == this->self.node && !wasMember;
    if (!this->isMember() || hasJoined) {
        const bool wasComplete = wasMember ? this->syncState.isComplete : this->syncState.wasComplete;
        this->syncState = hasJoined ? stateAfterJoining(former, newSet) : JournalSyncState {};
        this->syncState.wasComplete = wasComplete && !this->isMember();
        this->io.persistSyncState(this->syncState);
    }
    this->io.logStep("journal set",
        "epoch " + std::to_string(newSet.epoch.value) + ", " + std::to_string(newSet.members.size()) + " members");
    this->io.onSetChanged(newSet);
    this->announceStanding();
}

void JournalMembership::Impl::announceStanding()
{
    JournalStanding standing { this->set.epoch, this->lacksRecords(), this->syncState.replaced };
    if (!this->isWritable) {
        standing.lacksRecords = true;
        standing.replaced = {};
    }
    if (standing == this->announced)
        return;
    this->announced = standing;
    for (const auto& [node, peer] : this->peers) {
        if (peer.isUp)
            this->io.sendStanding(node, standing);
    }
}

void JournalMembership::Impl::requestSetRead()
{
    if (this->isCallPending)
        return;
    if (this->lastRead && this->timers.now() - *this->lastRead < this->limits.readInterval)
        return;
    this->lastRead = this->timers.now();
    this->isCallPending = true;
    this->io.readSet();
}

void JournalMembership::Impl::propose(JournalSet changed, const std::string& why)
{
    if (this->isCallPending)
        return;
    if (!this->isStoredSetCurrent)
        return this->requestSetRead();
    changed.epoch = Epoch(this->set.epoch.value + 1);
    changed.proposer = this->self.node;
    this->io.logStep("journal set change proposed", why);
    this->isStoredSetCurrent = false;
    this->isCallPending = true;
    this->io.writeSet(changed);
}

// Copying ------------------------------------------------------------------------------------------------------------

void JournalMembership::Impl::requestNextPage(const NodeId& node, CopyProgress& copyProgress)
{
    if (copyProgress.round == 0)
        copyProgress.round = ++this->lastRound;
    if (this->io.requestPage(node, { copyProgress.round, copyProgress.cursor }))
        copyProgress.requestedAt = this->timers.now();
}

void JournalMembership::Impl::copy()
{
    for (const NodeId& node : this->sources()) {
        if (!this->isUp(node))
            continue;
        CopyProgress& copyProgress = this->peers[node].copyProgress;
        if (copyProgress.isCopied && copyProgress.copiedEpoch >= this->set.epoch)
            continue;
        const bool isAwaited
            = copyProgress.requestedAt && this->timers.now() - *copyProgress.requestedAt < this->limits.pageTimeout;
        if (!isAwaited)
            this->requestNextPage(node, copyProgress);
    }
}

bool JournalMembership::Impl::hasCopiedAll(Epoch since) const
{
    return std::ranges::all_of(this->sources(), [this, since](const NodeId& node) {
        const auto found = this->peers.find(node);
        return found != this->peers.end() && found->second.copyProgress.isCopied
            && found->second.copyProgress.copiedEpoch >= since;
    });
}

/// Called when all other members have been copied under the current set.
void JournalMembership::Impl::markComplete()
{
    this->syncState = { true, this->set.epoch };
    this->io.persistSyncState(this->syncState);
    this->announceStanding();
    this->io.logStep("journal complete", "epoch " + std::to_string(this->set.epoch.value));
}

// Changes ------------------------------------------------------------------------------------------------------------

void JournalMembership::Impl::tick()
{
    this->ticker = this->timers.subscribeAfter(tickInterval, [this] { this->tick(); });
    if (this->set.epoch.value == 0 && !this->isStoreEmpty) {
        this->requestSetRead();
        return;
    }
    const bool hasRetired = this->removedInEpoch.value > 0 && this->retiring.contains(this->self.node);
    if (this->mustCopy() && !hasRetired)
        this->copy();
    if (this->isMember() && this->mustCopy() && this->hasCopiedAll(this->set.epoch))
        this->markComplete();
    this->proposeChange();
}

void JournalMembership::Impl::proposeChange()
{
    if (this->retiring.contains(this->self.node))
        return;
    if (!this->isMember())
        this->proposeJoining();
    else if (this->syncState.isComplete)
        this->proposeRemoval();
}

void JournalMembership::Impl::proposeJoining()
{
    JournalSet changed = this->set;
    // The same node at another address is a new machine that replaces the old one.
    const bool isOwnReplacement = this->findMember(this->self.node) != nullptr;
    std::erase_if(changed.members, [this](const JournalMember& member) { return member.node == this->self.node; });
    std::vector<NodeId> unreachable;
    for (const JournalMember& member : changed.members) {
        if (!this->isUp(member.node))
            unreachable.push_back(member.node);
    }
    const auto replaced = std::ranges::find_if(
        unreachable, [this](const NodeId& node) { return this->isDownFor(node, this->limits.replaceAfter); });
    const std::size_t losses = unreachable.size() + this->countLacking(this->self.node);
    const bool mayReplace = losses <= this->limits.toleratedLosses && replaced != unreachable.end() && !isOwnReplacement
        && changed.members.size() > this->limits.toleratedLosses;
    if (!unreachable.empty() && !mayReplace)
        return;
    if (mayReplace)
        std::erase_if(changed.members, [&replaced](const JournalMember& member) { return member.node == *replaced; });
    changed.members.push_back(this->self);
    this->propose(changed, mayReplace ? "join for " + replaced->value : "join");
}

void JournalMembership::Impl::proposeRemoval()
{
    // Only the reachable, non-retiring member with the lowest id proposes, to avoid conflicting updates.
    for (const NodeId& node : this->others()) {
        if (node < this->self.node && this->isUp(node) && !this->retiring.contains(node))
            return;
    }
    const JournalMember* removed = nullptr;
    for (const JournalMember& member : this->set.members) {
        const bool isSurplusAndUnreachable = this->set.members.size() > 2 * this->limits.toleratedLosses + 1
            && this->isDownFor(member.node, this->limits.removeAfter);
        const bool isRetiring = this->retiring.contains(member.node) && this->isUp(member.node);
        if (member.node != this->self.node && (isSurplusAndUnreachable || isRetiring)) {
            removed = &member;
            break;
        }
    }
    // The set must keep at least `toleratedLosses` + 1 members, since each record needs that many copies.
    if (!removed || this->set.members.size() <= this->limits.toleratedLosses + 1)
        return;
    for (const NodeId& node : this->others()) {
        if (node != removed->node && !this->isUp(node))
            return;
    }
    // A member that lacks records may have lost a copy of any record of the removed one.
    const std::size_t lacking = this->countLacking(removed->node);
    if (lacking > 0 && lacking + 1 > this->limits.toleratedLosses)
        return;
    JournalSet changed = this->set;
    std::erase(changed.members, *removed);
    this->propose(changed, "drop " + removed->node.value);
}

// Public -------------------------------------------------------------------------------------------------------------

JournalMembership::JournalMembership(
    TimerService& timers, JournalMembershipIo& io, JournalMember self, JournalMembershipLimits limits)
    : impl(std::make_unique<Impl>(timers, io, std::move(self), limits))
{
}

JournalMembership::~JournalMembership() { this->impl->timers.cancel(this->impl->ticker); }

void JournalMembership::start(const JournalSet& persistedSet, const JournalSyncState& syncState)
{
    this->impl->startedAt = this->impl->timers.now();
    this->impl->set = persistedSet;
    if (persistedSet.epoch.value > 0)
        this->impl->syncState = syncState;
    if (!this->impl->isMember())
        this->impl->syncState = { .wasComplete = this->impl->syncState.wasComplete };
    this->impl->announceStanding();
    this->impl->tick();
}

void JournalMembership::onSetRead(const std::optional<JournalSet>& set)
{
    this->impl->isCallPending = false;
    this->impl->isStoreEmpty = !set;
    if (set)
        this->impl->adopt(*set);
    // A change may be proposed only if the stored set is the one in force here.
    this->impl->isStoredSetCurrent = !set || set->epoch == this->impl->set.epoch;
}

void JournalMembership::onSetWritten(const JournalSet& set)
{
    this->impl->isCallPending = false;
    this->impl->adopt(set);
}

void JournalMembership::onSetCallFailed()
{
    this->impl->isCallPending = false;
    this->impl->isStoredSetCurrent = false;
}

void JournalMembership::setWritable(bool isWritable)
{
    this->impl->isWritable = isWritable;
    this->impl->announceStanding();
}

void JournalMembership::onStanding(const NodeId& from, const JournalStanding& standing)
{
    this->impl->peers[from].standing = standing;
}

void JournalMembership::onSetReceived(const JournalSet& set) { this->impl->adopt(set); }

void JournalMembership::onLinkUp(const NodeId& node)
{
    Peer& peer = this->impl->peers[node];
    peer.isUp = true;
    peer.linkChangedAt = this->impl->timers.now();
    // The process may have restarted, in which case its records have different sequence numbers.
    peer.copyProgress = {};
    peer.standing.reset();
    this->impl->io.sendStanding(node, this->impl->announced);
}

void JournalMembership::onLinkDown(const NodeId& node)
{
    Peer& peer = this->impl->peers[node];
    peer.isUp = false;
    peer.linkChangedAt = this->impl->timers.now();
    peer.copyProgress.requestedAt.reset();
}

void JournalMembership::onPage(const NodeId& from, const CopyPage& page)
{
    CopyProgress& copyProgress = this->impl->peers[from].copyProgress;
    if (page.round != copyProgress.round)
        return;
    copyProgress.cursor = page.cursor;
    copyProgress.requestedAt.reset();
    if (page.isLast) {
        copyProgress.isCopied = true;
        copyProgress.copiedEpoch = page.epoch;
        return;
    }
    this->impl->requestNextPage(from, copyProgress);
}

void JournalMembership::onCopiedBy(const NodeId& node) { this->impl->copiedBy.insert(node); }

void JournalMembership::setRetiring(std::set<NodeId> retiring) { this->impl->retiring = std::move(retiring); }

const JournalSet& JournalMembership::set() const { return this->impl->set; }

bool JournalMembership::isMember() const { return this->impl->isMember(); }

bool JournalMembership::isVoting() const { return this->impl->syncState.isComplete && this->impl->isMember(); }

bool JournalMembership::canConfirmAbsence() const { return this->isVoting() && !this->impl->mustCopy(); }

bool JournalMembership::isRetirementComplete() const
{
    const auto others = this->impl->others();
    return this->impl->removedInEpoch.value > 0 && !this->impl->isMember() && !others.empty()
        && std::ranges::all_of(others, [this](const NodeId& node) { return this->impl->copiedBy.contains(node); });
}

}
