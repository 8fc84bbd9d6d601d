#pragma once

#include "librattandeckprove/search.h"

/// One concurrent run of gateways and journals under virtual time.
namespace RattandeckProve {

/// Journals that are there at the start, and gateways after them in the numbering of faults.
constexpr std::uint32_t journalCount = 3;
constexpr std::uint32_t gatewayCount = 3;

/// Faults come within this; afterwards all are mended, and kept turns must be served again.
constexpr Milliseconds journalFaultWindow { 40000 };

RunReport runJournalTrial(const Schedule& schedule, bool keepLog);

}
