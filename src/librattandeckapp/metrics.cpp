#include "RattandeckApp/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <sstream>

namespace RattandeckApp {

namespace Accumulators = boost::accumulators;

namespace {

    constexpr std::array<double, 3> quantiles { 0.5, 0.95, 0.99 };

    using Summary = Accumulators::accumulator_set<double,
        Accumulators::stats<Accumulators::tag::count, Accumulators::tag::sum, Accumulators::tag::extended_p_square>>;

    struct Provided {
        std::string kind;
        std::function<double()> read;
    };

}

struct Metrics::Impl {
    std::map<std::string, double> counters;
    std::map<std::string, Summary> summaries;
    std::map<std::string, Provided> provided;
};

Metrics::Metrics()
    : impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string& name, double amount) { this->impl->counters[name] += amount; }

void Metrics::observe(const std::string& name, double sample)
{
    const auto [summary, isNew]
        = this->impl->summaries.try_emplace(name, Accumulators::extended_p_square_probabilities = quantiles);
    summary->second(sample);
}

void Metrics::provide(const std::string& name, const std::string& kind, std::function<double()> read)
{
    this->impl->provided[name] = { kind, std::move(read) };
}

std::string Metrics::render() const
{
    std::ostringstream out;
    for (const auto& [name, value] : this->impl->counters)
        out << "# TYPE " << name << " counter\n" << name << ' ' << value << '\n';
    for (const auto& [name, provided] : this->impl->provided)
        out << "# TYPE " << name << ' ' << provided.kind << '\n' << name << ' ' << provided.read() << '\n';
    for (const auto& [name, summary] : this->impl->summaries) {
        out << "# TYPE " << name << " summary\n";
        for (std::ptrdiff_t i = 0; i < std::ssize(quantiles); ++i) {
            out << name << "{quantile=\"" << quantiles[static_cast<std::size_t>(i)] << "\"} "
                << Accumulators::extended_p_square(summary)[i] << '\n';
        }
        out << name << "_sum " << Accumulators::sum(summary) << '\n';
        out << name << "_count " << Accumulators::count(summary) << '\n';
    }
    return out.str();
}

}
