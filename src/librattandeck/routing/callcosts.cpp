#include "Rattandeck/callcosts.h"

#include "lrumap.h"

#include <algorithm>
#include <cmath>

namespace Rattandeck {

namespace {

    /// Variance of hints, in squared logarithms, that `CallCostPolicy::priorWeight` observations count with, which
    /// agree with their hints.
    constexpr double priorVariance = 0.25;

    /// Bound of a unit's deviation, as a natural logarithm. It is small, so that the usual time is a median: that of
    /// most instances, and not of a few slow ones.
    constexpr double maxUnitDeviation = 0.3;

    /// Moving means of the logarithms of hints and outputs.
    struct OutputStatistics {
        double count = 0;
        double meanHint = 0;
        double meanOutput = 0;
        double hintVariance = 0;
        double covariance = 0;
        OrganisationId last;
    };

    struct UnitStatistics {
        double count = 0;
        double logTime = 0;
    };

    std::string organisationKey(const CallSize& call) { return call.route + '\n' + call.organisation.value; }

    void observe(OutputStatistics& statistics, double hint, double output, double share, const CallCostPolicy& policy)
    {
        statistics.count = std::min(statistics.count + share, policy.memory);
        const double weight = std::min(1.0, share / statistics.count);
        const double hintChange = hint - statistics.meanHint;
        statistics.meanHint += weight * hintChange;
        statistics.meanOutput += weight * (output - statistics.meanOutput);
        statistics.hintVariance += weight * (hintChange * (hint - statistics.meanHint) - statistics.hintVariance);
        statistics.covariance += weight * (hintChange * (output - statistics.meanOutput) - statistics.covariance);
    }

    /// The logarithm of the expected output. `prior` is what is expected without the observations.
    double predict(const OutputStatistics* statistics, double hint, double prior, const CallCostPolicy& policy)
    {
        if (!statistics)
            return prior;
        const double count = statistics->count;
        const double agreeing = policy.priorWeight * priorVariance;
        const double slope
            = (count * statistics->covariance + agreeing) / (count * statistics->hintVariance + agreeing);
        const double observed = statistics->meanOutput + std::clamp(slope, 0.0, 1.0) * (hint - statistics->meanHint);
        return (count * observed + policy.priorWeight * prior) / (count + policy.priorWeight);
    }

    /// The hint of a call without one is its bound.
    std::optional<double> hintOf(const CallSize& call)
    {
        const std::int64_t hint = call.hint && call.hint->value > 0 ? call.hint->value : call.maxOutput.value;
        return hint > 0 ? std::optional(std::log(static_cast<double>(hint))) : std::nullopt;
    }

}

struct CallCosts::Impl {
    explicit Impl(const CallCostPolicy& policy)
        : policy(policy)
        , outputs(policy.maxEntries)
        , units(policy.maxEntries)
    {
    }

    CallCostPolicy policy;
    /// By route, and by route and organisation.
    LruMap<OutputStatistics> outputs;
    LruMap<UnitStatistics> units;
};

CallCosts::CallCosts(const CallCostPolicy& policy)
    : impl(std::make_unique<Impl>(policy))
{
}

CallCosts::~CallCosts() = default;

// Output -------------------------------------------------------------------------------------------------------------

std::optional<double> CallCosts::expectedOutput(const CallSize& call) const
{
    const auto hint = hintOf(call);
    if (!hint)
        return std::nullopt;
    const auto& self = *this->impl;
    double expected = predict(self.outputs.find(call.route), *hint, *hint, self.policy);
    if (!call.organisation.value.empty())
        expected = predict(self.outputs.find(organisationKey(call)), *hint, expected, self.policy);
    const double tokens = std::exp(expected);
    return call.maxOutput.value > 0 ? std::min(tokens, static_cast<double>(call.maxOutput.value)) : tokens;
}

void CallCosts::onOutput(const CallSize& call, TokenCount tokens)
{
    const auto hint = hintOf(call);
    if (!hint || tokens.value <= 0)
        return;
    auto& self = *this->impl;
    const double bound = self.policy.maxDeviation;
    const double output = std::clamp(std::log(static_cast<double>(tokens.value)), *hint - bound, *hint + bound);
    OutputStatistics& route = self.outputs.touch(call.route);
    const bool isRepeated = route.count > 0 && !call.organisation.value.empty() && route.last == call.organisation;
    observe(route, *hint, output, isRepeated ? self.policy.repeatedWeight : 1, self.policy);
    route.last = call.organisation;
    if (!call.organisation.value.empty())
        observe(self.outputs.touch(organisationKey(call)), *hint, output, 1, self.policy);
}

// Time of work -------------------------------------------------------------------------------------------------------

std::optional<double> CallCosts::unitTime(const std::string& work) const
{
    const UnitStatistics* known = this->impl->units.find(work);
    return known ? std::optional(std::exp(known->logTime)) : std::nullopt;
}

void CallCosts::onUnitTime(const std::string& work, double deviation)
{
    auto& self = *this->impl;
    UnitStatistics& known = self.units.touch(work);
    known.count = std::min(known.count + 1, self.policy.memory);
    known.logTime += std::clamp(deviation, -maxUnitDeviation, maxUnitDeviation) / known.count;
}

void CallCosts::onFirstUnitTime(const std::string& work, double milliseconds)
{
    this->impl->units.touch(work) = { 1, std::log(milliseconds) };
}

}
