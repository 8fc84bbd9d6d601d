#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace RattandeckApp {

/// Distinguishes time series within a metric family.
struct MetricLabel {
    std::string name;
    std::string value;
};
using MetricLabels = std::vector<MetricLabel>;

/// Counters, gauges and latency histograms of one process, rendered in the Prometheus text format. Memory use
/// does not depend on the number of samples.
///
/// Thread safety: not synchronised; use from the event loop's thread.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// Adds to a counter, which is created on first use. Precondition: `name` ends with "_total".
    void count(const std::string& name, const MetricLabels& labels = {}, double amount = 1);
    /// Adds a sample to a histogram with buckets from 1 ms to 10 s. Precondition: `name` ends with "_seconds".
    void observe(const std::string& name, double seconds, const MetricLabels& labels = {});
    /// Registers a value that `read` returns at each rendering. `kind` is "gauge" or "counter".
    void provide(const std::string& name, const std::string& kind, std::function<double()> read);

    /// As `provide`, for several time series. `read` returns the labels and the value of each.
    void provideFamily(const std::string& name, const std::string& kind,
        std::function<std::vector<std::pair<MetricLabels, double>>()> read);

    std::string render() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
