#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

/// Decides which connections are closed when the memory of a process is spent. Free functions over plain structs,
/// without clock or socket.
///
/// Load that they are designed for: some thousand connections through one load balancer, so that addresses tell
/// nothing; among them up to as many hostile ones, each of which may hold a request of legal size (4 MB). Ordinary
/// requests are small (some kB) or take a second or so to arrive.
namespace RattandeckNet {

enum class ConnectionStage {
    /// No request is under way.
    Idle,
    /// The head or the body of a request is being received; it has not run.
    Receiving,
    /// A request has been handed on. That its answer takes long is not the client's doing.
    Running,
    /// Bytes of an answer wait until the client reads them.
    Sending,
};

/// What one connection holds.
struct ConnectionUse {
    ConnectionStage stage = ConnectionStage::Idle;
    std::size_t heldBytes = 0;
    /// Time since the request began to arrive, or the answer to be sent.
    std::chrono::milliseconds age { 0 };
    /// Time since the client last sent a byte of the request, or read one of the answer.
    std::chrono::milliseconds sinceProgress { 0 };
    /// Whether the connection has had a request.
    bool hasBeenUsed = false;
};

struct ShortageRules {
    /// A client without progress for this long is closed before any other. Networks inside the limits deliver something
    /// within that time even after a lost packet.
    std::chrono::milliseconds stallTime { 1000 };
    /// A client that makes progress is closed only when its request or answer has taken this long.
    std::chrono::milliseconds slowTime { 5000 };
    /// Connections that hold less are not closed, as it would gain nothing.
    std::size_t minHeldBytes = 2048;
};

/// Returns the indexes of the connections to close, in this order, to free at least `neededBytes`; fewer if there are
/// not enough that may be closed, possibly none.
///
/// Stalled connections come first, then slow ones; within both, the one first whose memory has cost most: bytes times
/// the time without progress, or times its age. Idle and running connections are left alone.
std::vector<std::size_t> chooseConnectionsToClose(
    const std::vector<ConnectionUse>& uses, std::size_t neededBytes, const ShortageRules& rules = {});

struct NewcomerRules {
    /// Callers send their request at once when they are connected.
    std::chrono::milliseconds unusedTime { 1000 };
    /// Callers reuse connections that have been idle for up to 12 s.
    std::chrono::milliseconds idleTime { 13000 };
    /// A request or an answer without progress.
    std::chrono::milliseconds stallTime { 5000 };
};

/// Returns the indexes of at most `maxCount` connections to close in favour of new ones, when there are as many
/// connections as are allowed: those that do nothing, the longest first.
std::vector<std::size_t> chooseConnectionsForNewcomers(
    const std::vector<ConnectionUse>& uses, std::size_t maxCount, const NewcomerRules& rules = {});

}
