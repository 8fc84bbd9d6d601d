#include "storegossip.h"

#include "names.h"
#include "objectcodec.h"
#include "RattandeckApp/log.h"
#include "storejson.h"

#include <random>

using namespace Rattandeck;
using namespace RattandeckApp;

namespace Platform {

/// The store may omit running instances for some time after an outage. An instance that disappears from the store
/// within this period is therefore kept until the period ends.
constexpr Milliseconds relistGracePeriod { 2000 };
/// Delay before an update is requested from another process while this one follows the store, from which it usually
/// arrives in the meantime.
constexpr Milliseconds gossipRequestDelay { 250 };
/// How long the store holds a watch. A journal that follows the store for others has to answer for its view soon.
constexpr Milliseconds journalWatchWait { 800 };
constexpr Milliseconds gatewayWatchWait { 2000 };
constexpr const char* configTopic = "config";
constexpr const char* endpointTopicPrefix = "endpoint/";
/// The version of such a topic is the start time of the process that leaves.
constexpr const char* leavingTopicPrefix = "leaving/";

static std::string endpointTopic(const EndpointId& id) { return endpointTopicPrefix + id.value; }

static EndpointId endpointOf(const std::string& topic)
{
    return EndpointId(topic.substr(std::string_view(endpointTopicPrefix).size()));
}

static std::string leavingTopic(const EndpointId& id) { return leavingTopicPrefix + id.value; }

/// The object that a process has read from the store and passed on.
static StoredObject readItem(const GossipItem& item)
{
    StoredObject object;
    object.name = item.topic == configTopic ? std::string(Names::configName) : endpointOf(item.topic).value;
    object.revision = item.version;
    object.spec = readStoreJson(item.text);
    return object;
}

static GossipTable::Settings gossipSettings(Role role)
{
    GossipTable::Settings settings;
    // Gateways are linked to journals alone, and journals to all others.
    settings.isLeaf = role == Role::Gateway;
    return settings;
}

StoreGossip::StoreGossip(RattandeckNet::EventLoop& loop, const NodeId& self, Role role, const GossipTable::Send& send,
    const GatewayCount& gatewayCount, StoreNewsHandlers handlers)
    : loop(loop)
    , timers(loop.timers())
    , send(send)
    , handlers(std::move(handlers))
    , gossip(this->timers, gossipSettings(role), send, [this](const GossipItem& item) { this->onNews(item); })
    , following(this->timers, self, role, this->followingIo(send, gatewayCount), std::random_device {}())
    , watchWait(role == Role::Journal ? journalWatchWait : gatewayWatchWait)
{
}

std::optional<StoredObject> StoreGossip::config() const
{
    const GossipItem* item = this->gossip.find(configTopic);
    return item && !item->isRemoved ? std::optional(readItem(*item)) : std::nullopt;
}

// Following ----------------------------------------------------------------------------------------------------------

StoreFollowing::Io StoreGossip::followingIo(const GossipTable::Send& send, const GatewayCount& gatewayCount)
{
    StoreFollowing::Io io;
    io.send = send;
    io.setFollowing = [this](bool isFollowing) { this->setFollowing(isFollowing); };
    io.ownViewAge = [this] { return this->ownViewAge(); };
    io.gatewayCount = gatewayCount;
    return io;
}

void StoreGossip::start(ObjectStore& objectStore)
{
    this->store = &objectStore;
    this->following.start();
}

void StoreGossip::setFollowing(bool isFollowing)
{
    logEvent("platform store", isFollowing ? "followed" : "followed by others");
    this->gossip.setRequestDelay(isFollowing ? gossipRequestDelay : Milliseconds(0));
    if (!isFollowing) {
        this->store->unfollow(Names::configKind);
        this->store->unfollow(Names::endpointsKind);
        this->isStoreReachable = false;
        this->isConfigListed = false;
        // Those that follow the store decide what has left.
        this->unlistedEndpoints.clear();
        return;
    }
    KindHandlers config;
    config.onSnapshot = [this](const std::vector<StoredObject>& objects, std::uint64_t) {
        this->isConfigListed = false;
        for (const StoredObject& object : objects)
            this->onConfigListed(object, false);
    };
    config.onChange = [this](const StoredObject& object, bool isRemoved) { this->onConfigListed(object, isRemoved); };
    this->store->follow(Names::configKind, config, this->watchWait);

    KindHandlers endpoints;
    endpoints.onSnapshot = [this](const std::vector<StoredObject>& objects, std::uint64_t revision) {
        this->onEndpoints(objects, revision);
    };
    endpoints.onChange = [this](const StoredObject& object, bool isRemoved) { this->onEndpoint(object, isRemoved); };
    endpoints.onReachable = [this](bool isReachable) { this->onStoreReachable(isReachable); };
    this->store->follow(Names::endpointsKind, endpoints, this->watchWait);
}

std::optional<Milliseconds> StoreGossip::ownViewAge() const
{
    const auto config = this->store->viewAge(Names::configKind);
    const auto endpoints = this->store->viewAge(Names::endpointsKind);
    if (!config || !endpoints)
        return std::nullopt;
    return std::max(*config, *endpoints);
}

void StoreGossip::onLinkUp(const NodeId& node)
{
    this->gossip.onLinkUp(node);
    this->following.onLinkUp(node);
}

void StoreGossip::onLinkDown(const NodeId& node)
{
    this->gossip.onLinkDown(node);
    this->following.onLinkDown(node);
}

void StoreGossip::onMessage(const NodeId& from, const Message& message)
{
    this->gossip.onMessage(from, message);
    this->following.onMessage(from, message);
    if (const auto* request = std::get_if<ConfigAgeRequest>(&message))
        this->answerConfigAge(from, *request);
    // A process that has just started needs not wait for the next report.
    if (std::holds_alternative<GossipRequest>(message))
        this->following.reportTo(from);
}

// News of the store --------------------------------------------------------------------------------------------------

void StoreGossip::publish(const std::string& topic, const StoredObject& object)
{
    const GossipItem* known = this->gossip.find(topic);
    if (known && known->version >= object.revision)
        return;
    this->gossip.publish({ topic, object.revision, false, object.spec.dump() });
    this->reportItem(topic);
}

void StoreGossip::reportItem(const std::string& topic) const
{
    const GossipItem* item = this->gossip.find(topic);
    if (item && this->handlers.onItem)
        this->handlers.onItem(*item);
}

void StoreGossip::publishLeaving(const EndpointId& id, std::int64_t startedAt)
{
    if (startedAt > 0)
        this->gossip.publish({ leavingTopic(id), static_cast<std::uint64_t>(startedAt), false, {} });
}

void StoreGossip::onConfig(const StoredObject& object)
{
    if (object.name != Names::configName)
        return;
    this->publish(configTopic, object);
    if (this->handlers.onConfig)
        this->handlers.onConfig(object);
}

/// The store has listed the configuration, changed it or removed it.
void StoreGossip::onConfigListed(const StoredObject& object, bool isRemoved)
{
    if (object.name != Names::configName)
        return;
    this->isConfigListed = !isRemoved;
    if (!isRemoved)
        this->onConfig(object);
}

std::optional<ConfigView> StoreGossip::configView() const
{
    if (!this->following.isFollowing() || !this->isConfigListed)
        return std::nullopt;
    const auto age = this->store->confirmedAge(Names::configKind);
    // Another process may have told of a later revision, which was current later still.
    const GossipItem* known = this->gossip.find(configTopic);
    if (!age || !known)
        return std::nullopt;
    return ConfigView { known->version, *age };
}

void StoreGossip::answerConfigAge(const NodeId& to, const ConfigAgeRequest& request)
{
    // The age counts up to a moment after the question was sent. The process may have been suspended between the start
    // of this handler and the read of the question.
    this->loop.refreshTime();
    ConfigAgeAnswer answer;
    answer.ticket = request.ticket;
    if (const auto view = this->configView()) {
        answer.isKnown = true;
        answer.revision = view->revision;
        answer.age = view->age;
    }
    this->send(to, answer);
}

void StoreGossip::onEndpoints(const std::vector<StoredObject>& objects, std::uint64_t revision)
{
    std::set<EndpointId> listed;
    for (const StoredObject& object : objects) {
        listed.insert(EndpointId(object.name));
        this->onEndpoint(object, false);
    }
    for (const GossipItem& known : this->gossip.items(endpointTopicPrefix)) {
        // An instance may have been heard of that registered after the list was made.
        if (!listed.contains(endpointOf(known.topic)) && known.version <= revision)
            this->removeEndpoint(known);
    }
}

void StoreGossip::onEndpoint(const StoredObject& object, bool isRemoved)
{
    const EndpointId id(object.name);
    const GossipItem* known = this->gossip.find(endpointTopic(id));
    if (isRemoved) {
        // The instance may have been heard of again, after the removal that the store reports only now.
        const bool isOutdated = known && object.revision > 0 && known->version > object.revision;
        if (known && !known->isRemoved && !isOutdated)
            this->removeEndpoint(GossipItem(*known));
        return;
    }
    if (known && known->version > object.revision)
        return;
    this->unlistedEndpoints.erase(id);
    // What names no instance is passed on without its text, which may be long.
    if (readEndpoint(object)) {
        this->publish(endpointTopic(id), object);
    } else {
        StoredObject unreadable = object;
        unreadable.spec = nullptr;
        this->publish(endpointTopic(id), unreadable);
    }
    if (this->handlers.onEndpoint)
        this->handlers.onEndpoint(object);
}

void StoreGossip::removeEndpoint(const GossipItem& known)
{
    const EndpointId id = endpointOf(known.topic);
    const auto instance = readEndpoint(readItem(known));
    const TimePoint now = this->timers.now();
    const bool mayReappear = this->storeReconnectedAt && now - *this->storeReconnectedAt < relistGracePeriod && instance
        && !instance->isDraining;
    logFields("endpoint gone", { { "endpoint", id.value }, { "may_be_back", std::int64_t(mayReappear) } });
    if (!mayReappear) {
        this->dropEndpoint(id);
        return;
    }
    this->unlistedEndpoints.insert(id);
    this->timers.subscribeAt(*this->storeReconnectedAt + relistGracePeriod, [this, id] {
        if (this->unlistedEndpoints.erase(id) > 0)
            this->dropEndpoint(id);
    });
}

void StoreGossip::dropEndpoint(const EndpointId& id)
{
    this->gossip.publishRemoval(endpointTopic(id));
    this->reportItem(endpointTopic(id));
    if (this->gossip.find(leavingTopic(id))) {
        this->gossip.publishRemoval(leavingTopic(id));
        this->reportItem(leavingTopic(id));
    }
    if (this->handlers.onEndpointRemoved)
        this->handlers.onEndpointRemoved(id);
}

/// Takes an update that another process has read from the store.
void StoreGossip::onNews(const GossipItem& item)
{
    logFields("news",
        { { "topic", item.topic }, { "version", std::int64_t(item.version) },
            { "removed", std::int64_t(item.isRemoved) } });
    this->reportItem(item.topic);
    if (item.topic == configTopic) {
        if (this->handlers.onConfig)
            this->handlers.onConfig(readItem(item));
        return;
    }
    if (item.topic.starts_with(leavingTopicPrefix)) {
        this->onLeaving(item);
        return;
    }
    if (!item.topic.starts_with(endpointTopicPrefix))
        return;
    if (this->isOutdated(item)) {
        this->removeEndpoint(item);
        return;
    }
    const EndpointId id = endpointOf(item.topic);
    this->unlistedEndpoints.erase(id);
    if (item.isRemoved && this->handlers.onEndpointRemoved)
        this->handlers.onEndpointRemoved(id);
    if (!item.isRemoved && this->handlers.onEndpoint)
        this->handlers.onEndpoint(readItem(item));
}

void StoreGossip::onLeaving(const GossipItem& item)
{
    const EndpointId id(item.topic.substr(std::string_view(leavingTopicPrefix).size()));
    if (!item.isRemoved && this->handlers.onEndpointLeaving)
        this->handlers.onEndpointLeaving(id, static_cast<std::int64_t>(item.version));
}

/// Whether an instance that was new to this process has left. A follower knows all instances of the revisions that it
/// has read; another process may have been away while the instance left.
bool StoreGossip::isOutdated(const GossipItem& item) const
{
    return this->following.isFollowing() && !item.isRemoved
        && item.version <= this->store->viewRevision(Names::endpointsKind);
}

void StoreGossip::onStoreReachable(bool isReachable)
{
    logEvent("platform store", isReachable ? "reachable" : "lost");
    const bool hasEndpoints = !this->gossip.items(endpointTopicPrefix).empty();
    if (isReachable && !this->isStoreReachable && hasEndpoints)
        this->storeReconnectedAt = this->timers.now();
    this->isStoreReachable = isReachable;
}

// Metrics ------------------------------------------------------------------------------------------------------------

void StoreGossip::provideMetrics(Metrics& metrics) const
{
    metrics.provide("rattandeck_store_followed", "gauge", [this] { return this->following.isFollowing() ? 1.0 : 0.0; });
    metrics.provide("rattandeck_store_view_age_seconds", "gauge", [this] {
        const auto age = this->following.viewAge();
        return age ? std::chrono::duration<double>(*age).count() : -1.0;
    });
}

}
