#include "peerlink.h"

#include "Rattandeck/wire.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace RattandeckNet {

namespace Asio = boost::asio;

/// Approximate maximum number of bytes per socket write.
constexpr std::size_t writeSize = 256UL * 1024;
/// Memory of a link beside its buffers: its HTTP/2 session, its socket and timers. Measured: 13 kB.
constexpr std::size_t linkBytes = 13UL * 1024;
/// A link that holds no more unsent bytes than this is not closed for lack of memory.
constexpr std::size_t minUnsentBytes = 256UL * 1024;
/// Maximum time that a closing link may take to write its queue.
constexpr std::chrono::seconds drainTimeout { 1 };

static void count(PeerTrafficByKind& traffic, const Message& message, std::size_t bytes)
{
    PeerTraffic& ofKind = traffic[kindName(message)];
    ++ofKind.messages;
    ofKind.bytes += bytes;
}

PeerLink::PeerLink(
    std::shared_ptr<PeerNetwork::Impl> network, Socket socket, PeerSession::Side side, std::uint64_t number)
    : network(std::move(network))
    , loop(this->network->loop)
    , socket(std::move(socket))
    , side(side)
    , session(side, number, this->network->limits.maxMessageBytes)
    , share(this->network->budget, *this)
{
    this->share.set(linkBytes);
}

void PeerLink::connect(const Tcp::endpoint& endpoint)
{
    this->lastReceived = this->loop.timers.now();
    this->scheduleTick();
    this->connectTimer
        = this->loop.timers.subscribeAfter(this->network->limits.connectTimeout, [weak = this->weak_from_this()] {
              if (const auto self = weak.lock())
                  self->close();
          });
    auto onConnect = [self = this->shared_from_this()](const ErrorCode& error) {
        if (self->state == State::Closed)
            return;
        self->loop.timers.cancel(self->connectTimer);
        if (error)
            self->close();
        else
            self->start();
    };
    this->socket.async_connect(endpoint, this->loop.bind(std::move(onConnect)));
}

void PeerLink::start()
{
    this->state = State::AwaitingHello;
    this->lastReceived = this->loop.timers.now();
    this->connectedAt = this->lastReceived;
    if (this->tick.value == 0)
        this->scheduleTick();
    ErrorCode ignored;
    this->socket.set_option(Tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
    this->session.queue(encode(this->network->self));
    this->flush();
    this->read();
}

// Supervision --------------------------------------------------------------------------------------------------

void PeerLink::scheduleTick()
{
    const TimePoint when = this->loop.timers.now() + this->network->limits.pingInterval;
    this->tick = this->loop.timers.subscribeAt(when, [weak = this->weak_from_this(), when] {
        if (const auto self = weak.lock())
            self->onTick(when);
    });
}

void PeerLink::onTick(TimePoint expected)
{
    const TimePoint now = this->loop.timers.now();
    // If this process was paused, data that the peer sent meanwhile has not been read yet, so the link is kept.
    const bool isLate = now - expected > this->network->limits.pingInterval;
    if (!isLate && now - this->lastReceived > this->network->limits.silenceLimit) {
        this->close();
        return;
    }
    this->scheduleTick();
    if (this->state == State::Connecting)
        return;
    this->session.ping();
    this->flush();
}

// Receiving ----------------------------------------------------------------------------------------------------

void PeerLink::read()
{
    this->socket.async_wait(
        Socket::wait_read, this->loop.bind([self = this->shared_from_this()](const ErrorCode& error) {
            if (self->state != State::Closed)
                self->onReadable(error);
        }));
}

void PeerLink::onReadable(const ErrorCode& error)
{
    if (error) {
        this->close();
        return;
    }
    ErrorCode readError;
    std::string& input = this->network->input;
    const std::size_t size = this->socket.read_some(Asio::buffer(input), readError);
    if (readError == Asio::error::would_block)
        this->read();
    else if (readError)
        this->close();
    else
        this->onRead(std::string_view(input).substr(0, size));
}

void PeerLink::onRead(std::string_view input)
{
    if (!this->share.reserveWhole(this->heldBytes() + this->session.growthFor(input.size()), this->loop.timers.now())) {
        this->network->budget.countRefusal(RefusalCause::Memory);
        this->close();
        return;
    }
    const std::size_t before = this->session.incomingBytes();
    // Data received before the peer's `Hello` does not count as activity, so a peer that only pings times out.
    if (this->state != State::AwaitingHello)
        this->lastReceived = this->loop.timers.now();
    bool isIntact = this->session.receive(input);
    std::string bytes;
    auto next = this->session.nextMessage(bytes);
    for (; next == PeerSession::Next::Message; next = this->session.nextMessage(bytes)) {
        const auto message = decode(bytes);
        if (!message && message.error() == WireError::UnknownKind)
            continue;
        if (!message) {
            isIntact = false;
            break;
        }
        count(this->network->received, *message, bytes.size());
        this->deliver(*message);
        if (this->state == State::Closed)
            return;
    }
    if (!isIntact || next == PeerSession::Next::TooLong || this->isExcessive()) {
        this->network->budget.countRefusal(RefusalCause::Malformed);
        this->close();
        return;
    }
    const std::size_t rest = this->session.incomingBytes();
    if (rest < before || before == 0)
        this->messageBegan = this->loop.timers.now();
    if (rest != before)
        this->messageGrew = this->loop.timers.now();
    this->share.set(this->heldBytes());
    this->flush();
    if (this->state != State::Closed)
        this->read();
}

void PeerLink::deliver(const Message& message)
{
    if (this->state == State::Up) {
        if (!std::holds_alternative<Hello>(message))
            this->network->handlers.onMessage(this->hello.node, message);
        return;
    }
    if (this->state != State::AwaitingHello)
        return;
    if (const auto* peerHello = std::get_if<Hello>(&message))
        this->network->onHello(this->shared_from_this(), *peerHello);
    else
        this->close();
}

// Sending ------------------------------------------------------------------------------------------------------

bool PeerLink::send(const Message& message)
{
    const std::string bytes = encode(message);
    const auto& limits = this->network->limits;
    if (bytes.size() > limits.maxMessageBytes) {
        ++this->network->skippedMessages;
        if (this->network->handlers.onTooLong)
            this->network->handlers.onTooLong(this->hello.node, message, bytes.size());
        return false;
    }
    if (this->unsentBytes() + bytes.size() > limits.maxUnsentBytes) {
        // Posted, since the handlers called by `close` must not run within the sender's call.
        Asio::post(this->loop.context, this->loop.bind([self = this->shared_from_this()] { self->close(); }));
        return false;
    }
    if (this->unsentBytes() == 0)
        this->lastWritten = this->loop.timers.now();
    const bool isWithin = this->share.setAndReclaim(this->heldBytes() + bytes.size(), this->loop.timers.now());
    if (!isWithin && this->unsentBytes() > minUnsentBytes) {
        this->network->budget.countRefusal(RefusalCause::Memory);
        Asio::post(this->loop.context, this->loop.bind([self = this->shared_from_this()] { self->close(); }));
        return false;
    }
    count(this->network->sent, message, bytes.size());
    this->session.queue(bytes);
    this->postFlush();
    return true;
}

void PeerLink::postFlush()
{
    // Posted, so that all messages sent by one handler go into one write.
    if (this->isFlushPosted)
        return;
    this->isFlushPosted = true;
    Asio::post(this->loop.context, this->loop.bind([self = this->shared_from_this()] {
        self->isFlushPosted = false;
        self->flush();
    }));
}

void PeerLink::flush()
{
    if (this->isWriting || this->state == State::Closed || this->state == State::Connecting)
        return;
    this->writing.clear();
    if (!this->session.takeOutput(this->writing, writeSize)) {
        this->close();
        return;
    }
    if (this->writing.empty()) {
        releaseIfLarge(this->writing);
        this->share.set(this->heldBytes());
        this->onDrained();
        return;
    }
    this->isWriting = true;
    Asio::async_write(this->socket, Asio::buffer(this->writing),
        this->loop.bind([self = this->shared_from_this()](const ErrorCode& error, std::size_t) {
            self->isWriting = false;
            self->lastWritten = self->loop.timers.now();
            if (error)
                self->close();
            else
                self->flush();
        }));
}

void PeerLink::drain()
{
    this->state = State::Draining;
    this->session.finish();
    this->loop.timers.subscribeAfter(drainTimeout, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->close();
    });
    this->flush();
}

void PeerLink::onDrained()
{
    // Queued messages may still be waiting for the peer's flow control windows.
    if (this->state != State::Draining || this->session.queuedBytes() > 0)
        return;
    ErrorCode ignored;
    this->socket.shutdown(Socket::shutdown_send, ignored);
}

void PeerLink::close()
{
    if (this->state == State::Closed)
        return;
    const auto self = this->shared_from_this();
    this->shutdown();
    this->network->removeLink(self);
}

// Memory -------------------------------------------------------------------------------------------------------

std::size_t PeerLink::heldBytes() const { return linkBytes + this->session.bufferBytes() + this->writing.capacity(); }

/// Whether a peer that has not introduced itself has sent, or announced, more than its `Hello`.
bool PeerLink::isExcessive() const
{
    const std::size_t most = this->network->limits.maxHelloBytes;
    return this->state == State::AwaitingHello
        && std::max(this->session.incomingBytes(), this->session.expectedBytes()) > most;
}

ConnectionUse PeerLink::memoryUse() const
{
    const TimePoint now = this->loop.timers.now();
    const auto since
        = [now](TimePoint then) { return std::chrono::duration_cast<std::chrono::milliseconds>(now - then); };
    ConnectionUse use;
    use.heldBytes = this->share.bytes();
    use.hasBeenUsed = true;
    const bool isReceiving = this->session.incomingBytes() > 0;
    if (isReceiving && this->session.incomingBytes() >= this->unsentBytes()) {
        use.stage = ConnectionStage::Receiving;
        use.age = since(this->messageBegan);
        use.sinceProgress = since(this->messageGrew);
    } else if (this->unsentBytes() > minUnsentBytes) {
        use.stage = ConnectionStage::Sending;
        use.age = use.sinceProgress = since(this->lastWritten);
    }
    return use;
}

void PeerLink::reclaimMemory()
{
    // Posted, since handlers are never called within a call of the network. The memory counts as free at once.
    this->share.set(0);
    Asio::post(this->loop.context, this->loop.bind([self = this->shared_from_this()] { self->close(); }));
}

void PeerLink::shutdown()
{
    this->state = State::Closed;
    this->loop.timers.cancel(this->tick);
    this->loop.timers.cancel(this->connectTimer);
    ErrorCode ignored;
    this->socket.close(ignored);
}

}
