#pragma once

#include "Rattandeck/types.h"

#include <array>
#include <optional>

/// How fast an instance works, in relation to the other instances of its service.
///
/// Designed for services of which a part is permanently slower (by a factor of two), or slow for seconds (by five), at
/// a few observations a second and instance. In a fleet whose instances are alike, noise must not count as a
/// difference: a factor other than 1 needs several observations and must exceed what their spread explains.
namespace Rattandeck {

/// How long work takes at an instance at a moment, in percent of the usual time: 100 as usual, 250 two and a half times
/// as long.
using WorkTimePercent = Strong<struct WorkTimePercentTag, double>;

struct SpeedPolicy {
    /// Deviations within this, as a natural logarithm, count as none.
    double deadBand = 0.15;
    /// A deviation counts from this many standard errors on.
    double significance = 2.5;
    /// Largest deviation, as a natural logarithm: a factor of 8.
    double maxDeviation = 2.1;
    /// An observation enters the spread as if it deviated by this many spreads at most.
    double maxSpreads = 3;
    /// Time over which the lasting deviation is a mean, for a service of small spread; up to four times as long for one
    /// of a large spread.
    Milliseconds lastingPeriod { 5000 };
    /// An observation counts in that mean for the time since the one before, this at most.
    Milliseconds maxInterval { 500 };
    /// A deviation counts only when it has been observed for this long. One that is shorter is over, or nearly so, by
    /// the time it is known, and those avoided for it would be the wrong ones.
    Milliseconds minObserved { 2000 };
    /// Without further observations a deviation counts for as long as it was observed, `maxMemory` at most, and is
    /// forgotten within the same time after that: an instance that was slow while it started gets calls again, and one
    /// that is slow for good is tried ever less often.
    Milliseconds maxMemory { 30000 };
    /// The weight of a stated pace falls linearly to zero at this age, in favour of the mean of the stated ones: it
    /// changes several times a second.
    Milliseconds statedPacePeriod { 400 };
    /// Time over which that mean is formed, and age of the last statement at which it no longer counts.
    Milliseconds meanPacePeriod { 2000 };
    Milliseconds maxPaceAge { 10000 };
};

/// Spread of the observations of a service's instances around the deviations of each, as a natural logarithm.
struct WorkSpread {
    /// High at the start, so that a deviation doesn't count before the spread is known.
    double value = 0.5;
    double count = 10;
};

/// Number of observations without which an instance counts as one like the others.
constexpr std::size_t minSpeedObservations = 5;

/// What is known of one instance. Deviations are natural logarithms of the time that work takes, relative to the
/// service's usual time: 0 as usual.
struct InstanceSpeed {
    double count = 0;
    double lasting = 0;
    /// Variance of `lasting` relative to that of a single observation.
    double lastingVariance = 1;
    /// For how long the instance has been observed to deviate in this direction.
    Duration observedFor { 0 };
    std::array<double, minSpeedObservations> recent {};
    std::size_t next = 0;
    std::optional<TimePoint> observedAt;
    /// The parts of the deviation that count: the lasting one, and that of the last few observations from it.
    double lastingEffect = 0;
    double recentEffect = 0;
    /// Mean and last of the stated paces; 1 as usual.
    double meanPace = 1;
    double statedPace = 1;
    std::optional<TimePoint> statedAt;
};

/// Notes that a piece of work took exp(`deviation`) times the usual time at the stated pace. Returns the part of it
/// that the known deviation doesn't explain.
double observeWork(
    InstanceSpeed& speed, WorkSpread& spread, double deviation, TimePoint now, const SpeedPolicy& policy = {});

void observePace(InstanceSpeed& speed, WorkTimePercent pace, TimePoint now, const SpeedPolicy& policy = {});

/// The pace to expect, as far as the instance has stated it: 1 as usual, 2 twice as long.
double expectedPace(const InstanceSpeed& speed, TimePoint now, const SpeedPolicy& policy = {});

/// The time that work is expected to take, relative to the usual time, without and with the stated pace.
double expectedSlowness(const InstanceSpeed& speed, TimePoint now, const SpeedPolicy& policy = {});
double expectedWorkTime(const InstanceSpeed& speed, TimePoint now, const SpeedPolicy& policy = {});

}
