#pragma once

#include "world.h"

#include <set>

namespace RattandeckProve {

/// Simulated store of the platform with the objects that journals use: their set and the retirements.
class Store {
public:
    explicit Store(World& world)
        : world(world)
    {
    }

    void readSet(Process& journal);
    void writeSet(Process& journal, const JournalSet& set);

    /// Each fault may be begun several times at once; it is over when each begin has been matched by an end.
    void beginOutage() { ++this->outages; }
    void endOutage() { --this->outages; }
    void beginLosingAnswers() { ++this->losses; }
    void endLosingAnswers() { --this->losses; }
    void beginCut(const NodeId& node) { this->cutOff.insert(node); }
    void endCut(const NodeId& node) { this->cutOff.erase(this->cutOff.find(node)); }

    bool isReachableFrom(const NodeId& node) const { return this->outages == 0 && !this->cutOff.contains(node); }
    bool isCalm() const { return this->outages == 0 && this->losses == 0 && this->cutOff.empty(); }

    /// Journals that the operator wants to retire.
    std::set<NodeId> retirements;

    const std::optional<JournalSet>& set() const { return this->stored; }

private:
    bool change(std::uint64_t expectedRevision, const JournalSet& set);
    void answer(Process& journal, std::uint64_t runNumber, Milliseconds delay, std::function<void()> callback);

    World& world;
    std::optional<JournalSet> stored;
    std::uint64_t revision = 0;
    std::uint32_t outages = 0;
    std::uint32_t losses = 0;
    std::multiset<NodeId> cutOff;
};

}
