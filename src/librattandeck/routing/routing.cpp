#include "Rattandeck/routing.h"

#include <xxhash.h>

#include <unordered_map>

namespace Rattandeck {

// Table ------------------------------------------------------------------------------------------------------------

namespace {

    struct TextHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): named by the standard
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
    };

    template <typename Value> using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

}

struct RouteTable::Impl {
    RoutingConfig config;
    TextMap<TextMap<const Route*>> byHostAndPrefix;
    TextMap<const ServiceConfig*> services;
    std::optional<OrganisationDirectory> organisations;
};

RouteTable::RouteTable(RoutingConfig config)
    : impl(std::make_unique<Impl>())
{
    this->impl->config = std::move(config);
    for (const Route& route : this->impl->config.routes)
        this->impl->byHostAndPrefix[route.host].emplace(route.pathPrefix, &route);
    for (const ServiceConfig& service : this->impl->config.services)
        this->impl->services.emplace(service.name.value, &service);
    if (this->impl->config.organisations)
        this->impl->organisations.emplace(*this->impl->config.organisations);
}

RouteTable::~RouteTable() = default;

const RoutingConfig& RouteTable::config() const { return this->impl->config; }

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = this->impl->byHostAndPrefix.find(host);
    if (prefixes == this->impl->byHostAndPrefix.end())
        return nullptr;
    // Route prefixes end with a slash, so only prefixes of the path that end with one can match. Tries the longest
    // first.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
            return found->second;
        if (slash == 0)
            break;
    }
    return nullptr;
}

const ServiceConfig* RouteTable::service(const ServiceName& name) const
{
    const auto found = this->impl->services.find(name.value);
    return found == this->impl->services.end() ? nullptr : found->second;
}

const OrganisationDirectory* RouteTable::organisations() const
{
    return this->impl->organisations ? &*this->impl->organisations : nullptr;
}

// Weights ----------------------------------------------------------------------------------------------------------

const ServiceName& chooseService(const Route& route, std::string_view key)
{
    std::uint64_t total = 0;
    for (const WeightedService& choice : route.services)
        total += choice.weight;
    if (total == 0)
        return route.services.front().service;
    std::uint64_t point = XXH3_64bits(key.data(), key.size()) % total;
    for (const WeightedService& choice : route.services) {
        if (point < choice.weight)
            return choice.service;
        point -= choice.weight;
    }
    return route.services.back().service;
}

}
