#include "Rattandeck/ordering.h"

#include <algorithm>

namespace Rattandeck {

double callPriority(const ProgramProgress& progress, const OrderingSettings& /*settings*/)
{
    const double latencyTarget = std::chrono::duration<double>(progress.latencyTarget).count();
    const double elapsed = std::chrono::duration<double>(progress.sinceOpening).count();
    // Share of the aim that is left: programs of different lengths are late in proportion.
    constexpr double leastAimSeconds = 0.001;
    return 1 - elapsed / std::max(leastAimSeconds, latencyTarget);
}

std::optional<std::size_t> nextCall(std::span<const QueuedCall> queue, const OrderingSettings& settings)
{
    const auto runsBefore = [&settings](const QueuedCall& a, const QueuedCall& b) {
        const bool aStarves = a.waited >= settings.starvationLimit;
        const bool bStarves = b.waited >= settings.starvationLimit;
        if (aStarves != bStarves)
            return aStarves;
        if (aStarves)
            return a.waited > b.waited;
        return a.priority < b.priority;
    };
    const auto best = std::ranges::min_element(queue, runsBefore);
    if (best == queue.end())
        return std::nullopt;
    return static_cast<std::size_t>(best - queue.begin());
}

}
