#pragma once

#include "Rattandeck/objects.h"
#include "Rattandeck/types.h"

#include <tl/expected.hpp>

#include <span>
#include <string>
#include <vector>

/// Which entry is the home of which shard.
namespace Rattandeck {

struct ShardSlot {
    /// Empty: nobody yet.
    NodeId home;
    Epoch epoch;
    /// Records of programs opened before this epoch may have been lost; 0: none were.
    Epoch gap;
    /// The home has stopped serving the shard and names its successor; empty otherwise.
    NodeId next;
    /// The home's `completeThrough` when it named its successor.
    ObjectVersion homeCompleteThrough;
    /// The life of the home that named its successor; only that one knows the shard.
    Incarnation homeIncarnation;
};

/// Value of the object `shardmap/main`.
struct ShardMap {
    ObjectVersion version;
    std::vector<ShardSlot> slots;
    /// Differs with each write, so that no update leaves the object as it was.
    std::string writer;

    /// Returns an empty slot for a shard that the map doesn't have.
    ShardSlot slot(ShardId shard) const;
};

std::string formatShardMap(const ShardMap& map);
/// Errors: `ObjectError::Malformed`.
tl::expected<ShardMap, ObjectError> parseShardMap(const std::string& value, ObjectVersion version);

/// Shard of a keyed call without a program. Precondition: `shardCount` is above 0.
ShardId shardOfKey(const OrganisationId& organisation, const IdempotencyKey& key, std::uint32_t shardCount);
/// Serial of the program of one call that stands for such a call.
std::uint64_t serialOfKey(const OrganisationId& organisation, const IdempotencyKey& key);

/// Position of `node` among `candidates` for `shard` by rendezvous hashing; 0 is the successor. `candidates` may leave
/// `node` out.
std::size_t successorRank(ShardId shard, const NodeId& node, std::span<const NodeId> candidates);

}
