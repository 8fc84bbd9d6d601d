#pragma once

#include "Rattandeck/types.h"

#include <cstddef>
#include <optional>
#include <span>

/// Order in which queued calls run: pure functions of the progress of their programs.
namespace Rattandeck {

/// Progress of a program towards its latency target, the duration in which its caller wants it to finish.
struct ProgramProgress {
    Duration timeSinceOpen { 0 };
    Duration latencyTarget { 0 };
    /// Engine time that the program has received so far, including its sub-agents.
    Duration attainedService { 0 };
    std::uint32_t turnsDone = 0;
    /// Share of the running calls that belong to the program's organisation, divided by its fair share; 1 is fair.
    double organisationShare = 1;
};

struct OrderingSettings {
    /// A call that has waited this long runs before all calls that have waited less, which prevents starvation.
    std::chrono::milliseconds starvationLimit { 20000 };
};

/// Priority of a program's next call: the fraction of its latency target that is left, negative when the program is
/// late. Calls with lower values run first.
double callPriority(const ProgramProgress& progress, const OrderingSettings& settings);

struct QueuedCall {
    double priority = 0;
    Duration waited { 0 };
    Duration timeLeft { 0 };
    TokenCount tokens;
};

/// Returns the index of the call to start next, or nothing when `queue` is empty. Calls beyond the starvation limit run
/// first, longest wait first; the others run by priority. Ties go to the earlier position in `queue`.
std::optional<std::size_t> nextCall(std::span<const QueuedCall> queue, const OrderingSettings& settings);

}
