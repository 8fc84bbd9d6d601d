#include "gatewayorganisations.h"

#include "Rattandeck/turnscope.h"

#include <xxhash.h>

namespace Rattandeck {

tl::expected<const Organisation*, RejectionReason> organisationOf(
    const OrganisationDirectory* organisations, const Route& route, const std::optional<KeyDigest>& key)
{
    if (!organisations)
        return nullptr;
    const Organisation* holder = key ? organisations->findByKey(*key) : nullptr;
    if (!holder && !route.isPublic)
        return tl::unexpected(RejectionReason::KeyUnknown);
    return holder;
}

std::uint32_t rankOf(const GatewayCallState& call)
{
    const std::uint32_t ofRoute = call.route->rank;
    return call.organisation ? call.organisation->rank.value_or(ofRoute) : ofRoute;
}

TurnId recordedTurn(const GatewayCallState& call, const TurnId& turn)
{
    if (!call.table->organisations() || turn.value.empty())
        return turn;
    return scopedTurn(call.organisation ? call.organisation->id : OrganisationId(), turn);
}

Fingerprint fingerprintOf(const GatewayCall& call, const Organisation* organisation)
{
    XXH128_hash_t hash {};
    for (const std::string* part : { &call.host, &call.path, &call.subject, &call.previousTurn.value, &call.body })
        hash = XXH3_128bits_withSeed(part->data(), part->size(), hash.low64);
    // Without an organisation the hash is the one of earlier versions, with which crash reports are exchanged.
    if (organisation)
        hash = XXH3_128bits_withSeed(organisation->id.value.data(), organisation->id.value.size(), hash.low64);
    return Fingerprint(std::to_string(hash.high64) + "." + std::to_string(hash.low64));
}

/// A turn that was stored before the first configuration with organisations, or by a gateway of an earlier version,
/// has an id without an organisation.
void Gateway::Impl::fetchWithoutOwner(Call& call)
{
    // A plain id of this form names a turn that has an owner. HTTP allows callers none, other protocols might.
    if (isScoped(call.call.previousTurn)) {
        this->refuse(call, RejectionReason::UnknownTurn);
        return;
    }
    this->journals.fetch(
        call.call.previousTurn, [this, id = call.id](const tl::expected<std::string, JournalError>& outcome) {
            Call* open = this->find(id);
            if (!open)
                return;
            if (outcome)
                this->refuse(*open, RejectionReason::TurnOwnerUnknown);
            else if (outcome.error() == JournalError::NotFound)
                this->refuse(*open, RejectionReason::UnknownTurn);
            else
                this->refuse(*open, RejectionReason::JournalsUnavailable);
        });
}

}
