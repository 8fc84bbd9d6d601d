#include "endpoint.h"

using namespace Rattandeck;
using namespace RattandeckNet;

namespace {

constexpr int tooManyRequests = 429;
constexpr int serviceUnavailable = 503;

}

EndpointFailure failureOf(NetError error)
{
    switch (error) {
    case NetError::BadAddress:
    case NetError::ConnectFailed:
    case NetError::NotSent:
        return EndpointFailure::NotStarted;
    case NetError::Broken:
        return EndpointFailure::Crashed;
    case NetError::TimedOut:
        return EndpointFailure::TimedOut;
    case NetError::Malformed:
    case NetError::TooLarge:
    case NetError::AddressInUse:
        break;
    }
    return EndpointFailure::Error;
}

EndpointFailure failureOf(int status)
{
    const bool refused = status == serviceUnavailable || status == tooManyRequests;
    return refused ? EndpointFailure::NotStarted : EndpointFailure::Error;
}

HttpHeaders fenceHeaders(const EndpointSettings& settings, const EndpointCall& call)
{
    if (!settings.sendFence)
        return {};
    return { { "fencing-shard", std::to_string(call.program.shard.value) },
        { "fencing-number", std::to_string(call.epoch.value) } };
}
