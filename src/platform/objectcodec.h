#pragma once

#include "objectstore.h"
#include "Rattandeck/endpoints.h"
#include "Rattandeck/journalmessages.h"
#include "Rattandeck/routing.h"

#include <optional>

/// Conversion of the store's objects to and from the types of this project.
namespace Platform {

/// Error of decoding: the field that is missing or invalid.
struct DecodeError {
    std::string field;
    /// Position of the entry in its list, for entries that are left out.
    std::optional<std::size_t> entry = {};
};

/// Decodes an endpoint instance. Other programs write these objects too, so an invalid object is
/// expected and yields an error.
tl::expected<Rattandeck::EndpointInstance, DecodeError> readEndpoint(const StoredObject& object);
/// An organisation that can't be read is left out and reported in `skipped`; the rest of the configuration holds.
tl::expected<Rattandeck::RoutingConfig, DecodeError> readConfig(
    const nlohmann::json& spec, std::vector<DecodeError>* skipped = nullptr);

tl::expected<Rattandeck::JournalSet, DecodeError> readJournalSet(const nlohmann::json& spec);
nlohmann::json writeJournalSet(const Rattandeck::JournalSet& set);

/// Encodes the status of a retirement, which the journal that is being retired writes.
nlohmann::json writeRetirementStatus(bool isRetirementComplete);

}
