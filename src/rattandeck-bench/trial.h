#pragma once

#include "Rattandeck/admission.h"
#include "Rattandeck/ordering.h"
#include "Rattandeck/placement.h"
#include "workload.h"

#include <string>
#include <vector>

/// Simulates one policy on one workload under virtual time.
namespace RattandeckBench {

enum class PlacementRule { RoundRobin, LeastLoad, Sticky, FirstFree, Core };

/// Enabled mechanisms and weights of a policy. The baselines use none of the mechanisms of the core.
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
    /// Factor on `WorkloadShape::missingPrefixWeight`.
    double missingPrefixFactor = 1;
    double transferWeight = 1;
    std::uint32_t candidateCount = 8;
    /// Error of the latency target that the policy uses, as the standard deviation of its logarithm; 0: no error.
    double targetError = 0;
};

TrialPolicy baseline(const std::string& name, PlacementRule placement);

enum class Fault { None, RunnerDies, SlowRunner, SlowPlainInstance, CutDomain, LaggingReports, CrashingRequest };

std::string toString(Fault fault);

struct TrialSpec {
    WorkloadShape shape;
    TrialPolicy policy;
    Fault fault = Fault::None;
    /// Offered load as a multiple of the full load.
    double load = 1;
    double programsPerSecond = 0;
    double seconds = 300;
    double warmUpSeconds = 60;
    std::uint64_t seed = 1;
};

/// Results in seconds and tokens. Counts the programs that arrived after the warm-up; a sub-agent is counted as a part
/// of its root program.
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
    /// Refilled tokens divided by the prefill speed, plus unused token-seconds divided by the memory of an engine.
    double wastedEngineSeconds = 0;
    double minFairShare = 0;
    /// Engine-seconds of work by organisation, with full batches.
    std::vector<double> offeredWork;
    std::vector<double> servedWork;
    std::uint64_t moves = 0;
    std::uint64_t resent = 0;
    std::uint64_t crashes = 0;
    std::uint64_t orders = 0;
    std::uint64_t ordersAcrossDomains = 0;
};

/// Minimum over all organisations of the served work divided by the max-min fair share; 1 at most.
double minFairShare(const std::vector<double>& offered, const std::vector<double>& served);

/// Throughput, in programs per second, of the fleet of the model service with a warm cache and without pauses.
double measureCapacity(const WorkloadShape& shape, std::uint64_t seed);

TrialResult runTrial(const TrialSpec& spec);

}
