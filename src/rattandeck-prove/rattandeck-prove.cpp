// Runs the production cores under generated fault schedules and checks every history against the ten promises.

#include "librattandeckprove/search.h"
#include "trial.h"

using namespace RattandeckProve;

namespace {

PromiseReport reportOf(const Rattandeck::PromiseCheck& check, const Rattandeck::History& history)
{
    PromiseReport report { std::string(toString(check.promise)), check.checked, check.excused, {} };
    for (const Rattandeck::Violation& violation : check.violations) {
        const bool isAtTheEnd = violation.event >= history.events.size();
        report.breaches.push_back({ std::string(toString(violation.kind)),
            isAtTheEnd ? std::string("at the end") : describe(history.events[violation.event]) });
    }
    return report;
}

RunReport run(const Schedule& schedule, bool keepLog)
{
    TrialOutcome outcome = runTrial(schedule, keepLog);
    RunReport report;
    report.events = outcome.history.events.size();
    report.faults = outcome.faults;
    for (const Rattandeck::PromiseCheck& check : outcome.checks)
        report.promises.push_back(reportOf(check, outcome.history));
    report.log = std::move(outcome.log);
    if (keepLog) {
        for (const Rattandeck::HistoryEvent& event : outcome.history.events)
            report.log.push_back(describe(event));
    }
    return report;
}

}

int main(int argc, char** argv)
{
    System system;
    system.name = "rattandeck-prove";
    system.faults = { FaultKind::Kill, FaultKind::Freeze, FaultKind::Cut, FaultKind::BreakLink, FaultKind::Isolate,
        FaultKind::CutStore, FaultKind::Outage, FaultKind::LoseAnswers, FaultKind::LateWatches, FaultKind::LagList,
        FaultKind::CrashEndpoint, FaultKind::Stop, FaultKind::RaceOperators, FaultKind::Poison };
    system.processCount = processCount;
    system.faultWindow = faultWindow;
    system.run = run;
    return runSearch(argc, argv, system);
}
