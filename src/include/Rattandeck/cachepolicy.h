#pragma once

#include "Rattandeck/types.h"

/// Retention and eviction of programs' cached prefixes: pure functions.
namespace Rattandeck {

enum class PrefixAction { Keep, Export, Drop };

struct PausedPrefix {
    TokenCount tokens;
    Duration expectedPause { 0 };
    /// Time to prefill the prefix again.
    Duration rebuildTime { 0 };
    /// Time to export the prefix and import it elsewhere.
    Duration moveTime { 0 };
};

/// Memory of one engine.
struct CachePressure {
    TokenCount capacity;
    TokenCount used;
    /// Tokens of the prefixes that waiting calls will need.
    TokenCount wanted;
};

/// Decides what to do with a prefix while its program pauses for a tool call. It always keeps the prefix: the engine
/// evicts by `evictionValue` when it needs memory, and neither exporting nor dropping prefixes early made programs
/// faster (measurements in docs/DECISIONS.md).
PrefixAction choosePrefixAction(const PausedPrefix& prefix, const CachePressure& pressure);

/// Cost of losing the prefix, in seconds of prefill. The prefix with the lowest value is evicted first. The expected
/// pause is not taken into account.
double evictionValue(const PausedPrefix& prefix);

}
