#include "programadmission.h"

#include <vector>

namespace Rattandeck {

namespace {

    constexpr double useHalfLifeSeconds = 150;
    constexpr std::chrono::seconds decayInterval { 1 };
    // Organisations whose decayed demand is below this are removed.
    constexpr double minTrackedDemand = 0.01;
    // Expected wait for a slot at a load pressure of 1. The expected wait is proportional to the pressure.
    constexpr double waitSecondsAtFullLoad = 5;

}

void ProgramAdmission::decayUses(TimePoint now)
{
    if (now < this->decayedAt + decayInterval)
        return;
    const double passed = std::chrono::duration<double>(now - this->decayedAt).count();
    this->decayedAt = now;
    for (auto& [organisation, use] : this->uses)
        use = decayed(use, passed, useHalfLifeSeconds);
    std::erase_if(this->uses, [](const auto& item) { return item.second.demand < minTrackedDemand; });
}

double ProgramAdmission::shareOf(const OrganisationId& organisation) const
{
    std::vector<OrganisationUse> all;
    all.reserve(this->uses.size());
    std::size_t index = 0;
    for (const auto& [other, use] : this->uses) {
        if (other == organisation)
            index = all.size();
        all.push_back(use);
    }
    return organisationShare(all, index);
}

std::optional<Milliseconds> ProgramAdmission::decide(
    const OrganisationId& organisation, const ServicePressure& pressure, TimePoint now, std::uint64_t seed)
{
    this->decayUses(now);
    OrganisationUse& use = this->uses[organisation];
    use.demand += 1;
    const AdmissionSettings settings;
    AdmissionView view;
    view.loadPressure = pressure.load;
    view.cachePressure = pressure.cache;
    view.expectedWaitSeconds = waitSecondsAtFullLoad * pressure.load;
    // The share is computed only under pressure: otherwise it does not affect the decision, and the computation
    // iterates over all organisations.
    if (pressure.load > settings.loadThreshold || pressure.cache > settings.cacheThreshold)
        view.organisationShare = this->shareOf(organisation);
    const std::optional<Milliseconds> refused = refuseOpening(view, settings, seed);
    if (!refused)
        use.granted += 1;
    return refused;
}

}
