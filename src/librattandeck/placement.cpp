#include "Rattandeck/placement.h"

namespace Rattandeck {

PlacementDecision choosePlacement(std::span<const SidecarView> sidecars, const CallShape& call,
    const PlacementSettings& /*settings*/, std::uint64_t /*seed*/)
{
    PlacementDecision decision { call.program, call.turn, {}, "least-load", {}, {} };
    double best = 0;
    for (const SidecarView& sidecar : sidecars) {
        if (sidecar.creditsLeft == 0)
            continue;
        const double load = sidecar.report.running + sidecar.report.waiting + sidecar.placedSinceReport;
        decision.candidates.push_back({ sidecar.node, load, 0, 0, load });
        if (decision.choice.value.empty() || load < best) {
            decision.choice = sidecar.node;
            best = load;
        }
    }
    return decision;
}

}
