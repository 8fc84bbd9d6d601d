#pragma once

#include "Rattandeck/entry.h"
#include "Rattandeck/messages.h"

#include <functional>
#include <span>

/// Where a call goes: pure functions over what the home knows.
namespace Rattandeck {

/// What a home knows of one sidecar: its last report, corrected for what the home itself has placed since.
struct SidecarView {
    NodeId node;
    FailureDomain domain;
    /// The last report, or defaults before the first one.
    LoadReport report;
    /// Credits of live grants that are not spent yet.
    std::uint32_t creditsLeft = 0;
    /// Own orders sent that the report does not account for, and their prompt and output tokens.
    std::uint32_t placedSinceReport = 0;
    TokenCount tokensPlacedSinceReport;
    /// Own orders that the report counts as running or waiting and that have ended since.
    std::uint32_t endedSinceReport = 0;
    /// Prefix of this program that the sidecar is believed to hold.
    TokenCount heldTokens;
    /// Recent failures or timeouts; 0 for a healthy one.
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

/// Set by label: an organisation that feels wasted cache more gives `missingPrefixWeight` a higher value.
struct PlacementSettings {
    FailureDomain ownDomain;
    double waitWeight = 1.0;
    double missingPrefixWeight = 1.0;
    double transferWeight = 1.0;
    /// One-way delay between failure domains.
    Milliseconds domainDelay { 4 };
    /// Sidecars looked at per decision, beside the one that holds the prefix.
    std::uint32_t candidateCount = 8;
};

/// A sidecar, by its place among the views, that is believed to hold a prefix of the program.
struct PrefixHolder {
    std::uint32_t index = 0;
    TokenCount tokens;
};

/// Whether the sidecar at this place among the views may get the call at all; empty admits every one.
using PlacementFilter = std::function<bool(std::size_t index)>;

/// Chooses among `sidecars` that have a credit left; `choice` is empty when none was found. `seed` varies the sample of
/// candidates. Looks at `holders` and at `candidateCount` others, however many there are; `heldTokens` of the views
/// isn't read. When none of these has a credit it looks at some hundred more, which is all of a small fleet; in a large
/// one a later decision with another seed may find a credit that this one missed.
///
/// Precondition: all `sidecars` serve the call's service and none is leaving; the holders' indices are within them.
PlacementDecision choosePlacement(std::span<const SidecarView> sidecars, const CallShape& call,
    const PlacementSettings& settings, std::uint64_t seed, std::span<const PrefixHolder> holders,
    const PlacementFilter& eligible = {});

/// As above; takes the holders from `heldTokens`, for which it looks at every view.
PlacementDecision choosePlacement(std::span<const SidecarView> sidecars, const CallShape& call,
    const PlacementSettings& settings, std::uint64_t seed);

}
