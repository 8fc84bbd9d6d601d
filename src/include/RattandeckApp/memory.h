#pragma once

#include "RattandeckApp/metrics.h"
#include "RattandeckApp/settings.h"
#include "RattandeckNet/http.h"

#include <array>
#include <cstdint>

/// Memory and descriptors that the connections of a daemon may take, derived from its settings and its machine.
///
/// Thread safety: use from the event loop's thread.
namespace RattandeckApp {

/// Binds `memory.limit_mb`. Precondition: `limitMb` outlives `schema`.
void bindMemory(SettingsSchema& schema, std::int64_t& limitMb);

/// Bytes that all connections together may hold: half of `limitMb`, or of the machine's memory if that is 0. The other
/// half is for everything else and for what the allocator can't reuse.
std::size_t connectionMemory(std::int64_t limitMb);

/// Bytes that the answers of instances may hold together while a gateway relays them: a quarter of `limitMb`, or of the
/// machine's memory if that is 0.
std::size_t answerMemory(std::int64_t limitMb);

/// Sets up the allocator, so that memory of large buffers is returned to the machine as soon as it is freed.
void limitHeap();

/// The number of connections that a listener may accept: `wanted`, or fewer if the process may open too few files.
std::size_t allowedConnections(std::size_t wanted);

/// Limits of an address for the operator and the platform: readiness, health, metrics. No request has a body there.
RattandeckNet::HttpLimits operatorLimits();

/// Provides the metrics of a budget. Precondition: it outlives the last rendering of `metrics`.
void provideMemoryMetrics(Metrics& metrics, const RattandeckNet::MemoryBudget& budget);

/// Logs once a second which connections have been refused or closed, in one line, while there are any.
class RefusalLog {
public:
    RefusalLog(Rattandeck::TimerService& timers, const RattandeckNet::MemoryBudget& budget);
    void start();

private:
    void check();

    Rattandeck::TimerService& timers;
    const RattandeckNet::MemoryBudget& budget;
    std::array<std::uint64_t, RattandeckNet::refusalCauses> logged {};
};

}
