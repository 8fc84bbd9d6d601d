#pragma once

#include "cluster.h"

#include <set>

namespace RattandeckProve {

/// Simulates the platform's object API with versions, conditional updates and watches, and its faults: outages, lost
/// answers and late effects. The entry's adapter, which ends a call after its timeout, is part of the simulation.
class FakeObjectApi {
public:
    FakeObjectApi(World& world, Cluster& cluster);

    void call(Process& process, std::uint64_t request, const ObjectRequest& body);
    /// Performs an operator's conditional update, which requires the version that the operator has read. Returns
    /// whether the update was accepted.
    bool putByOperator(const ObjectKey& key, ObjectVersion expected, const std::string& value);
    ObjectVersion versionOf(const ObjectKey& key) const;
    bool isUp() const { return this->outages == 0; }

    /// Faults of the same kind may overlap. The kind stays in effect until the last of them has ended.
    void beginOutage() { ++this->outages; }
    void endOutage();
    void beginCut(std::uint32_t index) { ++this->cuts[index]; }
    void endCut(std::uint32_t index);
    void beginLosingAnswers() { ++this->losing; }
    void endLosingAnswers() { --this->losing; }
    void beginLateWatches() { ++this->late; }
    void endLateWatches() { --this->late; }

private:
    bool reaches(std::uint32_t index) const { return this->isUp() && this->cuts.at(index) == 0; }
    ObjectOutcome execute(const ObjectRequest& body);
    ObjectOutcome put(const ObjectPut& body);
    void answer(Process& process, Life life, std::uint64_t request, ObjectOutcome outcome, Duration delay);
    void notify(const StoredObject& object);
    void notifyOne(Process& process, const StoredObject& object);
    /// Sends the changes that a node missed while it could not reach the object API.
    void catchUp(std::uint32_t index);

    World& world;
    Chance chance;
    Cluster& cluster;
    std::map<ObjectKey, StoredObject> objects;
    ObjectVersion revision;
    std::uint32_t outages = 0;
    std::uint32_t losing = 0;
    std::uint32_t late = 0;
    std::array<std::uint32_t, processCount> cuts {};
    std::array<std::set<ObjectKey>, processCount> missed;
};

}
