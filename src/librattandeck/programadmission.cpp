#include "programadmission.h"

#include <vector>

namespace Rattandeck {

namespace {

    constexpr double useHalfLifeSeconds = 150;
    constexpr std::chrono::seconds decayInterval { 1 };
    // Organisations with less use than this are forgotten.
    constexpr double forgottenUse = 0.01;
    // Wait for a slot when the service is just full.
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
    std::erase_if(this->uses, [](const auto& item) { return item.second.demand < forgottenUse; });
}

double ProgramAdmission::shareOf(const OrganisationId& organisation) const
{
    std::vector<OrganisationUse> all;
    all.reserve(this->uses.size());
    std::size_t which = 0;
    for (const auto& [other, use] : this->uses) {
        if (other == organisation)
            which = all.size();
        all.push_back(use);
    }
    return organisationShare(all, which);
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
    // Shares cost a pass over all organisations and matter only under pressure.
    if (pressure.load > settings.admitAllLoad || pressure.cache > settings.admitAllCache)
        view.organisationShare = this->shareOf(organisation);
    const std::optional<Milliseconds> refused = refuseOpening(view, settings, seed);
    if (!refused)
        use.granted += 1;
    return refused;
}

}
