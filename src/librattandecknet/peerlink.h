#pragma once

#include "RattandeckNet/peer.h"

#include "loopimpl.h"
#include "peersession.h"

#include <map>
#include <optional>
#include <random>
#include <unordered_set>

/// The links of a `PeerNetwork`, for the sources of this library only.
namespace RattandeckNet {

using namespace Rattandeck;

class PeerLink;

constexpr std::size_t peerReadSize = 64UL * 1024;

/// An address to which a link is maintained.
struct Target {
    Address address;
    std::shared_ptr<PeerLink> link;
    TimerId redial;
    /// Set if the node at this address turned out to be this node, or to have another link already. The address is
    /// not dialled while that link is up, and never if the node is this one.
    NodeId duplicateOf;
    /// Number of links in a row that were dropped soon after they had been connected.
    std::uint32_t dropped = 0;
};

struct PeerNetwork::Impl : std::enable_shared_from_this<PeerNetwork::Impl> {
    Impl(EventLoop& owner, Hello self, PeerLimits limits, MemoryBudget* shared, PeerHandlers handlers);

    EventLoop::Impl& loop;
    Hello self;
    PeerLimits limits;
    MemoryBudget ownBudget;
    MemoryBudget& budget;
    PeerHandlers handlers;
    Acceptor acceptor;
    std::uint16_t port = 0;
    bool isClosing = false;
    /// Number of connection attempts so far; also the number of the last dialled link.
    std::uint64_t lastLinkNumber = 0;
    std::uint64_t skippedMessages = 0;
    PeerTrafficByKind sent;
    PeerTrafficByKind received;
    /// Bytes just read, of any link: a buffer for each would be the largest part of a link.
    std::string input = std::string(peerReadSize, '\0');
    std::minstd_rand random { std::random_device {}() };
    std::unordered_set<std::shared_ptr<PeerLink>> links;
    std::map<NodeId, std::shared_ptr<PeerLink>> upLinks;
    /// Keyed by "host:port".
    std::map<std::string, Target> targets;

    bool isAccepting() const { return !this->isClosing; }
    void addConnection(Socket socket);
    void limitUnknownLinks();
    void dial(const std::string& name);
    bool shouldSkipDial(const std::string& name, const Target& target) const;
    void scheduleDial(const std::string& name, Duration delay);
    Duration drawRedialDelay(Target& target, const PeerLink& link);
    void onHello(const std::shared_ptr<PeerLink>& link, const Hello& hello);
    bool isPreferred(const PeerLink& later, const PeerLink& earlier) const;
    void markDuplicate(const PeerLink& link, const NodeId& node);
    void removeLink(const std::shared_ptr<PeerLink>& link);
    /// Stops accepting and dialling; open links stay open.
    void stopAcceptingAndDialling();
    void beginClose();
    void closeNow();
};

/// One connection to another process.
class PeerLink : public std::enable_shared_from_this<PeerLink>, public MemoryHolder {
public:
    enum class State { Connecting, AwaitingHello, Up, Draining, Closed };

    PeerLink(std::shared_ptr<PeerNetwork::Impl> network, Socket socket, PeerSession::Side side, std::uint64_t number);

    /// Name of the dialled target; empty for an accepted link.
    std::string target;
    Hello hello;
    State state = State::Connecting;

    /// When the connection was established; empty before.
    std::optional<TimePoint> connectedAt;

    bool isDialled() const { return this->side == PeerSession::Side::Dialler; }
    std::uint64_t number() const { return this->session.linkNumber(); }

    void connect(const Tcp::endpoint& endpoint);
    void start();
    bool send(const Message& message);
    /// Writes the queue, then closes.
    void drain();
    /// Closes at once; reports the link as down if it was up.
    void close();
    /// Closes at once without reporting the link as down.
    void shutdown();

    // MemoryHolder
    ConnectionUse memoryUse() const override;
    void reclaimMemory() override;

private:
    void scheduleTick();
    void onTick(TimePoint expected);
    void read();
    void onReadable(const ErrorCode& error);
    void onRead(std::string_view bytes);
    void deliver(const Message& message);
    void postFlush();
    void flush();
    void onDrained();
    bool isExcessive() const;
    std::size_t heldBytes() const;
    std::size_t unsentBytes() const { return this->session.queuedBytes() + this->writing.size(); }

    std::shared_ptr<PeerNetwork::Impl> network;
    EventLoop::Impl& loop;
    Socket socket;
    PeerSession::Side side;
    PeerSession session;
    MemoryShare share;
    std::string writing;
    bool isWriting = false;
    bool isFlushPosted = false;
    TimePoint lastReceived;
    /// When the message that is being received began, and when it last grew.
    TimePoint messageBegan;
    TimePoint messageGrew;
    /// When the peer last took something, or there was nothing to take.
    TimePoint lastWritten;
    TimerId tick;
    TimerId connectTimer;
};

}
