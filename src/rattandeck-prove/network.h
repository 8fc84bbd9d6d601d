#pragma once

#include "cluster.h"

#include <map>

namespace RattandeckProve {

/// Links between the processes, as the real ones behave: in order within a link; what is under way when a link breaks
/// is lost; the two ends notice a break at different times; links are redialled.
class Network {
public:
    Network(World& world, Cluster& cluster);

    /// Begins to link processes with each other.
    void start();
    void send(const Process& from, const NodeId& to, const Message& message);
    void onStarted(const Process& process);
    void onEnded(const Process& process, bool planned);

    void cut(std::uint32_t a, std::uint32_t b);
    void heal(std::uint32_t a, std::uint32_t b);
    /// Breaks the link now. Returns false when there was none.
    bool breakLink(std::uint32_t a, std::uint32_t b);

private:
    struct End {
        /// Link that this end believes to be up; 0 is none.
        std::uint64_t link = 0;
        Life life;
    };
    struct Direction {
        TimePoint lastArrival {};
    };
    struct Pair {
        std::uint64_t link = 0;
        std::uint32_t cuts = 0;
        TimePoint nextDial {};
        Direction directions[2];
        End ends[2];
        /// Messages that wait behind a cut.
        std::vector<std::function<void()>> held;
    };
    using PairKey = std::pair<std::uint32_t, std::uint32_t>;

    Pair& pairOf(std::uint32_t a, std::uint32_t b);
    /// What `at` believes of its link with `peer`, in this life.
    End& endOf(std::uint32_t at, std::uint32_t peer);
    void review();
    void dial(std::uint32_t a, std::uint32_t b);
    void transmit(
        std::uint32_t from, std::uint32_t to, std::uint64_t link, bool greeting, std::function<void()> arrive);
    void greet(std::uint32_t from, std::uint32_t to, std::uint64_t link);
    /// One end notices that the link is gone, unless it is up again by then.
    void noticeDown(std::uint32_t at, std::uint32_t peer, std::uint64_t link, Duration delay);
    void breakPair(std::uint32_t a, std::uint32_t b, Milliseconds slowest);

    World& world;
    Chance chance;
    Cluster& cluster;
    std::uint64_t links = 0;
    std::map<PairKey, Pair> pairs;
    std::map<std::uint32_t, TimePoint> frozenSince;
};

}
