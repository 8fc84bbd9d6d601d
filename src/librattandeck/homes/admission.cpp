#include "Rattandeck/admission.h"

#include "Rattandeck/limits.h"

#include <algorithm>
#include <cmath>

namespace Rattandeck {

namespace {

    // An organisation that is below its fair share by 1 / `fairnessGain` or more gets the highest thresholds.
    constexpr double fairnessGain = 5;

}

std::optional<Milliseconds> refuseOpening(
    const AdmissionView& view, const AdmissionSettings& settings, std::uint64_t seed)
{
    // Organisations above their fair share are refused first, those below it last.
    const double shareDeficit = std::clamp(fairnessGain * (1 - view.organisationShare), -1.0, 1.0);
    const double loadLimit = std::lerp(settings.loadThreshold, settings.maxLoadThreshold, shareDeficit);
    const double cacheLimit = std::lerp(settings.cacheThreshold, settings.maxCacheThreshold, shareDeficit);
    if (view.loadPressure < loadLimit && view.cachePressure < cacheLimit)
        return std::nullopt;
    return retryAfter(view.expectedWaitSeconds, seed);
}

}
