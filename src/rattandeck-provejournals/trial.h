#pragma once

#include "librattandeckprove/search.h"

/// One simulated run of gateways and journals in virtual time.
namespace RattandeckProve {

/// Initial numbers of journals and gateways. In faults, the indices of gateways follow those of the initial journals.
constexpr std::uint32_t journalCount = 3;
constexpr std::uint32_t gatewayCount = 3;

/// Faults are injected within this time. After it all faults end, and retained turns must be served again.
constexpr Milliseconds journalFaultWindow { 40000 };

RunReport runJournalTrial(const Schedule& schedule, bool keepLog);

}
