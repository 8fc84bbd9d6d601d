#pragma once

#include "platform/storegossip.h"
#include "Rattandeck/gateway.h"

/// Gives a gateway its configuration and the endpoint instances, as read from the platform's store by this process or
/// by another one.
///
/// Thread safety: use from the loop's thread. Precondition: the loop and the gateway outlive this object, and the loop
/// doesn't run after its destruction.
class StoreFeed {
public:
    /// `onConfigChanged` is called after the gateway has taken a new configuration.
    StoreFeed(RattandeckNet::EventLoop& loop, const Rattandeck::NodeId& self, Rattandeck::Gateway& gateway,
        const Rattandeck::GossipTable::Send& send, std::function<void()> onConfigChanged);

    /// News of the store, for links and metrics.
    Platform::StoreGossip& news() { return this->gossip; }

    /// Whether instances have been received since the start.
    bool hasEndpoints() const { return this->hasInstances; }

private:
    Platform::StoreNewsHandlers handlers();
    void onConfig(const Platform::StoredObject& object);
    void onEndpoint(const Platform::StoredObject& object);

    Rattandeck::Gateway& gateway;
    std::function<void()> onConfigChanged;
    bool hasInstances = false;
    Platform::StoreGossip gossip;
};
