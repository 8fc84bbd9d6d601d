#pragma once

#include "Rattandeck/journalmembership.h"
#include "Rattandeck/journalstate.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Rattandeck {

/// What a journal writes to its disk.
using JournalRecord = std::variant<SettleClaim, RetainedTurn, CrashReports>;
/// What it finds there at a start: of most turns only where they are.
using FoundRecord = std::variant<SettleClaim, RetainedTurn, CrashReports, TurnOnDisk>;

/// What a journal asks of its surroundings. Calls come from within the journal's own functions and must not call it
/// back before they return.
class JournalIo {
public:
    virtual ~JournalIo() = default;

    /// Returns false when no link to the process is up.
    virtual bool send(const NodeId& to, const Message& message) = 0;

    /// Appends a record to the disk; a turn's place is told by `onWritten`.
    virtual void append(const JournalRecord& record) = 0;
    /// Reads a turn back. Nothing when the disk can't do that now.
    virtual std::optional<RetainedTurn> readTurn(const DiskPlace& location) = 0;
    /// Calls `onDurable` once all records appended so far outlive a loss of power.
    virtual void sync(std::function<void()> onDurable) = 0;
    /// Note a fact beside the records; it outlives a loss of power when the call returns.
    virtual void noteStanding(const JournalStanding& syncState) = 0;
    virtual void noteSet(const JournalSet& set) = 0;

    /// Reads the set of journals from the platform's store; answered by `onSetRead` or `onSetUnread`.
    virtual void readSet() = 0;
    /// Writes a set if the stored one is still that of the last `onSetRead`; answered by `onSetWritten` or
    /// `onSetUnread`.
    virtual void writeSet(const JournalSet& set) = 0;
    /// A later set is in force: links to its members are to be kept.
    virtual void onSetChanged(const JournalSet& set) = 0;

    virtual void logStep(const std::string& step, const std::string& detail) = 0;
};

/// One journal: keeps the records that gateways send, answers what there is, and copies what it lacks from the others.
/// It acknowledges a record, and says that a turn is missing, only while it counts (see `JournalMembership`).
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class Journal {
public:
    Journal(TimerService& timers, JournalIo& io, JournalMember self, JournalMembershipLimits limits);
    ~Journal();
    Journal(const Journal&) = delete;
    Journal& operator=(const Journal&) = delete;

    /// Takes over a record that was found on disk. Precondition: `start` has not been called.
    void restore(const FoundRecord& record);
    /// Begins to take part. `known` and `syncState` are what was noted last.
    void start(const JournalSet& known, const JournalStanding& syncState);

    /// As the functions of the same names of `JournalMembership`.
    void onSetRead(const std::optional<JournalSet>& set);
    void onSetWritten(const JournalSet& set);
    void onSetUnread();
    void setLeaving(std::set<NodeId> retiring);

    void onLinkUp(const NodeId& node, Role role);
    void onLinkDown(const NodeId& node);
    /// A turn that was appended is durable, and stands there from now on.
    void onWritten(const TurnId& turn, const DiskPlace& location);
    /// Messages that are not for journals are ignored.
    void onMessage(const NodeId& from, const Message& message);

    /// Forgets what has outlived its retention.
    void expire();
    /// Appends once more the records up to this number that are still wanted, since what holds them is about to go.
    void rewriteThrough(std::uint64_t sequence);

    const JournalSet& set() const;
    bool isVoting() const;
    bool isEmptied() const;
    const JournalState& state() const;
    /// The longest retention of the records seen.
    Milliseconds longestRetention() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
