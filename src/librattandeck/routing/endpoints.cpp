#include "endpointsimpl.h"
#include "Rattandeck/digest.h"

#include <algorithm>

namespace Rattandeck {

// Preferred instance -------------------------------------------------------------------------------------------------

namespace {

    /// An instance that may get the call.
    struct Candidate {
        const InstanceState* state = nullptr;
        LimitRoom room;
    };
}

/// The instance that all processes prefer for the query's key; null if there is none.
static const InstanceState* preferredInstance(const PlacementQuery& query, const std::vector<Candidate>& candidates)
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
        const std::uint64_t hash = rendezvousWeight(key, candidate.state->instance.id.value);
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
        state.pace.reset();
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

}

std::optional<PlacementChoice> EndpointTable::choose(
    const PlacementQuery& query, TimePoint now, const LimitRooms& rooms) const
{
    const auto instances = this->impl->byService.find(query.service);
    if (instances == this->impl->byService.end())
        return std::nullopt;
    if (query.mayBeResumed)
        this->impl->countVersions(query.service);
    const ServiceLoad service = this->impl->loadOf(instances->second, now);
    std::vector<Candidate> candidates;
    candidates.reserve(instances->second.size());
    for (const InstanceState* state : instances->second) {
        if (this->impl->mayGet(*state, query, now))
            candidates.push_back({ state, rooms ? rooms(state->instance.id) : LimitRoom() });
    }
    const InstanceState* preferred = preferredInstance(query, candidates);
    Cheapest withRoom;
    Cheapest withoutRoom;
    Cheapest withoutWait;
    for (const Candidate& candidate : candidates) {
        const InstanceState& state = *candidate.state;
        if (query.excluded.contains(state.instance.id))
            continue;
        const double cost = this->impl->cost(state, query, service, &state == preferred);
        withoutWait.consider(candidate, cost);
        if (!candidate.room.wait)
            continue;
        const double slots = std::max<std::uint32_t>(state.instance.slots, 1);
        const bool hasRoom = this->impl->expectedLoad(state, service) < query.maxLoad * slots;
        Cheapest& cheapest = hasRoom ? withRoom : withoutRoom;
        cheapest.consider(candidate, cost + static_cast<double>(candidate.room.wait->count()));
    }
    const Candidate* best = withRoom.candidate ? withRoom.candidate : withoutRoom.candidate;
    if (!best)
        return std::nullopt;
    const InstanceState& state = *best->state;
    PlacementChoice choice;
    choice.endpoint = state.instance.id;
    choice.address = state.instance.address;
    choice.expectedLoad = this->impl->expectedLoad(state, service);
    if (state.reportedAt)
        choice.reportAge = std::chrono::duration_cast<Milliseconds>(now - *state.reportedAt);
    choice.slots = state.instance.slots;
    choice.cachedTokens = this->impl->cachedTokens(state, query);
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
        state->parts.touch(part.id);
    if (!query.subject.empty())
        state->parts.touch(PromptPartId(query.subject));
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
    state->pace = load.pace;
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
