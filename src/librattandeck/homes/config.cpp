#include "Rattandeck/config.h"

#include <algorithm>
#include <set>

namespace Rattandeck {

bool isConfigKind(std::string_view kind)
{
    return std::find(std::begin(configKinds), std::end(configKinds), kind) != std::end(configKinds);
}

bool ConfigReplica::apply(const ConfigObject& object)
{
    const ObjectKey key { object.kind, object.name };
    const auto found = this->objects.find(key);
    if (found != this->objects.end() && object.version <= found->second.version)
        return false;
    this->objects[key] = object;
    this->highest = std::max(this->highest, object.version);
    return true;
}

std::vector<ConfigObject> ConfigReplica::applyList(
    std::string_view kind, const std::vector<StoredObject>& listed, ObjectVersion revision)
{
    std::vector<ConfigObject> changed;
    std::set<std::string> names;
    for (const StoredObject& object : listed) {
        names.insert(object.key.name);
        const ConfigObject update { object.key.kind, object.key.name, object.version, object.deleted, object.value };
        if (this->apply(update))
            changed.push_back(update);
    }
    std::vector<ConfigObject> missing;
    for (const auto& [key, object] : this->objects) {
        const bool mayBeNewer = object.version > revision;
        if (key.kind == kind && !object.deleted && !mayBeNewer && !names.contains(key.name))
            missing.push_back({ key.kind, key.name, revision, true, {} });
    }
    for (const ConfigObject& deletion : missing) {
        if (this->apply(deletion))
            changed.push_back(deletion);
    }
    ObjectVersion& known = this->listedRevisions[std::string(kind)];
    known = std::max(known, revision);
    return changed;
}

std::vector<ConfigObject> ConfigReplica::applyUpdate(const ConfigUpdate& update)
{
    std::vector<ConfigObject> changed;
    for (const ConfigObject& object : update.objects) {
        if (isConfigKind(object.kind) && this->apply(object))
            changed.push_back(object);
    }
    this->peersRevision = std::max(this->peersRevision, update.revision);
    return changed;
}

const ConfigObject* ConfigReplica::find(const ObjectKey& key) const
{
    const auto found = this->objects.find(key);
    if (found == this->objects.end() || found->second.deleted)
        return nullptr;
    return &found->second;
}

ConfigUpdate ConfigReplica::all() const
{
    ConfigUpdate update;
    update.revision = this->revision();
    for (const auto& [key, object] : this->objects)
        update.objects.push_back(object);
    return update;
}

ObjectVersion ConfigReplica::revision() const
{
    if (this->listedRevisions.size() < std::size(configKinds))
        return this->peersRevision;
    ObjectVersion lowest = this->listedRevisions.begin()->second;
    for (const auto& [kind, revision] : this->listedRevisions)
        lowest = std::min(lowest, revision);
    return std::max(lowest, this->peersRevision);
}

}
