#pragma once

#include "Rattandeck/types.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Which service answers a call, and under which terms. Plain values; a `RouteTable` is immutable once made.
namespace Rattandeck {

/// What may be done with a call whose outcome is not known.
enum class CallSafety {
    /// Idempotent: may be sent again.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answered by a stream of events; runs at most once unless the route can resume it.
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
    /// Longest time that a caller is kept waiting for the whole answer.
    Milliseconds timeout { 30000 };
    /// Time within which an answer has its full worth.
    Milliseconds objective { 1000 };
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    std::vector<WeightedService> services;
    /// Endpoint instances on which one call may run.
    std::uint32_t maxRuns = 1;
    /// An instance that has recently served the same subject or prompt is faster.
    bool isSticky = false;
    /// A broken stream may go on at another instance.
    bool canResume = false;
    /// Turns may continue from earlier ones, which are kept for `turnRetention`.
    bool retainsTurns = false;
    Milliseconds turnRetention { 0 };
    bool operator==(const Route&) const = default;
};

/// What is known of the model engines of a service.
struct EngineConfig {
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0;
    TokenCount tokensPerEvent { 1 };
    bool operator==(const EngineConfig&) const = default;
};

struct ServiceConfig {
    ServiceName name;
    /// Connections that one instance accepts from all callers together.
    std::uint32_t maxConnections = 64;
    std::optional<EngineConfig> engine;
    bool operator==(const ServiceConfig&) const = default;
};

/// Bounds on what a caller may send, and on how long it may take.
struct CallerLimits {
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    Milliseconds headerTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };
    bool operator==(const CallerLimits&) const = default;
};

/// One accepted configuration, whole.
struct RoutingConfig {
    /// Grows from one configuration to the next.
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceConfig> services;
    CallerLimits limits;
    bool operator==(const RoutingConfig&) const = default;
};

/// Finds routes and services of one configuration.
///
/// Thread safety: immutable; share freely.
class RouteTable {
public:
    explicit RouteTable(RoutingConfig config);
    ~RouteTable();
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;

    const RoutingConfig& config() const;
    /// The route of `host` with the longest prefix that begins `path` (without its query), or null.
    const Route* find(std::string_view host, std::string_view path) const;
    /// Null for a service that the configuration does not name.
    const ServiceConfig* service(const ServiceName& name) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Chooses among a route's services by weight; the same `key` gets the same service.
/// Precondition: `route.services` is not empty.
const ServiceName& chooseService(const Route& route, std::string_view key);

}
