#include "RattandeckApp/metrics.h"

#include <boost/histogram.hpp>

#include <cmath>
#include <map>
#include <sstream>

namespace RattandeckApp {

namespace Histogram = boost::histogram;

namespace {

    /// Upper bounds of the buckets, in seconds.
    const std::vector<double> bucketBounds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10 };

    using Axis = Histogram::axis::variable<double>;
    using Buckets = decltype(Histogram::make_histogram(Axis(bucketBounds)));

    struct Latency {
        Buckets buckets = Histogram::make_histogram(Axis(bucketBounds));
        double sum = 0;
        std::uint64_t count = 0;
    };

    struct Provided {
        std::string kind;
        std::function<std::vector<std::pair<MetricLabels, double>>()> read;
    };

    std::string escaped(const std::string& value)
    {
        std::string text;
        for (const char letter : value) {
            if (letter == '\\' || letter == '"')
                text += '\\';
            if (letter == '\n')
                text += "\\n";
            else
                text += letter;
        }
        return text;
    }

    /// The labels in the text format, without the enclosing braces.
    std::string textOf(const MetricLabels& labels)
    {
        std::string text;
        for (const MetricLabel& label : labels) {
            text += text.empty() ? "" : ",";
            text += label.name + "=\"" + escaped(label.value) + "\"";
        }
        return text;
    }

    std::string inBraces(const std::string& labels) { return labels.empty() ? std::string() : "{" + labels + "}"; }

    void renderLatency(
        std::ostringstream& out, const std::string& name, const std::string& labels, const Latency& latency)
    {
        const std::string prefix = name + "_bucket{" + (labels.empty() ? "" : labels + ",") + "le=\"";
        // Buckets are cumulative. The library's bin -1 is the underflow bin: samples below all bounds.
        double upTo = latency.buckets.at(-1);
        for (std::size_t i = 0; i < bucketBounds.size(); ++i) {
            out << prefix << bucketBounds[i] << "\"} " << upTo << '\n';
            upTo += latency.buckets.at(static_cast<int>(i));
        }
        out << prefix << "+Inf\"} " << latency.count << '\n';
        out << name << "_sum" << inBraces(labels) << ' ' << latency.sum << '\n';
        out << name << "_count" << inBraces(labels) << ' ' << latency.count << '\n';
    }

}

struct Metrics::Impl {
    /// Keyed by name, then by labels.
    std::map<std::string, std::map<std::string, double>> counters;
    std::map<std::string, std::map<std::string, Latency>> latencies;
    std::map<std::string, Provided> provided;
};

Metrics::Metrics()
    : impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string& name, const MetricLabels& labels, double amount)
{
    this->impl->counters[name][textOf(labels)] += amount;
}

void Metrics::observe(const std::string& name, double seconds, const MetricLabels& labels)
{
    Latency& latency = this->impl->latencies[name][textOf(labels)];
    // The text format's buckets include their upper bound; the library's bins include their lower bound instead.
    latency.buckets(std::nextafter(seconds, 0.0));
    latency.sum += seconds;
    ++latency.count;
}

void Metrics::provide(const std::string& name, const std::string& kind, std::function<double()> read)
{
    this->provideFamily(name, kind, [read = std::move(read)] {
        return std::vector<std::pair<MetricLabels, double>> { { MetricLabels {}, read() } };
    });
}

void Metrics::provideFamily(const std::string& name, const std::string& kind,
    std::function<std::vector<std::pair<MetricLabels, double>>()> read)
{
    this->impl->provided[name] = { kind, std::move(read) };
}

std::string Metrics::render() const
{
    std::ostringstream out;
    for (const auto& [name, family] : this->impl->counters) {
        out << "# TYPE " << name << " counter\n";
        for (const auto& [labels, value] : family)
            out << name << inBraces(labels) << ' ' << value << '\n';
    }
    for (const auto& [name, provided] : this->impl->provided) {
        out << "# TYPE " << name << ' ' << provided.kind << '\n';
        for (const auto& [labels, value] : provided.read())
            out << name << inBraces(textOf(labels)) << ' ' << value << '\n';
    }
    for (const auto& [name, family] : this->impl->latencies) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, latency] : family)
            renderLatency(out, name, labels, latency);
    }
    return out.str();
}

}
