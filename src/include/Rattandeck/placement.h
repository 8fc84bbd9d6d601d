#pragma once

#include "Rattandeck/entry.h"
#include "Rattandeck/messages.h"

#include <functional>
#include <span>

/// Chooses a sidecar for a call: pure functions of the state that the home of the program has.
namespace Rattandeck {

/// State of one sidecar as seen by a home: its last report and the home's own orders since that report.
struct SidecarView {
    NodeId node;
    FailureDomain domain;
    /// The last report, or defaults before the first one.
    LoadReport report;
    /// Unused credits of unexpired grants.
    std::uint32_t creditsLeft = 0;
    /// Orders that the home has sent and that the report does not include yet, and their prompt and output tokens.
    std::uint32_t placedSinceReport = 0;
    TokenCount tokensPlacedSinceReport;
    /// Orders of the home that the report counts as running or waiting and that have ended since.
    std::uint32_t endedSinceReport = 0;
    /// Length of the program's prefix that the sidecar is expected to hold in its cache.
    TokenCount heldTokens;
    /// Number of recent failures or timeouts; 0 for a healthy sidecar.
    double suspicion = 0;
};

/// The call to be placed.
struct CallShape {
    ProgramId program;
    TurnNumber turn;
    TokenCount promptTokens;
    TokenCount expectedOutputTokens;
    Milliseconds timeLeft { 0 };
};

/// Weights of the placement score. They can be set by label: an organisation for which cache misses are more
/// expensive sets a higher `missingPrefixWeight`.
struct PlacementSettings {
    FailureDomain ownDomain;
    double waitWeight = 1.0;
    double missingPrefixWeight = 1.0;
    double transferWeight = 1.0;
    /// One-way delay between failure domains.
    Milliseconds domainDelay { 4 };
    /// Sidecars scored per decision, in addition to those that hold the prefix.
    std::uint32_t candidateCount = 8;
};

/// A sidecar that is expected to hold a prefix of the program.
struct PrefixHolder {
    /// Index into the span of sidecars.
    std::uint32_t index = 0;
    /// Length of the prefix.
    TokenCount tokens;
};

/// Returns whether the sidecar at an index may get the call. An empty function accepts every sidecar.
using PlacementFilter = std::function<bool(std::size_t index)>;

/// Chooses the best-scored sidecar among those with a credit left; `choice` is empty when none was found. Scores
/// `holders` and a random sample of `candidateCount` others, whatever the size of the fleet; `seed` selects the sample.
/// `heldTokens` of the views isn't read. When none of these has a credit, several hundred more are tried, which covers
/// a small fleet completely. In a large fleet a later decision with another seed may find a credit that this one
/// missed.
///
/// Precondition: all `sidecars` serve the call's service and none is leaving; indices of `holders` are in range.
PlacementDecision choosePlacement(std::span<const SidecarView> sidecars, const CallShape& call,
    const PlacementSettings& settings, std::uint64_t seed, std::span<const PrefixHolder> holders,
    const PlacementFilter& eligible = {});

/// As above, with the holders taken from `heldTokens`. Reads every view.
PlacementDecision choosePlacement(std::span<const SidecarView> sidecars, const CallShape& call,
    const PlacementSettings& settings, std::uint64_t seed);

}
