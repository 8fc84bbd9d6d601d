#pragma once

#include "Rattandeck/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Load driver: runs the users' workloads against the callers' API and checks every answer.
namespace RattandeckLoad {

using Rattandeck::Milliseconds;

/// A call of the model, followed by the pause of a tool.
struct ModelTurn {
    std::string input;
    std::int64_t maxTokens = 0;
    Milliseconds pauseAfter { 0 };
    bool streamed = false;
};

/// A call of the plain service that must run once.
struct RecordCall {
    std::string body;
    /// A call of the program, or one outside of any program.
    bool withinProgram = true;
};

struct ProgramPlan;

/// Sub-agents that run side by side while the program waits for all of them.
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

/// A program and when it arrives.
struct Arrival {
    Milliseconds at { 0 };
    ProgramPlan plan;
};

struct WorkloadOptions {
    std::string workload;
    std::uint64_t seed = 1;
    std::size_t programs = 0;
    /// Arrivals are spread over this time.
    Milliseconds duration { 0 };
};

/// Tokens of a text as the system estimates them.
std::int64_t estimateTokens(std::size_t bytes);

/// Programs of a workload, in order of arrival; the same for the same options. Nothing for an unknown workload.
std::optional<std::vector<Arrival>> planWorkload(const WorkloadOptions& options);

}
