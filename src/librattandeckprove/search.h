#pragma once

#include "schedule.h"

#include <array>
#include <functional>
#include <string>
#include <vector>

/// Runs a system through generated fault schedules, and makes those that break a promise small.
namespace RattandeckProve {

struct Breach {
    /// The way in which the promise was broken; shrinking keeps to one kind.
    std::string kind;
    std::string seen;
};

/// How one promise fared in one run.
struct PromiseReport {
    std::string promise;
    std::uint64_t checked = 0;
    /// Not kept, but for a loss that the promise does not cover.
    std::uint64_t excused = 0;
    std::vector<Breach> breaches;
};

struct RunReport {
    /// Events of the history that was checked.
    std::uint64_t events = 0;
    /// Faults that were really brought about (a dead process can't be killed), by kind.
    std::array<std::uint64_t, faultKindCount> faults {};
    /// Always the same promises in the same order.
    std::vector<PromiseReport> promises;
    /// What the processes logged and what happened; only when asked for.
    std::vector<std::string> log;
};

/// A system under virtual time whose faults are scheduled.
struct System {
    /// The program's name.
    std::string name;
    std::vector<FaultKind> faults;
    /// Processes that faults may name.
    std::uint32_t processCount = 0;
    /// Faults come within this.
    Milliseconds faultWindow { 0 };
    /// Runs one schedule. The same schedule always gives the same report.
    std::function<RunReport(const Schedule& schedule, bool keepLog)> run;
};

/// Reads the command line, runs the schedules that it asks for and prints what was found. Returns the exit code: 0 when
/// every promise was kept, 1 when one was broken, 2 for a command line that can't be understood.
int runSearch(int argc, char** argv, const System& system);

}
