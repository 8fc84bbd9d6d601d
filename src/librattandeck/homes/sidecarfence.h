#pragma once

#include "Rattandeck/types.h"

#include <unordered_map>

/// Fencing of a sidecar: the highest epoch seen for each shard.
namespace Rattandeck {

struct ShardHome {
    Epoch epoch;
    /// First node that presented the epoch.
    NodeId node;
};

struct ShardFence {
    std::unordered_map<ShardId, ShardHome> homes;
};

/// Returns false when a higher epoch has been seen for the shard.
bool isCurrentEpoch(const ShardFence& fence, ShardId shard, Epoch epoch);
/// Raises the fence of the shard to `epoch`, presented by `home`. Returns true when it was lower before.
bool raiseFence(ShardFence& fence, ShardId shard, Epoch epoch, const NodeId& home);
/// Returns true when `node` is the home of the shard, as far as this sidecar knows.
bool isHome(const ShardFence& fence, ShardId shard, const NodeId& node);

}
