#pragma once

#include "Rattandeck/messages.h"

#include <map>
#include <unordered_map>
#include <variant>

/// Records that a sidecar holds: of calls that its endpoint ran, and copies for homes.
namespace Rattandeck {

struct ProgramRecords {
    ProgramHeader header;
    std::map<TurnNumber, TurnRecord> turns;
    bool ended = false;
    /// For a sub-agent: the program whose budget it draws on has ended, too.
    bool rootEnded = false;
    TimePoint lastTouched {};
};

struct RecordStore {
    std::unordered_map<ProgramId, ProgramRecords> programs;
};

/// Records of a program that no home has spoken of for so long are dropped.
constexpr std::chrono::hours recordRetention { 24 };

std::size_t recordCount(const RecordStore& store);
TurnRecord* findTurn(RecordStore& store, const ProgramId& program, TurnNumber turn);
/// Makes the program known, or completes what is known of it.
ProgramRecords& touchProgram(RecordStore& store, const ProgramHeader& header, TimePoint now);
/// Takes a record in unless the one held for its turn says more.
void mergeRecord(RecordStore& store, const TurnRecord& record, TimePoint now);
/// Drops the program's records, and those of its ended sub-agents, but for those with a key, which `expireRecords`
/// drops later. A sub-agent's records stay until its root ends.
void endProgram(RecordStore& store, const ProgramId& program, TimePoint now);
void expireRecords(RecordStore& store, Milliseconds keyRetention, TimePoint now);

/// The order may run as far as records go.
struct NewOrder { };
/// A record answers the order.
struct ReplayedOrder {
    const TurnRecord* record;
};
/// The order repeats one whose record is still `Started`.
struct RepeatedStart {
    const TurnRecord* record;
};
using OrderJudgement = std::variant<NewOrder, ReplayedOrder, RepeatedStart, RefusalReason>;

/// Weighs an order against the records: repeats, order of turns, and head of the history.
OrderJudgement judgeOrder(const RecordStore& store, const Order& order);

}
