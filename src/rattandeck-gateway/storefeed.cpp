#include "storefeed.h"

#include "platform/objectcodec.h"
#include "RattandeckApp/log.h"

using namespace Rattandeck;
using namespace RattandeckApp;

StoreFeed::StoreFeed(RattandeckNet::EventLoop& loop, const NodeId& self, Gateway& gateway,
    const GossipTable::Send& send, std::function<void()> onConfigChanged)
    : gateway(gateway)
    , onConfigChanged(std::move(onConfigChanged))
    , gossip(
          loop, self, Role::Gateway, send, [this] { return this->gateway.permits().gatewayCount().value_or(1); },
          this->handlers())
{
}

Platform::StoreNewsHandlers StoreFeed::handlers()
{
    Platform::StoreNewsHandlers handlers;
    handlers.onConfig = [this](const Platform::StoredObject& object) { this->onConfig(object); };
    handlers.onEndpoint = [this](const Platform::StoredObject& object) { this->onEndpoint(object); };
    handlers.onEndpointRemoved = [this](const EndpointId& id) { this->gateway.onInstanceRemoved(id); };
    handlers.onEndpointLeaving
        = [this](const EndpointId& id, std::int64_t startedAt) { this->gateway.onInstanceLeaving(id, startedAt); };
    return handlers;
}

void StoreFeed::onRevision(std::function<void(std::uint64_t revision, bool hasKeys)> handler)
{
    this->revisionHandler = std::move(handler);
}

void StoreFeed::onConfig(const Platform::StoredObject& object)
{
    this->applyConfig(object);
    if (this->revisionHandler && this->gateway.configVersion())
        this->revisionHandler(object.revision, this->gateway.hasOrganisations());
}

void StoreFeed::applyConfig(const Platform::StoredObject& object)
{
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

void StoreFeed::onEndpoint(const Platform::StoredObject& object)
{
    this->hasInstances = true;
    const auto instance = Platform::readEndpoint(object);
    if (!instance) {
        logEvent("endpoint unreadable", object.name + ": missing or invalid field " + instance.error().field);
        this->gateway.onInstanceRemoved(EndpointId(object.name));
        return;
    }
    const EndpointInstance* known = this->gateway.endpoints().find(instance->id);
    if (known && *known == *instance)
        return;
    this->gateway.onInstance(*instance);
    logFields("endpoint",
        { { "endpoint", instance->id.value }, { "service", instance->service.value }, { "address", instance->address },
            { "version", instance->version.value }, { "draining", std::int64_t(instance->isDraining) },
            { "revision", std::int64_t(object.revision) } });
}
