#include "Rattandeck/instancespeed.h"

#include <algorithm>
#include <cmath>

namespace Rattandeck {

/// Ratio of the standard deviation to the mean deviation of normally distributed values.
constexpr double deviationRatio = 1.2533;
/// Number of observations over which a service's spread is a mean. It never counts as less than the least spread.
constexpr double spreadMemory = 100;
constexpr double leastSpread = 0.03;
constexpr double leastPace = 0.1;
constexpr double mostPace = 20;
constexpr double percent = 100;

static double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

/// Weight of what is as old as `age`, falling linearly to zero at `period`.
static double weightAt(Duration age, Milliseconds period)
{
    return std::clamp(1 - seconds(age) / seconds(period), 0.0, 1.0);
}

/// The part of a deviation that counts: none up to the threshold, all from twice the threshold on.
static double significantPart(double deviation, double threshold)
{
    const double excess = std::abs(deviation) - threshold;
    return std::copysign(std::clamp(2 * excess, 0.0, std::abs(deviation)), deviation);
}

/// Number of observations that show what an instance does now.
constexpr std::size_t latestObservations = 3;

/// Median of the last `count` observations.
static double median(const InstanceSpeed& speed, std::size_t count)
{
    std::array<double, minSpeedObservations> latest {};
    for (std::size_t i = 0; i < count; ++i)
        latest.at(i) = speed.recent.at((speed.next + speed.recent.size() - 1 - i) % speed.recent.size());
    const auto middle = latest.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(latest.begin(), middle, latest.begin() + static_cast<std::ptrdiff_t>(count));
    return *middle;
}

static void observeSpread(WorkSpread& spread, double residual, const SpeedPolicy& policy)
{
    const double bounded = std::min(std::abs(residual), policy.maxSpreads * spread.value);
    spread.count = std::min(spread.count + 1, spreadMemory);
    spread.value += (deviationRatio * bounded - spread.value) / spread.count;
    spread.value = std::max(spread.value, leastSpread);
}

/// Weight of a new observation in the lasting deviation.
static double lastingWeight(
    const InstanceSpeed& speed, const WorkSpread& spread, Duration interval, const SpeedPolicy& policy)
{
    constexpr double smallSpread = 0.15;
    constexpr double maxLengthening = 4;
    if (speed.count <= minSpeedObservations)
        return 1 / speed.count;
    const double period = seconds(policy.lastingPeriod) * std::clamp(spread.value / smallSpread, 1.0, maxLengthening);
    return std::min(seconds(interval), seconds(policy.maxInterval)) / period;
}

/// Notes whether an observation agrees with the lasting deviation. Each that doesn't halves the time for which that
/// counts as observed, which bears the noise of plain calls.
static void observeDuration(InstanceSpeed& speed, double observed, Duration interval, const SpeedPolicy& policy)
{
    constexpr double agreeingShare = 0.3;
    const double least = std::max(policy.deadBand, agreeingShare * std::abs(speed.lasting));
    if (std::copysign(1.0, speed.lasting) * observed < least) {
        speed.observedFor /= 2;
        return;
    }
    // A longer time without observations doesn't show that the deviation lasted.
    speed.observedFor += std::min(interval, std::max<Duration>(policy.maxInterval, speed.observedFor));
}

/// Moves the lasting deviation towards the latest observations, by the time that they stand for.
static void observeLasting(InstanceSpeed& speed, const WorkSpread& spread, double observed, double latest,
    TimePoint now, const SpeedPolicy& policy)
{
    const Duration interval = now - speed.observedAt.value_or(now);
    const double weight = lastingWeight(speed, spread, interval, policy);
    observeDuration(speed, observed, interval, policy);
    speed.lasting += weight * (latest - speed.lasting);
    speed.lastingVariance = std::pow(1 - weight, 2) * speed.lastingVariance + weight * weight;
    speed.observedAt = now;
}

double observeWork(InstanceSpeed& speed, WorkSpread& spread, double deviation, TimePoint now, const SpeedPolicy& policy)
{
    const double observed = std::clamp(deviation, -policy.maxDeviation, policy.maxDeviation);
    const double residual = observed - speed.lasting - speed.recentEffect;
    speed.recent.at(speed.next) = observed;
    speed.next = (speed.next + 1) % speed.recent.size();
    speed.count = std::min<double>(speed.count + 1, minSpeedObservations + 1);
    const double latest = median(speed, std::min(std::size_t(speed.count), latestObservations));
    observeLasting(speed, spread, observed, latest, now, policy);
    if (speed.count < minSpeedObservations)
        return residual;
    observeSpread(spread, observed - speed.lasting, policy);
    // Medians of overlapping observations depend on each other.
    constexpr double dependence = 1.5;
    const double error = policy.significance * dependence * spread.value * std::sqrt(speed.lastingVariance);
    const double latestError
        = policy.significance * deviationRatio * spread.value / std::sqrt(double(latestObservations));
    speed.lastingEffect = significantPart(speed.lasting, std::max(policy.deadBand, error));
    speed.recentEffect = significantPart(latest - speed.lasting, std::max(2 * policy.deadBand, latestError));
    return residual;
}

void observePace(InstanceSpeed& speed, WorkTimePercent pace, TimePoint now, const SpeedPolicy& policy)
{
    const double stated = std::clamp(pace.value / percent, leastPace, mostPace);
    if (!speed.statedAt || now - *speed.statedAt >= policy.maxPaceAge)
        speed.meanPace = stated;
    else
        speed.meanPace += (1 - weightAt(now - *speed.statedAt, policy.meanPacePeriod)) * (stated - speed.meanPace);
    speed.statedPace = stated;
    speed.statedAt = now;
}

double expectedPace(const InstanceSpeed& speed, TimePoint now, const SpeedPolicy& policy)
{
    if (!speed.statedAt)
        return 1;
    const Duration age = now - *speed.statedAt;
    const double recent = speed.meanPace + (speed.statedPace - speed.meanPace) * weightAt(age, policy.statedPacePeriod);
    return 1 + (recent - 1) * weightAt(age, policy.maxPaceAge);
}

double expectedSlowness(const InstanceSpeed& speed, TimePoint now, const SpeedPolicy& policy)
{
    const double effect = speed.lastingEffect + speed.recentEffect;
    if (effect == 0 || speed.observedFor < policy.minObserved)
        return 1;
    const double memory = std::min(seconds(speed.observedFor), seconds(policy.maxMemory));
    const double age = seconds(now - *speed.observedAt);
    return std::exp(effect * std::clamp(2 - age / memory, 0.0, 1.0));
}

double expectedWorkTime(const InstanceSpeed& speed, TimePoint now, const SpeedPolicy& policy)
{
    return expectedSlowness(speed, now, policy) * expectedPace(speed, now, policy);
}

}
