#include "recovery.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Whether two records of the same turn describe the same attempt with the same outcome.
    bool haveSameOutcome(const TurnRecord& a, const TurnRecord& b)
    {
        return a.state == b.state && a.attempt == b.attempt && a.headAfter == b.headAfter && a.request == b.request;
    }

    struct ReportedProgram {
        std::optional<ProgramHeader> header;
        std::vector<ProcessIndex> headerHolders;
        bool ended = false;
        std::map<TurnNumber, std::vector<HeldRecord>> candidates;
        std::vector<AdoptedCall> running;
    };

    void addReportedRecord(ReportedProgram& reported, const TurnRecord& record, ProcessIndex process)
    {
        if (!hasValidDigest(record))
            return;
        std::vector<HeldRecord>& candidates = reported.candidates[record.turn];
        const auto same = std::find_if(candidates.begin(), candidates.end(),
            [&](const HeldRecord& candidate) { return haveSameOutcome(candidate.record, record); });
        if (same != candidates.end())
            same->holders.push_back(process);
        else
            candidates.push_back({ record, { process }, false, {} });
    }

    std::map<ProgramId, ReportedProgram> groupByProgram(const std::vector<ReceivedAnswer>& answers)
    {
        std::map<ProgramId, ReportedProgram> programs;
        for (const ReceivedAnswer& received : answers) {
            for (const ProgramHeader& header : received.answer.programs) {
                ReportedProgram& reported = programs[header.id];
                reported.header = header;
                reported.headerHolders.push_back(received.process);
            }
            for (const ProgramId& id : received.answer.endedPrograms)
                programs[id].ended = true;
            for (const TurnRecord& record : received.answer.records)
                addReportedRecord(programs[record.program], record, received.process);
            for (const RunningOrder& running : received.answer.running) {
                ReportedProgram& reported = programs[running.record.program];
                reported.running.push_back({ received.process, received.node, running.order, running.record });
                // The turn is in use even if the member's list of records does not include it.
                addReportedRecord(reported, running.record, received.process);
            }
        }
        return programs;
    }

    int statePrecedence(RecordState state)
    {
        switch (state) {
        case RecordState::Finished:
            return 4;
        case RecordState::Failed:
            return 3;
        case RecordState::Unknown:
            return 2;
        case RecordState::Started:
            return 1;
        case RecordState::NotRun:
            return 0;
        }
        return 0;
    }

    bool isUnresolved(const HeldRecord& held) { return held.record.state == RecordState::Started; }

    bool extendsChain(const HeldRecord& held, const Digest& head)
    {
        return held.record.state == RecordState::Finished && held.record.headBefore == head;
    }

    // Chooses the record of a turn. `nextHead` is the head before the next turn; null when this turn is the last one.
    HeldRecord chooseRecord(const std::vector<HeldRecord>& candidates, const Digest& head, const Digest* nextHead)
    {
        const HeldRecord* best = nullptr;
        for (const HeldRecord& candidate : candidates) {
            const bool isOnChain
                = extendsChain(candidate, head) && (!nextHead || candidate.record.headAfter == *nextHead);
            const bool better = !best || statePrecedence(candidate.record.state) > statePrecedence(best->record.state)
                || (candidate.record.state == best->record.state && candidate.record.attempt > best->record.attempt);
            if (isOnChain && nextHead) {
                HeldRecord chosen = candidate;
                chosen.isOnChain = true;
                return chosen;
            }
            if (better)
                best = &candidate;
        }
        HeldRecord chosen = *best;
        chosen.isOnChain = !nextHead && extendsChain(chosen, head);
        return chosen;
    }

    const Digest* headBeforeNextTurn(const std::map<TurnNumber, std::vector<HeldRecord>>& candidates, TurnNumber turn)
    {
        const auto next = candidates.upper_bound(turn);
        if (next == candidates.end())
            return nullptr;
        return &next->second.front().record.headBefore;
    }

    void mergeTurn(
        MergedProgram& merged, const std::vector<HeldRecord>& candidates, const Digest* nextHead, bool complete)
    {
        HomeProgram& program = merged.program;
        HeldRecord chosen = chooseRecord(candidates, program.head, nextHead);
        const TurnRecord& record = chosen.record;
        if (record.state == RecordState::NotRun && !nextHead)
            return;
        // The record of a turn contains the head that the chain had when the turn started.
        if (record.headBefore != program.head)
            program.isDamaged = true;
        // The head before the next turn must be the head after this turn, or the head before it when this turn is not
        // part of the chain.
        const Digest& headAfterTurn = chosen.isOnChain ? record.headAfter : program.head;
        if (nextHead && *nextHead != headAfterTurn)
            program.isDamaged = true;
        if (!nextHead && record.state == RecordState::Finished && !chosen.isOnChain)
            program.isDamaged = true;

        const bool isRunning = merged.running && merged.running->record.turn == record.turn;
        if (isUnresolved(chosen) && !nextHead) {
            if (isRunning)
                return;
            if (record.idempotent && complete) {
                for (const HeldRecord& attempt : candidates)
                    program.unresolvedAttempts.push_back(attempt.record);
                return;
            }
        }
        if (isUnresolved(chosen))
            chosen.record.state = RecordState::Unknown;
        chosen.isOnChain = chosen.isOnChain && !program.isDamaged;
        for (const HeldRecord& other : candidates) {
            const bool mayHaveRun = other.record.state != RecordState::NotRun;
            if (mayHaveRun && other.record.attempt != chosen.record.attempt)
                chosen.otherAttempts.push_back(other.record);
        }
        addRecord(program, std::move(chosen));
    }

    // A sidecar may still run a call of an older turn, which can't be stopped. Only a call of the highest turn can be
    // the program's current one.
    std::optional<AdoptedCall> currentRunningCall(const ReportedProgram& reported)
    {
        std::optional<AdoptedCall> last;
        for (const AdoptedCall& running : reported.running) {
            const bool isLast = reported.candidates.upper_bound(running.record.turn) == reported.candidates.end();
            if (isLast)
                last = running;
        }
        return last;
    }

    ProgramHeader headerOf(const ProgramId& id, const ReportedProgram& reported)
    {
        if (reported.header)
            return *reported.header;
        ProgramHeader header;
        header.id = id;
        header.root = id;
        return header;
    }

}

MergedShard mergeAnswers(const std::vector<ReceivedAnswer>& answers, bool complete)
{
    MergedShard shard;
    for (auto& [id, reported] : groupByProgram(answers)) {
        MergedProgram& merged = shard.programs[id];
        merged.program.header = headerOf(id, reported);
        merged.program.headerHolders = reported.headerHolders;
        merged.program.ended = reported.ended;
        merged.program.isDamaged = !reported.header;
        merged.running = currentRunningCall(reported);
        for (const auto& [turn, candidates] : reported.candidates)
            mergeTurn(merged, candidates, headBeforeNextTurn(reported.candidates, turn), complete);
        const auto& candidates = reported.candidates;
        const bool hasRecord = merged.running && merged.program.records.contains(merged.running->record.turn);
        if (hasRecord || candidates.empty())
            merged.running.reset();
    }
    return shard;
}

}
