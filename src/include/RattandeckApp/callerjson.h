#pragma once

#include "Rattandeck/messages.h"

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <string_view>

/// Converts between the JSON of the callers' API (docs/API.md) and the core's messages.
namespace RattandeckApp {

/// Reason for rejecting a request that can't be parsed or is invalid. The request has had no effect.
struct RequestError {
    std::string field;
    std::string reason;
};

/// Parse the bodies of `POST /v1/programs`, `POST /v1/programs/{id}/calls` and `POST /v1/calls`, in this order. Header
/// names are lower case.
tl::expected<Rattandeck::CallerRequest, RequestError> readOpening(const std::string& body);
tl::expected<Rattandeck::CallerRequest, RequestError> readCall(
    const Rattandeck::ProgramId& program, const std::string& body, const std::map<std::string, std::string>& headers);
tl::expected<Rattandeck::CallerRequest, RequestError> readKeyedCall(
    const std::string& body, const std::map<std::string, std::string>& headers);

std::string toJson(const Rattandeck::AnswerTokens& tokens);
std::string toJson(const Rattandeck::AnswerDone& done);
/// Body of an `application/problem+json` response.
std::string toJson(const Rattandeck::Problem& problem);
std::string toJson(const RequestError& error);

int httpStatus(const Rattandeck::Problem& problem);

}
