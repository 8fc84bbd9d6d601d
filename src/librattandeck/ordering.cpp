#include "Rattandeck/ordering.h"

namespace Rattandeck {

double callPriority(const ProgramProgress& progress, const OrderingSettings& /*settings*/)
{
    return std::chrono::duration<double>(progress.aim - progress.sinceOpening).count();
}

std::optional<std::size_t> nextCall(std::span<const QueuedCall> queue, const OrderingSettings& /*settings*/)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < queue.size(); ++i) {
        if (!best || queue[i].priority < queue[*best].priority)
            best = i;
    }
    return best;
}

}
