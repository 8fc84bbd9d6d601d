// Runs the real gateway and journal cores through generated fault schedules and checks the observations of callers and
// endpoints.

#include "trial.h"

using namespace RattandeckProve;

int main(int argc, char** argv)
{
    System system;
    system.name = "rattandeck-provejournals";
    system.faults
        = { FaultKind::Kill, FaultKind::PowerLoss, FaultKind::PowerLossOfAll, FaultKind::Freeze, FaultKind::Cut,
              FaultKind::BreakLink, FaultKind::Isolate, FaultKind::CutStore, FaultKind::Outage, FaultKind::LoseAnswers,
              FaultKind::Wipe, FaultKind::Replace, FaultKind::Retire, FaultKind::Add, FaultKind::SlowDisk };
    system.processCount = journalCount + gatewayCount;
    system.faultWindow = journalFaultWindow;
    system.run = runJournalTrial;
    return runSearch(argc, argv, system);
}
