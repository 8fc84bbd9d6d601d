#pragma once

#include "platform/objectstore.h"
#include "Rattandeck/gateway.h"
#include "Rattandeck/gossip.h"

#include <optional>
#include <set>

/// Gives a gateway its configuration and the endpoint instances, as read from the platform's store by this process or,
/// by gossip, by another one.
///
/// Thread safety: use from the loop's thread. Precondition: the loop and the gateway outlive this object, and the loop
/// doesn't run after its destruction.
class StoreFeed {
public:
    /// `onConfigChanged` is called after the gateway has taken a new configuration.
    StoreFeed(RattandeckNet::EventLoop& loop, Rattandeck::Gateway& gateway, Rattandeck::GossipTable::Send send,
        std::function<void()> onConfigChanged);

    /// Follows the configuration and the instances in `store` from now on. Precondition: called once.
    void follow(Platform::ObjectStore& store);

    /// Whether instances have been received since the start.
    bool hasEndpoints() const { return this->hasInstances; }

    void onLinkUp(const Rattandeck::NodeId& node) { this->gossip.onLinkUp(node); }
    void onLinkDown(const Rattandeck::NodeId& node) { this->gossip.onLinkDown(node); }
    /// Ignores messages that are not part of the gossip protocol.
    void onMessage(const Rattandeck::NodeId& from, const Rattandeck::Message& message)
    {
        this->gossip.onMessage(from, message);
    }

private:
    void onConfig(const Platform::StoredObject& object);
    void onEndpoints(const std::vector<Platform::StoredObject>& objects);
    void onEndpoint(const Platform::StoredObject& object, bool isRemoved);
    void removeEndpoint(const Rattandeck::EndpointId& id);
    void dropEndpoint(const Rattandeck::EndpointId& id);
    void onGossip(const Rattandeck::GossipItem& item);
    void onStoreReachable(bool isReachable);

    Rattandeck::TimerService& timers;
    Rattandeck::Gateway& gateway;
    Rattandeck::GossipTable gossip;
    std::function<void()> onConfigChanged;
    bool hasInstances = false;
    bool isStoreReachable = false;
    std::optional<Rattandeck::TimePoint> storeReconnectedAt;
    /// Instances that the store has omitted since it was reached again, and that are kept for now.
    std::set<Rattandeck::EndpointId> unlistedEndpoints;
};
