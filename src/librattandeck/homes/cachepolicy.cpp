#include "Rattandeck/cachepolicy.h"

namespace Rattandeck {

PrefixAction choosePrefixAction(const PausedPrefix& /*prefix*/, const CachePressure& /*pressure*/)
{
    return PrefixAction::Keep;
}

double evictionValue(const PausedPrefix& prefix) { return std::chrono::duration<double>(prefix.rebuildTime).count(); }

}
