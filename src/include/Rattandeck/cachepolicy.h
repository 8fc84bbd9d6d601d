#pragma once

#include "Rattandeck/types.h"

/// What becomes of a program's cached prefix: pure functions.
namespace Rattandeck {

enum class PrefixAction { Keep, Export, Drop };

struct PausedPrefix {
    TokenCount tokens;
    Duration expectedPause { 0 };
    /// Time to prefill the prefix again.
    Duration rebuildTime { 0 };
    /// Time to export and import it.
    Duration moveTime { 0 };
};

/// Memory of one engine.
struct CachePressure {
    TokenCount capacity;
    TokenCount used;
    /// Tokens of prefixes that waiting calls will need.
    TokenCount wanted;
};

/// Decides at a tool pause. The prefix is kept: the engine evicts by `evictionValue` when it needs room, and neither an
/// export nor an early drop made programs faster (docs/DECISIONS.md has the figures).
PrefixAction choosePrefixAction(const PausedPrefix& prefix, const CachePressure& pressure);

/// Cost of losing the prefix, in seconds of prefill: the prefix with the lowest value is evicted first. The expected
/// pause isn't weighed.
double evictionValue(const PausedPrefix& prefix);

}
