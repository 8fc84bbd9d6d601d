#pragma once

#include "Rattandeck/messages.h"

#include <map>
#include <unordered_map>
#include <variant>

/// Records that a sidecar holds: those of calls that its endpoint ran, and copies that homes have sent to it.
namespace Rattandeck {

struct ProgramRecords {
    ProgramHeader header;
    std::map<TurnNumber, TurnRecord> turns;
    bool ended = false;
    /// For a sub-agent: the root program, whose budget it draws on, has ended as well.
    bool rootEnded = false;
    TimePoint lastUpdate {};
};

struct RecordStore {
    std::unordered_map<ProgramId, ProgramRecords> programs;
};

/// Records of a program are dropped when they have not been updated by a call or by a message of a home for this long.
constexpr std::chrono::hours recordRetention { 24 };

std::size_t recordCount(const RecordStore& store);
TurnRecord* findTurn(RecordStore& store, const ProgramId& program, TurnNumber turn);
/// Adds the program, or updates its header.
ProgramRecords& upsertProgram(RecordStore& store, const ProgramHeader& header, TimePoint now);
/// Stores a record, unless the one held for the same turn has a more certain outcome, or the same outcome and at least
/// the same attempt number.
void mergeRecord(RecordStore& store, const TurnRecord& record, TimePoint now);
/// Drops the records of the program and of its ended sub-agents, except records with an idempotency key, which
/// `expireRecords` drops later. Records of a sub-agent are kept until its root program ends.
void endProgram(RecordStore& store, const ProgramId& program, TimePoint now);
void expireRecords(RecordStore& store, Milliseconds keyRetention, TimePoint now);

/// No record prevents the order from running.
struct NewOrder { };
/// The order is a duplicate and is answered with the record.
struct ReplayedOrder {
    const TurnRecord* record;
};
/// The order is a duplicate of one whose record is still `Started`.
struct PendingDuplicate {
    const TurnRecord* record;
};
using OrderClass = std::variant<NewOrder, ReplayedOrder, PendingDuplicate, RefusalReason>;

/// Checks an order against the records: duplicates, order of the turns, and head of the history.
OrderClass classifyOrder(const RecordStore& store, const Order& order);

}
