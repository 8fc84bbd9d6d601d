#pragma once

#include "objectstore.h"
#include "Rattandeck/endpoints.h"
#include "Rattandeck/journalmessages.h"
#include "Rattandeck/routing.h"

#include <optional>

/// Objects of the store, to and from the product's types.
namespace Platform {

/// What stopped an object from being understood.
struct BadObject {
    std::string field;
};

/// An entry may come from another writer; one that can't be read names no instance to use.
tl::expected<Rattandeck::EndpointInstance, BadObject> readEndpoint(const StoredObject& object);
tl::expected<Rattandeck::RoutingConfig, BadObject> readConfig(const nlohmann::json& spec);

tl::expected<Rattandeck::JournalSet, BadObject> readJournalSet(const nlohmann::json& spec);
nlohmann::json writeJournalSet(const Rattandeck::JournalSet& set);

/// The status of a retirement, told by the journal that is to be emptied.
nlohmann::json writeRetirementStatus(bool isRetirementComplete);

}
