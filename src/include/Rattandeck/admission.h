#pragma once

#include "Rattandeck/types.h"

#include <optional>

/// Early refusal of new programs: a pure function. Programs that were let in are carried on; only openings are refused.
namespace Rattandeck {

struct AdmissionSettings {
    /// Calls in the fleet, over its concurrency limit, up to which everyone is let in.
    double openPressure = 1.0;
    /// From here on even an organisation that has had nothing is refused.
    double closedPressure = 1.6;
};

/// What an entry knows when a program asks to be opened.
struct AdmissionView {
    /// Calls running, waiting and placed at the service's sidecars, over the sum of their concurrency limits.
    double pressure = 0;
    /// Use of the organisation over its fair share: see `organisationShare`.
    double organisationShare = 1;
    /// Time until a waiting call is served, as things stand.
    double expectedWaitSeconds = 0;
};

/// Nothing when the program may open; else the time after which it should ask again, spread by `seed`.
std::optional<Milliseconds> refuseOpening(
    const AdmissionView& view, const AdmissionSettings& settings, std::uint64_t seed);

}
