#pragma once

#include "schedule.h"

#include <array>
#include <functional>
#include <string>
#include <vector>

/// Runs a system under generated fault schedules, and shrinks the schedules that break a promise.
namespace RattandeckProve {

struct Breach {
    /// Kind of the violation. Shrinking only accepts schedules that show the same kind.
    std::string kind;
    /// The event or state that shows the violation.
    std::string seen;
};

/// Result for one promise in one run.
struct PromiseReport {
    std::string promise;
    std::uint64_t checked = 0;
    /// Cases that were not kept because of a loss that the promise does not cover.
    std::uint64_t excused = 0;
    std::vector<Breach> breaches;
};

struct RunReport {
    /// Number of events in the checked history.
    std::uint64_t events = 0;
    /// Number of faults that took effect, by kind. A fault can have no effect: a dead process cannot be killed.
    std::array<std::uint64_t, faultKindCount> faults {};
    /// The promises and their order are the same in every run.
    std::vector<PromiseReport> promises;
    /// Log lines of the processes and events of the history; filled only if `keepLog` is set.
    std::vector<std::string> log;
};

/// A system that runs under virtual time and into which scheduled faults are injected.
struct System {
    /// The program's name.
    std::string name;
    std::vector<FaultKind> faults;
    /// Number of processes; faults refer to them by index.
    std::uint32_t processCount = 0;
    /// Faults are injected within this time from the start.
    Milliseconds faultWindow { 0 };
    /// Runs one schedule. The same schedule always gives the same report.
    std::function<RunReport(const Schedule& schedule, bool keepLog)> run;
};

/// Parses the command line, runs the requested schedules and prints the results. Returns the exit code: 0 if every
/// promise was kept, 1 if one was broken, 2 if the command line is invalid.
int runSearch(int argc, char** argv, const System& system);

}
