#include "decision.h"
#include "originways.h"
#include "sharedlimits.h"
#include "table.h"

#include <boost/program_options.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>

using namespace RattandeckBench;
namespace Options = boost::program_options;

namespace {

/// Full load as a share of the capacity of the fleet with a warm cache.
constexpr double fullLoadShare = 0.9;
constexpr std::uint64_t capacitySeed = 1;

std::vector<TrialPolicy> baselines()
{
    return { baseline("round-robin", PlacementRule::RoundRobin), baseline("least-load", PlacementRule::LeastLoad),
        baseline("sticky", PlacementRule::Sticky), baseline("first-come", PlacementRule::FirstFree) };
}

TrialPolicy fullPolicy()
{
    TrialPolicy policy;
    policy.name = "rattandeck";
    return policy;
}

/// Variants of the full policy, each with one or two mechanisms disabled, or with an inexact latency target.
std::vector<TrialPolicy> ablations()
{
    std::vector<TrialPolicy> policies;
    const auto without = [&policies](const std::string& part, const std::function<void(TrialPolicy&)>& disable) {
        TrialPolicy policy = fullPolicy();
        policy.name = "no-" + part;
        disable(policy);
        policies.push_back(policy);
    };
    without("order", [](TrialPolicy& p) { p.programOrder = false; });
    without("adaptive-limit", [](TrialPolicy& p) { p.adaptiveLimit = false; });
    without("value-eviction", [](TrialPolicy& p) { p.evictByValue = false; });
    without("release", [](TrialPolicy& p) { p.releaseAtEnd = false; });
    without("early-refusal", [](TrialPolicy& p) { p.earlyRefusal = false; });
    without("fairness", [](TrialPolicy& p) { p.fairness = false; });
    without("quarantine", [](TrialPolicy& p) { p.quarantine = false; });
    without("own-correction", [](TrialPolicy& p) { p.ownCorrection = false; });
    without("wait-term", [](TrialPolicy& p) { p.waitWeight = 0; });
    without("prefix-term", [](TrialPolicy& p) { p.missingPrefixFactor = 0; });
    without("transfer-term", [](TrialPolicy& p) { p.transferWeight = 0; });
    without("refusal-or-order", [](TrialPolicy& p) { p.earlyRefusal = p.programOrder = false; });
    without("exact-aim", [](TrialPolicy& p) { p.targetError = 0.5; });
    return policies;
}

std::vector<Cell> plannedCells(const std::string& only)
{
    std::vector<TrialPolicy> policies = baselines();
    policies.push_back(fullPolicy());
    std::vector<Cell> cells;
    for (const WorkloadShape& shape : { vadodara(), mizani() }) {
        const double full = fullLoadShare * measureCapacity(shape, capacitySeed);
        std::cout << shape.name << ": full load is " << full << " programs/s\n";
        const auto add = [&](const TrialPolicy& policy, double load, Fault fault) {
            cells.push_back({ { shape, policy, fault, load, full * load }, {} });
        };
        const auto addShort = [&](const TrialPolicy& policy) {
            add(policy, 1, Fault::None);
            cells.back().spec.seconds = 60;
            cells.back().spec.warmUpSeconds = 20;
        };
        if (only == "quick") {
            for (const TrialPolicy& policy : policies)
                addShort(policy);
        }
        if (only.empty() || only == "loads") {
            for (const double load : { 0.4, 1.0, 1.5, 3.0 }) {
                for (const TrialPolicy& policy : policies)
                    add(policy, load, Fault::None);
            }
        }
        if (only.empty() || only == "faults") {
            for (const Fault fault : { Fault::RunnerDies, Fault::SlowRunner, Fault::SlowPlainInstance, Fault::CutDomain,
                     Fault::LaggingReports, Fault::CrashingRequest }) {
                for (const TrialPolicy& policy : policies)
                    add(policy, 1, fault);
            }
        }
        if (only.empty() || only == "ablations") {
            std::vector<TrialPolicy> parts = ablations();
            parts.insert(parts.begin(), fullPolicy());
            for (const TrialPolicy& policy : parts) {
                for (const double load : { 1.0, 1.5, 3.0 })
                    add(policy, load, Fault::None);
                for (const Fault fault :
                    { Fault::SlowRunner, Fault::SlowPlainInstance, Fault::LaggingReports, Fault::CrashingRequest })
                    add(policy, 1, fault);
            }
        }
    }
    return cells;
}

}

int main(int argc, char** argv)
{
    std::string output = "build/bench";
    unsigned threads = 4;
    unsigned seedCount = 3;
    std::string only;
    Options::options_description described("Options");
    auto add = described.add_options();
    add("help", "print this");
    add("output", Options::value(&output), "folder for the CSV and the table");
    add("threads", Options::value(&threads), "number of concurrent runs");
    add("seeds", Options::value(&seedCount), "seeds per cell");
    add("quick", "run few short runs, as a smoke test");
    add("decision", "measure the time of one placement decision by size of the fleet");
    add("limits", "compare ways to keep a rate of calls over many gateways");
    add("origins", "compare ways to keep at which version a stream began");
    add("only", Options::value(&only), "kind of runs: loads, ablations or faults");
    Options::variables_map given;
    Options::store(Options::parse_command_line(argc, argv, described), given);
    Options::notify(given);
    if (given.contains("help")) {
        std::cout << described;
        return 0;
    }
    if (given.contains("decision")) {
        printDecisionTimes(std::cout);
        return 0;
    }

    if (given.contains("limits")) {
        printSharedLimits(std::cout, seedCount);
        return 0;
    }

    if (given.contains("origins")) {
        printOriginWays(std::cout);
        return 0;
    }

    std::vector<std::uint64_t> seeds;
    for (unsigned i = 1; i <= seedCount; ++i)
        seeds.push_back(i);
    std::vector<Cell> cells = plannedCells(given.contains("quick") ? "quick" : only);
    runCells(cells, seeds, threads);
    std::filesystem::create_directories(output);
    std::ofstream csv(output + "/results.csv");
    writeCsvHeader(csv);
    writeTableHeader(std::cout);
    for (const Cell& cell : cells) {
        writeCsv(csv, cell);
        writeTable(std::cout, cell);
    }
    return 0;
}
