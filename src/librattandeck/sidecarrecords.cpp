#include "sidecarrecords.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // How much a record's state says about the fate of its turn.
    int certainty(RecordState state)
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

    bool saysMore(const TurnRecord& record, const TurnRecord& held)
    {
        if (certainty(record.state) != certainty(held.state))
            return certainty(record.state) > certainty(held.state);
        return record.attempt > held.attempt;
    }

    const TurnRecord* findRepeated(const ProgramRecords& program, const Order& order)
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

    // An idempotent call that has no outcome may run once more, under another attempt or as another request.
    bool mayRunAgain(const TurnRecord& record, const Order& order)
    {
        if (record.state == RecordState::NotRun)
            return order.attempt > record.attempt;
        if (!record.idempotent || !order.idempotent || record.state == RecordState::Finished)
            return false;
        const bool sameRequest = record.request == order.request;
        return order.attempt > record.attempt || (!sameRequest && record.state != RecordState::Started);
    }

    OrderJudgement judgeRepeat(const TurnRecord& record, const Order& order)
    {
        const bool sameRequest = record.request == order.request && record.key == order.key;
        if (sameRequest && record.state == RecordState::Started)
            return RepeatedStart { &record };
        if (record.turn == order.turn && mayRunAgain(record, order))
            return NewOrder {};
        if (!sameRequest)
            return RefusalReason::Conflict;
        return ReplayedOrder { &record };
    }

    // A sub-agent's records tell what it has spent of its root's budget.
    bool spendsForRoot(const ProgramRecords& program)
    {
        const ProgramHeader& header = program.header;
        return header.root.serial != 0 && header.root != header.id && !program.rootEnded;
    }

    // Keeps of an ended program only what is still needed.
    void dropEnded(ProgramRecords& program, bool rootEnded, TimePoint now)
    {
        program.rootEnded = rootEnded;
        program.lastTouched = now;
        if (program.ended && !spendsForRoot(program))
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

ProgramRecords& touchProgram(RecordStore& store, const ProgramHeader& header, TimePoint now)
{
    ProgramRecords& program = store.programs[header.id];
    program.header = header;
    program.lastTouched = now;
    return program;
}

void mergeRecord(RecordStore& store, const TurnRecord& record, TimePoint now)
{
    ProgramRecords& program = store.programs[record.program];
    program.header.id = record.program;
    program.lastTouched = now;
    const auto [held, isNew] = program.turns.try_emplace(record.turn, record);
    if (!isNew && saysMore(record, held->second))
        held->second = record;
}

void endProgram(RecordStore& store, const ProgramId& id, TimePoint now)
{
    for (auto& [other, program] : store.programs) {
        if (other != id && program.header.root == id)
            dropEnded(program, true, now);
    }
    const auto found = store.programs.find(id);
    if (found == store.programs.end())
        return;
    found->second.ended = true;
    dropEnded(found->second, found->second.rootEnded, now);
}

void expireRecords(RecordStore& store, Milliseconds keyRetention, TimePoint now)
{
    std::erase_if(store.programs, [&](const auto& item) {
        const ProgramRecords& program = item.second;
        const bool keysOnly = program.ended && !spendsForRoot(program);
        const Duration retention = keysOnly ? Duration(keyRetention) : Duration(recordRetention);
        return now - program.lastTouched >= retention;
    });
}

OrderJudgement judgeOrder(const RecordStore& store, const Order& order)
{
    const auto found = store.programs.find(order.program.id);
    if (found == store.programs.end())
        return NewOrder {};
    const ProgramRecords& program = found->second;
    if (const TurnRecord* record = findRepeated(program, order)) {
        const OrderJudgement judgement = judgeRepeat(*record, order);
        if (!std::holds_alternative<NewOrder>(judgement))
            return judgement;
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
