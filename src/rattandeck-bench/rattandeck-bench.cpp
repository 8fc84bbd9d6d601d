#include "table.h"

#include <boost/program_options.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>

using namespace RattandeckBench;
namespace Options = boost::program_options;

namespace {

/// Full load is this share of the capacity that the fleet has with a warm cache.
constexpr double fullLoadShare = 0.9;
constexpr std::uint64_t capacitySeed = 1;

std::vector<TrialPolicy> baselines()
{
    return { baseline("round-robin", PlacementRule::RoundRobin), baseline("least-load", PlacementRule::LeastLoad),
        baseline("sticky", PlacementRule::Sticky), baseline("first-come", PlacementRule::FirstFree) };
}

TrialPolicy wholePolicy()
{
    TrialPolicy policy;
    policy.name = "rattandeck";
    return policy;
}

}

int main(int argc, char** argv)
{
    std::string output = "build/bench";
    unsigned threads = 4;
    unsigned seedCount = 3;
    Options::options_description described("Options");
    described.add_options()("help", "print this")("output", Options::value(&output),
        "folder for the CSV and the table")("threads", Options::value(&threads), "runs at once")(
        "seeds", Options::value(&seedCount), "seeds per cell")("quick", "few short runs");
    Options::variables_map given;
    Options::store(Options::parse_command_line(argc, argv, described), given);
    Options::notify(given);
    if (given.contains("help")) {
        std::cout << described;
        return 0;
    }

    std::vector<std::uint64_t> seeds;
    for (unsigned i = 1; i <= seedCount; ++i)
        seeds.push_back(i);
    std::vector<TrialPolicy> policies = baselines();
    policies.push_back(wholePolicy());
    std::vector<Cell> cells;
    for (const WorkloadShape& shape : { vadodara(), mizani() }) {
        const double full = fullLoadShare * measureCapacity(shape, capacitySeed);
        std::cout << shape.name << ": full load is " << full << " programs/s\n";
        for (const double load : { 0.4, 1.0, 1.5, 3.0 }) {
            for (const TrialPolicy& policy : policies) {
                TrialSpec spec { shape, policy, Fault::None, load, full * load };
                cells.push_back({ spec, {} });
            }
        }
    }
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
