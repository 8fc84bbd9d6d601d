#pragma once

#include "trial.h"

#include <iosfwd>

/// Results of several seeds, as a table for people and CSV for plots.
namespace RattandeckBench {

/// The runs of one policy on one workload, load and fault.
struct Cell {
    TrialSpec spec;
    std::vector<TrialResult> results;
};

struct Spread {
    double mean = 0;
    double least = 0;
    double most = 0;
};

/// Mean, least and most of `field` over the seeds.
Spread spreadOf(const Cell& cell, double TrialResult::*field);
Spread spreadOf(const Cell& cell, std::uint64_t TrialResult::*field);

void writeCsvHeader(std::ostream& out);
/// One line per seed.
void writeCsv(std::ostream& out, const Cell& cell);
void writeTableHeader(std::ostream& out);
void writeTable(std::ostream& out, const Cell& cell);

/// Runs every cell's seeds on `threads` threads and fills in the results.
void runCells(std::vector<Cell>& cells, const std::vector<std::uint64_t>& seeds, unsigned threads);

}
