#pragma once

#include "Rattandeck/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Fault schedules: what is brought about, when and for how long.
namespace RattandeckProve {

using Rattandeck::Milliseconds;

enum class FaultKind {
    /// The process dies; a new incarnation starts after `duration`.
    Kill,
    /// The process stands still for `duration` and then goes on.
    Freeze,
    /// No message passes between `node` and `peer`.
    Cut,
    /// The link between `node` and `peer` breaks and what is under way on it is lost.
    BreakLink,
    /// The node reaches nobody, the object API included.
    Isolate,
    /// The node alone can't reach the object API.
    CutStore,
    /// Nobody can reach the object API.
    Outage,
    /// Half of the answers of the object API are lost, before or after the update took effect, or it takes effect late.
    LoseAnswers,
    /// Watch events come seconds late and out of order.
    LateWatches,
    /// The instance list lags by seconds.
    LagList,
    /// The endpoint dies under its calls; the sidecar lives.
    CrashEndpoint,
    /// Planned stop; a new incarnation starts after the exit.
    Stop,
    /// Two operators change the same object at once.
    RaceOperators,
    /// A program sends a request that crashes each endpoint that runs it.
    Poison,
    /// The machine loses power, and its disk what was not synced; a new process starts after `duration`.
    PowerLoss,
    /// All machines lose power at once.
    PowerLossOfAll,
    /// The machine loses power and its disk.
    Wipe,
    /// The machine goes for good, with its disk; an empty one comes in its place, at another address.
    Replace,
    /// The operator wants the machine emptied; it goes when it says that it is.
    Retire,
    /// An empty machine is added.
    Add,
    /// The disk takes long to sync.
    SlowDisk,
};
constexpr std::size_t faultKindCount = 21;
std::string toString(FaultKind);

struct Fault {
    FaultKind kind = FaultKind::Kill;
    Milliseconds at { 0 };
    /// Indices into the processes of the system.
    std::uint32_t node = 0;
    std::uint32_t peer = 0;
    Milliseconds duration { 0 };
};

struct Schedule {
    /// Decides everything that is not a fault: delays, clocks, workload.
    std::uint64_t seed = 1;
    std::vector<Fault> faults;
};

/// "seed=7;Kill@1200:0/1+3000;...": can be given to `--replay`.
std::string toString(const Schedule&);
std::optional<Schedule> parseSchedule(const std::string& text);

}
