#pragma once

#include "gatewayimpl.h"

/// What a turn that is retained consists of, when several requests of its caller bring its events.
namespace Rattandeck {

/// Whether the turn of the call is stored once it has been answered.
bool retainsTurn(const GatewayCallState& call);

/// Whether the call asks for the end of a turn that would be retained without its first events, as nothing is known of
/// them on a route whose streams can't be resumed.
bool lacksFirstEvents(const GatewayCallState& call);

/// The id by which journals know the stream of the call: that of the request that began it.
TurnId streamOf(const GatewayCallState& call);

/// Begins the turn's output with what earlier requests have brought.
void beginOutput(GatewayCallState& call, std::string output);

void addToOutput(GatewayCallState& call, const StreamEvent& event);

}
