#pragma once

#include "world.h"

#include <array>
#include <map>

namespace RattandeckProve {

/// Links between all pairs of processes that include a journal. A cut is detected only by an idle time-out; messages
/// sent during a short cut arrive after it.
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
    /// Takes the link down at both ends at once. Messages in flight are lost.
    void breakLink(std::size_t one, std::size_t other);
    void onEnded(const Process& process);
    /// Establishes links and takes down those that have timed out or been reset.
    void tick();

private:
    using Key = std::pair<std::size_t, std::size_t>;

    struct PendingMessage {
        Message message;
        std::uint64_t generation = 0;
    };

    struct Link {
        /// Number of the connection, to discard messages of earlier connections.
        std::uint64_t generation = 0;
        std::array<bool, 2> isUp {};
        /// The runs of the two processes that are connected.
        std::array<std::uint64_t, 2> runNumbers {};
        std::array<std::deque<PendingMessage>, 2> pending;
        std::array<TimePoint, 2> lastArrival {};
        TimePoint lastHealthy;
        std::optional<TimePoint> readyAt;
        /// One-way latency.
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
    void arrive(const Key& key, std::size_t toSide, PendingMessage pending);

    World& world;
    std::vector<std::unique_ptr<Process>>& processes;
    std::map<Key, Link> links;
    std::map<Key, std::uint32_t> cuts;
};

}
