#include "Rattandeck/stalls.h"

#include <algorithm>

namespace Rattandeck {

Duration stallTimeout(const StallInputs& inputs, const StallPolicy& policy)
{
    using Real = std::chrono::duration<double, std::milli>;
    const Real usual = inputs.usual;
    const Real most = usual * policy.maxStretch;
    const Real needed = std::max(usual * inputs.workTime, Real(inputs.expectedMs * policy.expectedRatio));
    return std::chrono::duration_cast<Duration>(std::clamp(needed, usual, most));
}

}
