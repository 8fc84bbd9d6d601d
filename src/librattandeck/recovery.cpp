#include "recovery.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Two records of one turn are the same fact when these agree.
    bool sameFact(const TurnRecord& a, const TurnRecord& b)
    {
        return a.state == b.state && a.attempt == b.attempt && a.headAfter == b.headAfter && a.request == b.request;
    }

    struct Gathered {
        std::optional<ProgramHeader> header;
        std::vector<ProcessIndex> headerHolders;
        bool ended = false;
        std::map<TurnNumber, std::vector<HeldRecord>> candidates;
        std::vector<AdoptedCall> running;
    };

    void gatherRecord(Gathered& gathered, const TurnRecord& record, ProcessIndex process)
    {
        if (!hasValidDigest(record))
            return;
        std::vector<HeldRecord>& candidates = gathered.candidates[record.turn];
        const auto same = std::find_if(candidates.begin(), candidates.end(),
            [&](const HeldRecord& candidate) { return sameFact(candidate.record, record); });
        if (same != candidates.end())
            same->holders.push_back(process);
        else
            candidates.push_back({ record, { process }, false, {} });
    }

    std::map<ProgramId, Gathered> gather(const std::vector<ReceivedAnswer>& answers)
    {
        std::map<ProgramId, Gathered> programs;
        for (const ReceivedAnswer& heard : answers) {
            for (const ProgramHeader& header : heard.answer.programs) {
                Gathered& gathered = programs[header.id];
                gathered.header = header;
                gathered.headerHolders.push_back(heard.process);
            }
            for (const ProgramId& id : heard.answer.endedPrograms)
                programs[id].ended = true;
            for (const TurnRecord& record : heard.answer.records)
                gatherRecord(programs[record.program], record, heard.process);
            for (const RunningOrder& running : heard.answer.running) {
                Gathered& gathered = programs[running.record.program];
                gathered.running.push_back({ heard.process, heard.node, running.order, running.record });
                // Its turn counts as taken even if the record was not among the others.
                gatherRecord(gathered, running.record, heard.process);
            }
        }
        return programs;
    }

    int certainty(RecordState state)
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

    bool isOpen(const HeldRecord& held) { return held.record.state == RecordState::Started; }

    bool extends(const HeldRecord& held, const Digest& head)
    {
        return held.record.state == RecordState::Finished && held.record.headBefore == head;
    }

    // The record that stands for a turn, given what the next turn was taken on (null: it is the last one).
    HeldRecord chooseRecord(const std::vector<HeldRecord>& candidates, const Digest& head, const Digest* nextHead)
    {
        const HeldRecord* best = nullptr;
        for (const HeldRecord& candidate : candidates) {
            const bool onChain = extends(candidate, head) && (!nextHead || candidate.record.headAfter == *nextHead);
            const bool better = !best || certainty(candidate.record.state) > certainty(best->record.state)
                || (candidate.record.state == best->record.state && candidate.record.attempt > best->record.attempt);
            if (onChain && nextHead) {
                HeldRecord chosen = candidate;
                chosen.onChain = true;
                return chosen;
            }
            if (better)
                best = &candidate;
        }
        HeldRecord chosen = *best;
        chosen.onChain = !nextHead && extends(chosen, head);
        return chosen;
    }

    const Digest* headOfNext(const std::map<TurnNumber, std::vector<HeldRecord>>& candidates, TurnNumber turn)
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
        // Every turn is taken on the chain as it was then.
        if (record.headBefore != program.head)
            program.damaged = true;
        // What the next turn was taken on must be either this turn's end or the head before it.
        const Digest& reached = chosen.onChain ? record.headAfter : program.head;
        if (nextHead && *nextHead != reached)
            program.damaged = true;
        if (!nextHead && record.state == RecordState::Finished && !chosen.onChain)
            program.damaged = true;

        const bool runs = merged.running && merged.running->record.turn == record.turn;
        if (isOpen(chosen) && !nextHead) {
            if (runs)
                return;
            if (record.idempotent && complete) {
                for (const HeldRecord& attempt : candidates)
                    program.unresolvedAttempts.push_back(attempt.record);
                return;
            }
        }
        if (isOpen(chosen))
            chosen.record.state = RecordState::Unknown;
        chosen.onChain = chosen.onChain && !program.damaged;
        for (const HeldRecord& other : candidates) {
            const bool mayHaveRun = other.record.state != RecordState::NotRun;
            if (mayHaveRun && other.record.attempt != chosen.record.attempt)
                chosen.otherAttempts.push_back(other.record);
        }
        addRecord(program, std::move(chosen));
    }

    // Nobody can order a sidecar that runs an older turn to stop; only the highest one can be the current call.
    std::optional<AdoptedCall> lastRunning(const Gathered& gathered)
    {
        std::optional<AdoptedCall> last;
        for (const AdoptedCall& running : gathered.running) {
            const bool isLast = gathered.candidates.upper_bound(running.record.turn) == gathered.candidates.end();
            if (isLast)
                last = running;
        }
        return last;
    }

    ProgramHeader headerFrom(const ProgramId& id, const Gathered& gathered)
    {
        if (gathered.header)
            return *gathered.header;
        ProgramHeader header;
        header.id = id;
        header.root = id;
        return header;
    }

}

MergedShard mergeAnswers(const std::vector<ReceivedAnswer>& answers, bool complete)
{
    MergedShard shard;
    for (auto& [id, gathered] : gather(answers)) {
        MergedProgram& merged = shard.programs[id];
        merged.program.header = headerFrom(id, gathered);
        merged.program.headerHolders = gathered.headerHolders;
        merged.program.ended = gathered.ended;
        merged.program.damaged = !gathered.header;
        merged.running = lastRunning(gathered);
        for (const auto& [turn, candidates] : gathered.candidates)
            mergeTurn(merged, candidates, headOfNext(gathered.candidates, turn), complete);
        const auto& candidates = gathered.candidates;
        const bool answered = merged.running && merged.program.records.contains(merged.running->record.turn);
        if (answered || candidates.empty())
            merged.running.reset();
    }
    return shard;
}

}
