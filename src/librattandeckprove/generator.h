#pragma once

#include "search.h"

#include <rapidcheck.h>

namespace RattandeckProve {

/// Generates schedules with at most `size` faults of the kinds that the system supports. Shrinking removes faults and
/// reduces their durations.
rc::Gen<Schedule> schedules(const System& system, std::uint64_t seed);

}
