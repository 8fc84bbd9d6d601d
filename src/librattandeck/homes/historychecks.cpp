#include "history.h"
#include "Rattandeck/digest.h"

#include <algorithm>
#include <map>
#include <optional>

namespace Rattandeck {

namespace {

    /// All events of one request in the history.
    struct RequestRecord {
        RequestSent sent;
        std::size_t sentEvent = 0;
        TimePoint sentAt {};
        std::optional<std::size_t> finalEvent;
        TimePoint finalAt {};
        std::optional<AnswerDone> done;
        std::optional<Problem> problem;
        std::string streamed;
        bool abandoned = false;
    };

    struct RunRecord {
        RunStarted started;
        std::size_t startEvent = 0;
        TimePoint startedAt {};
        std::optional<std::size_t> endEvent;
        std::optional<RunEnded> ended;
    };

    /// Events of the history, indexed by request, run and call.
    struct Index {
        std::map<RequestId, RequestRecord> requests;
        std::map<RunId, RunRecord> runs;
        std::map<CallId, std::vector<RequestId>> requestsOfCall;
        std::map<CallId, std::vector<RunId>> runsOfCall;
        std::map<CallId, ProgramId> programOfCall;
        std::vector<TimePoint> deaths;
        /// Deaths of processes, and the starts of partitions and pauses.
        std::vector<TimePoint> losses;
    };

    void addEvent(Index& index, const RequestEvent& event, std::size_t position, TimePoint at)
    {
        RequestRecord& record = index.requests[event.request];
        if (const auto* tokens = std::get_if<AnswerTokens>(&event.event)) {
            record.streamed += tokens->text;
            return;
        }
        if (record.finalEvent)
            return;
        record.finalEvent = position;
        record.finalAt = at;
        if (const auto* done = std::get_if<AnswerDone>(&event.event))
            record.done = *done;
        if (const auto* problem = std::get_if<Problem>(&event.event))
            record.problem = *problem;
    }

    Index indexOf(const History& history)
    {
        Index index;
        for (std::size_t i = 0; i < history.events.size(); ++i) {
            const HistoryEvent& event = history.events[i];
            if (const auto* sent = std::get_if<RequestSent>(&event.fact)) {
                RequestRecord& record = index.requests[sent->request];
                record.sent = *sent;
                record.sentEvent = i;
                record.sentAt = event.at;
                if (sent->call.value != 0) {
                    index.requestsOfCall[sent->call].push_back(sent->request);
                    index.programOfCall[sent->call] = sent->body.program;
                }
            }
            if (const auto* reply = std::get_if<RequestEvent>(&event.fact))
                addEvent(index, *reply, i, event.at);
            if (const auto* gone = std::get_if<RequestAbandoned>(&event.fact))
                index.requests[gone->request].abandoned = true;
            if (const auto* run = std::get_if<RunStarted>(&event.fact)) {
                index.runs[run->run] = { *run, i, event.at, {}, {} };
                index.runsOfCall[run->call].push_back(run->run);
            }
            if (const auto* run = std::get_if<RunEnded>(&event.fact)) {
                RunRecord& record = index.runs[run->run];
                record.endEvent = i;
                record.ended = *run;
            }
            if (std::holds_alternative<ProcessDied>(event.fact))
                index.deaths.push_back(event.at);
            if (std::holds_alternative<ProcessDied>(event.fact) || std::holds_alternative<DisturbanceBegan>(event.fact))
                index.losses.push_back(event.at);
        }
        return index;
    }

    bool isCall(const RequestRecord& record) { return record.sent.body.kind == CallKind::Call; }
    bool inProgram(const RequestRecord& record) { return isCall(record) && record.sent.body.program.serial != 0; }

    /// Returns the completed run of this call whose output is the answer, or null.
    const RunRecord* runAnswered(const Index& index, const RequestRecord& record)
    {
        const auto runs = index.runsOfCall.find(record.sent.call);
        if (!record.done || runs == index.runsOfCall.end())
            return nullptr;
        for (const RunId id : runs->second) {
            const RunRecord& run = index.runs.at(id);
            if (run.ended && run.ended->completed && run.ended->output == record.done->output)
                return &run;
        }
        return nullptr;
    }

    /// Returns the requests with an answer, by program and turn number.
    std::map<ProgramId, std::map<TurnNumber, std::vector<const RequestRecord*>>> answeredTurns(const Index& index)
    {
        std::map<ProgramId, std::map<TurnNumber, std::vector<const RequestRecord*>>> turns;
        for (const auto& [id, record] : index.requests) {
            if (inProgram(record) && record.done)
                turns[record.sent.body.program][record.done->turn].push_back(&record);
        }
        return turns;
    }

}

// Order ------------------------------------------------------------------------------------------------------------

namespace {

    /// Returns whether all requests of `call` in the whole history had received their final answers before `later` was
    /// sent. A call that is retried after `later` was sent is therefore not settled.
    bool settledBefore(const Index& index, CallId call, const RequestRecord& later)
    {
        const auto settled = [&](RequestId id) {
            const RequestRecord& record = index.requests.at(id);
            return record.finalEvent && *record.finalEvent < later.sentEvent;
        };
        const auto requests = index.requestsOfCall.find(call);
        return requests != index.requestsOfCall.end() && std::ranges::all_of(requests->second, settled);
    }

}

PromiseCheck checkOrder(const History& history, const HistoryLimits&)
{
    PromiseCheck check { Promise::Order };
    const Index index = indexOf(history);
    std::map<ProgramId, std::vector<const RunRecord*>> started;
    std::map<std::size_t, const RunRecord*> inOrder;
    for (const auto& [id, run] : index.runs)
        inOrder[run.startEvent] = &run;
    for (const auto& [event, run] : inOrder) {
        if (run->started.program.openedIn.value == 0)
            continue;
        std::vector<const RunRecord*>& before = started[run->started.program];
        for (const RunRecord* other : before) {
            const auto requests = index.requestsOfCall.find(other->started.call);
            if (other->started.call == run->started.call || requests == index.requestsOfCall.end())
                continue;
            ++check.checked;
            if (settledBefore(index, run->started.call, index.requests.at(requests->second.front())))
                check.violations.push_back({ Promise::Order, ViolationKind::StartedOutOfOrder, event });
        }
        before.push_back(run);
    }
    for (const auto& [program, turns] : answeredTurns(index)) {
        const RunRecord* previous = nullptr;
        for (const auto& [turn, records] : turns) {
            const RunRecord* run = runAnswered(index, *records.front());
            if (run && previous) {
                ++check.checked;
                if (run->startEvent < previous->startEvent)
                    check.violations.push_back({ Promise::Order, ViolationKind::StartedOutOfOrder, run->startEvent });
                else if (!previous->endEvent || run->startEvent < *previous->endEvent)
                    check.violations.push_back({ Promise::Order, ViolationKind::Overlapped, run->startEvent });
            }
            previous = run ? run : previous;
        }
    }
    return check;
}

// History ----------------------------------------------------------------------------------------------------------

namespace {

    void checkChain(PromiseCheck& check, const std::map<TurnNumber, std::vector<const RequestRecord*>>& turns)
    {
        const RequestRecord* previous = nullptr;
        for (const auto& [turn, records] : turns) {
            const AnswerDone& done = *records.front()->done;
            for (const RequestRecord* record : records) {
                const bool same = record->done->head == done.head && record->done->output == done.output;
                if (!same || record->sent.body.input != records.front()->sent.body.input)
                    check.violations.push_back(
                        { Promise::OwnHistory, ViolationKind::TwoAnswersForATurn, *record->finalEvent });
            }
            const bool adjacent = turn.value == 1 || (previous && previous->done->turn.value + 1 == turn.value);
            if (adjacent) {
                ++check.checked;
                const Digest before = turn.value == 1 ? Digest() : previous->done->head;
                if (done.head != chainDigest(before, turn, records.front()->sent.body.input, done.output))
                    check.violations.push_back(
                        { Promise::OwnHistory, ViolationKind::BrokenChain, *records.front()->finalEvent });
            }
            previous = records.front();
        }
    }

    void checkPrompt(PromiseCheck& check, const Index& index, const RunRecord& run,
        const std::map<TurnNumber, std::vector<const RequestRecord*>>& turns)
    {
        for (const CallId call : callsIn(run.started.prompt)) {
            ++check.checked;
            const auto program = index.programOfCall.find(call);
            const bool own = run.started.withHistory && program != index.programOfCall.end()
                && program->second == run.started.program;
            if (!own && call != run.started.call)
                check.violations.push_back({ Promise::OwnHistory, ViolationKind::ForeignHistory, run.startEvent });
        }
        const auto requests = index.requestsOfCall.find(run.started.call);
        if (!run.started.withHistory || requests == index.requestsOfCall.end())
            return;
        // A prompt holds only the turns of its own service. Answers of other services, such as tools, reach it only
        // through the caller's inputs.
        const RequestRecord& asked = index.requests.at(requests->second.front());
        for (const auto& [turn, records] : turns) {
            const RequestRecord& record = *records.front();
            const bool sameService = record.sent.body.service == asked.sent.body.service;
            if (record.sent.call == run.started.call || *record.finalEvent > asked.sentEvent || !sameService)
                continue;
            ++check.checked;
            const bool whole = run.started.prompt.find(record.sent.body.input) != std::string::npos
                && run.started.prompt.find(record.done->output) != std::string::npos;
            if (!whole)
                check.violations.push_back({ Promise::OwnHistory, ViolationKind::TurnMissing, run.startEvent });
        }
    }

    /// Returns whether a process died before `at`, and another loss (a death, or the start of a partition or pause)
    /// occurred before `at` and within `limits.copying` of this death. The processes of the losses are not compared.
    bool doubleFailureBefore(const Index& index, TimePoint at, const HistoryLimits& limits)
    {
        for (const TimePoint death : index.deaths) {
            const auto isNear = [&](TimePoint loss) {
                return loss <= at && loss > death - limits.copying && loss <= death + limits.copying;
            };
            if (death <= at && std::ranges::count_if(index.losses, isNear) > 1)
                return true;
        }
        return false;
    }

    void checkForgotten(PromiseCheck& check, const Index& index, const HistoryLimits& limits)
    {
        std::map<ProgramId, std::size_t> opened;
        for (const auto& [id, record] : index.requests) {
            if (record.sent.body.kind == CallKind::OpenProgram && record.done)
                opened[record.done->program] = *record.finalEvent;
        }
        for (const auto& [id, record] : index.requests) {
            const auto known = opened.find(record.sent.body.program);
            if (!record.finalEvent || known == opened.end() || known->second > record.sentEvent)
                continue;
            ++check.checked;
            const bool forgotten = record.problem
                && (record.problem->kind == ProblemKind::UnknownProgram
                    || record.problem->kind == ProblemKind::HistoryLost);
            if (!forgotten)
                continue;
            if (doubleFailureBefore(index, record.finalAt, limits))
                ++check.excused;
            else
                check.violations.push_back(
                    { Promise::OwnHistory, ViolationKind::HistoryForgotten, *record.finalEvent });
        }
    }

}

PromiseCheck checkOwnHistory(const History& history, const HistoryLimits& limits)
{
    PromiseCheck check { Promise::OwnHistory };
    const Index index = indexOf(history);
    const auto turns = answeredTurns(index);
    for (const auto& [program, answered] : turns)
        checkChain(check, answered);
    for (const auto& [id, run] : index.runs) {
        const auto answered = turns.find(run.started.program);
        checkPrompt(check, index, run, answered == turns.end() ? decltype(answered->second) {} : answered->second);
    }
    checkForgotten(check, index, limits);
    return check;
}

// Budget -----------------------------------------------------------------------------------------------------------

PromiseCheck checkBudget(const History& history, const HistoryLimits&)
{
    PromiseCheck check { Promise::Budget };
    const Index index = indexOf(history);
    std::map<ProgramId, ProgramId> parents;
    std::map<ProgramId, std::int64_t> budgets;
    for (const auto& [id, record] : index.requests) {
        if (record.sent.body.kind != CallKind::OpenProgram || !record.done)
            continue;
        const bool subAgent = record.sent.body.program.serial != 0;
        if (subAgent)
            parents[record.done->program] = record.sent.body.program;
        else
            budgets[record.done->program] = record.sent.body.budget.value;
    }
    std::map<ProgramId, std::int64_t> spent;
    for (std::size_t i = 0; i < history.events.size(); ++i) {
        std::int64_t tokens = 0;
        ProgramId program;
        if (const auto* run = std::get_if<RunStarted>(&history.events[i].fact)) {
            program = run->program;
            tokens = run->inputTokens.value;
        } else if (const auto* end = std::get_if<RunEnded>(&history.events[i].fact)) {
            program = index.runs.at(end->run).started.program;
            tokens = end->outputTokens.value;
        } else {
            continue;
        }
        for (auto parent = parents.find(program); parent != parents.end(); parent = parents.find(program))
            program = parent->second;
        const auto budget = budgets.find(program);
        if (budget == budgets.end())
            continue;
        ++check.checked;
        spent[program] += tokens;
        if (spent[program] > budget->second)
            check.violations.push_back({ Promise::Budget, ViolationKind::BudgetExceeded, i });
    }
    return check;
}

// Engine memory ----------------------------------------------------------------------------------------------------

PromiseCheck checkEngineMemory(const History& history, const HistoryLimits& limits)
{
    PromiseCheck check { Promise::EngineMemory };
    const Index index = indexOf(history);
    std::map<ProgramId, TimePoint> ended;
    for (const auto& [id, record] : index.requests) {
        if (record.sent.body.kind == CallKind::EndProgram && record.done)
            ended.try_emplace(record.sent.body.program, record.finalAt);
    }
    using Place = std::pair<NodeId, ProgramId>;
    std::map<Place, TimePoint> held;
    // A sidecar that is paused, partitioned or dead cannot free prefixes, so its time limit starts when it is back.
    std::map<NodeId, TimePoint> backSince;
    const auto checkDeadline = [&](const Place& place, TimePoint heldFrom, TimePoint until, std::size_t event) {
        const auto end = ended.find(place.second);
        if (end == ended.end())
            return;
        const TimePoint from = std::max({ end->second, heldFrom, backSince[place.first] });
        const TimePoint due = from + limits.prefix;
        if (due > history.end)
            return;
        ++check.checked;
        if (until > due)
            check.violations.push_back({ Promise::EngineMemory, ViolationKind::PrefixNotFreed, event });
    };
    for (std::size_t i = 0; i < history.events.size(); ++i) {
        const HistoryEvent& event = history.events[i];
        if (const auto* back = std::get_if<DisturbanceEnded>(&event.fact))
            backSince[back->node] = event.at;
        if (const auto* started = std::get_if<ProcessStarted>(&event.fact))
            backSince[started->node] = event.at;
        if (const auto* hold = std::get_if<PrefixHeld>(&event.fact))
            held.try_emplace({ hold->endpoint, hold->program }, event.at);
        if (const auto* freed = std::get_if<PrefixFreed>(&event.fact)) {
            const auto found = held.find({ freed->endpoint, freed->program });
            if (found == held.end())
                continue;
            checkDeadline(found->first, found->second, event.at, i);
            held.erase(found);
        }
    }
    for (const auto& [place, from] : held)
        checkDeadline(place, from, history.end, history.events.size());
    return check;
}

// Answers ----------------------------------------------------------------------------------------------------------

PromiseCheck checkOwnAnswer(const History& history, const HistoryLimits& limits)
{
    PromiseCheck check { Promise::OwnAnswer };
    const Index index = indexOf(history);
    for (std::size_t i = 0; i < history.events.size(); ++i) {
        const auto* event = std::get_if<RequestEvent>(&history.events[i].fact);
        const std::optional<std::size_t> final = event ? index.requests.at(event->request).finalEvent : std::nullopt;
        const bool late = final && *final < i;
        if (late)
            check.violations.push_back({ Promise::OwnAnswer, ViolationKind::AnsweredTwice, i });
    }
    for (const auto& [id, record] : index.requests) {
        if (!record.finalEvent) {
            const TimePoint due = record.sentAt + record.sent.body.timeLeft + limits.answer;
            if (record.abandoned || due > history.end)
                continue;
            ++check.checked;
            check.violations.push_back({ Promise::OwnAnswer, ViolationKind::NotAnswered, record.sentEvent });
            continue;
        }
        if (!isCall(record))
            continue;
        ++check.checked;
        if (!record.done)
            continue;
        if (!runAnswered(index, record))
            check.violations.push_back({ Promise::OwnAnswer, ViolationKind::ForeignAnswer, *record.finalEvent });
        if (!record.streamed.empty() && record.streamed != record.done->output)
            check.violations.push_back({ Promise::OwnAnswer, ViolationKind::BrokenStream, *record.finalEvent });
    }
    return check;
}

// Runs -------------------------------------------------------------------------------------------------------------

PromiseCheck checkNotRun(const History& history, const HistoryLimits&)
{
    PromiseCheck check { Promise::NotRunIsTrue };
    const Index index = indexOf(history);
    const auto reportedNotRun
        = [](const RequestRecord& record) { return record.problem && record.problem->ran == Ran::No; };
    for (const auto& [id, record] : index.requests) {
        if (isCall(record) && reportedNotRun(record))
            ++check.checked;
    }
    for (const auto& [id, run] : index.runs) {
        const auto requests = index.requestsOfCall.find(run.started.call);
        if (requests == index.requestsOfCall.end())
            continue;
        // A run is a violation only if every request that can have caused it was answered with "not run".
        std::size_t candidates = 0;
        std::size_t refused = 0;
        for (const RequestId request : requests->second) {
            const RequestRecord& record = index.requests.at(request);
            if (record.sentEvent > run.startEvent)
                continue;
            ++candidates;
            refused += reportedNotRun(record) ? 1 : 0;
        }
        if (candidates > 0 && refused == candidates)
            check.violations.push_back({ Promise::NotRunIsTrue, ViolationKind::RanAfterAll, run.startEvent });
    }
    return check;
}

PromiseCheck checkAtMostOnce(const History& history, const HistoryLimits&)
{
    PromiseCheck check { Promise::AtMostOnce };
    const Index index = indexOf(history);
    for (const auto& [call, runs] : index.runsOfCall) {
        const RunRecord& first = index.runs.at(runs.front());
        if (first.started.idempotent)
            continue;
        ++check.checked;
        for (std::size_t i = 1; i < runs.size(); ++i)
            check.violations.push_back(
                { Promise::AtMostOnce, ViolationKind::RanTwice, index.runs.at(runs[i]).startEvent });
    }
    return check;
}

}
