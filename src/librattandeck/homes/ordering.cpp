#include "Rattandeck/ordering.h"

#include <algorithm>

namespace Rattandeck {

double callPriority(const ProgramProgress& progress, const OrderingSettings& /*settings*/)
{
    const double latencyTarget = std::chrono::duration<double>(progress.latencyTarget).count();
    const double elapsed = std::chrono::duration<double>(progress.timeSinceOpen).count();
    // Relative to the target, so that the lateness of programs with different targets is comparable.
    constexpr double minTargetSeconds = 0.001;
    return 1 - elapsed / std::max(minTargetSeconds, latencyTarget);
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
