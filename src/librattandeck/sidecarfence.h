#pragma once

#include "Rattandeck/types.h"

#include <unordered_map>

/// Fence of a sidecar: the highest epoch seen for each shard.
namespace Rattandeck {

struct ShardHome {
    Epoch epoch;
    /// Node that showed the epoch first.
    NodeId node;
};

struct ShardFence {
    std::unordered_map<ShardId, ShardHome> homes;
};

/// False when a higher epoch has been seen.
bool admits(const ShardFence& fence, ShardId shard, Epoch epoch);
/// Raises the fence to `epoch`, shown by `home`. Returns true when it was lower before.
bool raiseFence(ShardFence& fence, ShardId shard, Epoch epoch, const NodeId& home);
/// True when `node` is the home of the shard as far as is known here.
bool isHome(const ShardFence& fence, ShardId shard, const NodeId& node);

}
