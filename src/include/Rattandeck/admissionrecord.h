#pragma once

#include "Rattandeck/admissionorder.h"
#include "Rattandeck/organisations.h"
#include "Rattandeck/timer.h"

#include <map>
#include <unordered_map>

/// What a gateway has seen of late of the calls of organisations and of its queue, for the decisions in
/// `admissionorder.h`.
namespace Rattandeck {

/// A sum in which older values count exponentially less.
class MovingSum {
public:
    void add(double value, TimePoint now);
    double at(TimePoint now) const;

private:
    double value = 0;
    TimePoint updatedAt;
};

/// Calls of each organisation. Calls without an organisation are counted as those of one with an empty id.
///
/// Memory: one entry for each organisation with calls within the last minute.
///
/// Thread safety: not synchronised.
class OrganisationRecord {
public:
    /// A call is ready to be sent for the first time. `organisation` is null for a call without one.
    void onOffered(const Organisation* organisation, bool isFirstTurn, TimePoint now);
    /// The call is sent for the first time.
    void onServed(const Organisation* organisation, bool isFirstTurn, TimePoint now);
    OrganisationStanding standing(const Organisation* organisation, bool isFirstTurn, TimePoint now);

private:
    struct Kind {
        MovingSum offered;
        MovingSum served;
    };
    struct Entry {
        Kind firstTurns;
        Kind others;
        /// Empty if the organisation has no allowance.
        std::optional<double> rate;
    };

    static OfferedCalls callsAt(const Kind& kind, TimePoint now);
    OrganisationCalls callsOf(const Entry& entry, TimePoint now) const;
    void updateTotals(TimePoint now);

    std::unordered_map<OrganisationId, Entry> entries;
    /// All active organisations together, at `totalsAt`.
    TotalUse totals;
    /// Weight of an organisation without an allowance.
    double defaultWeight = 1;
    std::optional<TimePoint> totalsAt;
};

/// How fast calls of one kind leave the queue.
///
/// Thread safety: not synchronised.
class QueueRate {
public:
    void onEnqueued(TimePoint now);
    /// A call has left the queue, for an instance or because it has ended.
    void onLeft(bool isSent, TimePoint now);
    /// Calls sent per second in which some waited; empty while too little has been seen.
    std::optional<double> servedPerSecond(TimePoint now);

private:
    void countBusyTime(TimePoint now);

    std::size_t waiting = 0;
    TimePoint countedUntil;
    MovingSum busySeconds;
    MovingSum sent;
};

}
