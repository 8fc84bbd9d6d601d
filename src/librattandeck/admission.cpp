#include "Rattandeck/admission.h"

#include "Rattandeck/limits.h"

#include <algorithm>

namespace Rattandeck {

std::optional<Milliseconds> refuseOpening(
    const AdmissionView& view, const AdmissionSettings& settings, std::uint64_t seed)
{
    // Those below their share are refused last, those above it first.
    const double room = settings.closedPressure - settings.openPressure;
    const double limit = settings.openPressure + room * std::clamp(2 * (1 - view.organisationShare), 0.0, 1.0);
    if (view.pressure < limit)
        return std::nullopt;
    return retryAfter(view.expectedWaitSeconds, seed);
}

}
