#pragma once

#include "Rattandeck/organisations.h"
#include "Rattandeck/types.h"

#include <memory>
#include <optional>
#include <string>

/// What calls cost, learned from the calls that this process has relayed.
namespace Rattandeck {

struct CallCostPolicy {
    /// Routes and organisations of which observations are kept; the least recently seen one is forgotten.
    std::size_t maxEntries = 1024;
    /// Number of observations over which means are formed: older ones are forgotten.
    double memory = 64;
    /// Number of observations that the caller's hint, or the route's figures, count as against those of an entry.
    double priorWeight = 8;
    /// An observation deviates from the hint by this factor at most, as a natural logarithm: a factor of 8.
    double maxDeviation = 2.1;
    /// Weight of an observation of the organisation that has brought the one before, for the figures of all
    /// organisations: a single heavy caller must not determine them.
    double repeatedWeight = 0.25;
};

/// What is known of a call before it runs.
struct CallSize {
    std::string route;
    OrganisationId organisation;
    /// The caller's estimate of the output; often far off.
    std::optional<TokenCount> hint;
    /// Bound of the output; 0 if there is none.
    TokenCount maxOutput;
};

/// Expected output of turns, and usual time of a unit of work: an event of a service's streams, or a plain call of a
/// route.
///
/// A hint is corrected by a regression of the logarithms of outputs on those of hints, by route and, within it, by
/// organisation. Few observations change the hint little, so a new route begins with the hint as it is.
///
/// Thread safety: not synchronised.
class CallCosts {
public:
    explicit CallCosts(const CallCostPolicy& policy = {});
    ~CallCosts();
    CallCosts(const CallCosts&) = delete;
    CallCosts& operator=(const CallCosts&) = delete;

    /// Expected number of tokens that a call generates; empty if nothing is known of it.
    std::optional<double> expectedOutput(const CallSize& call) const;
    void onOutput(const CallSize& call, TokenCount tokens);

    /// Usual time of a unit of work in milliseconds; empty before the first observation.
    std::optional<double> unitTime(const std::string& work) const;
    /// Notes that a unit has taken exp(`deviation`) times as long as expected, load and speed of the instance accounted
    /// for. Precondition: `unitTime` is known.
    void onUnitTime(const std::string& work, double deviation);
    void onFirstUnitTime(const std::string& work, double milliseconds);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
