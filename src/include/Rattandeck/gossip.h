#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Rattandeck {

/// Gossip protocol that distributes objects of the platform's store to processes that don't read it themselves. Of two
/// versions of a topic, the higher one is kept.
///
/// - A process that has read a new version of a topic offers it to its peers. A peer that has not read that version
///   within the request delay requests it, from one of those that offered it at a time.
/// - A process that has received a version from a peer tells its other peers only the hash of what it knows. Whoever
///   knows something else compares digests with it.
/// - When a link comes up, both ends compare digests, with one peer at a time, so that a process that has just started
///   gets everything once. Only topics in buckets with different digests are offered (anti-entropy as in Dynamo,
///   DeCandia et al., SOSP 2007).
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
        /// Time after which a request without an answer is repeated at another peer that offered the version.
        Milliseconds requestTimeout { 300 };
        /// Delay before the hash is told to others when versions have been received from a peer. The others mostly have
        /// them from the same peer by then.
        Milliseconds noticeDelay { 100 };
        /// Delay before a version that this process has read from the store is offered. What is read within this time
        /// goes into one message.
        Milliseconds publishDelay { 10 };
        /// Time for which one peer is waited for in a comparison of digests.
        Milliseconds comparisonTimeout { 500 };
        /// A leaf tells nobody what it received from a peer. For processes that are linked only to peers that are
        /// linked with each other.
        bool isLeaf = false;
    };
    using Send = std::function<bool(const NodeId& node, const Message& message)>;
    /// Called for new versions received from a peer, but not for those published or restored by this process.
    using OnUpdate = std::function<void(const GossipItem& item)>;

    GossipTable(TimerService& timers, Settings settings, Send send, OnUpdate onUpdate);
    ~GossipTable();
    GossipTable(const GossipTable&) = delete;
    GossipTable& operator=(const GossipTable&) = delete;

    /// Adds a version that this process has read itself, and offers it to the peers. Ignored unless it is newer.
    void publish(const GossipItem& item);
    /// Publishes a tombstone for a topic, with the version that follows the current one. Ignored for unknown topics.
    void publishRemoval(const std::string& topic);
    /// Adds versions that this process knew before a restart. Peers get them when their links come up.
    void restore(const std::vector<GossipItem>& items);
    /// Changes the delay before an offered version is requested.
    void setRequestDelay(Milliseconds delay);
    /// The topics that begin with `prefix` and have not been removed.
    std::vector<GossipItem> items(const std::string& prefix) const;
    /// All topics, with tombstones.
    std::vector<GossipItem> allItems() const;
    /// The current version of a topic, which may be a tombstone; null if the topic is unknown. Valid until the next
    /// call.
    const GossipItem* find(const std::string& topic) const;

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
