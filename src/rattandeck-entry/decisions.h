#pragma once

#include "Rattandeck/entry.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

/// JSON list of programs with their organisation and service, for dry runs of `rattandeckctl`.
std::string toJson(const std::vector<Rattandeck::ProgramHeader>& programs);

/// Keeps the most recent placement decisions for `rattandeckctl explain`.
///
/// Thread safety: not synchronised.
class DecisionHistory {
public:
    explicit DecisionHistory(std::size_t limit)
        : limit(limit)
    {
    }

    /// Adds a decision and discards the oldest one when the limit is exceeded.
    void add(Rattandeck::PlacementDecision decision);

    /// JSON list of the decisions kept for `program`, oldest first.
    std::string toJson(const Rattandeck::ProgramId& program) const;

private:
    std::size_t limit;
    std::deque<Rattandeck::PlacementDecision> decisions;
};
