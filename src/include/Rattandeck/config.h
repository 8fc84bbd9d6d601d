#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/objects.h"

#include <map>
#include <string_view>
#include <vector>

namespace Rattandeck {

/// Kinds of objects that make up the configuration.
constexpr std::string_view configKinds[] = { "endpoint", "program", "policy", "selector", "quarantine" };

bool isConfigKind(std::string_view kind);

/// The highest version known of each configuration object. Deletions are remembered, so that nothing ever reverts.
///
/// Thread safety: as any value.
class ConfigReplica {
public:
    /// Returns false, and changes nothing, when the same or a higher version is known.
    bool apply(const ConfigObject& object);
    /// Takes in all objects of one kind as listed at `revision`. What is known but was not listed has been deleted.
    /// Returns the objects that changed.
    std::vector<ConfigObject> applyList(
        std::string_view kind, const std::vector<StoredObject>& listed, ObjectVersion revision);
    /// Takes in a peer's update; returns the objects that changed.
    std::vector<ConfigObject> applyUpdate(const ConfigUpdate& update);

    /// Returns null when the object is unknown or deleted.
    const ConfigObject* find(const ObjectKey& key) const;
    /// Everything known, deletions included.
    ConfigUpdate all() const;
    /// Every change accepted up to this revision of the store is included.
    ObjectVersion revision() const;
    /// Highest version of any object.
    ObjectVersion highestVersion() const { return this->highest; }

private:
    std::map<ObjectKey, ConfigObject> objects;
    std::map<std::string, ObjectVersion, std::less<>> listedRevisions;
    ObjectVersion peersRevision;
    ObjectVersion highest;
};

}
