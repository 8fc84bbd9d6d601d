#pragma once

#include "Rattandeck/objects.h"
#include "Rattandeck/types.h"

#include <tl/expected.hpp>

#include <span>
#include <string>
#include <vector>

/// The shard map: the assignment of shards to entries.
namespace Rattandeck {

struct ShardSlot {
    /// The entry that is the home of the shard; empty before the first claim.
    NodeId home;
    Epoch epoch;
    /// Records of programs that were opened before this epoch may be lost; 0 when none are.
    Epoch gap;
    /// The successor, set when the home has stopped serving the shard to hand it over; empty otherwise.
    NodeId next;
    /// The home's `completeThrough` when it set `next`.
    ObjectVersion homeCompleteThrough;
    /// The incarnation of the home that set `next`. Only this process has the complete state of the shard.
    Incarnation homeIncarnation;
};

/// Value of the object `shardmap/main`.
struct ShardMap {
    ObjectVersion version;
    std::vector<ShardSlot> slots;
    /// Unique for each write, so that every write changes the object.
    std::string writer;

    /// Returns an empty slot for a shard that is not in the map.
    ShardSlot slot(ShardId shard) const;
};

std::string formatShardMap(const ShardMap& map);
/// Errors: `ObjectError::Malformed`.
tl::expected<ShardMap, ObjectError> parseShardMap(const std::string& value, ObjectVersion version);

/// Shard of a keyed call without a program. Precondition: `shardCount` is greater than 0.
ShardId shardOfKey(const OrganisationId& organisation, const IdempotencyKey& key, std::uint32_t shardCount);
/// Serial of the implicit program of such a call.
std::uint64_t serialOfKey(const OrganisationId& organisation, const IdempotencyKey& key);

/// Rank of `node` among `candidates` for `shard` by rendezvous hashing; rank 0 is the successor. `node` need not be in
/// `candidates`.
std::size_t successorRank(ShardId shard, const NodeId& node, std::span<const NodeId> candidates);

}
