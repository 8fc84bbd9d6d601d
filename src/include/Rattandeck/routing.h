#pragma once

#include "Rattandeck/organisations.h"
#include "Rattandeck/types.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Routing configuration: selects the service that answers a call, and the limits that apply to it.
namespace Rattandeck {

/// Whether a call may be sent again when its outcome is unknown.
enum class CallSafety {
    /// Idempotent: may be sent again at any time.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answered by an event stream. Runs at most once unless the route can resume streams.
    Stream,
};

struct WeightedService {
    ServiceName service;
    std::uint32_t weight = 1;
    bool operator==(const WeightedService&) const = default;
};

struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    CallSafety safety = CallSafety::Unsafe;
    /// Maximum time until the answer is complete.
    Milliseconds timeout { 30000 };
    /// Latency objective: target time for the answer.
    Milliseconds objective { 1000 };
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    std::vector<WeightedService> services;
    /// Maximum number of endpoint instances on which one call may run, retries included.
    std::uint32_t maxRuns = 1;
    /// Prefers an instance that has recently served the same subject.
    bool isSticky = false;
    /// An interrupted stream may be resumed at another instance.
    bool canResume = false;
    /// Turns are stored for `turnRetention`, so that later turns may continue them.
    bool retainsTurns = false;
    Milliseconds turnRetention { 0 };
    /// Callers need no key.
    bool isPublic = false;
    bool operator==(const Route&) const = default;
};

/// Configuration of the model engines of a service.
struct EngineConfig {
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0;
    TokenCount tokensPerEvent { 1 };
    bool operator==(const EngineConfig&) const = default;
};

struct ServiceConfig {
    ServiceName name;
    /// Maximum number of connections that one instance accepts from all clients together.
    std::uint32_t maxConnections = 64;
    std::optional<EngineConfig> engine;
    bool operator==(const ServiceConfig&) const = default;
};

/// Size limits and timeouts for callers' requests.
struct CallerLimits {
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    Milliseconds headerTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };
    bool operator==(const CallerLimits&) const = default;
};

/// One complete version of the configuration.
struct RoutingConfig {
    /// Increases with each configuration.
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceConfig> services;
    CallerLimits limits;
    /// Present if callers have to show a key on routes that are not public.
    std::optional<std::vector<Organisation>> organisations;
    bool operator==(const RoutingConfig&) const = default;
};

/// Index of the routes and services of one configuration.
///
/// Thread safety: immutable; may be shared between threads.
class RouteTable {
public:
    explicit RouteTable(RoutingConfig config);
    ~RouteTable();
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;

    const RoutingConfig& config() const;
    /// Returns the route of `host` with the longest path prefix that matches `path` (without its query), or null.
    const Route* find(std::string_view host, std::string_view path) const;
    /// Returns null for a service that the configuration does not contain.
    const ServiceConfig* service(const ServiceName& name) const;
    /// Returns null if the configuration has no organisations, so that callers need no keys.
    const OrganisationDirectory* organisations() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Chooses one of a route's services by weight. The choice is a hash of `key`, so that equal keys get the same service.
/// Precondition: `route.services` is not empty.
const ServiceName& chooseService(const Route& route, std::string_view key);

}
