#pragma once

#include "objectstore.h"
#include "Rattandeck/gossip.h"
#include "Rattandeck/storefollowing.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace Platform {

/// What is known of the configuration in the store: the revision, or a later one, that was current `age` ago.
struct ConfigView {
    std::uint64_t revision = 0;
    Rattandeck::Milliseconds age { 0 };
};

/// What a process does with news of the store. Handlers may be empty.
struct StoreNewsHandlers {
    std::function<void(const StoredObject&)> onConfig;
    std::function<void(const StoredObject&)> onEndpoint;
    std::function<void(const Rattandeck::EndpointId&)> onEndpointRemoved;
    /// Called when another process tells that the instance's process `startedAt` leaves.
    std::function<void(const Rattandeck::EndpointId&, std::int64_t startedAt)> onEndpointLeaving;
    /// Called for each new version of anything, as it is to be passed to `restore` after a restart.
    std::function<void(const Rattandeck::GossipItem&)> onItem;
};

/// Keeps a process informed of the configuration and the endpoint instances in the platform's store: a few journals
/// follow the store (`StoreFollowing`) and pass on what they read (`GossipTable`), all others hear it from them. A
/// process that hears from no follower follows the store itself.
///
/// Thread safety: use from the loop's thread. Precondition: the loop outlives this object, and doesn't run after its
/// destruction.
class StoreGossip {
public:
    using GatewayCount = std::function<std::uint32_t()>;

    StoreGossip(RattandeckNet::EventLoop& loop, const Rattandeck::NodeId& self, Rattandeck::Role role,
        const Rattandeck::GossipTable::Send& send, const GatewayCount& gatewayCount, StoreNewsHandlers handlers);

    /// Takes what this process knew before it was restarted. It holds until the store or another process knows better.
    /// Precondition: called before `start`.
    void restore(const std::vector<Rattandeck::GossipItem>& items) { this->gossip.restore(items); }
    /// Everything that this process knows of the store.
    std::vector<Rattandeck::GossipItem> items() const { return this->gossip.allItems(); }
    /// The latest configuration that this process knows, also from before a restart.
    std::optional<StoredObject> config() const;

    /// Precondition: called once; `store` outlives this object's last use.
    void start(ObjectStore& store);

    /// Tells all others that the instance's process `startedAt` has said that it leaves.
    void publishLeaving(const Rattandeck::EndpointId& id, std::int64_t startedAt);

    void onLinkUp(const Rattandeck::NodeId& node);
    void onLinkDown(const Rattandeck::NodeId& node);
    /// Ignores messages that are not part of the protocol.
    void onMessage(const Rattandeck::NodeId& from, const Rattandeck::Message& message);

    /// Age of the view of the store that this process has; empty if there is none.
    std::optional<Rattandeck::Milliseconds> viewAge() const { return this->following.viewAge(); }

    /// When the store confirmed the configuration to this process; empty unless this process follows the store and has
    /// read a configuration there. What was restored or heard from others is not confirmed by that.
    std::optional<ConfigView> configView() const;
    /// Takes the configuration that this process has read from the store otherwise than by following it.
    void onConfigRead(const StoredObject& object) { this->onConfig(object); }

    /// Provides `rattandeck_store_followed` and `rattandeck_store_view_age_seconds`, which is -1 without any view.
    /// Precondition: this object outlives the last rendering of `metrics`.
    void provideMetrics(RattandeckApp::Metrics& metrics) const;

private:
    Rattandeck::StoreFollowing::Io followingIo(
        const Rattandeck::GossipTable::Send& send, const GatewayCount& gatewayCount);
    void setFollowing(bool isFollowing);
    std::optional<Rattandeck::Milliseconds> ownViewAge() const;
    void publish(const std::string& topic, const StoredObject& object);

    void onConfig(const StoredObject& object);
    void onConfigListed(const StoredObject& object, bool isRemoved);
    void onEndpoints(const std::vector<StoredObject>& objects, std::uint64_t revision);
    void onEndpoint(const StoredObject& object, bool isRemoved);
    void answerConfigAge(const Rattandeck::NodeId& to, const Rattandeck::ConfigAgeRequest& request);
    void removeEndpoint(const Rattandeck::GossipItem& known);
    void dropEndpoint(const Rattandeck::EndpointId& id);
    void onNews(const Rattandeck::GossipItem& item);
    void onLeaving(const Rattandeck::GossipItem& item);
    bool isOutdated(const Rattandeck::GossipItem& item) const;
    void reportItem(const std::string& topic) const;
    void onStoreReachable(bool isReachable);

    RattandeckNet::EventLoop& loop;
    Rattandeck::TimerService& timers;
    Rattandeck::GossipTable::Send send;
    StoreNewsHandlers handlers;
    Rattandeck::GossipTable gossip;
    Rattandeck::StoreFollowing following;
    Rattandeck::Milliseconds watchWait;
    ObjectStore* store = nullptr;
    bool isStoreReachable = false;
    /// Whether the store had a configuration when it was listed last, and has not removed it since.
    bool isConfigListed = false;
    std::optional<Rattandeck::TimePoint> storeReconnectedAt;
    /// Instances that the store has omitted since it was reached again, and that are kept for now.
    std::set<Rattandeck::EndpointId> unlistedEndpoints;
};

}
