#pragma once

#include "gatewayimpl.h"

/// Decisions that depend on the organisation of a call's caller.
namespace Rattandeck {

/// Returns the organisation that a call belongs to, or null if it belongs to none; or why the call is refused.
/// `organisations` is null if the configuration has none.
tl::expected<const Organisation*, RejectionReason> organisationOf(
    const OrganisationDirectory* organisations, const Route& route, const std::optional<KeyDigest>& key);

/// The rank of the call's organisation if that has one, else the rank of the call's route.
std::uint32_t rankOf(const GatewayCallState& call);

/// Position of the call in the queue.
AdmissionOrder admissionOrderOf(const GatewayCallState& call);

/// The id under which journals keep a turn that the call stores or continues. Empty if `turn` is empty.
TurnId recordedTurn(const GatewayCallState& call, const TurnId& turn);

/// Hash of a request's host, path, subject, previous turn, body and organisation. Identifies a request that comes
/// again, to count the crashes that it causes. The input of a turn is a small part of its prompt, so the turn that it
/// continues is included.
Fingerprint fingerprintOf(const GatewayCall& call, const Organisation* organisation);

}
