#pragma once

#include "Rattandeck/admission.h"
#include "Rattandeck/ordering.h"
#include "Rattandeck/placement.h"
#include "workload.h"

#include <string>
#include <vector>

/// One run of one policy on one workload under virtual time.
namespace RattandeckBench {

enum class PlacementRule { RoundRobin, LeastLoad, Sticky, FirstFree, Core };

/// The parts of a policy that are switched on. The baselines use none of the core's parts.
struct TrialPolicy {
    std::string name;
    PlacementRule placement = PlacementRule::Core;
    bool programOrder = true;
    bool adaptiveLimit = true;
    bool evictByValue = true;
    bool releaseAtEnd = true;
    bool earlyRefusal = true;
    bool fairness = true;
    bool quarantine = true;
    bool ownCorrection = true;
    double waitWeight = 1;
    /// Multiplies the users' weight of the workload.
    double missingPrefixFactor = 1;
    double transferWeight = 1;
    std::uint32_t candidateCount = 8;
    /// Spread (standard deviation of the logarithm) of the aim as the policy sees it; 0 shows it the true one.
    double aimBlur = 0;
};

TrialPolicy baseline(const std::string& name, PlacementRule placement);

enum class Fault { None, RunnerDies, SlowRunner, SlowPlainInstance, CutDomain, LaggingReports, CrashingRequest };

std::string toString(Fault fault);

struct TrialSpec {
    WorkloadShape shape;
    TrialPolicy policy;
    Fault fault = Fault::None;
    /// Multiple of the full load.
    double load = 1;
    double programsPerSecond = 0;
    double seconds = 300;
    double warmUpSeconds = 60;
    std::uint64_t seed = 1;
};

/// Seconds and tokens; programs are those that arrived after the warm-up, sub-agents counted with their root.
struct TrialResult {
    std::uint64_t programs = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t abandoned = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    double withinLatencyTarget = 0;
    double overBound = 0;
    double goodputPerSecond = 0;
    double refilledTokens = 0;
    double unusedTokenSeconds = 0;
    /// Refilled tokens over the prefill speed, plus unused token-seconds over an engine's memory.
    double wastedEngineSeconds = 0;
    double leastFairShare = 0;
    /// By organisation, at full batches.
    std::vector<double> offeredWork;
    std::vector<double> servedWork;
    std::uint64_t moves = 0;
    std::uint64_t resent = 0;
    std::uint64_t crashes = 0;
    std::uint64_t orders = 0;
    std::uint64_t ordersAcrossDomains = 0;
};

/// Least share that an organisation has been served, over its max-min fair share.
double leastFairShare(const std::vector<double>& offered, const std::vector<double>& served);

/// Programs per second that the model service's fleet completes with a warm cache and no pauses.
double measureCapacity(const WorkloadShape& shape, std::uint64_t seed);

TrialResult runTrial(const TrialSpec& spec);

}
