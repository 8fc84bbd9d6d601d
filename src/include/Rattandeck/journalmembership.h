#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace Rattandeck {

/// How far a journal may be relied on; kept on its disk.
struct JournalStanding {
    /// It has all records that it should have, and may acknowledge others.
    bool isComplete = false;
    /// The set since which it has copied all other members.
    Epoch copiedEpoch;
    bool operator==(const JournalStanding&) const = default;
};

/// What a journal asks of its surroundings to become and stay a member of the set of journals.
class JournalMembershipIo {
public:
    virtual ~JournalMembershipIo() = default;
    /// Reads the set from the platform's store; answered by `onSetRead` or `onSetUnread`.
    virtual void readSet() = 0;
    /// Writes a set if the stored one is still that of the last `onSetRead`; answered by `onSetWritten` or
    /// `onSetUnread`.
    virtual void writeSet(const JournalSet& set) = 0;
    /// Asks a journal for a page of its records; answered by `onPage`.
    virtual bool requestPage(const NodeId& node, const CopyRequest& request) = 0;
    /// Keeps the standing on disk.
    virtual void noteStanding(const JournalStanding& syncState) = 0;
    /// A later set is in force here: to be kept on disk and told to all processes that are linked.
    virtual void onSetChanged(const JournalSet& set) = 0;
    virtual void logStep(const std::string& step, const std::string& detail) = 0;
};

struct JournalMembershipLimits {
    /// A newcomer takes the place of a member that it can't reach for this long.
    Milliseconds replaceAfter { 2000 };
    /// A member beyond the usual number that can't be reached for this long is dropped.
    Milliseconds removeAfter { 4000 };
    /// Members that may be lost at once. Twice as many and one are kept even when some of them can't be reached.
    std::size_t toleratedLosses = 1;
    Milliseconds readInterval { 500 };
    /// A page may bring many turns with it.
    Milliseconds pageTimeout { 8000 };
};

/// Decides which journals keep the records. The set stands in the platform's store and changes one member at a time by
/// conditional update; a record with two copies stays readable through every change:
///
/// - A newcomer counts for nothing until it has copied the records of every other member, from pages made when that
///   member knew the change already. So its acknowledgement counts only when any vote under the old set would meet a
///   member that knows the new one.
/// - After any change a member says that a record is missing only when it has copied all others in the same way. So the
///   one copy that is left of a record that a dropped member had acknowledged too is found.
///
/// `spec/journals.pml` shows that each of these matters.
///
/// An emptied disk refills from all other members before its journal counts again. Without the store nothing changes
/// and nothing needs to.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class JournalMembership {
public:
    JournalMembership(
        TimerService& timers, JournalMembershipIo& io, JournalMember self, JournalMembershipLimits limits);
    ~JournalMembership();
    JournalMembership(const JournalMembership&) = delete;
    JournalMembership& operator=(const JournalMembership&) = delete;

    /// Starts with what the disk holds: the last set known, and the last standing.
    void start(const JournalSet& known, const JournalStanding& syncState);

    /// Nothing: the store holds no set.
    void onSetRead(const std::optional<JournalSet>& set);
    void onSetWritten(const JournalSet& set);
    void onSetUnread();
    /// Told by another process.
    void onSetReceived(const JournalSet& set);

    void onLinkUp(const NodeId& node);
    void onLinkDown(const NodeId& node);
    /// Precondition: the page's records, the turns that it names included, have been applied and written.
    void onPage(const NodeId& from, const CopyPage& page);
    /// A journal has copied everything that this one holds.
    void onCopiedBy(const NodeId& node);
    /// Members that the operator wants emptied.
    void setLeaving(std::set<NodeId> retiring);

    const JournalSet& set() const;
    bool isMember() const;
    /// This journal may acknowledge records and tell which claims there are.
    bool isVoting() const;
    /// It counts, and has copied all other members since it knows the set: what it lacks, none of them held.
    bool canConfirmAbsence() const;
    /// This journal has left the set at the operator's wish, and all members have copied what it held.
    bool isEmptied() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
