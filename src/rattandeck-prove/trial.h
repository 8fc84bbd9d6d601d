#pragma once

#include "librattandeckprove/schedule.h"

#include "history.h"

#include <array>
#include <string>
#include <vector>

/// One concurrent run of the real entry and sidecar cores under virtual time, with fakes at their interfaces.
namespace RattandeckProve {

struct TrialOutcome {
    Rattandeck::History history;
    std::vector<Rattandeck::PromiseCheck> checks;
    /// Faults that were really brought about (a dead process can't be killed), by kind.
    std::array<std::uint64_t, faultKindCount> faults {};
    /// What the processes logged, in order of time; kept only when asked for.
    std::vector<std::string> log;
};

/// Processes that faults may name: three entries, three sidecars of a model engine, two of a plain service.
constexpr std::uint32_t entryCount = 3;
constexpr std::uint32_t engineCount = 3;
constexpr std::uint32_t toolCount = 2;
constexpr std::uint32_t processCount = entryCount + engineCount + toolCount;

/// Faults come within this; afterwards the trial runs on without any until everything is settled.
constexpr Milliseconds faultWindow { 60000 };
constexpr Milliseconds trialLength { 200000 };

TrialOutcome runTrial(const Schedule& schedule, bool keepLog = false);

}
