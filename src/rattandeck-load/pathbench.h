#pragma once

#include "RattandeckNet/address.h"
#include "RattandeckNet/eventloop.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace RattandeckLoad {

struct PathBenchOptions {
    /// Model engine that is called directly.
    RattandeckNet::Address engine;
    /// Entry that passes calls of `service` to engines of the same kind.
    RattandeckNet::Address entry;
    std::string service;
    /// Number of sequential one-token calls, sent directly and through the entry alternately.
    std::size_t calls = 500;
    /// Number of streamed calls of the throughput measurement, and how many of them run concurrently.
    std::size_t streams = 512;
    std::size_t concurrency = 16;
    std::int64_t streamTokens = 1000;
};

/// Measures the overhead of calls through entry and sidecar over direct calls of the engine. Returns JSON with
/// latencies in microseconds, the number of relayed tokens and the seconds for which they were streamed, or with an
/// "error" if a call failed. Blocks until the measurement is complete.
///
/// Precondition: `loop` is not running.
nlohmann::json runPathBench(RattandeckNet::EventLoop& loop, const PathBenchOptions& options);

}
