#pragma once

#include "Rattandeck/admission.h"
#include "Rattandeck/fairness.h"
#include "Rattandeck/types.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace Rattandeck {

/// Load of the sidecars of one service, as seen by an entry: calls over concurrency limits, and memory in use over
/// memory available.
struct ServicePressure {
    double load = 0;
    double cache = 0;
};

/// Admission control for new programs. Tracks how many programs each organisation has recently requested and been
/// granted; these counts decay exponentially with time.
class ProgramAdmission {
public:
    /// Returns nothing when the program is admitted, else the delay after which its caller may retry.
    std::optional<Milliseconds> decide(
        const OrganisationId& organisation, const ServicePressure& pressure, TimePoint now, std::uint64_t seed);

private:
    void decayUses(TimePoint now);
    double shareOf(const OrganisationId& organisation) const;

    std::unordered_map<OrganisationId, OrganisationUse> uses;
    TimePoint decayedAt {};
};

}
