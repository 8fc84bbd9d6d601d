#pragma once

#include "Rattandeck/journalmessages.h"

/// Ids under which the retained turns of organisations are stored.
namespace Rattandeck {

/// Returns the id under which a turn of an organisation is stored; calls without an organisation pass an empty id. Two
/// pairs of organisation and turn never have the same id.
///
/// The id begins with a control character, which HTTP allows in no header, so that it also differs from every id that
/// a caller chose while the configuration had no organisations.
TurnId scopedTurn(const OrganisationId& organisation, const TurnId& turn);

/// Whether an id has the form of those of `scopedTurn`.
bool isScoped(const TurnId& turn);

/// Returns the id that the caller chose, for logs. Other ids than those of `scopedTurn` are returned as they are.
TurnId unscopedTurn(const TurnId& recorded);

}
