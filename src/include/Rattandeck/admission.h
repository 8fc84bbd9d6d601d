#pragma once

#include "Rattandeck/types.h"

#include <optional>

/// Admission control for new programs, as a pure function. Only openings are refused; programs that have been admitted
/// continue.
namespace Rattandeck {

/// Thresholds of load and cache pressure. The opening of a program is refused when either pressure reaches its
/// threshold. The first value of each pair applies to an organisation at its fair share; the threshold is lower for an
/// organisation above its share, and higher for one below it. The second value is the upper bound, at which every
/// opening is refused.
struct AdmissionSettings {
    double loadThreshold = 0.7;
    double maxLoadThreshold = 1.3;
    double cacheThreshold = 0.8;
    double maxCacheThreshold = 1.0;
};

/// State of the system, as known to the entry, on which the opening of a program is decided.
struct AdmissionView {
    /// Ratio of the calls that run, wait or have been placed at the service's sidecars to the sum of their concurrency
    /// limits.
    double loadPressure = 0;
    /// Ratio of the memory used by running calls and held prefixes at the service's engines to their capacity. Some
    /// capacity must remain free, since the contexts of admitted programs still grow.
    double cachePressure = 0;
    /// Ratio of the organisation's use to its fair share: see `organisationShare`.
    double organisationShare = 1;
    /// Estimated time until a waiting call is served, under the current load.
    double expectedWaitSeconds = 0;
};

/// Returns nothing when the program is admitted; otherwise the time after which the caller should retry, with jitter
/// from `seed`.
std::optional<Milliseconds> refuseOpening(
    const AdmissionView& view, const AdmissionSettings& settings, std::uint64_t seed);

}
