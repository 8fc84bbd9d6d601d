#include "resumedturns.h"

#include "gatewayorganisations.h"

namespace Rattandeck {

bool retainsTurn(const GatewayCallState& call) { return call.route->retainsTurns && !call.call.program.value.empty(); }

bool lacksFirstEvents(const GatewayCallState& call)
{
    return retainsTurn(call) && !call.isResumption && !call.call.resumeAfter.empty();
}

TurnId streamOf(const GatewayCallState& call)
{
    return recordedTurn(call, call.isResumption ? call.call.resumedRequest : call.call.request);
}

void beginOutput(GatewayCallState& call, std::string output)
{
    call.output = std::move(output);
    if (!call.output.empty())
        call.outputEvents.push_back({ call.call.resumeAfter, call.output.size() });
}

void addToOutput(GatewayCallState& call, const StreamEvent& event)
{
    call.output += event.data;
    call.output += '\n';
    if (!event.id.empty())
        call.outputEvents.push_back({ std::string(event.id), call.output.size() });
}

}
