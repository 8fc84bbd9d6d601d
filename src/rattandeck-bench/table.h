#pragma once

#include "trial.h"

#include <iosfwd>

/// Results of several seeds, as a human-readable table and as CSV.
namespace RattandeckBench {

/// The runs of one combination of policy, workload, load and fault.
struct Cell {
    TrialSpec spec;
    std::vector<TrialResult> results;
};

struct Spread {
    double mean = 0;
    double min = 0;
    double max = 0;
};

/// Mean, minimum and maximum of `field` over the seeds.
Spread spreadOf(const Cell& cell, double TrialResult::*field);
Spread spreadOf(const Cell& cell, std::uint64_t TrialResult::*field);

void writeCsvHeader(std::ostream& out);
/// Writes one line per seed.
void writeCsv(std::ostream& out, const Cell& cell);
void writeTableHeader(std::ostream& out);
void writeTable(std::ostream& out, const Cell& cell);

/// Runs all seeds of all cells on `threads` threads and stores the results in the cells.
void runCells(std::vector<Cell>& cells, const std::vector<std::uint64_t>& seeds, unsigned threads);

}
