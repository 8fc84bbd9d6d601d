#pragma once

#include "Rattandeck/journalmembership.h"
#include "Rattandeck/journalstate.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Rattandeck {

/// A record that a journal appends to its disk.
using JournalRecord = std::variant<SettleClaim, RetainedTurn, CrashReports, GossipItems>;
/// A record that is read from disk at start-up. Most turns are read without their text, with their location only.
using RecoveredRecord = std::variant<SettleClaim, RetainedTurn, CrashReports, TurnOnDisk, GossipItems>;

/// The disk, network and store operations that a journal needs. The journal calls these functions from within its own
/// functions; an implementation must not call the journal before it returns.
class JournalIo {
public:
    virtual ~JournalIo() = default;

    /// Returns false when no link to the process is up.
    virtual bool send(const NodeId& to, const Message& message) = 0;

    /// Appends a record to the disk. For a turn, `Journal::onWritten` reports its location afterwards.
    virtual void append(const JournalRecord& record) = 0;
    /// Reads a turn from disk. Returns nothing when the disk cannot read it now.
    virtual std::optional<RetainedTurn> readTurn(const DiskLocation& location) = 0;
    /// Calls `onDurable` once all records appended so far are durable, that is, survive a loss of power.
    virtual void sync(std::function<void()> onDurable) = 0;
    /// `persistSyncState` and `persistSet` write metadata, which is stored separately from the records. It is durable
    /// when the call returns.
    virtual void persistSyncState(const JournalSyncState& syncState) = 0;
    virtual void persistSet(const JournalSet& set) = 0;

    /// Reads the set of journals from the platform's store. Completed by `onSetRead` or `onSetCallFailed`.
    virtual void readSet() = 0;
    /// Writes a set if the stored set has not changed since the last `onSetRead`. Completed by `onSetWritten` or
    /// `onSetCallFailed`.
    virtual void writeSet(const JournalSet& set) = 0;
    /// A set with a higher epoch is in force. Links to its members have to be maintained.
    virtual void onSetChanged(const JournalSet& set) = 0;

    virtual void logStep(const std::string& step, const std::string& detail) = 0;
};

/// One journal: stores the records that gateways send, answers their queries, and copies missing records from the other
/// journals. It acknowledges a record only while it is a voting member, and reports a turn as missing only while
/// `JournalMembership::canConfirmAbsence` holds.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class Journal {
public:
    Journal(TimerService& timers, JournalIo& io, JournalMember self, JournalMembershipLimits limits);
    ~Journal();
    Journal(const Journal&) = delete;
    Journal& operator=(const Journal&) = delete;

    /// Restores a record that was read from disk. Precondition: `start` has not been called.
    void restore(const RecoveredRecord& record);
    /// Starts membership. `persistedSet` and `syncState` are the values that were persisted last.
    void start(const JournalSet& persistedSet, const JournalSyncState& syncState);

    /// See the functions with the same names in `JournalMembership`.
    void onSetRead(const std::optional<JournalSet>& set);
    void onSetWritten(const JournalSet& set);
    void onSetCallFailed();
    void setRetiring(std::set<NodeId> retiring);

    /// Whether the disk takes records. While it doesn't, this journal answers reads, repetitions of what it has on disk
    /// and questions for missing turns, acknowledges nothing new, and takes no new records. True at the start.
    void setWritable(bool isWritable);

    void onLinkUp(const NodeId& node, Role role);
    void onLinkDown(const NodeId& node);
    /// An appended turn is durable at this location.
    void onWritten(const TurnId& turn, const DiskLocation& location);
    /// Ignores messages that are not addressed to journals.
    void onMessage(const NodeId& from, const Message& message);

    /// Removes records whose retention has passed.
    void expire();
    /// Appends the retained records up to this sequence number again, because their segments are about to be removed.
    /// They get new sequence numbers, so that each is written once in the time for which a segment is kept.
    void rewriteThrough(std::uint64_t sequence);

    const JournalSet& set() const;
    bool isVoting() const;
    bool isRetirementComplete() const;
    const JournalState& state() const;
    /// Whether the segments that hold the records up to this sequence number hold any that is still needed.
    bool hasRecordsThrough(std::uint64_t sequence) const;
    /// The longest retention among all turns seen since the start. Claims and crash reports, which are small, may be
    /// kept for longer: they are rewritten with their segments.
    Milliseconds longestTurnRetention() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
