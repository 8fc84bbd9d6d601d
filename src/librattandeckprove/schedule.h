#pragma once

#include "Rattandeck/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Fault schedules: which faults are injected, when and for how long.
namespace RattandeckProve {

using Rattandeck::Milliseconds;

enum class FaultKind {
    /// The process dies; a new incarnation starts after `duration`.
    Kill,
    /// The process is paused for `duration`.
    Freeze,
    /// `node` and `peer` are partitioned: no message passes between them.
    Cut,
    /// The link between `node` and `peer` breaks, and messages in flight on it are lost.
    BreakLink,
    /// The node is partitioned from all other processes and the object API.
    Isolate,
    /// The node is partitioned from the object API only.
    CutStore,
    /// The object API is unreachable for all processes.
    Outage,
    /// Half of the answers of the object API are lost. The update of such a request takes effect at once, late or
    /// never.
    LoseAnswers,
    /// Watch events arrive seconds late and out of order.
    LateWatches,
    /// The instance list is stale by seconds.
    LagList,
    /// The endpoint dies and aborts its runs; the sidecar keeps running.
    CrashEndpoint,
    /// Planned stop; a new incarnation starts after the exit.
    Stop,
    /// Two operators update the same object concurrently.
    RaceOperators,
    /// A program sends a request that crashes every endpoint that runs it.
    Poison,
    /// The machine loses power, and its disk loses all writes that were not synced; a new process starts after
    /// `duration`.
    PowerLoss,
    /// All machines lose power at the same time.
    PowerLossOfAll,
    /// The machine loses power and all data on its disk.
    Wipe,
    /// The machine and its disk are lost permanently; a machine with an empty disk replaces it at another address.
    Replace,
    /// The operator drains the machine; it is removed when it reports that it is drained.
    Retire,
    /// An empty machine is added.
    Add,
    /// Syncs of the disk are slow.
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
    /// Seed of all random choices other than the faults: delays, clocks and workload.
    std::uint64_t seed = 1;
    std::vector<Fault> faults;
};

/// Formats the schedule for `--replay`, such as "seed=7;Kill@1200:0/1+3000;...".
std::string toString(const Schedule&);
std::optional<Schedule> parseSchedule(const std::string& text);

}
