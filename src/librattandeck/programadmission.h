#pragma once

#include "Rattandeck/admission.h"
#include "Rattandeck/fairness.h"
#include "Rattandeck/types.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace Rattandeck {

/// How full the sidecars of one service are, as far as an entry knows.
struct ServicePressure {
    double load = 0;
    double cache = 0;
};

/// Decides whether a program may be opened, and remembers how much each organisation has asked for and been given
/// lately.
class ProgramAdmission {
public:
    /// Nothing when the program may open; else the time after which its caller should ask again.
    std::optional<Milliseconds> decide(
        const OrganisationId& organisation, const ServicePressure& pressure, TimePoint now, std::uint64_t seed);

private:
    void decayUses(TimePoint now);
    double shareOf(const OrganisationId& organisation) const;

    std::unordered_map<OrganisationId, OrganisationUse> uses;
    TimePoint decayedAt {};
};

}
