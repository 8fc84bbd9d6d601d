#pragma once

#include "Rattandeck/types.h"

#include <cstddef>
#include <optional>
#include <span>

/// Which call runs next: pure functions over what is known of whole programs.
namespace Rattandeck {

/// How far a program has come.
struct ProgramProgress {
    Duration sinceOpening { 0 };
    Duration latencyTarget { 0 };
    /// Engine time and tokens that the program has been given so far, sub-agents included.
    Duration attainedService { 0 };
    std::uint32_t turnsDone = 0;
    /// Share of running calls that the program's organisation has, over its fair share; 1 is fair.
    double organisationShare = 1;
};

struct OrderingSettings {
    /// A call that has waited this long runs before all that haven't, so that none waits for ever.
    std::chrono::milliseconds starvationLimit { 20000 };
};

/// Priority that the home gives to a program's next call: the share of its aim that is left, below 0 when it is late.
/// Smaller runs first.
double callPriority(const ProgramProgress& progress, const OrderingSettings& settings);

struct QueuedCall {
    double priority = 0;
    Duration waited { 0 };
    Duration timeLeft { 0 };
    TokenCount tokens;
};

/// Index of the call to start next, or nothing when `queue` is empty. Calls that starve run in the order of their
/// waiting, the others by priority; among equals the first of `queue` runs.
std::optional<std::size_t> nextCall(std::span<const QueuedCall> queue, const OrderingSettings& settings);

}
