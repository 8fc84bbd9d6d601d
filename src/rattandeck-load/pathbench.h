#pragma once

#include "RattandeckNet/address.h"
#include "RattandeckNet/eventloop.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace RattandeckLoad {

struct PathBenchOptions {
    /// A model engine, called directly.
    RattandeckNet::Address engine;
    /// An entry whose calls of `service` end at such engines.
    RattandeckNet::Address entry;
    std::string service;
    /// Calls of one token, one after the other, each way.
    std::size_t calls = 500;
    /// Streamed calls for the throughput, and how many run together.
    std::size_t streams = 512;
    std::size_t concurrency = 16;
    std::int64_t streamTokens = 1000;
};

/// What the way through entry and sidecar costs against a direct call of the engine. JSON with latencies in
/// microseconds, and the tokens relayed and the seconds that took; an "error" if a call failed. Blocks until done.
///
/// Precondition: `loop` is not running.
nlohmann::json runPathBench(RattandeckNet::EventLoop& loop, const PathBenchOptions& options);

}
