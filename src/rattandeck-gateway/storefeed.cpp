#include "storefeed.h"

#include "platform/names.h"
#include "platform/objectcodec.h"
#include "RattandeckApp/log.h"

using namespace Rattandeck;
using namespace RattandeckApp;

/// The store may omit running instances for some time after an outage. An instance that disappears from the store
/// within this period is therefore kept until the period ends.
constexpr Milliseconds relistGracePeriod { 2000 };
/// Delay before an update is requested from another process, since it usually arrives from the store in the meantime.
constexpr Milliseconds gossipRequestDelay { 250 };
constexpr const char* configTopic = "config";
constexpr std::string_view endpointTopicPrefix = "endpoint/";

StoreFeed::StoreFeed(
    RattandeckNet::EventLoop& loop, Gateway& gateway, GossipTable::Send send, std::function<void()> onConfigChanged)
    : timers(loop.timers())
    , gateway(gateway)
    , gossip(this->timers, { gossipRequestDelay }, std::move(send),
          [this](const GossipItem& item) { this->onGossip(item); })
    , onConfigChanged(std::move(onConfigChanged))
{
}

// Store --------------------------------------------------------------------------------------------------------------

void StoreFeed::follow(Platform::ObjectStore& store)
{
    Platform::KindHandlers config;
    config.onSnapshot = [this](const std::vector<Platform::StoredObject>& objects) {
        for (const Platform::StoredObject& object : objects)
            this->onConfig(object);
    };
    config.onChange = [this](const Platform::StoredObject& object, bool isRemoved) {
        if (!isRemoved)
            this->onConfig(object);
    };
    store.follow(Platform::Names::configKind, config);

    Platform::KindHandlers endpoints;
    endpoints.onSnapshot = [this](const std::vector<Platform::StoredObject>& objects) { this->onEndpoints(objects); };
    endpoints.onChange
        = [this](const Platform::StoredObject& object, bool isRemoved) { this->onEndpoint(object, isRemoved); };
    endpoints.onReachable = [this](bool isReachable) { this->onStoreReachable(isReachable); };
    store.follow(Platform::Names::endpointsKind, endpoints);
}

void StoreFeed::onConfig(const Platform::StoredObject& object)
{
    if (object.name != Platform::Names::configName)
        return;
    this->gossip.publish({ configTopic, object.revision, false, object.spec.dump() });
    auto config = Platform::readConfig(object.spec);
    if (!config) {
        logError("configuration",
            "revision " + std::to_string(object.revision) + ": missing or invalid field " + config.error().field);
        return;
    }
    const std::uint64_t version = config->version;
    const std::size_t routes = config->routes.size();
    if (!this->gateway.setConfig(std::move(*config)))
        return;
    this->onConfigChanged();
    logFields("configuration",
        { { "version", std::int64_t(version) }, { "routes", std::int64_t(routes) },
            { "revision", std::int64_t(object.revision) } });
}

static std::string endpointTopic(const EndpointId& id) { return std::string(endpointTopicPrefix) + id.value; }

void StoreFeed::onEndpoints(const std::vector<Platform::StoredObject>& objects)
{
    std::set<EndpointId> listed;
    for (const Platform::StoredObject& object : objects) {
        listed.insert(EndpointId(object.name));
        this->onEndpoint(object, false);
    }
    for (const EndpointId& id : this->gateway.endpoints().ids()) {
        if (!listed.contains(id))
            this->removeEndpoint(id);
    }
    this->hasInstances = true;
}

void StoreFeed::onEndpoint(const Platform::StoredObject& object, bool isRemoved)
{
    const EndpointId id(object.name);
    if (isRemoved) {
        this->removeEndpoint(id);
        return;
    }
    this->gossip.publish({ endpointTopic(id), object.revision, false, object.spec.dump() });
    const auto instance = Platform::readEndpoint(object);
    if (!instance) {
        logEvent("endpoint unreadable", object.name + ": missing or invalid field " + instance.error().field);
        this->gateway.onInstanceRemoved(id);
        return;
    }
    this->unlistedEndpoints.erase(id);
    const EndpointInstance* known = this->gateway.endpoints().find(id);
    if (known && *known == *instance)
        return;
    this->gateway.onInstance(*instance);
    logFields("endpoint",
        { { "endpoint", id.value }, { "service", instance->service.value }, { "address", instance->address },
            { "draining", std::int64_t(instance->isDraining) }, { "revision", std::int64_t(object.revision) } });
}

void StoreFeed::removeEndpoint(const EndpointId& id)
{
    const EndpointInstance* known = this->gateway.endpoints().find(id);
    if (!known)
        return;
    const TimePoint now = this->timers.now();
    const bool mayReappear
        = this->storeReconnectedAt && now - *this->storeReconnectedAt < relistGracePeriod && !known->isDraining;
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

void StoreFeed::dropEndpoint(const EndpointId& id)
{
    this->gossip.publishRemoval(endpointTopic(id));
    this->gateway.onInstanceRemoved(id);
}

/// Takes an update that another process has read from the store, which may be unreachable from this one.
void StoreFeed::onGossip(const GossipItem& item)
{
    logFields("news",
        { { "topic", item.topic }, { "version", std::int64_t(item.version) },
            { "removed", std::int64_t(item.isRemoved) } });
    Platform::StoredObject object;
    object.revision = item.version;
    object.spec = nlohmann::json::parse(item.text, nullptr, false);
    if (item.topic == configTopic) {
        object.name = Platform::Names::configName;
        this->onConfig(object);
        return;
    }
    if (!item.topic.starts_with(endpointTopicPrefix))
        return;
    object.name = item.topic.substr(endpointTopicPrefix.size());
    if (item.isRemoved) {
        this->gateway.onInstanceRemoved(EndpointId(object.name));
        return;
    }
    this->onEndpoint(object, false);
    this->hasInstances = true;
}

void StoreFeed::onStoreReachable(bool isReachable)
{
    logEvent("platform store", isReachable ? "reachable" : "lost");
    if (isReachable && !this->isStoreReachable && this->hasInstances)
        this->storeReconnectedAt = this->timers.now();
    this->isStoreReachable = isReachable;
}
