#include "table.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <ostream>
#include <thread>

namespace RattandeckBench {

namespace {

    template <typename Field> Spread spread(const Cell& cell, Field field)
    {
        Spread spread;
        for (std::size_t i = 0; i < cell.results.size(); ++i) {
            const auto value = static_cast<double>(cell.results[i].*field);
            spread.mean += value / static_cast<double>(cell.results.size());
            spread.min = i == 0 ? value : std::min(spread.min, value);
            spread.max = std::max(spread.max, value);
        }
        return spread;
    }

    // Uses the work of all seeds together, because a single run has few programs of the small organisations.
    double pooledFairShare(const Cell& cell)
    {
        std::vector<double> offered(cell.spec.shape.organisations);
        std::vector<double> served(cell.spec.shape.organisations);
        for (const TrialResult& result : cell.results) {
            for (std::size_t i = 0; i < offered.size(); ++i) {
                offered[i] += result.offeredWork[i];
                served[i] += result.servedWork[i];
            }
        }
        return minFairShare(offered, served);
    }

    template <typename... Values> std::string formatted(const char* format, Values... values)
    {
        char line[512];
        std::snprintf(line, sizeof(line), format, values...);
        return line;
    }

}

Spread spreadOf(const Cell& cell, double TrialResult::*field) { return spread(cell, field); }
Spread spreadOf(const Cell& cell, std::uint64_t TrialResult::*field) { return spread(cell, field); }

void writeCsvHeader(std::ostream& out)
{
    out << "workload,load,fault,policy,seed,programs,completed,refused,abandoned,p50_s,p95_s,p99_s,within_aim,"
           "over_bound,goodput_per_s,refilled_tokens,unused_token_s,wasted_engine_s,least_fair_share,moves,resent,"
           "crashes,orders,orders_across_domains\n";
}

void writeCsv(std::ostream& out, const Cell& cell)
{
    for (std::size_t i = 0; i < cell.results.size(); ++i) {
        const TrialResult& r = cell.results[i];
        out << cell.spec.shape.name << ',' << cell.spec.load << ',' << toString(cell.spec.fault) << ','
            << cell.spec.policy.name << ',' << i + 1 << ',' << r.programs << ',' << r.completed << ',' << r.refused
            << ',' << r.abandoned << ',' << r.p50 << ',' << r.p95 << ',' << r.p99 << ',' << r.withinLatencyTarget << ','
            << r.overBound << ',' << r.goodputPerSecond << ',' << r.refilledTokens << ',' << r.unusedTokenSeconds << ','
            << r.wastedEngineSeconds << ',' << r.minFairShare << ',' << r.moves << ',' << r.resent << ',' << r.crashes
            << ',' << r.orders << ',' << r.ordersAcrossDomains << '\n';
    }
}

void writeTableHeader(std::ostream& out)
{
    out << formatted("%-9s %4s %-16s %-20s %7s %18s %7s %6s %6s %8s %9s %9s %8s %11s %7s %7s %6s\n", "workload", "load",
        "fault", "policy", "p50 s", "p95 s (min-max)", "p99 s", "aim", "/bound", "goodput", "refilled", "unused",
        "wasted", "fair (min)", "refused", "abandon", "moves");
}

void writeTable(std::ostream& out, const Cell& cell)
{
    const auto mean = [&](auto field) { return spreadOf(cell, field).mean; };
    const Spread p95 = spreadOf(cell, &TrialResult::p95);
    const double programs = std::max(1.0, mean(&TrialResult::programs));
    const std::string tail = formatted("%6.1f (%4.0f-%4.0f)", p95.mean, p95.min, p95.max);
    out << formatted("%-9s %4.1f %-16s %-20s %7.1f %18s %7.1f %6.3f %6.2f %8.2f %8.1fk %8.0fk %8.0f %4.2f (%4.2f) "
                     "%6.1f%% %6.1f%% %6.0f\n",
        cell.spec.shape.name.c_str(), cell.spec.load, toString(cell.spec.fault).c_str(), cell.spec.policy.name.c_str(),
        mean(&TrialResult::p50), tail.c_str(), mean(&TrialResult::p99), mean(&TrialResult::withinLatencyTarget),
        mean(&TrialResult::overBound), mean(&TrialResult::goodputPerSecond), mean(&TrialResult::refilledTokens) / 1000,
        mean(&TrialResult::unusedTokenSeconds) / 1000, mean(&TrialResult::wastedEngineSeconds), pooledFairShare(cell),
        spreadOf(cell, &TrialResult::minFairShare).min, 100 * mean(&TrialResult::refused) / programs,
        100 * mean(&TrialResult::abandoned) / programs, mean(&TrialResult::moves));
}

void runCells(std::vector<Cell>& cells, const std::vector<std::uint64_t>& seeds, unsigned threads)
{
    for (Cell& cell : cells)
        cell.results.resize(seeds.size());
    const std::size_t total = cells.size() * seeds.size();
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t i = next++; i < total; i = next++) {
            TrialSpec spec = cells[i / seeds.size()].spec;
            spec.seed = seeds[i % seeds.size()];
            cells[i / seeds.size()].results[i % seeds.size()] = runTrial(spec);
        }
    };
    std::vector<std::jthread> workers;
    for (unsigned i = 0; i < threads; ++i)
        workers.emplace_back(work);
}

}
