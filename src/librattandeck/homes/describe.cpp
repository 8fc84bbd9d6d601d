#include "Rattandeck/describe.h"

namespace Rattandeck {

std::string_view describe(ProblemKind kind)
{
    switch (kind) {
    case ProblemKind::BadRequest:
        return "bad request";
    case ProblemKind::UnknownProgram:
        return "unknown program";
    case ProblemKind::ProgramEnded:
        return "program ended";
    case ProblemKind::OutOfOrder:
        return "out of order";
    case ProblemKind::BudgetExceeded:
        return "budget exceeded";
    case ProblemKind::KeyReused:
        return "key reused";
    case ProblemKind::HistoryMismatch:
        return "history mismatch";
    case ProblemKind::HistoryLost:
        return "history lost";
    case ProblemKind::UnknownService:
        return "unknown service";
    case ProblemKind::NoCapacity:
        return "no capacity";
    case ProblemKind::Overloaded:
        return "overloaded";
    case ProblemKind::DeadlineExceeded:
        return "deadline exceeded";
    case ProblemKind::Quarantined:
        return "quarantined";
    case ProblemKind::OutcomeUnknown:
        return "outcome unknown";
    case ProblemKind::EndpointFailed:
        return "endpoint failed";
    case ProblemKind::NotServing:
        return "not serving";
    case ProblemKind::ShuttingDown:
        return "shutting down";
    }
    return "?";
}

std::string_view describe(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::StaleEpoch:
        return "stale epoch";
    case RefusalReason::NoCredit:
        return "no credit";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::Leaving:
        return "leaving";
    case RefusalReason::TooLate:
        return "too late";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::Conflict:
        return "conflict";
    case RefusalReason::HistoryMismatch:
        return "history mismatch";
    }
    return "?";
}

std::string_view describe(RecordState state)
{
    switch (state) {
    case RecordState::Started:
        return "started";
    case RecordState::Finished:
        return "finished";
    case RecordState::Failed:
        return "failed";
    case RecordState::NotRun:
        return "not run";
    case RecordState::Unknown:
        return "unknown";
    }
    return "?";
}

std::string_view describe(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        return "unknown";
    }
    return "?";
}

std::string_view describe(ObjectError error)
{
    switch (error) {
    case ObjectError::Conflict:
        return "conflict";
    case ObjectError::NotFound:
        return "not found";
    case ObjectError::Unavailable:
        return "unavailable";
    case ObjectError::NoAnswer:
        return "no answer";
    case ObjectError::TooLarge:
        return "too large";
    case ObjectError::Malformed:
        return "malformed";
    }
    return "?";
}

}
