#pragma once

#include <cstdint>
#include <iosfwd>

/// Compares ways to keep a rate of calls that an instance states over many gateways, on a model without a network.
namespace RattandeckBench {

enum class SharingRule {
    /// Each gateway takes an equal part, if it knows the number of gateways.
    EqualSplit,
    /// Each gateway takes a part in proportion to its demand, as the last reports of all gateways tell it.
    DemandSplit,
    /// A few gateways, chosen by rendezvous hashing, share the rate equally; the others send no calls.
    FewOwners,
    /// One process issues permits on request.
    Permits,
};

enum class DemandShape {
    Even,
    /// One gateway in ten has ten times the callers of the others.
    Skewed,
    /// All callers are in one failure domain of three at a time, and move to the next one every five seconds.
    Moving,
};

struct SharedLimitSpec {
    SharingRule rule = SharingRule::Permits;
    DemandShape shape = DemandShape::Even;
    int gateways = 5;
    /// Calls a second that the instance states.
    double limit = 10;
    /// Calls a second that callers ask for, as a multiple of the limit.
    double demandRatio = 2;
};

struct SharedLimitResult {
    /// Largest number of calls in a span of four seconds, over the number that is allowed in it (1.5 times the limit
    /// and five).
    double worstSpan = 0;
    /// Calls sent, over the smaller of demand and limit.
    double used = 0;
    /// Share of the calls that were refused after their wait.
    double refused = 0;
};

/// Plays 60 s of virtual time. Equal arguments give equal results.
SharedLimitResult playSharedLimit(const SharedLimitSpec& spec, std::uint64_t seed);

/// Prints a table of all rules, numbers of gateways, limits and shapes of demand, means over `seeds` seeds.
void printSharedLimits(std::ostream& out, unsigned seeds);

}
