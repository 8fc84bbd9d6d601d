#pragma once

#include <iosfwd>

namespace RattandeckBench {

/// Prints the time and the allocated bytes of one placement decision for fleets of up to 4,500 sidecars.
void printDecisionTimes(std::ostream& out);

}
