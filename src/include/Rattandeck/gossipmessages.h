#pragma once

#include "Rattandeck/types.h"

#include <string>
#include <vector>

/// Messages of the gossip of the platform's store among gateways and journals; see `gossip.h`.
namespace Rattandeck {

struct GossipItem {
    std::string topic;
    /// The highest version of a topic is in force.
    std::uint64_t version = 0;
    bool isRemoved = false;
    std::string text;
    bool operator==(const GossipItem&) const = default;
};

struct GossipOffer {
    std::string topic;
    std::uint64_t version = 0;
    bool operator==(const GossipOffer&) const = default;
};

struct GossipOffers {
    std::vector<GossipOffer> offers;
    /// Answers a `GossipDigests`.
    bool isAnswer = false;
    bool operator==(const GossipOffers&) const = default;
};

struct GossipRequest {
    std::vector<std::string> topics;
    bool operator==(const GossipRequest&) const = default;
};

struct GossipItems {
    std::vector<GossipItem> items;
    bool operator==(const GossipItems&) const = default;
};

/// Tells a peer what the sender knows, so that the peer can find out whether it lacks something.
struct GossipNotice {
    /// Hash of all topics with their versions, in any order.
    std::uint64_t hash = 0;
    bool operator==(const GossipNotice&) const = default;
};

/// Requests offers of all topics in the buckets whose digests differ from the sender's.
struct GossipDigests {
    /// The digest of each bucket.
    std::vector<std::uint64_t> buckets;
    bool operator==(const GossipDigests&) const = default;
};

/// Tells a peer how old the sender's view of the platform's store is. What the sender has read by then was offered on
/// the same link before.
struct StoreView {
    /// Time since the last answer of the store.
    Milliseconds age { 0 };
    bool operator==(const StoreView&) const = default;
};

/// Gateway to journal: asks when the configuration was confirmed as current; see `configconfirmation.h`.
struct ConfigAgeRequest {
    std::uint64_t ticket = 0;
    bool operator==(const ConfigAgeRequest&) const = default;
};

struct ConfigAgeAnswer {
    std::uint64_t ticket = 0;
    /// Whether the sender follows the platform's store and has read the configuration there.
    bool isKnown = false;
    /// The store's revision of the configuration that the sender has; 0 if it has none.
    std::uint64_t revision = 0;
    /// Time since the store was asked for the answer that confirmed it.
    Milliseconds age { 0 };
    bool operator==(const ConfigAgeAnswer&) const = default;
};

}
