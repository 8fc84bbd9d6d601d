#pragma once

#include <span>
#include <vector>

/// Fairness between organisations: pure functions.
namespace Rattandeck {

/// Max-min fair allocation of `capacity`: no share exceeds its demand, and capacity that small demands leave unused is
/// divided evenly among the others. The result has the order of `demands`, all of which must be 0 or more.
std::vector<double> fairShares(std::span<const double> demands, double capacity);

/// Recent demand of one organisation and the part of it that was granted, in the same unit (programs, or engine time).
struct OrganisationUse {
    double demand = 0;
    double granted = 0;
};

/// Ratio of what `uses[organisation]` was granted to its max-min fair share of everything granted. 1 is fair; below 1
/// the organisation has received less than its share.
///
/// Precondition: `organisation` is less than the size of `uses`.
double organisationShare(std::span<const OrganisationUse> uses, std::size_t organisation);

/// Exponential decay of both values over `seconds`, with a half-life of `halfLifeSeconds`.
OrganisationUse decayed(OrganisationUse use, double seconds, double halfLifeSeconds);

}
