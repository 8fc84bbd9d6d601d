#pragma once

#include "cluster.h"

#include <set>

namespace RattandeckProve {

/// The platform's object API: versions, conditional updates, watches, outages, lost answers, late effects. The entry's
/// adapter is part of it: it gives up on a call after the call's timeout.
class FakeObjectApi {
public:
    FakeObjectApi(World& world, Cluster& cluster);

    void call(Process& process, std::uint64_t request, const ObjectRequest& body);
    /// An operator's conditional update, made from the version that the operator has read. Returns whether it was
    /// taken.
    bool putByOperator(const ObjectKey& key, ObjectVersion expected, const std::string& value);
    ObjectVersion versionOf(const ObjectKey& key) const;
    bool isUp() const { return this->outages == 0; }

    /// Each may be begun several times at once.
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
    /// Sends what a node has missed while it could not watch.
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
