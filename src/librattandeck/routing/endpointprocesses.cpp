#include "endpointsimpl.h"

#include <algorithm>

/// Which process runs under an instance's id, at which version, and whether it leaves.
namespace Rattandeck {

/// Time for which it is kept that a process leaves. It has ended by then, and its entry is gone.
constexpr std::chrono::minutes leavingRetention { 10 };

// Versions -----------------------------------------------------------------------------------------------------------

/// Finds out which instances are the only one of their version, if instances of the service have changed.
void EndpointTable::Impl::countVersions(const ServiceName& service)
{
    const auto found = this->byService.find(service);
    if (this->uncounted.erase(service) == 0 || found == this->byService.end())
        return;
    std::map<SoftwareVersion, std::size_t> counts;
    for (const InstanceState* state : found->second) {
        if (!state->instance.isDraining)
            ++counts[state->instance.version];
    }
    for (InstanceState* state : found->second)
        state->hasLoneVersion = counts[state->instance.version] < 2;
}

std::optional<std::int64_t> EndpointTable::Impl::toldProcess(const InstanceState& state) const
{
    return this->connections.processAt ? this->connections.processAt(state.instance.address) : std::nullopt;
}

/// Whether the process of the instance is the one that registered what is known.
bool EndpointTable::Impl::isProcessKnown(const InstanceState& state, TimePoint now) const
{
    const std::string& address = state.instance.address;
    const auto told = this->toldProcess(state);
    if (told && state.instance.startedAt != 0)
        return *told == state.instance.startedAt;
    if (state.doubtedAt || !this->viewedAt)
        return false;
    if (now - *this->viewedAt <= this->costs.recentView)
        return true;
    const auto since = this->connections.connectedSince ? this->connections.connectedSince(address) : std::nullopt;
    return since && *since + this->costs.registrationPeriod <= *this->viewedAt;
}

bool EndpointTable::Impl::mayGet(const InstanceState& state, const PlacementQuery& query, TimePoint now) const
{
    if (!query.version)
        return !state.instance.isDraining;
    // An instance that can tell which process it is, and has not told, is asked before a call is sent that must go to
    // its version (`ProcessCheck::First`).
    const bool canBeAsked = state.instance.startedAt != 0 && !this->toldProcess(state);
    if (state.instance.version != *query.version || !(canBeAsked || this->isProcessKnown(state, now)))
        return false;
    return !state.instance.isDraining
        || (state.leavingSince && now - *state.leavingSince < this->costs.leavingGracePeriod);
}

std::optional<SoftwareVersion> EndpointTable::versionOf(
    const EndpointId& id, std::int64_t startedAt, TimePoint now) const
{
    const InstanceState* state = this->impl->find(id);
    if (!state || state->instance.startedAt != startedAt || !this->impl->isProcessKnown(*state, now))
        return std::nullopt;
    return state->instance.version;
}

void EndpointTable::onUnreachable(const EndpointId& id, TimePoint now)
{
    if (InstanceState* state = this->impl->find(id))
        state->doubtedAt = now;
}

void EndpointTable::onConnectionsLost(const std::string& address, TimePoint now)
{
    for (auto& [id, state] : this->impl->instances) {
        if (state.instance.address == address)
            state.doubtedAt = now;
    }
}

void EndpointTable::onStoreViewed(TimePoint viewedAt)
{
    this->impl->viewedAt = std::max(viewedAt, this->impl->viewedAt.value_or(viewedAt));
    for (auto& [id, state] : this->impl->instances) {
        if (state.doubtedAt && viewedAt - *state.doubtedAt >= this->impl->costs.registrationPeriod)
            state.doubtedAt.reset();
    }
}

// Leaving ------------------------------------------------------------------------------------------------------------

/// Whether the process of the instance has said that it leaves.
bool EndpointTable::Impl::isLeaving(const EndpointInstance& instance) const
{
    const auto found = this->leaving.find(instance.id);
    return found != this->leaving.end() && found->second.startedAt >= instance.startedAt;
}

void EndpointTable::Impl::setInstance(InstanceState& state, const EndpointInstance& instance, TimePoint now)
{
    const bool wasDraining = state.instance.isDraining;
    state.instance = instance;
    state.instance.isDraining = instance.isDraining || this->isLeaving(instance);
    if (!state.instance.isDraining)
        state.leavingSince.reset();
    else if (!wasDraining)
        state.leavingSince = now;
}

bool EndpointTable::onLeaving(const EndpointId& id, std::int64_t startedAt, TimePoint now)
{
    std::erase_if(
        this->impl->leaving, [now](const auto& entry) { return now - entry.second.since > leavingRetention; });
    const auto known = this->impl->leaving.find(id);
    if (known != this->impl->leaving.end() && known->second.startedAt >= startedAt)
        return false;
    this->impl->leaving[id] = { startedAt, now };
    if (InstanceState* state = this->impl->find(id)) {
        this->impl->setInstance(*state, EndpointInstance(state->instance), now);
        this->impl->uncounted.insert(state->instance.service);
    }
    return true;
}

}
