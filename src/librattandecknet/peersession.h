#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace RattandeckNet {

/// HTTP/2 side of one link, without its socket: bytes of the connection in and out, and length-prefixed messages of the
/// one stream in and out.
///
/// Thread safety: not synchronised.
class PeerSession {
public:
    enum class Side { Dialler, Acceptor };

    /// `linkNumber` is told to the acceptor, so that both sides know which of two links from one dialler is the later.
    PeerSession(Side side, std::uint64_t linkNumber, std::size_t maxMessageBytes);
    ~PeerSession();
    PeerSession(const PeerSession&) = delete;
    PeerSession& operator=(const PeerSession&) = delete;

    /// Takes bytes from the connection. Returns false if the link can't go on: not HTTP/2, or the stream has ended.
    bool receive(std::string_view bytes);
    enum class Next { Message, None, TooLong };
    /// Takes the next whole message out of what was received.
    Next nextMessage(std::string& message);

    /// Queues one message. Precondition: shorter than 4 GB.
    void queue(std::string_view message);
    void ping();
    /// Says that no message follows the queued ones.
    void finish();
    /// Appends bytes for the connection to `output`, until that holds about `limit` or nothing is left that the peer's
    /// windows allow. Returns false if the link can't go on.
    bool takeOutput(std::string& output, std::size_t limit);
    /// Bytes of messages that `takeOutput` has not given out.
    std::size_t queuedBytes() const;

    std::uint64_t linkNumber() const;

    struct Impl;

private:
    std::unique_ptr<Impl> impl;
};

}
