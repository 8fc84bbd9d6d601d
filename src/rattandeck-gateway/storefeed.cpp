#include "storefeed.h"

#include "platform/configreport.h"
#include "platform/objectcodec.h"
#include "RattandeckApp/log.h"

#include <algorithm>

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

/// Logs no keys, which are secrets.
static void logOrganisations(std::uint64_t version, const std::vector<Organisation>& organisations,
    const std::vector<Platform::DecodeError>& skipped)
{
    // A configuration with many faults must not fill the log.
    constexpr std::size_t maxLines = 20;
    const auto shared = findSharedKeys(organisations);
    logFields("organisations",
        { { "version", std::int64_t(version) }, { "organisations", std::int64_t(organisations.size()) },
            { "left_out", std::int64_t(skipped.size()) }, { "shared_keys", std::int64_t(shared.size()) } });
    for (std::size_t index = 0; index < std::min(skipped.size(), maxLines); ++index)
        logFields("organisation left out",
            { { "version", std::int64_t(version) }, { "missing_or_invalid", skipped[index].field } });
    for (std::size_t index = 0; index < std::min(shared.size(), maxLines); ++index)
        logFields("key of two organisations",
            { { "version", std::int64_t(version) }, { "holder", shared[index].holder.value },
                { "ignored_for", shared[index].other.value } });
}

/// Logs what `rattandeckctl check` reports about the same document, except fields that this version doesn't know.
static void logFindings(std::uint64_t version, const nlohmann::json& spec)
{
    // A configuration with many faults must not fill the log.
    constexpr std::size_t maxLines = 20;
    const auto report = Platform::checkConfigDocument(spec, {}, maxLines);
    for (const ConfigFinding& finding : report.findings) {
        if (finding.severity == FindingSeverity::Notice)
            continue;
        const std::string kind(Platform::kindName(finding.kind));
        const std::string place = Platform::describePlace(finding);
        const std::string text = Platform::describeFinding(finding);
        logFields("configuration finding",
            { { "version", std::int64_t(version) }, { "kind", kind }, { "place", place }, { "text", text } });
    }
    if (report.leftOut > 0)
        logFields("configuration findings left out",
            { { "version", std::int64_t(version) }, { "count", std::int64_t(report.leftOut) } });
}

void StoreFeed::onRevision(std::function<void(std::uint64_t revision, bool hasKeys)> handler)
{
    this->revisionHandler = std::move(handler);
}

void StoreFeed::onConfig(const Platform::StoredObject& object)
{
    if (!this->applyConfig(object))
        return;
    if (this->revisionHandler)
        this->revisionHandler(object.revision, this->gateway.hasOrganisations());
}

bool StoreFeed::applyConfig(const Platform::StoredObject& object)
{
    std::vector<Platform::DecodeError> skipped;
    auto config = Platform::readConfig(object.spec, &skipped);
    if (!config) {
        logError("configuration",
            "revision " + std::to_string(object.revision) + ": missing or invalid field " + config.error().field);
        return false;
    }
    const std::uint64_t version = config->version;
    const std::size_t routes = config->routes.size();
    const auto organisations = config->organisations;
    if (!this->gateway.setConfig(std::move(*config)))
        return this->gateway.configVersion() == version;
    this->onConfigChanged();
    logFields("configuration",
        { { "version", std::int64_t(version) }, { "routes", std::int64_t(routes) },
            { "revision", std::int64_t(object.revision) } });
    if (organisations)
        logOrganisations(version, *organisations, skipped);
    logFindings(version, object.spec);
    return true;
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
