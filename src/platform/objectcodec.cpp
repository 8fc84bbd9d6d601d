#include "objectcodec.h"

#include "names.h"

#include <cmath>

using namespace Rattandeck;
using Json = nlohmann::json;

namespace Platform {

// Fields -------------------------------------------------------------------------------------------------------------

namespace {

    std::optional<std::string> readText(const Json& json, const char* name)
    {
        const auto found = json.find(name);
        if (found == json.end() || !found->is_string())
            return std::nullopt;
        return found->get<std::string>();
    }

    /// The largest number of which each whole number up to it can be told apart, with either sign.
    constexpr double maxNumber = 9007199254740992;

    std::optional<double> readDecimal(const Json& json, const char* name)
    {
        const auto found = json.find(name);
        if (found == json.end() || !found->is_number())
            return std::nullopt;
        const auto number = found->get<double>();
        return std::abs(number) <= maxNumber ? std::optional(number) : std::nullopt;
    }

    std::optional<std::int64_t> readInteger(const Json& json, const char* name)
    {
        const auto number = readDecimal(json, name);
        return number ? std::optional(static_cast<std::int64_t>(*number)) : std::nullopt;
    }

    /// As `readInteger`, for numbers that must not have a fraction.
    std::optional<std::int64_t> readWholeNumber(const Json& json, const char* name)
    {
        const auto number = readDecimal(json, name);
        return number && std::trunc(*number) == *number ? readInteger(json, name) : std::nullopt;
    }

    bool readFlag(const Json& json, const char* name)
    {
        const auto found = json.find(name);
        return found != json.end() && found->is_boolean() && found->get<bool>();
    }

    std::optional<CallSafety> readSafety(const std::string& kind)
    {
        if (kind == "safe")
            return CallSafety::Safe;
        if (kind == "unsafe")
            return CallSafety::Unsafe;
        if (kind == "streaming")
            return CallSafety::Stream;
        return std::nullopt;
    }

}

// Endpoints ----------------------------------------------------------------------------------------------------------

tl::expected<EndpointInstance, DecodeError> readEndpoint(const StoredObject& object)
{
    const Json& spec = object.spec;
    if (!spec.is_object())
        return tl::unexpected(DecodeError { "spec" });
    EndpointInstance instance;
    instance.id = EndpointId(object.name);
    const auto service = readText(spec, "service");
    if (!service)
        return tl::unexpected(DecodeError { "service" });
    instance.service = ServiceName(*service);
    const auto address = readText(spec, "address");
    const auto server = RattandeckNet::parseAddress(address.value_or(""));
    if (!server || !RattandeckNet::canBeDialed(*server))
        return tl::unexpected(DecodeError { "address" });
    instance.address = *address;
    const auto domain = readText(spec, "zone");
    if (!domain)
        return tl::unexpected(DecodeError { "zone" });
    instance.domain = FailureDomain(*domain);
    const auto version = readText(spec, "version");
    if (!version)
        return tl::unexpected(DecodeError { "version" });
    instance.version = SoftwareVersion(*version);
    const auto slots = readWholeNumber(spec, "slots");
    if (!slots || *slots <= 0 || *slots > UINT16_MAX)
        return tl::unexpected(DecodeError { "slots" });
    instance.slots = static_cast<std::uint32_t>(*slots);
    const auto phase = readText(spec, "phase");
    if (phase != "ready" && phase != "draining")
        return tl::unexpected(DecodeError { "phase" });
    instance.isDraining = phase == "draining";
    for (const char* name : { "cold_left_ms", "sequence" }) {
        if (!readDecimal(spec, name))
            return tl::unexpected(DecodeError { name });
    }
    if (!spec.contains(Names::startedAt))
        return instance;
    const auto startedAt = readWholeNumber(spec, Names::startedAt);
    if (!startedAt || *startedAt < 0)
        return tl::unexpected(DecodeError { Names::startedAt });
    instance.startedAt = *startedAt;
    return instance;
}

// Configuration ------------------------------------------------------------------------------------------------------

namespace {

    Milliseconds readMilliseconds(const Json& json, const char* name, Milliseconds defaultValue)
    {
        const auto value = readDecimal(json, name);
        return value ? Milliseconds(static_cast<std::int64_t>(*value)) : defaultValue;
    }

    std::vector<WeightedService> readServices(const Json& json)
    {
        std::vector<WeightedService> services;
        if (const auto only = readText(json, "service"))
            services.push_back({ ServiceName(*only), 1 });
        const auto split = json.find("split");
        if (split == json.end() || !split->is_array())
            return services;
        for (const Json& part : *split) {
            const auto name = part.is_object() ? readText(part, "service") : std::nullopt;
            const auto weight = part.is_object() ? readInteger(part, "weight") : std::nullopt;
            if (name && weight && *weight >= 0)
                services.push_back({ ServiceName(*name), static_cast<std::uint32_t>(*weight) });
        }
        return services;
    }

    tl::expected<Route, DecodeError> readRoute(const Json& json)
    {
        if (!json.is_object())
            return tl::unexpected(DecodeError { "routes" });
        const auto host = readText(json, "host");
        const auto prefix = readText(json, "path_prefix");
        const auto safety = readSafety(readText(json, "kind").value_or(""));
        if (!host || !prefix)
            return tl::unexpected(DecodeError { "routes.path_prefix" });
        if (!safety)
            return tl::unexpected(DecodeError { "routes.kind" });
        Route route;
        route.name = readText(json, "name").value_or("");
        route.host = *host;
        route.pathPrefix = *prefix;
        route.safety = *safety;
        route.timeout = readMilliseconds(json, "timeout_ms", route.timeout);
        route.objective = readMilliseconds(json, "goal_ms", route.objective);
        route.rank = static_cast<std::uint32_t>(std::max<std::int64_t>(readInteger(json, "priority").value_or(0), 0));
        route.services = readServices(json);
        route.maxRuns
            = static_cast<std::uint32_t>(std::max<std::int64_t>(readInteger(json, "attempts").value_or(1), 1));
        route.isSticky = readFlag(json, "sticky");
        route.canResume = readFlag(json, "can_resume");
        route.retainsTurns = readFlag(json, "retain");
        route.isPublic = readFlag(json, "public");
        constexpr double millisecondsPerSecond = 1000;
        route.turnRetention = Milliseconds(
            static_cast<std::int64_t>(readDecimal(json, "retain_s").value_or(0) * millisecondsPerSecond));
        return route;
    }

    tl::expected<ServiceConfig, DecodeError> readService(const Json& json)
    {
        const auto name = json.is_object() ? readText(json, "name") : std::nullopt;
        if (!name)
            return tl::unexpected(DecodeError { "services.name" });
        ServiceConfig service;
        service.name = ServiceName(*name);
        const auto connections = readInteger(json, "max_conns");
        if (connections && *connections > 0)
            service.maxConnections = static_cast<std::uint32_t>(*connections);
        const auto engine = json.find("engine");
        if (engine == json.end() || !engine->is_object())
            return service;
        EngineConfig engineConfig;
        engineConfig.slots
            = static_cast<std::uint32_t>(std::max<std::int64_t>(readInteger(*engine, "slots").value_or(1), 1));
        engineConfig.memoryTokens = static_cast<std::uint64_t>(
            std::max<std::int64_t>(readInteger(*engine, "kv_capacity_tokens").value_or(0), 0));
        engineConfig.tokensPerEvent
            = TokenCount(std::max<std::int64_t>(readInteger(*engine, "tokens_per_event").value_or(1), 1));
        service.engine = engineConfig;
        return service;
    }

    /// Returns nothing for a number that is missing or 0, which both mean that there is no limit.
    tl::expected<std::optional<CallAllowance>, DecodeError> readAllowance(const Json& json)
    {
        constexpr const char* rateName = "rate_per_s";
        constexpr const char* burstName = "burst";
        for (const char* name : { rateName, burstName }) {
            if (json.contains(name) && !(readDecimal(json, name).value_or(-1) >= 0))
                return tl::unexpected(DecodeError { name });
        }
        const double rate = readDecimal(json, rateName).value_or(0);
        if (rate <= 0)
            return std::nullopt;
        return CallAllowance { CallRate(rate), readDecimal(json, burstName).value_or(0) };
    }

    tl::expected<Organisation, DecodeError> readOrganisation(const Json& json)
    {
        const auto name = json.is_object() ? readText(json, "name") : std::nullopt;
        if (!name || name->empty())
            return tl::unexpected(DecodeError { "tenants.name" });
        Organisation organisation;
        organisation.id = OrganisationId(*name);
        const auto keys = json.find("api_keys");
        if (keys == json.end() || !keys->is_array())
            return tl::unexpected(DecodeError { "tenants.api_keys" });
        for (const Json& key : *keys) {
            if (key.is_string() && !key.get_ref<const std::string&>().empty())
                organisation.keys.push_back(digestOfKey(key.get_ref<const std::string&>()));
        }
        if (const auto rank = readInteger(json, "priority"); rank && *rank >= 0 && *rank <= UINT32_MAX)
            organisation.rank = static_cast<std::uint32_t>(*rank);
        auto allowance = readAllowance(json);
        if (!allowance)
            return tl::unexpected(allowance.error());
        organisation.allowance = *allowance;
        return organisation;
    }

    CallerLimits readLimits(const Json& json)
    {
        CallerLimits limits;
        if (!json.is_object())
            return limits;
        if (const auto bytes = readInteger(json, "max_header_bytes"); bytes && *bytes > 0)
            limits.maxHeaderBytes = static_cast<std::size_t>(*bytes);
        if (const auto bytes = readInteger(json, "max_body_bytes"); bytes && *bytes > 0)
            limits.maxBodyBytes = static_cast<std::size_t>(*bytes);
        limits.headerTimeout = readMilliseconds(json, "header_timeout_ms", limits.headerTimeout);
        limits.idleTimeout = readMilliseconds(json, "idle_timeout_ms", limits.idleTimeout);
        return limits;
    }

}

tl::expected<RoutingConfig, DecodeError> readConfig(const Json& spec, std::vector<DecodeError>* skipped)
{
    if (!spec.is_object() || !spec.contains("routes") || !spec["routes"].is_array())
        return tl::unexpected(DecodeError { "routes" });
    const auto version = readInteger(spec, "version");
    if (!version || *version <= 0)
        return tl::unexpected(DecodeError { "version" });
    RoutingConfig config;
    config.version = static_cast<std::uint64_t>(*version);
    for (const Json& json : spec["routes"]) {
        auto route = readRoute(json);
        if (!route)
            return tl::unexpected(route.error());
        config.routes.push_back(std::move(*route));
    }
    if (spec.contains("services") && spec["services"].is_array()) {
        for (const Json& json : spec["services"]) {
            auto service = readService(json);
            if (!service)
                return tl::unexpected(service.error());
            config.services.push_back(std::move(*service));
        }
    }
    if (spec.contains("limits"))
        config.limits = readLimits(spec["limits"]);
    if (!spec.contains("tenants"))
        return config;
    if (!spec["tenants"].is_array())
        return tl::unexpected(DecodeError { "tenants" });
    config.organisations.emplace();
    for (std::size_t entry = 0; entry < spec["tenants"].size(); ++entry) {
        auto organisation = readOrganisation(spec["tenants"][entry]);
        if (organisation)
            config.organisations->push_back(std::move(*organisation));
        else if (skipped)
            skipped->push_back({ organisation.error().field, entry });
    }
    return config;
}

// Journals -----------------------------------------------------------------------------------------------------------

tl::expected<JournalSet, DecodeError> readJournalSet(const Json& spec)
{
    if (!spec.is_object() || !spec.contains("members") || !spec["members"].is_array())
        return tl::unexpected(DecodeError { "members" });
    const auto epoch = readInteger(spec, "epoch");
    if (!epoch || *epoch < 0)
        return tl::unexpected(DecodeError { "epoch" });
    JournalSet set;
    set.epoch = Epoch(static_cast<std::uint64_t>(*epoch));
    set.proposer = NodeId(readText(spec, "proposer").value_or(""));
    for (const Json& json : spec["members"]) {
        const auto node = json.is_object() ? readText(json, "node") : std::nullopt;
        const auto address = json.is_object() ? readText(json, "address") : std::nullopt;
        if (!node || !address)
            return tl::unexpected(DecodeError { "members.node" });
        set.members.push_back({ NodeId(*node), *address });
    }
    return set;
}

Json writeJournalSet(const JournalSet& set)
{
    Json members = Json::array();
    for (const JournalMember& member : set.members)
        members.push_back({ { "node", member.node.value }, { "address", member.address } });
    return { { "epoch", set.epoch.value }, { "proposer", set.proposer.value }, { "members", members } };
}

Json writeRetirementStatus(bool isRetirementComplete)
{
    return Json::object({ { "phase", isRetirementComplete ? "completed" : "running" } });
}

}
