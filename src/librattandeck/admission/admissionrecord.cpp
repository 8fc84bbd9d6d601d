#include "Rattandeck/admissionrecord.h"

#include <algorithm>
#include <cmath>

namespace Rattandeck {

/// Time in which a value's part in a sum falls to 1/e. Organisations are hot for some seconds. With 4 s, an
/// organisation that is no longer served counted as served for most of that time.
constexpr std::chrono::duration<double> timeConstant { 2 };
/// Totals over all organisations are as old as this at most.
constexpr Milliseconds totalsInterval { 100 };
/// An organisation with fewer calls in its sums is not active.
constexpr double minActiveCalls = 0.05;
/// An organisation with fewer calls in its sums is forgotten.
constexpr double minKeptCalls = 1e-6;
/// Time in which calls have waited, after which the rate of the queue is known.
constexpr double minBusySeconds = 0.5;

// Sums ---------------------------------------------------------------------------------------------------------------

void MovingSum::add(double added, TimePoint now)
{
    this->value = this->at(now) + added;
    this->updatedAt = now;
}

double MovingSum::at(TimePoint now) const
{
    const std::chrono::duration<double> age = now - this->updatedAt;
    return this->value == 0 ? 0 : this->value * std::exp(-std::max(0.0, age / timeConstant));
}

// Organisations ------------------------------------------------------------------------------------------------------

static OrganisationId idOf(const Organisation* organisation)
{
    return organisation ? organisation->id : OrganisationId();
}

void OrganisationRecord::onOffered(const Organisation* organisation, bool isFirstTurn, TimePoint now)
{
    Entry& entry = this->entries[idOf(organisation)];
    entry.rate.reset();
    if (organisation && organisation->allowance)
        entry.rate = organisation->allowance->rate.value;
    (isFirstTurn ? entry.firstTurns : entry.others).offered.add(1, now);
}

void OrganisationRecord::onServed(const Organisation* organisation, bool isFirstTurn, TimePoint now)
{
    Entry& entry = this->entries[idOf(organisation)];
    (isFirstTurn ? entry.firstTurns : entry.others).served.add(1, now);
}

OfferedCalls OrganisationRecord::callsAt(const Kind& kind, TimePoint now)
{
    return { kind.offered.at(now), kind.served.at(now) };
}

OrganisationCalls OrganisationRecord::callsOf(const Entry& entry, TimePoint now) const
{
    return { callsAt(entry.firstTurns, now), callsAt(entry.others, now), entry.rate.value_or(this->defaultWeight) };
}

void OrganisationRecord::updateTotals(TimePoint now)
{
    if (this->totalsAt && now - *this->totalsAt < totalsInterval)
        return;
    this->totalsAt = now;
    double rates = 0;
    std::size_t withRate = 0;
    const auto offered
        = [now](const Entry& entry) { return entry.firstTurns.offered.at(now) + entry.others.offered.at(now); };
    std::erase_if(this->entries, [&](const auto& known) { return offered(known.second) < minKeptCalls; });
    for (const auto& [id, entry] : this->entries) {
        rates += entry.rate.value_or(0);
        withRate += entry.rate ? 1 : 0;
    }
    this->defaultWeight = withRate > 0 ? rates / static_cast<double>(withRate) : 1;
    this->totals = {};
    for (const auto& [id, entry] : this->entries) {
        if (offered(entry) < minActiveCalls)
            continue;
        const OrganisationCalls calls = this->callsOf(entry, now);
        this->totals.firstTurns.offered += calls.firstTurns.offered;
        this->totals.firstTurns.served += calls.firstTurns.served;
        this->totals.others.offered += calls.others.offered;
        this->totals.others.served += calls.others.served;
        if (calls.weight > 0)
            this->totals.weighedCalls += offered(entry) / calls.weight;
        ++this->totals.organisations;
    }
}

OrganisationStanding OrganisationRecord::standing(const Organisation* organisation, bool isFirstTurn, TimePoint now)
{
    this->updateTotals(now);
    const auto found = this->entries.find(idOf(organisation));
    if (found == this->entries.end())
        return {};
    const OrganisationCalls own = this->callsOf(found->second, now);
    OrganisationStanding standing;
    standing.isFarAboveShare = isFarAboveShare(own, this->totals);
    standing.isOwed
        = isFirstTurn ? isOwed(own.firstTurns, this->totals.firstTurns) : isOwed(own.others, this->totals.others);
    return standing;
}

// Queue --------------------------------------------------------------------------------------------------------------

void QueueRate::countBusyTime(TimePoint now)
{
    if (this->waiting > 0)
        this->busySeconds.add(std::chrono::duration<double>(now - this->countedUntil).count(), now);
    this->countedUntil = now;
}

void QueueRate::onEnqueued(TimePoint now)
{
    this->countBusyTime(now);
    ++this->waiting;
}

void QueueRate::onLeft(bool isSent, TimePoint now)
{
    this->countBusyTime(now);
    if (this->waiting > 0)
        --this->waiting;
    if (isSent)
        this->sent.add(1, now);
}

std::optional<double> QueueRate::servedPerSecond(TimePoint now)
{
    this->countBusyTime(now);
    const double busy = this->busySeconds.at(now);
    if (busy < minBusySeconds)
        return std::nullopt;
    return this->sent.at(now) / busy;
}

}
