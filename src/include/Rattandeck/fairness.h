#pragma once

#include <span>
#include <vector>

/// Fairness between organisations: pure functions.
namespace Rattandeck {

/// Max-min fair division of `capacity`: nobody gets more than its demand, and what the small ones leave is divided
/// evenly among the others. The result has the order of `demands`, all of which must be 0 or more.
std::vector<double> fairShares(std::span<const double> demands, double capacity);

/// What one organisation has asked for and been given lately, in the same unit (programs, or engine time).
struct OrganisationUse {
    double demand = 0;
    double granted = 0;
};

/// Use of `uses[which]` over its max-min fair share of all that was given; 1 is fair, less is too little.
///
/// Precondition: `which` is less than the size of `uses`.
double organisationShare(std::span<const OrganisationUse> uses, std::size_t which);

/// Both figures after `seconds` have passed: old use counts half as much after `halfLifeSeconds`.
OrganisationUse decayed(OrganisationUse use, double seconds, double halfLifeSeconds);

}
