#include "Rattandeck/fairness.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Rattandeck {

std::vector<double> fairShares(std::span<const double> demands, double capacity)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return demands[a] < demands[b]; });

    std::vector<double> shares(demands.size());
    double remainingCapacity = std::max(0.0, capacity);
    std::size_t remainingDemands = demands.size();
    for (const std::size_t index : order) {
        shares[index] = std::min(demands[index], remainingCapacity / static_cast<double>(remainingDemands));
        remainingCapacity -= shares[index];
        --remainingDemands;
    }
    return shares;
}

double organisationShare(std::span<const OrganisationUse> uses, std::size_t organisation)
{
    std::vector<double> demands;
    demands.reserve(uses.size());
    double granted = 0;
    for (const OrganisationUse& use : uses) {
        demands.push_back(use.demand);
        granted += use.granted;
    }
    const double fair = fairShares(demands, granted)[organisation];
    if (fair <= 0)
        return uses[organisation].granted > 0 ? 1 : 0;
    return uses[organisation].granted / fair;
}

OrganisationUse decayed(OrganisationUse use, double seconds, double halfLifeSeconds)
{
    const double factor = std::exp2(-seconds / halfLifeSeconds);
    return { use.demand * factor, use.granted * factor };
}

}
