#include "endpointsimpl.h"
#include "Rattandeck/digest.h"

#include <algorithm>
#include <cmath>

namespace Rattandeck {

// Preferred instance -------------------------------------------------------------------------------------------------

/// Share of the programs that prefer an instance, relative to the usual one. Lasting differences of speed count in
/// steps, so that processes that have learned somewhat different speeds agree on nearly all programs.
static double programShare(const InstanceState& state)
{
    constexpr double step = 0.25;
    constexpr double sharePerStep = 0.47;
    const double steps = std::round(state.speed.lastingEffect / step);
    return steps <= 0 ? 1 : std::pow(sharePerStep, steps);
}

/// The instance that all processes prefer for the query's key; null if there is none.
static const InstanceState* preferredInstance(
    const PlacementQuery& query, const std::vector<Candidate>& candidates, bool isLearned)
{
    if (query.prefixKey.empty() || query.prompt.empty())
        return nullptr;
    const bool areAllLimited
        = std::ranges::all_of(candidates, [](const Candidate& candidate) { return candidate.room.isLimited; });
    const InstanceState* preferred = nullptr;
    std::uint64_t highest = 0;
    const std::uint64_t key = hash64(query.prefixKey);
    for (const Candidate& candidate : candidates) {
        if (candidate.room.isLimited && !areAllLimited)
            continue;
        std::uint64_t hash = rendezvousWeight(key, candidate.state->instance.id.value);
        // Weighted rendezvous hashing: with u uniform in 0 to 1, u^(1/w) is the highest of all in proportion to w.
        if (const double share = isLearned ? programShare(*candidate.state) : 1; share < 1)
            hash = static_cast<std::uint64_t>(
                       std::ldexp(std::pow(std::ldexp(static_cast<double>(hash >> 11U), -53), 1 / share), 53))
                << 11U;
        if (preferred && hash <= highest)
            continue;
        preferred = candidate.state;
        highest = hash;
    }
    return preferred;
}

// Table ------------------------------------------------------------------------------------------------------------

EndpointTable::EndpointTable(EndpointCosts costs, ConnectionKnowledge connections)
    : impl(std::make_unique<Impl>())
{
    this->impl->costs = costs;
    this->impl->connections = std::move(connections);
}

EndpointTable::~EndpointTable() = default;

void EndpointTable::put(const EndpointInstance& instance, TimePoint now)
{
    const bool isNew = !this->impl->instances.contains(instance.id);
    InstanceState& state = this->impl->instances[instance.id];
    const bool isRestart = state.instance.startedAt != instance.startedAt && state.instance.startedAt != 0;
    const bool isMoved = state.instance.service != instance.service;
    if (isRestart) {
        state.parts = {};
        state.otherCalls = 0;
        state.reportedAt.reset();
        state.speed = {};
        state.failureShare = 0;
        // An entry of an earlier process may arrive late. Then the later one is still running.
        if (instance.startedAt < state.instance.startedAt)
            state.doubtedAt = now;
        else
            state.doubtedAt.reset();
    }
    this->impl->uncounted.insert({ state.instance.service, instance.service });
    // One that is known as leaving from the start may have said so long ago.
    if (isNew)
        state.instance.isDraining = true;
    this->impl->setInstance(state, instance, now);
    if (isMoved)
        this->impl->index();
}

void EndpointTable::remove(const EndpointId& id)
{
    const InstanceState* known = this->impl->find(id);
    if (!known)
        return;
    const ServiceName service = known->instance.service;
    // Without a start time nothing tells the next process of the instance from the one that leaves.
    if (known->instance.startedAt == 0)
        this->impl->leaving.erase(id);
    this->impl->instances.erase(id);
    this->impl->index();
    this->impl->uncounted.insert(service);
}

std::vector<EndpointId> EndpointTable::ids() const
{
    std::vector<EndpointId> ids;
    for (const auto& [id, state] : this->impl->instances)
        ids.push_back(id);
    return ids;
}

const EndpointInstance* EndpointTable::find(const EndpointId& id) const
{
    const InstanceState* state = this->impl->find(id);
    return state ? &state->instance : nullptr;
}

namespace {

    /// The cheapest instance of those considered so far.
    struct Cheapest {
        const Candidate* candidate = nullptr;
        double cost = 0;

        void consider(const Candidate& other, double otherCost)
        {
            if (this->candidate && otherCost >= this->cost)
                return;
            this->candidate = &other;
            this->cost = otherCost;
        }
    };

    double costWithWait(const Candidate& candidate)
    {
        return candidate.cost + static_cast<double>(candidate.room.wait->count());
    }

}

std::uint64_t EndpointTable::Impl::draw()
{
    // SplitMix64 (Steele, Lea and Flood, 2014).
    std::uint64_t bits = this->costs.seed + ++this->draws * 0x9e3779b97f4a7c15U;
    bits = (bits ^ bits >> 30U) * 0xbf58476d1ce4e5b9U;
    bits = (bits ^ bits >> 27U) * 0x94d049bb133111ebU;
    return bits ^ bits >> 31U;
}

/// Chooses among the candidates that cost nearly as little as `best`: the preferred instance if it is one of them,
/// otherwise one to which a connection is idle, if there is one.
static const Candidate* chooseNearEqual(std::vector<Candidate>& candidates, const Cheapest& best,
    const EndpointCosts& costs, const ConnectionKnowledge& connections, const InstanceState* preferred,
    std::uint64_t drawn)
{
    std::uint64_t count = 0;
    std::uint64_t connected = 0;
    const auto isNear = [&](const Candidate& candidate) {
        return candidate.room.wait && candidate.hasRoom == best.candidate->hasRoom
            && costWithWait(candidate) <= best.cost + costs.nearEqualMs;
    };
    for (Candidate& candidate : candidates) {
        if (!isNear(candidate))
            continue;
        if (candidate.state == preferred)
            return &candidate;
        candidate.isConnected = connections.hasIdle && connections.hasIdle(candidate.state->instance.address);
        ++count;
        connected += candidate.isConnected ? 1 : 0;
    }
    std::uint64_t left = drawn % (connected > 0 ? connected : count);
    for (const Candidate& candidate : candidates) {
        if (isNear(candidate) && (connected == 0 || candidate.isConnected) && left-- == 0)
            return &candidate;
    }
    return best.candidate;
}

std::optional<PlacementChoice> EndpointTable::choose(
    const PlacementQuery& query, TimePoint now, const LimitRooms& rooms) const
{
    Impl& self = *this->impl;
    const auto instances = self.byService.find(query.service);
    if (instances == self.byService.end())
        return std::nullopt;
    if (query.mayBeResumed)
        self.countVersions(query.service);
    PlacementInputs inputs { query, self.loadOf(query.service, instances->second, now) };
    self.hashParts(query);
    for (const PromptPart& part : query.prompt)
        inputs.promptTokens += part.tokens.value;
    if (!query.subject.empty())
        inputs.subject = hash64(query.subject);
    std::vector<Candidate>& candidates = self.candidates;
    candidates.clear();
    for (const InstanceState* state : instances->second) {
        if (self.mayGet(*state, query, now))
            candidates.push_back({ state, rooms ? rooms(state->instance.id) : LimitRoom() });
    }
    const InstanceState* preferred = preferredInstance(query, candidates, inputs.service.isLearned);
    std::erase_if(candidates,
        [&query](const Candidate& candidate) { return query.excluded.contains(candidate.state->instance.id); });
    Cheapest withRoom;
    Cheapest withoutRoom;
    Cheapest withoutWait;
    for (Candidate& candidate : candidates) {
        const InstanceState& state = *candidate.state;
        candidate.load = self.expectedLoad(state, inputs.service);
        if (inputs.service.isLearned)
            candidate.workTime = expectedWorkTime(state.speed, now, self.costs.speed);
        candidate.cost = self.cost(candidate, inputs, &state == preferred);
        withoutWait.consider(candidate, candidate.cost);
        if (!candidate.room.wait)
            continue;
        const double slots = std::max<std::uint32_t>(state.instance.slots, 1);
        candidate.hasRoom = candidate.load < query.maxLoad * slots;
        Cheapest& cheapest = candidate.hasRoom ? withRoom : withoutRoom;
        cheapest.consider(candidate, costWithWait(candidate));
    }
    const Cheapest& least = withRoom.candidate ? withRoom : withoutRoom;
    if (!least.candidate)
        return std::nullopt;
    const Candidate* best = least.candidate;
    if (self.costs.seed != 0 && inputs.service.isLearned)
        best = chooseNearEqual(candidates, least, self.costs, self.connections, preferred, self.draw());
    const InstanceState& state = *best->state;
    PlacementChoice choice;
    choice.endpoint = state.instance.id;
    choice.address = state.instance.address;
    choice.expectedLoad = best->load;
    if (state.reportedAt)
        choice.reportAge = std::chrono::duration_cast<Milliseconds>(now - *state.reportedAt);
    choice.slots = state.instance.slots;
    choice.cachedTokens = self.cachedTokens(state, query);
    choice.workTime = best->workTime;
    choice.expectedMs = self.workCost(*best, inputs, &state == preferred);
    choice.wait = *best->room.wait;
    choice.hasRoom = withRoom.candidate != nullptr;
    if (withoutWait.candidate->room.isLimited && withoutWait.candidate != best)
        choice.passedOver = withoutWait.candidate->state->instance.id;
    return choice;
}

// Load ---------------------------------------------------------------------------------------------------------------

void EndpointTable::onSent(const EndpointId& id, const PlacementQuery& query)
{
    InstanceState* state = this->impl->find(id);
    if (!state)
        return;
    ++state->ownCalls;
    for (const PromptPart& part : query.prompt)
        state->parts.touch(hash64(part.id.value));
    if (!query.subject.empty())
        state->parts.touch(hash64(query.subject));
}

void EndpointTable::onEnded(const EndpointId& id)
{
    InstanceState* state = this->impl->find(id);
    if (state && state->ownCalls > 0)
        --state->ownCalls;
}

void EndpointTable::onLoad(const EndpointId& id, const EndpointLoad& load, TimePoint now)
{
    InstanceState* state = this->impl->find(id);
    if (!state)
        return;
    state->otherCalls = std::max(0.0, static_cast<double>(load.running) + load.waiting - state->ownCalls);
    state->reportedAt = now;
    if (!load.pace)
        return;
    this->impl->work[state->instance.service].statesPace = true;
    observePace(state->speed, *load.pace, now, this->impl->costs.speed);
}

void EndpointTable::onFailure(const EndpointId& id, TimePoint now)
{
    if (InstanceState* state = this->impl->find(id))
        state->failedAt = now;
}

void EndpointTable::onFull(const EndpointId& id, TimePoint now)
{
    InstanceState* state = this->impl->find(id);
    if (!state)
        return;
    // A full instance has all its slots taken, by calls of this process or of others. Its load is set to at least twice
    // its slots.
    state->otherCalls = std::max(state->otherCalls, 2.0 * state->instance.slots - state->ownCalls);
    state->reportedAt = now;
}

}
