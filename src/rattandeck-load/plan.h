#pragma once

#include "Rattandeck/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Load generator that runs the users' workloads against the callers' API and checks every answer.
namespace RattandeckLoad {

using Rattandeck::Milliseconds;

/// A call of the model, followed by a pause that stands for the run of a tool.
struct ModelTurn {
    std::string input;
    std::int64_t maxTokens = 0;
    Milliseconds pauseAfter { 0 };
    bool streamed = false;
};

/// A call of the plain service that must run exactly once.
struct RecordCall {
    std::string body;
    /// Whether the call belongs to the program, or is sent outside of any program.
    bool withinProgram = true;
};

struct ProgramPlan;

/// Sub-agents that run concurrently. The program waits for all of them.
struct SubAgents {
    std::vector<ProgramPlan> programs;
};

using Step = std::variant<ModelTurn, RecordCall, SubAgents>;

struct ProgramPlan {
    std::string organisation;
    Milliseconds latencyTarget { 0 };
    std::int64_t budgetTokens = 0;
    std::vector<Step> steps;
};

/// A program and its arrival time.
struct Arrival {
    Milliseconds at { 0 };
    ProgramPlan plan;
};

struct WorkloadOptions {
    std::string workload;
    std::uint64_t seed = 1;
    std::size_t programs = 0;
    /// Arrival times are distributed uniformly over this period.
    Milliseconds duration { 0 };
};

/// Number of tokens of a text, with the estimate that the system uses.
std::int64_t estimateTokens(std::size_t bytes);

/// Generates the programs of a workload in order of arrival. The result depends on the options alone. Returns nullopt
/// for an unknown workload.
std::optional<std::vector<Arrival>> planWorkload(const WorkloadOptions& options);

}
