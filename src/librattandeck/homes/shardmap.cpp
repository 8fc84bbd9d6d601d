#include "shardmap.h"

#include "Rattandeck/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Rattandeck {

ShardSlot ShardMap::slot(ShardId shard) const
{
    if (shard.value >= this->slots.size())
        return {};
    return this->slots[shard.value];
}

std::string formatShardMap(const ShardMap& map)
{
    nlohmann::json shards = nlohmann::json::array();
    for (const ShardSlot& slot : map.slots) {
        nlohmann::json json { { "home", slot.home.value }, { "epoch", slot.epoch.value } };
        if (slot.gap.value != 0)
            json["gap"] = slot.gap.value;
        if (!slot.next.value.empty()) {
            json["next"] = slot.next.value;
            json["through"] = slot.homeCompleteThrough.value;
            json["giver"] = slot.homeIncarnation.value;
        }
        shards.push_back(std::move(json));
    }
    return nlohmann::json { { "shards", std::move(shards) }, { "writer", map.writer } }.dump();
}

tl::expected<ShardMap, ObjectError> parseShardMap(const std::string& value, ObjectVersion version)
{
    const nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object())
        return tl::unexpected(ObjectError::Malformed);
    try {
        ShardMap map;
        map.version = version;
        map.writer = json.value("writer", "");
        for (const nlohmann::json& shard : json.at("shards")) {
            ShardSlot slot;
            slot.home = NodeId(shard.at("home").get<std::string>());
            slot.epoch = Epoch(shard.at("epoch").get<std::uint64_t>());
            slot.gap = Epoch(shard.value("gap", std::uint64_t { 0 }));
            slot.next = NodeId(shard.value("next", ""));
            slot.homeCompleteThrough = ObjectVersion(shard.value("through", std::uint64_t { 0 }));
            slot.homeIncarnation = Incarnation(shard.value("giver", std::uint64_t { 0 }));
            map.slots.push_back(std::move(slot));
        }
        return map;
    } catch (const nlohmann::json::exception&) {
        return tl::unexpected(ObjectError::Malformed);
    }
}

namespace {

    // The length prefix keeps different pairs from giving the same text.
    std::string keyText(const OrganisationId& organisation, const IdempotencyKey& key)
    {
        return std::to_string(organisation.value.size()) + ":" + organisation.value + key.value;
    }

    constexpr std::uint64_t serialSeed = 1;

}

ShardId shardOfKey(const OrganisationId& organisation, const IdempotencyKey& key, std::uint32_t shardCount)
{
    return ShardId(static_cast<std::uint32_t>(hash64(keyText(organisation, key)) % shardCount));
}

std::uint64_t serialOfKey(const OrganisationId& organisation, const IdempotencyKey& key)
{
    // 0 means "no program".
    return std::max<std::uint64_t>(1, hash64(keyText(organisation, key), serialSeed));
}

std::size_t successorRank(ShardId shard, const NodeId& node, std::span<const NodeId> candidates)
{
    const std::uint64_t own = hash64(node.value, shard.value);
    return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [&](const NodeId& candidate) {
        if (candidate == node)
            return false;
        const std::uint64_t score = hash64(candidate.value, shard.value);
        return score > own || (score == own && candidate < node);
    }));
}

}
