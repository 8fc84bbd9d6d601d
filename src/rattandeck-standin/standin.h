#pragma once

#include "RattandeckNet/eventloop.h"
#include "RattandeckNet/http.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

/// Simulated platform services and endpoints, for tests and the demo only. Each one runs in a single process and keeps
/// its state in memory.
namespace RattandeckStandin {

using Json = nlohmann::json;
using Rattandeck::Milliseconds;
using RattandeckNet::EventLoop;
using RattandeckNet::HttpRequest;
using RattandeckNet::HttpResponder;

/// Faults that `POST /faults` sets at run time. The comment of each fault names the modes that implement it.
struct Faults {
    /// All: requests are answered with 503.
    bool down = false;
    /// All: connections are aborted without a response.
    bool close = false;
    /// All: delay before a request is processed.
    Milliseconds delay { 0 };
    /// Objects, service: number of next requests that take effect, but whose connection is aborted without a response.
    std::uint32_t dropAnswers = 0;
    /// Service: number of next calls that are executed and never answered.
    std::uint32_t hang = 0;
    /// Service: number of next calls that are answered with 500 and not executed.
    std::uint32_t fail = 0;
};

/// Applies the fields of `json` to `faults`. Returns false and leaves `faults` unchanged when `json` has an unknown
/// field or a field of the wrong type.
bool readFaults(const Json& json, Faults& faults);

/// Decrements the counter of a fault. Returns false when it was 0 already.
bool consumeFault(std::uint32_t& count);

/// Request handlers of one mode. They share the state of the mode.
struct Mode {
    std::function<void(const HttpRequest&, const HttpResponder&)> handle;
    /// Called after the faults have changed; may be empty.
    std::function<void()> onFaultsChanged;
};

void answer(const HttpResponder& responder, int status, const Json& body);
void answerError(const HttpResponder& responder, int status, const std::string& reason);

/// Value of a query parameter as a number, or `defaultValue` when the parameter is missing or not a number.
std::uint64_t queryNumber(const HttpRequest& request, const std::string& name, std::uint64_t defaultValue);

struct ObjectsOptions {
    /// Journal file from which the objects are restored after a restart; empty: objects are not persisted.
    std::string dataFile;
};
Mode makeObjects(EventLoop& loop, Faults& faults, const ObjectsOptions& options);

struct InstancesOptions {
    Milliseconds lag { 0 };
};
Mode makeInstances(EventLoop& loop, const InstancesOptions& options);

struct EngineOptions {
    /// Speed-up factor: all durations of the model are divided by it.
    double speed = 1;
    std::uint32_t maxBatch = 16;
    std::int64_t cacheTokens = 60000;
    /// Delay before a cache event is published.
    Milliseconds eventDelay { 500 };
    /// Every n-th cache event is lost; 0: no event is lost.
    std::uint32_t eventGap = 0;
    Milliseconds loadLag { 200 };
};
Mode makeEngine(EventLoop& loop, const EngineOptions& options);

struct ServiceOptions {
    Milliseconds latency { 20 };
    /// File to which executed calls are appended, and from which they are loaded at start-up; empty: not persisted.
    std::string ledgerFile;
};
Mode makeService(EventLoop& loop, Faults& faults, const ServiceOptions& options);

}
