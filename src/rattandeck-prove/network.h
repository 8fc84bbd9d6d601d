#pragma once

#include "cluster.h"

#include <map>

namespace RattandeckProve {

/// Simulates the links between the processes. Messages on a link arrive in order, most messages in flight are lost when
/// it breaks, both ends detect the break at different times, and broken links are dialled again.
class Network {
public:
    Network(World& world, Cluster& cluster);

    /// Starts to establish links between the processes.
    void start();
    void send(const Process& from, const NodeId& to, const Message& message);
    void onStarted(const Process& process);
    void onEnded(const Process& process, bool planned);

    void cut(std::uint32_t a, std::uint32_t b);
    void heal(std::uint32_t a, std::uint32_t b);
    /// Breaks the link at once. Returns false if there was none.
    bool breakLink(std::uint32_t a, std::uint32_t b);

private:
    struct End {
        /// The link that this end regards as up, or 0 for none.
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
        /// Messages held back by a partition until it ends.
        std::vector<std::function<void()>> held;
    };
    using PairKey = std::pair<std::uint32_t, std::uint32_t>;

    Pair& pairOf(std::uint32_t a, std::uint32_t b);
    /// Returns the state of the link to `peer` as seen by `at`; a restart of `at` resets it.
    End& endOf(std::uint32_t at, std::uint32_t peer);
    void review();
    void dial(std::uint32_t a, std::uint32_t b);
    void transmit(
        std::uint32_t from, std::uint32_t to, std::uint64_t link, bool greeting, std::function<void()> arrive);
    void greet(std::uint32_t from, std::uint32_t to, std::uint64_t link);
    /// Reports the break of `link` to the process `at` after `delay`, unless a new link is up by then.
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
