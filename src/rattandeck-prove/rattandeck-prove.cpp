// Runs the real cores through generated fault schedules and checks every history against the ten promises.

#include "generator.h"
#include "trial.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <map>

using namespace RattandeckProve;
using Rattandeck::PromiseCheck;

namespace {

namespace options = boost::program_options;

struct Settings {
    std::uint64_t seed = 1;
    std::uint64_t schedules = 200;
    int size = 60;
    std::string replay;
    bool verbose = false;
};

/// Sums over all schedules.
struct Totals {
    std::uint64_t schedules = 0;
    std::uint64_t events = 0;
    std::array<std::uint64_t, faultKindCount> faults {};
    std::array<std::uint64_t, Rattandeck::promiseCount> checked {};
    std::array<std::uint64_t, Rattandeck::promiseCount> violations {};
    std::array<std::uint64_t, Rattandeck::promiseCount> excused {};
};

/// One failing schedule for each kind of violation; the shortest after shrinking.
struct Failure {
    Schedule schedule;
    std::uint64_t seen = 0;
};

/// A promise and the way in which it was broken.
using FailureKind = std::pair<Rattandeck::Promise, Rattandeck::ViolationKind>;

/// Shrinking stops after this many trials for one failure.
constexpr std::uint32_t shrinkLimit = 300;
/// Most faults of the schedules take turns: all, a half, a quarter, an eighth.
constexpr std::uint64_t sizeSteps = 4;

std::set<FailureKind> failuresOf(const TrialOutcome& outcome)
{
    std::set<FailureKind> kinds;
    for (const PromiseCheck& check : outcome.checks) {
        for (const Rattandeck::Violation& violation : check.violations)
            kinds.emplace(violation.promise, violation.kind);
    }
    return kinds;
}

void add(Totals& totals, const TrialOutcome& outcome)
{
    ++totals.schedules;
    totals.events += outcome.history.events.size();
    for (std::size_t i = 0; i < faultKindCount; ++i)
        totals.faults.at(i) += outcome.faults.at(i);
    for (const PromiseCheck& check : outcome.checks) {
        const auto promise = static_cast<std::size_t>(check.promise);
        totals.checked.at(promise) += check.checked;
        totals.violations.at(promise) += check.violations.size();
        totals.excused.at(promise) += check.excused;
    }
}

/// Leaves out what the failure doesn't need.
Schedule shrink(const rc::Shrinkable<Schedule>& failing, const FailureKind& kind)
{
    rc::Shrinkable<Schedule> best = failing;
    std::uint32_t trials = 0;
    for (bool smaller = true; smaller && trials < shrinkLimit;) {
        smaller = false;
        auto candidates = best.shrinks();
        while (trials < shrinkLimit) {
            const auto candidate = candidates.next();
            if (!candidate)
                break;
            ++trials;
            if (!failuresOf(runTrial(candidate->value())).contains(kind))
                continue;
            best = *candidate;
            smaller = true;
            break;
        }
    }
    return best.value();
}

void printViolations(const TrialOutcome& outcome)
{
    for (const PromiseCheck& check : outcome.checks) {
        for (const Rattandeck::Violation& violation : check.violations) {
            std::cout << "violation: " << toString(violation.promise) << ": " << toString(violation.kind) << ": ";
            if (violation.event < outcome.history.events.size())
                std::cout << describe(outcome.history.events[violation.event]) << '\n';
            else
                std::cout << "at the end\n";
        }
    }
}

void printTotals(const Totals& totals)
{
    std::cout << "schedules " << totals.schedules << "\nevents " << totals.events << '\n';
    for (std::size_t i = 0; i < faultKindCount; ++i)
        std::cout << "fault " << toString(static_cast<FaultKind>(i)) << ' ' << totals.faults.at(i) << '\n';
    for (std::size_t i = 0; i < Rattandeck::promiseCount; ++i) {
        std::cout << "promise " << i + 1 << " checked " << totals.checked.at(i) << " violations "
                  << totals.violations.at(i) << " excused " << totals.excused.at(i) << " : "
                  << toString(static_cast<Rattandeck::Promise>(i))
                  << (totals.checked.at(i) == 0 ? " : NOT EXERCISED" : "") << '\n';
    }
}

int replay(const Settings& settings)
{
    const auto schedule = parseSchedule(settings.replay);
    if (!schedule) {
        std::cerr << "not a schedule: " << settings.replay << '\n';
        return 2;
    }
    const TrialOutcome outcome = runTrial(*schedule, settings.verbose);
    if (settings.verbose) {
        for (const std::string& line : outcome.log)
            std::cout << line << '\n';
        for (const Rattandeck::HistoryEvent& event : outcome.history.events)
            std::cout << describe(event) << '\n';
    }
    printViolations(outcome);
    Totals totals;
    add(totals, outcome);
    printTotals(totals);
    return failuresOf(outcome).empty() ? 0 : 1;
}

int prove(const Settings& settings)
{
    Totals totals;
    std::map<FailureKind, Failure> failures;
    for (std::uint64_t i = 0; i < settings.schedules; ++i) {
        const std::uint64_t seed = settings.seed + i;
        // Single faults and pairs matter as much as storms.
        const int size = settings.size >> (i % sizeSteps);
        const rc::Shrinkable<Schedule> generated = schedules(seed)(rc::Random(seed), size);
        const TrialOutcome outcome = runTrial(generated.value());
        add(totals, outcome);
        for (const FailureKind& kind : failuresOf(outcome)) {
            const bool isNew = !failures.contains(kind);
            Failure& failure = failures[kind];
            ++failure.seen;
            if (isNew)
                failure.schedule = shrink(generated, kind);
        }
    }
    printTotals(totals);
    for (const auto& [kind, failure] : failures)
        std::cout << "failed: " << toString(kind.first) << ": " << toString(kind.second) << ": in " << failure.seen
                  << " schedules; shrunk: --replay '" << toString(failure.schedule) << "'\n";
    return failures.empty() ? 0 : 1;
}

}

int main(int argc, char** argv)
{
    Settings settings;
    options::options_description description("rattandeck-prove");
    description.add_options()("help", "print this")(
        "seed", options::value(&settings.seed), "seed of the first schedule; the others count up")(
        "schedules", options::value(&settings.schedules), "number of schedules")("size", options::value(&settings.size),
        "most faults in one schedule")("replay", options::value(&settings.replay), "run this schedule only")(
        "verbose", options::bool_switch(&settings.verbose), "with --replay: print the log and the history");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, description), given);
        options::notify(given);
    } catch (const options::error& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    if (given.contains("help")) {
        std::cout << description;
        return 0;
    }
    return settings.replay.empty() ? prove(settings) : replay(settings);
}
