#include "home.h"

#include "Rattandeck/digest.h"

#include <algorithm>
#include <array>

namespace Rattandeck {

// Shard ------------------------------------------------------------------------------------------------------------

HomeProgram* HomeShard::find(const ProgramId& id)
{
    const auto found = this->programs.find(id);
    return found == this->programs.end() ? nullptr : &found->second;
}

BudgetAccount& HomeShard::account(const ProgramHeader& header)
{
    const auto [found, created] = this->accounts.try_emplace(header.root);
    if (created)
        found->second.limit = header.budget;
    return found->second;
}

void HomeShard::addToAccount(const HomeProgram& program)
{
    BudgetAccount& account = this->account(program.header);
    ++account.programs;
    if (!program.ended)
        ++account.open;
}

void HomeShard::removeFromAccount(const HomeProgram& program)
{
    const auto account = this->accounts.find(program.header.root);
    if (account == this->accounts.end())
        return;
    if (!program.ended)
        --account->second.open;
    if (--account->second.programs == 0)
        this->accounts.erase(account);
}

void HomeShard::remove(const ProgramId& id)
{
    const auto found = this->programs.find(id);
    if (found == this->programs.end())
        return;
    this->removeFromAccount(found->second);
    this->programs.erase(found);
}

bool HomeShard::mayLackRecords(const ProgramId& id, TimePoint now) const
{
    if (id.openedIn >= this->gap)
        return false;
    const bool isKeyedCallProgram = id.openedIn == Epoch(0);
    return !isKeyedCallProgram || now < this->gapSince + keyRetention;
}

// Requests ---------------------------------------------------------------------------------------------------------

TokenCount estimateTokens(const std::string& text)
{
    constexpr std::size_t bytesPerToken = 4;
    return TokenCount(static_cast<std::int64_t>((text.size() + bytesPerToken - 1) / bytesPerToken));
}

Digest requestDigest(const CallerRequest& request)
{
    const std::string outputTokens = std::to_string(request.maxOutputTokens.value);
    const std::string idempotent = request.idempotent ? "idempotent" : "once";
    const std::array<std::string_view, 5> parts { request.service.value, request.key.value, idempotent, outputTokens,
        request.input };
    return digestOf(parts);
}

TokenCount reservationFor(const CallerRequest& request)
{
    return TokenCount(estimateTokens(request.input).value + request.maxOutputTokens.value);
}

namespace {

    Problem problem(ProblemKind kind, Ran ran, std::string detail) { return { kind, ran, {}, std::move(detail) }; }

    CallClassification classifyRepeat(const HeldRecord& held, const CallerRequest& request, const Digest& digest)
    {
        if (held.record.request != digest) {
            if (!request.key.value.empty() && held.record.key == request.key)
                return problem(ProblemKind::KeyReused, Ran::No, "the key was used for another request");
            return problem(ProblemKind::OutOfOrder, Ran::No, "another request has this turn number");
        }
        const bool otherHistory = !request.head.value.empty() && request.head != held.record.headBefore;
        if (otherHistory && request.turn.value != 0)
            return problem(ProblemKind::HistoryMismatch, Ran::No, "this turn was taken on another history");
        return RepeatedCall { &held };
    }

    ProgramCall* findOpenCall(HomeProgram& program, const std::function<bool(const ProgramCall&)>& matches)
    {
        if (program.current && matches(*program.current))
            return program.current.get();
        for (const std::unique_ptr<ProgramCall>& waiting : program.queue) {
            if (matches(*waiting))
                return waiting.get();
        }
        return nullptr;
    }

    std::optional<CallClassification> classifyByKey(
        HomeProgram& program, const CallerRequest& request, const Digest& digest)
    {
        if (request.key.value.empty())
            return std::nullopt;
        const auto known = program.keys.find(request.key);
        if (known != program.keys.end())
            return classifyRepeat(program.records.at(known->second), request, digest);
        ProgramCall* open
            = findOpenCall(program, [&](const ProgramCall& call) { return call.request.key == request.key; });
        if (!open)
            return std::nullopt;
        if (open->digest != digest)
            return problem(ProblemKind::KeyReused, Ran::No, "the key is in use for another request");
        return SameCall { open };
    }

    std::optional<CallClassification> classifyByTurn(
        HomeProgram& program, const CallerRequest& request, const Digest& digest)
    {
        if (request.turn.value == 0)
            return std::nullopt;
        const auto known = program.records.find(request.turn);
        if (known != program.records.end())
            return classifyRepeat(known->second, request, digest);
        if (request.turn <= program.lastTurn && program.ended)
            return problem(ProblemKind::ProgramEnded, Ran::Unknown, "the program has ended");
        if (request.turn <= program.lastTurn)
            return problem(ProblemKind::HistoryLost, Ran::Unknown, "the record of this turn is lost");
        ProgramCall* open = findOpenCall(program, [&](const ProgramCall& call) { return call.turn == request.turn; });
        if (open && open->digest == digest)
            return SameCall { open };
        const std::size_t openCalls = program.queue.size() + (program.current ? 1 : 0);
        if (open || request.turn.value != program.lastTurn.value + openCalls + 1)
            return problem(ProblemKind::OutOfOrder, Ran::No, "another turn is next");
        return std::nullopt;
    }

    // A matching head proves that the caller's history and the program's history end with the same turn, so an
    // idempotent call can run.
    CallClassification classifyUncertain(const HomeProgram& program, const CallerRequest& request)
    {
        const bool sameHead = !request.head.value.empty() && request.head == program.head;
        if (!request.head.value.empty() && !sameHead)
            return problem(ProblemKind::HistoryLost, Ran::Unknown, "the end of this history is lost");
        const bool isKeyedCallProgram = program.header.id.openedIn == Epoch(0);
        if (request.idempotent && (sameHead || isKeyedCallProgram))
            return NewCall {};
        return problem(ProblemKind::OutcomeUnknown, Ran::Unknown, "records of this program may be lost");
    }

}

Problem asUncertain(const Problem& problem, bool mayLackRecords)
{
    Problem reported = problem;
    if (mayLackRecords && reported.ran == Ran::No && reported.kind != ProblemKind::KeyReused)
        reported.ran = Ran::Unknown;
    return reported;
}

CallClassification classifyCall(
    HomeProgram& program, const CallerRequest& request, const Digest& digest, bool mayLackRecords)
{
    if (std::optional<CallClassification> byKey = classifyByKey(program, request, digest))
        return *byKey;
    if (std::optional<CallClassification> byTurn = classifyByTurn(program, request, digest))
        return *byTurn;
    if (program.isDamaged)
        return problem(ProblemKind::HistoryLost, Ran::Unknown, "part of this history is lost");
    if (program.ended || program.ending)
        return problem(ProblemKind::ProgramEnded, mayLackRecords ? Ran::Unknown : Ran::No, "the program has ended");
    if (mayLackRecords && !program.current)
        return classifyUncertain(program, request);
    if (program.current && program.queue.size() >= programQueueLimit)
        return problem(ProblemKind::Overloaded, Ran::No, "too many calls of this program wait");
    return NewCall {};
}

CallerEvent answerOf(const HeldRecord& held, TokenCount budgetLeft)
{
    const TurnRecord& record = held.record;
    switch (record.state) {
    case RecordState::Finished: {
        AnswerDone done;
        done.program = record.program;
        done.turn = record.turn;
        done.head = record.headAfter;
        done.output = record.output;
        done.charged = record.charged;
        done.budgetLeft = budgetLeft;
        return done;
    }
    case RecordState::Failed:
        return problem(ProblemKind::EndpointFailed, Ran::Unknown, "the endpoint failed");
    case RecordState::NotRun:
        return problem(ProblemKind::EndpointFailed, Ran::No, "the call was not started");
    case RecordState::Started:
    case RecordState::Unknown:
        break;
    }
    return problem(ProblemKind::OutcomeUnknown, Ran::Unknown, "nobody can tell whether the call ran");
}

// Records ----------------------------------------------------------------------------------------------------------

void removeIfEmpty(HomeShard& shard, const ProgramId& id)
{
    const HomeProgram* program = shard.find(id);
    if (!program || id.openedIn != Epoch(0))
        return;
    const bool begun = !program->records.empty() || !program->unresolvedAttempts.empty();
    if (!begun && program->queue.empty() && !program->current)
        shard.remove(id);
}

bool hasValidDigest(const TurnRecord& record)
{
    if (record.state != RecordState::Finished)
        return true;
    return record.headAfter == chainDigest(record.headBefore, record.turn, record.input, record.output);
}

bool extendsChain(const HomeProgram& program, const TurnRecord& record)
{
    if (record.state != RecordState::Finished || record.headBefore != program.head)
        return false;
    const bool laterOrdered = program.current && program.current->order && program.current->turn > record.turn;
    return record.turn >= program.lastTurn && !laterOrdered;
}

HeldRecord& addRecord(HomeProgram& program, HeldRecord held)
{
    const TurnRecord& record = held.record;
    program.lastTurn = std::max(program.lastTurn, record.turn);
    if (!record.key.value.empty())
        program.keys[record.key] = record.turn;
    if (held.isOnChain) {
        program.head = record.headAfter;
        program.historyTokens.value += estimateTokens(record.input).value + estimateTokens(record.output).value;
        ++program.turnsDone;
    }
    HeldRecord& stored = program.records[record.turn];
    stored = std::move(held);
    return stored;
}

std::string historyText(const HomeProgram& program, const ServiceName& service)
{
    std::string text;
    for (const auto& [turn, held] : program.records) {
        if (held.isOnChain && held.record.service == service)
            text += held.record.input + held.record.output;
    }
    return text;
}

TokenCount chargedTokens(const HomeProgram& program)
{
    TokenCount charged;
    for (const auto& [turn, held] : program.records) {
        charged.value += held.record.charged.value;
        for (const TurnRecord& other : held.otherAttempts)
            charged.value += other.charged.value;
    }
    for (const TurnRecord& attempt : program.unresolvedAttempts)
        charged.value += attempt.charged.value;
    return charged;
}

}
