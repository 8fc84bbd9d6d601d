#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Programs that the trial offers to the fleet. Plain values; times in seconds, sizes in tokens.
namespace RattandeckBench {

/// Speeds and memory of one engine: an 8B-class model on an accelerator with 40 GB. docs/DECISIONS.md derives them.
struct EngineModel {
    /// One iteration without any call, and what each decoding call adds.
    double stepSeconds = 0.012;
    double stepSecondsPerCall = 0.0004;
    double prefillTokensPerSecond = 9000;
    /// Prompt tokens that an iteration takes in beside the decoding calls.
    double chunkTokens = 512;
    std::int64_t memoryTokens = 200000;
    std::uint32_t maxCalls = 32;
    /// Import of exported prefixes.
    double importTokensPerSecond = 60000;
};

/// A plain service, modelled as an engine that decodes units of 10 ms and caches nothing.
EngineModel plainServiceModel();

/// Two services: 0 is the model's, 1 the plain one.
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
    /// Share of turns followed by a call to the plain service in place of a pause, and by sub-agents.
    double plainShare = 0;
    double subAgentShare = 0;
    /// Users' weights, set by label: see `PlacementSettings`.
    double missingPrefixWeight = 1;
};

WorkloadShape vadodara();
WorkloadShape mizani();

struct Turn {
    std::int64_t inputTokens = 0;
    std::int64_t outputTokens = 0;
    double pauseSeconds = 0;
    /// Units of work at the plain service after the turn; 0 for none.
    std::int64_t plainUnits = 0;
    /// Programs that start after this turn and must end before the next.
    std::vector<std::uint32_t> subAgents;
};

struct ProgramPlan {
    std::uint32_t organisation = 0;
    std::uint32_t entry = 0;
    /// Sub-agents are started by their parent and have no arrival of their own.
    bool isSubAgent = false;
    double arrivalSeconds = 0;
    std::vector<Turn> turns;
    /// Latency on an idle runner with a warm cache: no schedule can be faster.
    double boundSeconds = 0;
    double latencyTargetSeconds = 0;
    /// Engine-seconds of all turns with sub-agents, at full batches: used for fair shares only.
    double workSeconds = 0;
    /// Every call of its second turn kills the engine that runs it.
    bool crashesEngine = false;
};

/// The aim of a program is this multiple of its bound.
constexpr double aimOverBound = 3;
constexpr std::uint32_t entryCount = 3;

/// Poisson arrivals at `programsPerSecond` for `seconds`; the same `seed` gives the same programs.
std::vector<ProgramPlan> makePrograms(
    const WorkloadShape& shape, double programsPerSecond, double seconds, std::uint64_t seed);

}
