#pragma once

#include "cluster.h"

#include <set>

namespace RattandeckProve {

/// Properties of a call that determine how the simulated endpoints behave when they run it.
struct CallNature {
    bool idempotent = true;
    /// The endpoint crashes when it runs the call.
    bool poison = false;
    /// The call never completes; it runs until its time limit.
    bool hangs = false;
    TokenCount inputTokens;
};

/// Simulates the endpoints of the sidecars: model engines, which hold a prefix for each program until they are told to
/// free it, and plain services. An endpoint is a separate process: it survives the death of its sidecar, and its own
/// crash does not affect the sidecar.
class FakeEndpoints {
public:
    FakeEndpoints(World& world, Cluster& cluster, const std::map<CallId, CallNature>& natures);

    void start(Process& sidecar, const EndpointCall& call);
    void cancel(Process& sidecar, OrderId order);
    void releasePrefix(Process& sidecar, ProgramId program);
    void releaseAll(const Process& sidecar);
    /// Crashes the endpoint, which restarts after a delay. Returns false if it was already down.
    bool crash(std::uint32_t index);

private:
    struct Run {
        RunId id;
        OrderId order;
        Life sidecarLife;
        std::string output;
        TokenCount tokens;
        TokenCount prompt;
    };
    struct Endpoint {
        bool up = true;
        std::uint64_t life = 1;
        std::map<RunId, Run> runs;
        std::set<ProgramId> prefixes;
    };

    void begin(std::uint32_t index, Life life, const EndpointCall& call);
    void stream(std::uint32_t index, RunId run, std::size_t from, Duration each);
    void finish(std::uint32_t index, RunId run);
    void fail(std::uint32_t index, const Run& run, EndpointFailure failure);

    World& world;
    Chance chance;
    Cluster& cluster;
    const std::map<CallId, CallNature>& natures;
    std::uint64_t lastRun = 0;
    std::array<Endpoint, processCount> endpoints;
};

}
