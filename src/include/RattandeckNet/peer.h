#pragma once

#include "Rattandeck/messages.h"
#include "RattandeckNet/address.h"
#include "RattandeckNet/eventloop.h"

#include <functional>
#include <memory>
#include <vector>

namespace RattandeckNet {

struct PeerLimits {
    /// Longest message; a longer one breaks the link.
    std::size_t maxMessageBytes = 16UL * 1024 * 1024;
    /// Unsent bytes beyond which a link to a stuck peer is broken.
    std::size_t maxUnsentBytes = 64UL * 1024 * 1024;
    std::chrono::milliseconds pingInterval { 1000 };
    /// A link that has been silent for this long is broken.
    std::chrono::milliseconds silenceLimit { 4000 };
    std::chrono::milliseconds reconnectDelay { 250 };
    /// A connection that has not come by then is given up and dialled anew: TCP itself asks again only after a second.
    std::chrono::milliseconds connectTimeout { 1000 };
};

struct PeerHandlers {
    /// The peer's `Hello` has come. A second link with the same node replaces the first.
    std::function<void(const Rattandeck::Hello&)> onUp;
    std::function<void(const Rattandeck::NodeId&)> onDown;
    std::function<void(const Rattandeck::NodeId& from, Rattandeck::Message)> onMessage;
};

/// Links to other processes of the system: one HTTP/2 connection (nghttp2) each, with one long-lived bidirectional
/// stream that carries length-prefixed messages in order. Undecodable messages break the link; unknown kinds are
/// skipped.
///
/// Both ends may dial. Of two links between the same nodes both ends keep the same one: that of the later incarnation,
/// else the one dialled by the smaller node id, else the later one. A message whose `send` returned true arrives, or
/// the link goes down at this end.
///
/// Thread safety: use from the loop's thread. Handlers are called from the loop, never from within a call of this
/// class, and may call it. Precondition: the loop outlives this object.
class PeerNetwork {
public:
    /// `self` is sent as the first message on each link.
    PeerNetwork(EventLoop& loop, Rattandeck::Hello self, PeerLimits limits, PeerHandlers handlers);
    ~PeerNetwork();

    tl::expected<void, NetError> listen(const Address& address);
    std::uint16_t port() const;

    /// Changes what later links are greeted with (an address known only after `listen`, say).
    void setSelf(Rattandeck::Hello self);
    /// Keeps a link to each of these addresses, redialled after `reconnectDelay`; drops dialled links to others.
    void keepLinksTo(const std::vector<Address>& addresses);

    /// Queues a message. Returns false when no link with `to` is up, or when a limit is reached (the link breaks then);
    /// nothing is sent then.
    bool send(const Rattandeck::NodeId& to, const Rattandeck::Message& message);
    bool isUp(const Rattandeck::NodeId& node) const;
    /// Connections tried so far.
    std::uint64_t dialCount() const;
    /// Writes out what is queued, as far as peers take it within a second, then closes every link. No handler is called
    /// any more.
    void close();
    /// After `close`: every link is closed.
    bool isClosed() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

}
