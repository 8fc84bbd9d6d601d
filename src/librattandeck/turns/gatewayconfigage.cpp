#include "gatewayimpl.h"
#include "Rattandeck/configconfirmation.h"

#include <xxhash.h>

#include <algorithm>

/// Calls with keys while the configuration may have been replaced by one that takes the keys away.
namespace Rattandeck {

/// Mean delay after which the caller of a call that was refused for the age of the configuration may retry. Another
/// gateway may serve it at once; this one asks journals every 0.5 s.
constexpr Milliseconds tooOldRetryAfter { 500 };

static bool needsKey(const RouteTable& table, const Route& route)
{
    return table.organisations() != nullptr && !route.isPublic;
}

/// Whether no byte of the call has reached an instance on any of its sends.
static bool isUnwritten(const GatewayCallState& call)
{
    const std::uint32_t unwritten = call.send.value != 0 && !call.isWritten ? 1 : 0;
    return call.runs == unwritten && call.events == 0;
}

/// Whether a later configuration has taken away the key by which the call was admitted.
static bool hasLostKey(const GatewayCallState& call, const RouteTable& latest)
{
    if (latest.organisations() == nullptr || !call.call.key)
        return false;
    const Route* route = latest.find(call.call.host, call.call.path);
    return !(route && route->isPublic) && latest.organisations()->findByKey(*call.call.key) == nullptr;
}

// Public -------------------------------------------------------------------------------------------------------------

void Gateway::onConfigConfirmed(TimePoint confirmedAt) { this->impl->configConfirmedAt = confirmedAt; }

bool Gateway::hasOrganisations() const { return this->impl->table && this->impl->table->organisations() != nullptr; }

bool Gateway::isConfigTooOld() const
{
    const Impl& self = *this->impl;
    return this->hasOrganisations()
        && Rattandeck::isConfigTooOld(self.configConfirmedAt, self.limits.maxConfigAge, self.timers.now());
}

// Admission ----------------------------------------------------------------------------------------------------------

/// Precondition: the gateway has a configuration.
bool Gateway::Impl::isTooOldFor(const Route& route) const
{
    return needsKey(*this->table, route)
        && Rattandeck::isConfigTooOld(this->configConfirmedAt, this->limits.maxConfigAge, this->timers.now());
}

/// Returns why a call must not be sent that was admitted by its key. What has been written once goes on.
std::optional<RejectionReason> Gateway::Impl::keyObjection(const Call& call) const
{
    if (!needsKey(*call.table, *call.route) || !isUnwritten(call))
        return std::nullopt;
    if (this->table != call.table && hasLostKey(call, *this->table))
        return RejectionReason::KeyUnknown;
    if (Rattandeck::isConfigTooOld(this->configConfirmedAt, this->limits.maxConfigAge, this->timers.now()))
        return RejectionReason::ConfigurationTooOld;
    return std::nullopt;
}

/// Precondition: `keyObjection` is empty, and the send is the current one.
void Gateway::Impl::limitWriting(const Call& call, EndpointSend& details) const
{
    if (this->limits.maxConfigAge <= Milliseconds(0) || !needsKey(*call.table, *call.route) || !isUnwritten(call))
        return;
    const auto until = keysValidUntil(this->configConfirmedAt, this->limits.maxConfigAge);
    if (until)
        details.writeBy = std::min(details.writeBy.value_or(*until), *until);
}

/// Ends the calls whose key is not in the latest configuration, unless they have been written to an instance.
void Gateway::Impl::endCallsWithoutKey()
{
    std::vector<CallId> ended;
    for (const auto& [id, call] : this->calls) {
        if (this->keyObjection(*call) == RejectionReason::KeyUnknown)
            ended.push_back(id);
    }
    for (const CallId id : ended) {
        if (Call* call = this->find(id))
            this->failCall(*call, RejectionReason::KeyUnknown);
    }
}

/// Delay after which a caller may retry that was refused for its key or for the age of the configuration; empty for
/// other reasons. Callers are spread over the same time before and after the mean.
std::optional<Milliseconds> Gateway::Impl::keyRetryDelay(const TurnId& request, RejectionReason reason) const
{
    if (reason == RejectionReason::KeyUnknown)
        return Milliseconds(0);
    if (reason != RejectionReason::ConfigurationTooOld)
        return std::nullopt;
    const auto span = static_cast<std::uint64_t>(tooOldRetryAfter.count());
    const std::uint64_t position = XXH3_64bits(request.value.data(), request.value.size()) % span;
    return tooOldRetryAfter / 2 + Milliseconds(position);
}

}
