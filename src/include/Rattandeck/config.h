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

/// The highest known version of each configuration object. Deletions are kept as tombstones, so that no object reverts
/// to an earlier version.
///
/// Thread safety: not synchronised. Different replicas can be used by different threads.
class ConfigReplica {
public:
    /// Returns false and changes nothing when the same or a higher version is already known.
    bool apply(const ConfigObject& object);
    /// Applies a complete listing of the objects of one kind at `revision`. Known objects missing from the list are
    /// recorded as deleted. Returns the objects that changed.
    std::vector<ConfigObject> applyList(
        std::string_view kind, const std::vector<StoredObject>& listed, ObjectVersion revision);
    /// Applies a peer's update; returns the objects that changed.
    std::vector<ConfigObject> applyUpdate(const ConfigUpdate& update);

    /// Returns null when the object is unknown or deleted.
    const ConfigObject* find(const ObjectKey& key) const;
    /// All known objects, tombstones included.
    ConfigUpdate all() const;
    /// The replica includes every change accepted up to this revision of the store.
    ObjectVersion revision() const;
    ObjectVersion highestVersion() const { return this->highest; }

private:
    std::map<ObjectKey, ConfigObject> objects;
    std::map<std::string, ObjectVersion, std::less<>> listedRevisions;
    ObjectVersion peersRevision;
    ObjectVersion highest;
};

}
