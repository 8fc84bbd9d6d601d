#pragma once

#include "Rattandeck/gateway.h"
#include "RattandeckNet/http.h"

#include <optional>

/// Calls and answers as they are on the wire, to and from the gateway's types.
namespace Platform {

/// Reads what the gateway needs of a caller's request; the request itself stays as it is. Fields that are missing or
/// malformed are left empty.
Rattandeck::GatewayCall readCall(const RattandeckNet::HttpRequest& request);

/// Makes the request that an endpoint instance gets of the caller's.
RattandeckNet::HttpRequest writeCall(const RattandeckNet::HttpRequest& request, const Rattandeck::EndpointSend& send);

Rattandeck::EndpointAnswer readAnswer(int status, const RattandeckNet::HttpHeaders& headers);
/// Whether an answer is to the request of this name.
bool answers(const RattandeckNet::HttpHeaders& headers, const Rattandeck::TurnId& request);
/// The headers of an instance's answer that its caller gets.
RattandeckNet::HttpHeaders writeAnswerHeaders(RattandeckNet::HttpHeaders headers);

RattandeckNet::HttpResponse writeRefusal(const Rattandeck::CallRefusal& refusal, const Rattandeck::TurnId& request);

}
