#pragma once

#include "cluster.h"

#include <set>

namespace RattandeckProve {

/// What the endpoints must know of a call to behave as its caller intends.
struct CallNature {
    bool idempotent = true;
    /// The endpoint dies on it.
    bool poison = false;
    /// It never answers by itself.
    bool hangs = false;
    TokenCount inputTokens;
};

/// The endpoints beside the sidecars: engines that keep a prefix for each program until told to free it, and plain
/// services. An endpoint is a process of its own: it outlives its sidecar and dies alone.
class FakeEndpoints {
public:
    FakeEndpoints(World& world, Cluster& cluster, const std::map<CallId, CallNature>& natures);

    void start(Process& sidecar, const EndpointCall& call);
    void cancel(Process& sidecar, OrderId order);
    void releasePrefix(Process& sidecar, ProgramId program);
    void releaseAll(const Process& sidecar);
    /// The endpoint dies and comes back. Returns false when it was down already.
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
