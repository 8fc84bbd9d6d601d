#include "search.h"

#include "generator.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace RattandeckProve {

namespace {

    namespace Options = boost::program_options;

    struct Settings {
        std::uint64_t seed = 1;
        std::uint64_t schedules = 200;
        int size = 60;
        std::string replay;
        bool verbose = false;
        /// Entries of the form "12:service comes back". Violations of this promise in the schedule of this seed are
        /// printed but not counted.
        std::vector<std::string> knownRed;
    };

    /// The promise that was broken and the kind of violation.
    using FailureKind = std::pair<std::string, std::string>;

    /// A failing schedule of one failure kind, after shrinking.
    struct Failure {
        Schedule schedule;
        std::uint64_t seen = 0;
    };

    /// Sums over all schedules.
    struct Totals {
        std::uint64_t schedules = 0;
        RunReport sums;
    };

    /// Maximum number of runs for shrinking one failure.
    constexpr std::uint32_t shrinkLimit = 300;
    /// Successive schedules have all, a half, a quarter and an eighth of `Settings::size` as their maximum number of
    /// faults, in turn.
    constexpr std::uint64_t sizeSteps = 4;

    std::set<FailureKind> failuresOf(const RunReport& report)
    {
        std::set<FailureKind> kinds;
        for (const PromiseReport& promise : report.promises) {
            for (const Breach& breach : promise.breaches)
                kinds.emplace(promise.promise, breach.kind);
        }
        return kinds;
    }

    void add(Totals& totals, const RunReport& report)
    {
        ++totals.schedules;
        totals.sums.events += report.events;
        for (std::size_t i = 0; i < faultKindCount; ++i)
            totals.sums.faults.at(i) += report.faults.at(i);
        totals.sums.promises.resize(report.promises.size());
        for (std::size_t i = 0; i < report.promises.size(); ++i) {
            PromiseReport& sum = totals.sums.promises[i];
            const PromiseReport& each = report.promises[i];
            sum.promise = each.promise;
            sum.checked += each.checked;
            sum.excused += each.excused;
            sum.breaches.insert(sum.breaches.end(), each.breaches.begin(), each.breaches.end());
        }
    }

    /// Removes and shortens faults while the schedule still shows the same kind of failure.
    Schedule shrink(const System& system, const rc::Shrinkable<Schedule>& failing, const FailureKind& kind)
    {
        rc::Shrinkable<Schedule> best = failing;
        std::uint32_t runs = 0;
        for (bool smaller = true; smaller && runs < shrinkLimit;) {
            smaller = false;
            auto candidates = best.shrinks();
            while (runs < shrinkLimit) {
                const auto candidate = candidates.next();
                if (!candidate)
                    break;
                ++runs;
                if (!failuresOf(system.run(candidate->value(), false)).contains(kind))
                    continue;
                best = *candidate;
                smaller = true;
                break;
            }
        }
        return best.value();
    }

    void print(const System& system, const Totals& totals)
    {
        std::cout << "schedules " << totals.schedules << "\nevents " << totals.sums.events << '\n';
        for (const FaultKind kind : system.faults)
            std::cout << "fault " << toString(kind) << ' ' << totals.sums.faults.at(static_cast<std::size_t>(kind))
                      << '\n';
        for (std::size_t i = 0; i < totals.sums.promises.size(); ++i) {
            const PromiseReport& promise = totals.sums.promises[i];
            std::cout << "promise " << i + 1 << " checked " << promise.checked << " violations "
                      << promise.breaches.size() << " excused " << promise.excused << " : " << promise.promise
                      << (promise.checked == 0 ? " : NOT EXERCISED" : "") << '\n';
        }
    }

    int replay(const System& system, const Settings& settings)
    {
        const auto schedule = parseSchedule(settings.replay);
        if (!schedule) {
            std::cerr << "invalid schedule: " << settings.replay << '\n';
            return 2;
        }
        const RunReport report = system.run(*schedule, settings.verbose);
        for (const std::string& line : report.log)
            std::cout << line << '\n';
        for (const PromiseReport& promise : report.promises) {
            for (const Breach& breach : promise.breaches)
                std::cout << "violation: " << promise.promise << ": " << breach.kind << ": " << breach.seen << '\n';
        }
        Totals totals;
        add(totals, report);
        print(system, totals);
        return failuresOf(report).empty() ? 0 : 1;
    }

    void excludeKnownRed(const Settings& settings, std::uint64_t seed, RunReport& report)
    {
        for (PromiseReport& promise : report.promises) {
            if (std::ranges::find(settings.knownRed, std::to_string(seed) + ':' + promise.promise)
                == settings.knownRed.end())
                continue;
            std::cout << "known red: seed " << seed << ": " << promise.promise << ": " << promise.breaches.size()
                      << " violations" << (promise.breaches.empty() ? ", no longer red" : "") << '\n';
            promise.breaches.clear();
        }
    }

    int search(const System& system, const Settings& settings)
    {
        Totals totals;
        std::map<FailureKind, Failure> failures;
        for (std::uint64_t i = 0; i < settings.schedules; ++i) {
            const std::uint64_t seed = settings.seed + i;
            // Small schedules are generated too, because single faults and pairs are as important as many faults at
            // once.
            const int size = settings.size >> (i % sizeSteps);
            const rc::Shrinkable<Schedule> generated = schedules(system, seed)(rc::Random(seed), size);
            RunReport report = system.run(generated.value(), false);
            excludeKnownRed(settings, seed, report);
            add(totals, report);
            for (const FailureKind& kind : failuresOf(report)) {
                const bool isNew = !failures.contains(kind);
                Failure& failure = failures[kind];
                ++failure.seen;
                if (isNew)
                    failure.schedule = shrink(system, generated, kind);
            }
        }
        print(system, totals);
        for (const auto& [kind, failure] : failures)
            std::cout << "failed: " << kind.first << ": " << kind.second << ": in " << failure.seen
                      << " schedules; shrunk: --replay '" << toString(failure.schedule) << "'\n";
        return failures.empty() ? 0 : 1;
    }

}

int runSearch(int argc, char** argv, const System& system)
{
    Settings settings;
    Options::options_description description(system.name);
    description.add_options()("help", "print this help")("seed", Options::value(&settings.seed),
        "seed of the first schedule; the others count up")("schedules", Options::value(&settings.schedules),
        "number of schedules")("size", Options::value(&settings.size), "maximum number of faults in one schedule")(
        "replay", Options::value(&settings.replay), "run this schedule only")(
        "verbose", Options::bool_switch(&settings.verbose), "with --replay: print the log and the history")("known-red",
        Options::value(&settings.knownRed),
        "SEED:PROMISE, whose violations are printed but not counted; may be repeated");
    Options::variables_map given;
    try {
        Options::store(Options::parse_command_line(argc, argv, description), given);
        Options::notify(given);
    } catch (const Options::error& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    if (given.contains("help")) {
        std::cout << description;
        return 0;
    }
    return settings.replay.empty() ? search(system, settings) : replay(system, settings);
}

}
