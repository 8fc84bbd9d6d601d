#pragma once

#include "Rattandeck/messages.h"

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <string_view>

/// The JSON of the callers' API (docs/API.md) to and from the core's messages.
namespace RattandeckApp {

/// A request that can't be understood. Nothing was done.
struct RequestError {
    std::string field;
    std::string reason;
};

/// Bodies of `POST /v1/programs`, `POST /v1/programs/{id}/calls` and `POST /v1/calls`. Header names are lower case.
tl::expected<Rattandeck::CallerRequest, RequestError> readOpening(const std::string& body);
tl::expected<Rattandeck::CallerRequest, RequestError> readCall(
    const Rattandeck::ProgramId& program, const std::string& body, const std::map<std::string, std::string>& headers);
tl::expected<Rattandeck::CallerRequest, RequestError> readKeyedCall(
    const std::string& body, const std::map<std::string, std::string>& headers);

std::string toJson(const Rattandeck::AnswerTokens& tokens);
std::string toJson(const Rattandeck::AnswerDone& done);
/// Body of an `application/problem+json` answer.
std::string toJson(const Rattandeck::Problem& problem);
std::string toJson(const RequestError& error);

int httpStatus(const Rattandeck::Problem& problem);

}
