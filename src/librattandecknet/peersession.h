#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace RattandeckNet {

/// Releases the memory of an empty buffer, unless it is small: a process has hundreds of links, and each is idle most
/// of the time.
void releaseIfLarge(std::string& buffer);

/// HTTP/2 protocol of one link, independent of its socket: converts between the connection's bytes and the
/// length-prefixed messages of its single stream.
///
/// Thread safety: not synchronised.
class PeerSession {
public:
    enum class Side { Dialler, Acceptor };

    /// The dialler sends `linkNumber` to the acceptor, so that both sides know which of two links from one dialler is
    /// later.
    PeerSession(Side side, std::uint64_t linkNumber, std::size_t maxMessageBytes);
    ~PeerSession();
    PeerSession(const PeerSession&) = delete;
    PeerSession& operator=(const PeerSession&) = delete;

    /// Processes bytes from the connection. Returns false if the link must be closed, because the bytes are not valid
    /// HTTP/2 or the stream has ended.
    bool receive(std::string_view bytes);
    enum class Next { Message, None, TooLong };
    /// Extracts the next complete message from the received bytes.
    Next nextMessage(std::string& message);

    /// Queues one message. Precondition: shorter than 4 GB.
    void queue(std::string_view message);
    void ping();
    /// Ends the stream after the queued messages.
    void finish();
    /// Appends bytes for the connection to `output`, until it holds about `limit` bytes or the peer's flow control
    /// windows allow no more. Returns false if the link must be closed.
    bool takeOutput(std::string& output, std::size_t limit);
    /// Bytes received that are no whole message yet.
    std::size_t incomingBytes() const;
    /// Length of the message that is being received; 0 if that is not known yet.
    std::size_t expectedBytes() const;
    /// Memory of the buffers, and what `receive` may take in addition for `bytes` more.
    std::size_t bufferBytes() const;
    std::size_t growthFor(std::size_t bytes) const;
    /// Bytes of queued messages that `takeOutput` has not returned yet.
    std::size_t queuedBytes() const;

    std::uint64_t linkNumber() const;

    struct Impl;

private:
    std::unique_ptr<Impl> impl;
};

}
