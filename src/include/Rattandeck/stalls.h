#pragma once

#include "Rattandeck/types.h"

/// When a call counts as stalled at its instance.
///
/// Designed for fleets of which a part is sound but slower by a factor of two to five: a call there must not be moved
/// because it isn't as fast as elsewhere. A call at an instance that hangs is still moved soon.
namespace Rattandeck {

struct StallPolicy {
    /// Multiple of the expected time after which a call counts as stalled.
    double expectedRatio = 1.5;
    /// The time-out is lengthened by this factor at most: an instance may hang that was believed to be slow.
    double maxStretch = 4;
};

struct StallInputs {
    /// Time-out where instances work as usual.
    Duration usual { 0 };
    /// Time that work is expected to take at the instance, relative to the usual time.
    double workTime = 1;
    /// Time in which the next progress of the call is expected there, in milliseconds; 0 if unknown.
    double expectedMs = 0;
};

/// Returns the time without progress after which the call counts as stalled. Never less than the usual time-out.
Duration stallTimeout(const StallInputs& inputs, const StallPolicy& policy = {});

}
