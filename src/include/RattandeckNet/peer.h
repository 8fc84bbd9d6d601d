#pragma once

#include "Rattandeck/messages.h"
#include "RattandeckNet/address.h"
#include "RattandeckNet/eventloop.h"
#include "RattandeckNet/memorybudget.h"

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace RattandeckNet {

struct PeerLimits {
    /// Maximum message size. A larger message is not sent; one that arrives closes the link.
    std::size_t maxMessageBytes = 16UL * 1024 * 1024;
    /// Maximum unsent bytes, beyond which the link to a stuck peer is closed.
    std::size_t maxUnsentBytes = 64UL * 1024 * 1024;
    /// Maximum number of links, accepted and dialled ones together; a connection beyond it is closed at once.
    std::size_t maxLinks = 4096;
    /// Maximum number of accepted links whose `Hello` is outstanding. For one more, the oldest of them is closed: a
    /// process of the system sends its `Hello` at once.
    std::size_t maxUnknownLinks = 64;
    /// Maximum size of the first message, a `Hello`.
    std::size_t maxHelloBytes = 16UL * 1024;
    std::chrono::milliseconds pingInterval { 1000 };
    /// A link that has received nothing for this long is closed.
    std::chrono::milliseconds silenceLimit { 4000 };
    std::chrono::milliseconds reconnectDelay { 250 };
    /// Maximum delay before a node is dialled again that has dropped its links soon after they were connected: the
    /// delay doubles each time, and is drawn, so that a node that is too busy to keep its links is not kept busy by
    /// them. A dial that is not answered costs the node nothing and is repeated after `reconnectDelay`.
    std::chrono::milliseconds maxReconnectDelay { 2000 };
    /// Time after which a link counts as kept.
    std::chrono::milliseconds stableTime { 2000 };
    /// Maximum time to establish a connection before it is dialled again. TCP itself retransmits a lost SYN only after
    /// a second.
    std::chrono::milliseconds connectTimeout { 1000 };
};

/// Messages of one kind that were sent or received, and their encoded size.
struct PeerTraffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};
/// Keyed by the kind of the messages (`Rattandeck::kindName`).
using PeerTrafficByKind = std::map<std::string_view, PeerTraffic>;

struct PeerHandlers {
    /// Called when the peer's `Hello` has been received. If the link replaces an earlier one to the same node, `onDown`
    /// is called first for that one.
    std::function<void(const Rattandeck::Hello&)> onUp;
    std::function<void(const Rattandeck::NodeId&)> onDown;
    std::function<void(const Rattandeck::NodeId& from, Rattandeck::Message)> onMessage;
    /// A message was not sent, as it is longer than `PeerLimits::maxMessageBytes`. May be empty.
    std::function<void(const Rattandeck::NodeId& to, const Rattandeck::Message&, std::size_t bytes)> onTooLong;
};

/// Links to other processes of the system: one HTTP/2 connection (nghttp2) each, with one long-lived bidirectional
/// stream that carries length-prefixed messages in order. A message that can't be decoded closes the link; messages of
/// unknown kinds are skipped.
///
/// Both ends may dial. If two links connect the same nodes, both ends keep the same one: the one of the later
/// incarnation, else the one dialled by the smaller node id, else the later one. If `send` returned true for a
/// message, either the message is delivered or the link goes down at this end.
///
/// Thread safety: use from the loop's thread. Handlers are called from the loop, never within a call of this class,
/// and may call this class. Precondition: the loop outlives this object.
class PeerNetwork {
public:
    /// `self` is sent as the first message on each link.
    PeerNetwork(EventLoop& loop, Rattandeck::Hello self, PeerLimits limits, PeerHandlers handlers);
    /// What the links hold counts in `budget`, which outlives the loop.
    PeerNetwork(
        EventLoop& loop, Rattandeck::Hello self, PeerLimits limits, MemoryBudget& budget, PeerHandlers handlers);
    ~PeerNetwork();

    tl::expected<void, NetError> listen(const Address& address);
    std::uint16_t port() const;

    /// Changes the `Hello` sent on later links, for example with an address that is known only after `listen`.
    void setSelf(Rattandeck::Hello self);
    /// Maintains a link to each of these addresses, redialling as the limits say. Closes dialled links to other
    /// addresses.
    void keepLinksTo(const std::vector<Address>& addresses);

    /// Queues a message. Returns false without sending it if no link to `to` is up, if it is too long, or if it would
    /// exceed the limit on unsent bytes, in which case the link is closed.
    bool send(const Rattandeck::NodeId& to, const Rattandeck::Message& message);
    bool isUp(const Rattandeck::NodeId& node) const;
    /// Number of connection attempts so far.
    std::uint64_t dialCount() const;
    /// Messages that were too long to be sent.
    std::uint64_t skippedMessages() const;
    /// Traffic on all links so far, those that have been closed included.
    const PeerTrafficByKind& sentTraffic() const;
    const PeerTrafficByKind& receivedTraffic() const;
    /// Writes the queued messages for at most one second, then closes every link. Handlers are no longer called.
    void close();
    /// Returns whether `close` has finished: every link is closed.
    bool isClosed() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

}
