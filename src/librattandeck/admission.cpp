#include "Rattandeck/admission.h"

#include "Rattandeck/limits.h"

#include <algorithm>
#include <cmath>

namespace Rattandeck {

namespace {

    // An organisation that has had less than its share by one over this is let in up to the closed pressures.
    constexpr double fairnessGain = 5;

}

std::optional<Milliseconds> refuseOpening(
    const AdmissionView& view, const AdmissionSettings& settings, std::uint64_t seed)
{
    // Those below their share are refused last, those above it first.
    const double lenience = std::clamp(fairnessGain * (1 - view.organisationShare), -1.0, 1.0);
    const double loadLimit = std::lerp(settings.admitAllLoad, settings.refuseAllLoad, lenience);
    const double cacheLimit = std::lerp(settings.admitAllCache, settings.refuseAllCache, lenience);
    if (view.loadPressure < loadLimit && view.cachePressure < cacheLimit)
        return std::nullopt;
    return retryAfter(view.expectedWaitSeconds, seed);
}

}
