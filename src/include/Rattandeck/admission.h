#pragma once

#include "Rattandeck/types.h"

#include <optional>

/// Early refusal of new programs: a pure function. Programs that were let in are carried on; only openings are refused.
namespace Rattandeck {

/// Pressures up to which every opening is let in (`open`), and from which on even an organisation that has had nothing
/// is refused (`closed`).
struct AdmissionSettings {
    double admitAllLoad = 0.7;
    double refuseAllLoad = 1.3;
    double admitAllCache = 0.8;
    double refuseAllCache = 1.0;
};

/// What an entry knows when a program asks to be opened.
struct AdmissionView {
    /// Calls running, waiting and placed at the service's sidecars, over the sum of their concurrency limits.
    double loadPressure = 0;
    /// Memory that running calls and held prefixes take at the service's engines, over what they have. Programs that
    /// were let in still grow.
    double cachePressure = 0;
    /// Use of the organisation over its fair share: see `organisationShare`.
    double organisationShare = 1;
    /// Time until a waiting call is served, as things stand.
    double expectedWaitSeconds = 0;
};

/// Nothing when the program may open; else the time after which it should ask again, spread by `seed`.
std::optional<Milliseconds> refuseOpening(
    const AdmissionView& view, const AdmissionSettings& settings, std::uint64_t seed);

}
