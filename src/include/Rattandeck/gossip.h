#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>
#include <string>

namespace Rattandeck {

/// Gossip protocol that distributes objects of the platform's store to processes that can't reach the store. A process
/// that gets a new version of a topic offers it to its peers; a peer that has not read that version from the store
/// within `requestDelay` requests it. Of two versions of a topic, the higher one is kept.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class GossipTable {
public:
    struct Settings {
        /// Delay before an offered version is requested, since it usually arrives from the store in the meantime.
        Milliseconds requestDelay { 0 };
        /// Time for which the tombstone of a removed topic is kept. A peer that was cut off for longer brings back what
        /// it still has.
        std::chrono::hours tombstoneRetention { 24 };
    };
    using Send = std::function<bool(const NodeId& node, const Message& message)>;
    /// Called for new versions received from a peer, but not for those published by this process.
    using OnUpdate = std::function<void(const GossipItem& item)>;

    GossipTable(TimerService& timers, Settings settings, Send send, OnUpdate onUpdate);
    ~GossipTable();
    GossipTable(const GossipTable&) = delete;
    GossipTable& operator=(const GossipTable&) = delete;

    /// Adds a version that this process has read itself, and offers it to the peers. Ignored unless it is newer.
    void publish(const GossipItem& item);
    /// Publishes a tombstone for a topic, with the version that follows the current one. Ignored for unknown topics.
    void publishRemoval(const std::string& topic);

    void onLinkUp(const NodeId& node);
    void onLinkDown(const NodeId& node);
    /// Ignores messages of other types.
    void onMessage(const NodeId& from, const Message& message);

    std::size_t topicCount() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
