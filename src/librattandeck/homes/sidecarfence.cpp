#include "sidecarfence.h"

namespace Rattandeck {

bool isCurrentEpoch(const ShardFence& fence, ShardId shard, Epoch epoch)
{
    const auto found = fence.homes.find(shard);
    return found == fence.homes.end() || found->second.epoch <= epoch;
}

bool raiseFence(ShardFence& fence, ShardId shard, Epoch epoch, const NodeId& home)
{
    const auto [found, isNew] = fence.homes.try_emplace(shard, ShardHome { epoch, home });
    if (isNew)
        return true;
    if (found->second.epoch >= epoch)
        return false;
    found->second = { epoch, home };
    return true;
}

bool isHome(const ShardFence& fence, ShardId shard, const NodeId& node)
{
    const auto found = fence.homes.find(shard);
    return found != fence.homes.end() && found->second.node == node;
}

}
