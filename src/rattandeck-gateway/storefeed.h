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

    /// Sets the handler that gets the revision of each configuration in the store and whether the one in force then has
    /// keys. Not called for a configuration that can't be read or has a lower version than the one in
    /// force, which stays in force unconfirmed.
    void onRevision(std::function<void(std::uint64_t revision, bool hasKeys)> handler);

    /// Whether instances have been received since the start.
    bool hasEndpoints() const { return this->hasInstances; }

private:
    Platform::StoreNewsHandlers handlers();
    void onConfig(const Platform::StoredObject& object);
    /// Returns whether the configuration in force is the one of the object.
    bool applyConfig(const Platform::StoredObject& object);
    void onEndpoint(const Platform::StoredObject& object);

    Rattandeck::Gateway& gateway;
    std::function<void()> onConfigChanged;
    std::function<void(std::uint64_t revision, bool hasKeys)> revisionHandler;
    bool hasInstances = false;
    Platform::StoreGossip gossip;
};
