#pragma once

#include "world.h"

#include <array>
#include <map>

namespace RattandeckProve {

/// Links between every two processes of which one is a journal. A cut is noticed only by silence; what is sent during a
/// short cut arrives after it.
class Links {
public:
    Links(World& world, std::vector<std::unique_ptr<Process>>& processes)
        : world(world)
        , processes(processes)
    {
    }

    bool send(Process& from, const NodeId& to, const Message& message);
    void cut(std::size_t one, std::size_t other) { ++this->cuts[keyOf(one, other)]; }
    void heal(std::size_t one, std::size_t other) { --this->cuts[keyOf(one, other)]; }
    /// Both processes see the link go down; what is under way is lost.
    void breakLink(std::size_t one, std::size_t other);
    void onEnded(const Process& process);
    /// Lets links come and go.
    void tick();

private:
    using Key = std::pair<std::size_t, std::size_t>;

    struct Held {
        Message message;
        std::uint64_t generation = 0;
    };

    struct Link {
        /// Tells a connection from the next.
        std::uint64_t generation = 0;
        std::array<bool, 2> isUp {};
        /// Runs of the processes between which it was made.
        std::array<std::uint64_t, 2> lives {};
        std::array<std::deque<Held>, 2> held;
        std::array<TimePoint, 2> lastArrival {};
        TimePoint lastHealthy;
        std::optional<TimePoint> readyAt;
        /// One way.
        Duration delay { 0 };
    };

    static Key keyOf(std::size_t one, std::size_t other) { return { std::min(one, other), std::max(one, other) }; }
    Process& at(std::size_t index) const { return *this->processes[index]; }
    std::optional<std::size_t> indexOf(const NodeId& node) const;
    bool isReachable(const Key& key) const;
    bool isHealthy(const Key& key) const;
    void tick(const Key& key, Link& link);
    void connect(const Key& key, Link& link);
    void setDown(const Key& key, Link& link, std::size_t side);
    void arrive(const Key& key, std::size_t toSide, Held held);

    World& world;
    std::vector<std::unique_ptr<Process>>& processes;
    std::map<Key, Link> links;
    std::map<Key, std::uint32_t> cuts;
};

}
