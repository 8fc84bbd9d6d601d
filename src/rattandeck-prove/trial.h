#pragma once

#include "librattandeckprove/schedule.h"

#include "history.h"

#include <array>
#include <string>
#include <vector>

/// A trial is one concurrent run of the production entry and sidecar cores under virtual time, with simulated callers,
/// network, endpoints and object API.
namespace RattandeckProve {

struct TrialOutcome {
    Rattandeck::History history;
    std::vector<Rattandeck::PromiseCheck> checks;
    /// Number of faults that took effect, by kind. A fault can have no effect: a dead process cannot be killed.
    std::array<std::uint64_t, faultKindCount> faults {};
    /// Log lines of the processes in order of time; filled only if `keepLog` is set.
    std::vector<std::string> log;
};

/// Numbers of processes of each kind. Faults refer to a process by its index, which counts the entries first, then the
/// sidecars of model engines, then the sidecars of plain services.
constexpr std::uint32_t entryCount = 3;
constexpr std::uint32_t engineCount = 3;
constexpr std::uint32_t toolCount = 2;
constexpr std::uint32_t processCount = entryCount + engineCount + toolCount;

/// Faults are injected within this time. Afterwards the trial continues without new faults, so that all requests can
/// end and all time limits can expire.
constexpr Milliseconds faultWindow { 60000 };
constexpr Milliseconds trialLength { 200000 };

TrialOutcome runTrial(const Schedule& schedule, bool keepLog = false);

}
