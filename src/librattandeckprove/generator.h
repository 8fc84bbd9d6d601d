#pragma once

#include "search.h"

#include <rapidcheck.h>

namespace RattandeckProve {

/// Generates schedules of up to `size` faults that the system knows; shrinks by leaving faults out and making them
/// shorter.
rc::Gen<Schedule> schedules(const System& system, std::uint64_t seed);

}
