#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Generated programs of the simulated workloads. All times are in seconds, all sizes in tokens.
namespace RattandeckBench {

/// Speed and memory of one engine that runs an 8B-class model on an accelerator with 40 GB. docs/DECISIONS.md derives
/// the values.
struct EngineModel {
    /// Duration of an iteration without calls, and the additional time for each decoding call.
    double stepSeconds = 0.012;
    double stepSecondsPerCall = 0.0004;
    double prefillTokensPerSecond = 9000;
    /// Maximum number of prompt tokens that one iteration prefills in addition to the decoding calls.
    double chunkTokens = 512;
    std::int64_t memoryTokens = 200000;
    std::uint32_t maxCalls = 32;
    /// Rate at which exported prefixes are imported.
    double importTokensPerSecond = 60000;
};

/// A plain service, modelled as an engine without a cache that decodes units of work of 10 ms.
EngineModel plainServiceModel();

/// Parameters of a workload with two services: 0 is the model service, 1 the plain service.
struct WorkloadShape {
    std::string name;
    std::vector<std::string> domains;
    std::string modelService;
    std::uint32_t runners = 0;
    std::string plainService;
    std::uint32_t plainInstances = 0;
    std::uint32_t organisations = 0;
    double meanTurns = 0;
    double firstPromptTokens = 0;
    double inputTokens = 0;
    double outputTokens = 0;
    double pauseSeconds = 0;
    /// Share of turns that are followed by a call of the plain service instead of a pause, and share of turns that are
    /// followed by sub-agents.
    double plainShare = 0;
    double subAgentShare = 0;
    /// Weight that the users set by label; see `PlacementSettings`.
    double missingPrefixWeight = 1;
};

WorkloadShape vadodara();
WorkloadShape mizani();

struct Turn {
    std::int64_t inputTokens = 0;
    std::int64_t outputTokens = 0;
    double pauseSeconds = 0;
    /// Units of work of the plain service call after the turn; 0: no call.
    std::int64_t plainUnits = 0;
    /// Indices of the programs that start after this turn and must complete before the next one.
    std::vector<std::uint32_t> subAgents;
};

struct ProgramPlan {
    std::uint32_t organisation = 0;
    std::uint32_t entry = 0;
    /// Sub-agents are started by their parent and have no arrival time.
    bool isSubAgent = false;
    double arrivalSeconds = 0;
    std::vector<Turn> turns;
    /// Latency on an idle runner with a warm cache, a lower bound for every schedule.
    double boundSeconds = 0;
    double latencyTargetSeconds = 0;
    /// Engine-seconds of all turns including sub-agents, with full batches. Used for fair shares only.
    double workSeconds = 0;
    /// Every call of the second turn crashes the engine that runs it.
    bool crashesEngine = false;
};

/// Ratio of the latency target of a program to its lower bound.
constexpr double targetOverBound = 3;
constexpr std::uint32_t entryCount = 3;

/// Generates programs with Poisson arrivals at the rate `programsPerSecond` for `seconds`. The same `seed` gives the
/// same programs.
std::vector<ProgramPlan> makePrograms(
    const WorkloadShape& shape, double programsPerSecond, double seconds, std::uint64_t seed);

}
