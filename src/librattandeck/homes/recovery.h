#pragma once

#include "home.h"

#include "Rattandeck/messages.h"

#include <map>
#include <vector>

/// State recovery of a shard: the new home queries all members for the records they hold and merges their answers.
namespace Rattandeck {

struct ReceivedAnswer {
    ProcessIndex process;
    NodeId node;
    RecoveryAnswer answer;
};

/// A call that a sidecar still runs and whose result it will send to the new home.
struct AdoptedCall {
    ProcessIndex process;
    NodeId sidecar;
    OrderId order;
    TurnRecord record;
};

struct MergedProgram {
    HomeProgram program;
    std::optional<AdoptedCall> running;
};

struct MergedShard {
    std::map<ProgramId, MergedProgram> programs;
};

/// Merges the answers by program and turn. A finished record takes precedence over others; between two finished records
/// the digest chain decides. A started call that no member runs becomes `Unknown`. It is omitted instead, so that it
/// can run again, if it is idempotent, no later turn exists and the query was `complete`, that is, no member's answer
/// and no member's state is missing.
MergedShard mergeAnswers(const std::vector<ReceivedAnswer>& answers, bool complete);

}
