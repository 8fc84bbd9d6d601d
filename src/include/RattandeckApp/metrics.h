#pragma once

#include <functional>
#include <memory>
#include <string>

namespace RattandeckApp {

/// Counters, gauges and summaries of one process, rendered in the text format that scrapers read. Summaries are
/// Boost.Accumulators: memory doesn't grow with the number of samples.
///
/// Thread safety: not synchronised; use from the event loop's thread.
class Metrics {
public:
    Metrics();
    ~Metrics();

    /// Adds to a counter, which is made at its first use.
    void count(const std::string& name, double amount = 1);
    /// Adds a sample to a summary (count, sum, and quantiles 0.5, 0.95, 0.99).
    void observe(const std::string& name, double sample);
    /// A value that is read at rendering. `kind` is "gauge" or "counter".
    void provide(const std::string& name, const std::string& kind, std::function<double()> read);

    std::string render() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
