#pragma once

#include "schedule.h"

#include <rapidcheck.h>

namespace RattandeckProve {

/// Generates schedules of up to `size` faults; shrinks by leaving faults out and making them shorter.
rc::Gen<Schedule> schedules(std::uint64_t seed);

}
