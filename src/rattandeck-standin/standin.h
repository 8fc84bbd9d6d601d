#pragma once

#include "RattandeckNet/eventloop.h"
#include "RattandeckNet/http.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

/// Stand-ins for the platform and for endpoints: for tests and the demo only, everything in one process's memory.
namespace RattandeckStandin {

using Json = nlohmann::json;
using Rattandeck::Milliseconds;
using RattandeckNet::EventLoop;
using RattandeckNet::HttpRequest;
using RattandeckNet::HttpResponder;

/// Faults that `POST /faults` switches while the stand-in runs. Each mode heeds those that its comment names.
struct Faults {
    /// All: requests are answered with 503.
    bool down = false;
    /// All: connections are broken off without an answer.
    bool close = false;
    /// All: time before a request is looked at.
    Milliseconds delay { 0 };
    /// Objects, service: the next requests take effect, but the connection is broken off without an answer.
    std::uint32_t dropAnswers = 0;
    /// Service: the next calls are executed and never answered.
    std::uint32_t hang = 0;
    /// Service: the next calls are answered with 500 and not executed.
    std::uint32_t fail = 0;
};

/// Takes over the fields that `json` has. Returns false, and changes nothing, when it has others or wrong types.
bool readFaults(const Json& json, Faults& faults);

/// Uses one of a counted fault up. Returns whether there was one.
bool takeFault(std::uint32_t& count);

/// What one mode does. The functions share its state.
struct Mode {
    std::function<void(const HttpRequest&, const HttpResponder&)> handle;
    /// Called after the faults have changed; may be empty.
    std::function<void()> onFaultsChanged;
};

void answer(const HttpResponder& responder, int status, const Json& body);
void answerError(const HttpResponder& responder, int status, const std::string& reason);

/// Value of a query parameter as a number; `otherwise` when it is missing or not one.
std::uint64_t queryNumber(const HttpRequest& request, const std::string& name, std::uint64_t otherwise);

struct ObjectsOptions {
    /// Journal that brings the objects back after a restart; empty: none.
    std::string dataFile;
};
Mode makeObjects(EventLoop& loop, Faults& faults, const ObjectsOptions& options);

struct InstancesOptions {
    Milliseconds lag { 0 };
};
Mode makeInstances(EventLoop& loop, const InstancesOptions& options);

struct EngineOptions {
    /// Divides all of the model's times.
    double speed = 1;
    std::uint32_t maxBatch = 16;
    std::int64_t cacheTokens = 60000;
    /// Cache events become visible this late.
    Milliseconds eventDelay { 500 };
    /// Every so many-th cache event is lost; 0: none.
    std::uint32_t eventGap = 0;
    Milliseconds loadLag { 200 };
};
Mode makeEngine(EventLoop& loop, const EngineOptions& options);

struct ServiceOptions {
    Milliseconds latency { 20 };
    /// File that executed calls are appended to and read back from at the start; empty: none.
    std::string ledgerFile;
};
Mode makeService(EventLoop& loop, Faults& faults, const ServiceOptions& options);

}
