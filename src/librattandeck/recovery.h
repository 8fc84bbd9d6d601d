#pragma once

#include "home.h"

#include "Rattandeck/messages.h"

#include <map>
#include <vector>

/// Merging what sidecars and entries tell of a shard.
namespace Rattandeck {

struct ReceivedAnswer {
    ProcessIndex process;
    NodeId node;
    RecoveryAnswer answer;
};

/// A call that a sidecar still runs; its end will come to the new home.
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

/// Merges the answers: by program and turn, a finished record goes before others, and the chain decides between two of
/// them. Started calls that nobody runs become `Unknown`, or are left out when they are idempotent and the census was
/// complete, so that they can run again.
MergedShard mergeAnswers(const std::vector<ReceivedAnswer>& answers, bool complete);

}
