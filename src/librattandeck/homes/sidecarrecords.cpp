#include "sidecarrecords.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Rank of a record's state by the certainty of the turn's outcome.
    int outcomeRank(RecordState state)
    {
        switch (state) {
        case RecordState::Started:
            return 0;
        case RecordState::NotRun:
            return 1;
        case RecordState::Unknown:
            return 2;
        case RecordState::Failed:
            return 3;
        case RecordState::Finished:
            return 4;
        }
        return 0;
    }

    bool supersedes(const TurnRecord& record, const TurnRecord& held)
    {
        if (outcomeRank(record.state) != outcomeRank(held.state))
            return outcomeRank(record.state) > outcomeRank(held.state);
        return record.attempt > held.attempt;
    }

    const TurnRecord* findDuplicate(const ProgramRecords& program, const Order& order)
    {
        const auto turn = program.turns.find(order.turn);
        if (turn != program.turns.end())
            return &turn->second;
        if (order.key.value.empty())
            return nullptr;
        for (const auto& [number, record] : program.turns) {
            if (record.key == order.key)
                return &record;
        }
        return nullptr;
    }

    // An idempotent call without a final outcome may run once more, as a later attempt or as another request.
    bool mayRunAgain(const TurnRecord& record, const Order& order)
    {
        if (record.state == RecordState::NotRun)
            return order.attempt > record.attempt;
        if (!record.idempotent || !order.idempotent || record.state == RecordState::Finished)
            return false;
        const bool sameRequest = record.request == order.request;
        return order.attempt > record.attempt || (!sameRequest && record.state != RecordState::Started);
    }

    OrderClass classifyDuplicate(const TurnRecord& record, const Order& order)
    {
        const bool sameRequest = record.request == order.request && record.key == order.key;
        if (sameRequest && record.state == RecordState::Started)
            return PendingDuplicate { &record };
        if (record.turn == order.turn && mayRunAgain(record, order))
            return NewOrder {};
        if (!sameRequest)
            return RefusalReason::Conflict;
        return ReplayedOrder { &record };
    }

    // The records of a sub-agent show how many tokens it has charged to the budget of its root program.
    bool drawsOnRootBudget(const ProgramRecords& program)
    {
        const ProgramHeader& header = program.header;
        return header.root.serial != 0 && header.root != header.id && !program.rootEnded;
    }

    // Drops records of an ended program that are no longer needed.
    void pruneEndedProgram(ProgramRecords& program, bool rootEnded, TimePoint now)
    {
        program.rootEnded = rootEnded;
        program.lastUpdate = now;
        if (program.ended && !drawsOnRootBudget(program))
            std::erase_if(program.turns, [](const auto& turn) { return turn.second.key.value.empty(); });
    }

    bool continuesChain(const ProgramRecords& program, const Order& order)
    {
        const auto before = program.turns.find(TurnNumber(order.turn.value - 1));
        if (before == program.turns.end() || before->second.state != RecordState::Finished)
            return true;
        return before->second.headAfter == order.headBefore;
    }

}

std::size_t recordCount(const RecordStore& store)
{
    std::size_t count = 0;
    for (const auto& [id, program] : store.programs)
        count += program.turns.size();
    return count;
}

TurnRecord* findTurn(RecordStore& store, const ProgramId& program, TurnNumber turn)
{
    const auto found = store.programs.find(program);
    if (found == store.programs.end())
        return nullptr;
    const auto record = found->second.turns.find(turn);
    return record == found->second.turns.end() ? nullptr : &record->second;
}

ProgramRecords& upsertProgram(RecordStore& store, const ProgramHeader& header, TimePoint now)
{
    ProgramRecords& program = store.programs[header.id];
    program.header = header;
    program.lastUpdate = now;
    return program;
}

void mergeRecord(RecordStore& store, const TurnRecord& record, TimePoint now)
{
    ProgramRecords& program = store.programs[record.program];
    program.header.id = record.program;
    program.lastUpdate = now;
    const auto [held, isNew] = program.turns.try_emplace(record.turn, record);
    if (!isNew && supersedes(record, held->second))
        held->second = record;
}

void endProgram(RecordStore& store, const ProgramId& id, TimePoint now)
{
    for (auto& [other, program] : store.programs) {
        if (other != id && program.header.root == id)
            pruneEndedProgram(program, true, now);
    }
    const auto found = store.programs.find(id);
    if (found == store.programs.end())
        return;
    found->second.ended = true;
    pruneEndedProgram(found->second, found->second.rootEnded, now);
}

void expireRecords(RecordStore& store, Milliseconds keyRetention, TimePoint now)
{
    std::erase_if(store.programs, [&](const auto& item) {
        const ProgramRecords& program = item.second;
        const bool holdsOnlyKeyedRecords = program.ended && !drawsOnRootBudget(program);
        const Duration retention = holdsOnlyKeyedRecords ? Duration(keyRetention) : Duration(recordRetention);
        return now - program.lastUpdate >= retention;
    });
}

OrderClass classifyOrder(const RecordStore& store, const Order& order)
{
    const auto found = store.programs.find(order.program.id);
    if (found == store.programs.end())
        return NewOrder {};
    const ProgramRecords& program = found->second;
    if (const TurnRecord* record = findDuplicate(program, order)) {
        const OrderClass orderClass = classifyDuplicate(*record, order);
        if (!std::holds_alternative<NewOrder>(orderClass))
            return orderClass;
    } else if (!program.turns.empty() && program.turns.rbegin()->first >= order.turn) {
        return RefusalReason::Conflict;
    }
    if (program.ended)
        return RefusalReason::Conflict;
    if (!continuesChain(program, order))
        return RefusalReason::HistoryMismatch;
    return NewOrder {};
}

}
