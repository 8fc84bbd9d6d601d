#pragma once

#include "Rattandeck/gateway.h"
#include "RattandeckNet/http.h"

#include <optional>

/// Conversion of calls and answers between HTTP and the gateway's types.
namespace Platform {

/// Decodes the fields of a caller's request that the gateway uses. Missing and malformed fields are left empty.
Rattandeck::GatewayCall readCall(const RattandeckNet::HttpRequest& request);

/// Builds the request to an endpoint instance from the caller's request.
RattandeckNet::HttpRequest writeCall(const RattandeckNet::HttpRequest& request, const Rattandeck::EndpointSend& send);

Rattandeck::EndpointAnswer readAnswer(int status, const RattandeckNet::HttpHeaders& headers);
/// Returns whether an answer belongs to the request with this id. Answers without an id are accepted.
bool isAnswerTo(const RattandeckNet::HttpHeaders& headers, const Rattandeck::TurnId& request);
/// Returns whether an answer tells which request it belongs to.
bool namesItsRequest(const RattandeckNet::HttpHeaders& headers);
/// Builds the question that an instance answers with what it tells of itself.
RattandeckNet::HttpRequest writeReportRequest();
/// Returns the start time of the process that has answered, in milliseconds since the Unix epoch; empty if the answer
/// doesn't tell it.
std::optional<std::int64_t> readStartTime(const RattandeckNet::HttpResponse& report);
/// Returns the headers of an instance's answer without those that are not meant for the caller.
RattandeckNet::HttpHeaders writeAnswerHeaders(RattandeckNet::HttpHeaders headers);

RattandeckNet::HttpResponse writeRefusal(const Rattandeck::CallRefusal& refusal, const Rattandeck::TurnId& request);

}
