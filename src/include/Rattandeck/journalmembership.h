#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace Rattandeck {

/// How far a journal is synchronised with the other members. Persisted on its disk.
struct JournalSyncState {
    /// The journal holds all records that it must hold, so it may acknowledge new ones.
    bool isComplete = false;
    /// The epoch of the latest set under which it has copied all other members.
    Epoch copiedEpoch;
    /// It joined without replacing another member, so it may lack only records that it has never held.
    bool isAddition = false;
    /// The member that it replaced when it joined, until it is complete.
    NodeId replaced;
    /// It is not a member, and was complete when it was removed. Its disk holds what it held then.
    bool wasComplete = false;
    bool operator==(const JournalSyncState&) const = default;
};

/// The operations that a journal needs to become and remain a member of the set of journals.
class JournalMembershipIo {
public:
    virtual ~JournalMembershipIo() = default;
    /// Reads the set from the platform's store. Completed by `onSetRead` or `onSetCallFailed`.
    virtual void readSet() = 0;
    /// Writes a set if the stored set has not changed since the last `onSetRead`. Completed by `onSetWritten` or
    /// `onSetCallFailed`.
    virtual void writeSet(const JournalSet& set) = 0;
    /// Requests a page of records from a journal. Answered by `onPage`.
    virtual bool requestPage(const NodeId& node, const CopyRequest& request) = 0;
    /// Tells a linked journal whether this one lacks records.
    virtual void sendStanding(const NodeId& node, const JournalStanding& standing) = 0;
    /// Writes the synchronisation state to disk.
    virtual void persistSyncState(const JournalSyncState& syncState) = 0;
    /// A set with a higher epoch is in force here. It has to be written to disk and sent to all linked processes.
    virtual void onSetChanged(const JournalSet& set) = 0;
    virtual void logStep(const std::string& step, const std::string& detail) = 0;
};

struct JournalMembershipLimits {
    /// A joining journal replaces a member that it has been unable to reach for this long.
    Milliseconds replaceAfter { 2000 };
    /// A member that has been unreachable for this long is removed if the set has more than 2 * toleratedLosses + 1
    /// members.
    Milliseconds removeAfter { 4000 };
    /// Members that may be lost at the same time. A set of 2 * toleratedLosses + 1 members is not shrunk when some of
    /// them are unreachable.
    std::size_t toleratedLosses = 1;
    Milliseconds readInterval { 500 };
    /// Time-out for one page, including the transfer of all turns that it lists, which may be many.
    Milliseconds pageTimeout { 8000 };
};

/// Manages the membership of one journal. The set of journals is stored in the platform's store and changes by one
/// member at a time with a conditional update. A record with two copies stays readable through every change:
///
/// - A joining journal is non-voting until it has copied the records of every other member. It copies only pages that
///   the member made after it learned of the change. When the copying is complete, any quorum under the old set
///   includes a member that knows the new set, so it is safe to include the journal's acknowledgements in a quorum.
/// - After any change, a member reports a record as missing only after it has copied all other members in the same way.
///   A removed member may have held one of only two copies of a record; this copying finds the remaining one.
///
/// - An unreachable member is replaced or removed only if it and the members that lack records of a lost disk or of an
///   earlier replacement are together at most `toleratedLosses`; else it may hold the only copy of a record. A member
///   that was only added and has not copied yet doesn't count, since no copy was lost with it, nor does one that lacks
///   only records that are brought back: by the joining journal, which was replaced, or by a replaced one that retires.
///
/// `spec/journals.pml` shows that each of the first two rules is necessary.
///
/// A journal with an empty disk copies the records of all other members before it becomes voting again. While the store
/// is unavailable the set does not change; the members continue to work with the set that they know.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class JournalMembership {
public:
    JournalMembership(
        TimerService& timers, JournalMembershipIo& io, JournalMember self, JournalMembershipLimits limits);
    ~JournalMembership();
    JournalMembership(const JournalMembership&) = delete;
    JournalMembership& operator=(const JournalMembership&) = delete;

    /// Starts with the set and the synchronisation state that were persisted last.
    void start(const JournalSet& persistedSet, const JournalSyncState& syncState);

    /// An empty `set` means that the store holds none.
    void onSetRead(const std::optional<JournalSet>& set);
    void onSetWritten(const JournalSet& set);
    void onSetCallFailed();
    void onStanding(const NodeId& from, const JournalStanding& standing);
    /// Another process sent the set that it knows.
    void onSetReceived(const JournalSet& set);

    void onLinkUp(const NodeId& node);
    void onLinkDown(const NodeId& node);
    /// Precondition: the records of the page, including the turns that it lists, have been applied and are durable.
    void onPage(const NodeId& from, const CopyPage& page);
    /// Another journal has copied all records of this journal.
    void onCopiedBy(const NodeId& node);
    /// The members that the operator wants to retire.
    void setRetiring(std::set<NodeId> retiring);
    /// Whether the disk of this journal takes records. While it doesn't, the others are told that it lacks records,
    /// since it gets none of those that are made now.
    void setWritable(bool isWritable);

    const JournalSet& set() const;
    bool isMember() const;
    /// Whether this journal may acknowledge records and report the claims on a budget.
    bool isVoting() const;
    /// Whether this journal may report a record as missing: it is voting and has copied all other members under the
    /// current set, so none of them held a record that it lacks.
    bool canConfirmAbsence() const;
    /// Whether this journal has been removed from the set by the operator and all members have copied its records.
    bool isRetirementComplete() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
