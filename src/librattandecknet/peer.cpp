#include "RattandeckNet/peer.h"

#include "loopimpl.h"
#include "peersession.h"
#include "Rattandeck/wire.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <unordered_set>

namespace RattandeckNet {

namespace Asio = boost::asio;
using namespace Rattandeck;

constexpr std::size_t readSize = 64UL * 1024;
/// Approximate maximum number of bytes per socket write.
constexpr std::size_t writeSize = 256UL * 1024;
/// Memory of a link beside its buffers: its HTTP/2 session, its socket and timers. Measured: 13 kB.
constexpr std::size_t linkBytes = 13UL * 1024;
/// A link that holds no more unsent bytes than this is not closed for lack of memory.
constexpr std::size_t minUnsentBytes = 256UL * 1024;
/// Maximum time that a closing link may take to write its queue.
constexpr std::chrono::seconds drainTimeout { 1 };

namespace {

    class PeerLink;

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

}

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
    std::string input = std::string(readSize, '\0');
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

// Link ---------------------------------------------------------------------------------------------------------------

namespace {

    using NetworkImpl = PeerNetwork::Impl;

    void count(PeerTrafficByKind& traffic, const Message& message, std::size_t bytes)
    {
        PeerTraffic& ofKind = traffic[kindName(message)];
        ++ofKind.messages;
        ofKind.bytes += bytes;
    }

    class PeerLink : public std::enable_shared_from_this<PeerLink>, public MemoryHolder {
    public:
        enum class State { Connecting, AwaitingHello, Up, Draining, Closed };

        PeerLink(std::shared_ptr<NetworkImpl> network, Socket socket, PeerSession::Side side, std::uint64_t number)
            : network(std::move(network))
            , loop(this->network->loop)
            , socket(std::move(socket))
            , side(side)
            , session(side, number, this->network->limits.maxMessageBytes)
            , share(this->network->budget, *this)
        {
            this->share.set(linkBytes);
        }

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

        std::shared_ptr<NetworkImpl> network;
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
        if (!this->share.reserveWhole(
                this->heldBytes() + this->session.growthFor(input.size()), this->loop.timers.now())) {
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

    std::size_t PeerLink::heldBytes() const
    {
        return linkBytes + this->session.bufferBytes() + this->writing.capacity();
    }

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

// Network --------------------------------------------------------------------------------------------------------

PeerNetwork::Impl::Impl(EventLoop& owner, Hello self, PeerLimits limits, MemoryBudget* shared, PeerHandlers handlers)
    : loop(owner.internals())
    , self(std::move(self))
    , limits(limits)
    , budget(shared ? *shared : this->ownBudget)
    , handlers(std::move(handlers))
    , acceptor(this->loop.context.get_executor())
{
}

void PeerNetwork::Impl::addConnection(Socket socket)
{
    if (this->links.size() >= this->limits.maxLinks) {
        this->budget.countRefusal(RefusalCause::TooManyConnections);
        return;
    }
    this->limitUnknownLinks();
    auto link = std::make_shared<PeerLink>(this->shared_from_this(), std::move(socket), PeerSession::Side::Acceptor, 0);
    this->links.insert(link);
    link->start();
}

/// Closes the oldest accepted link whose `Hello` is outstanding, if there are as many as are allowed.
void PeerNetwork::Impl::limitUnknownLinks()
{
    std::size_t unknown = 0;
    std::shared_ptr<PeerLink> oldest;
    for (const auto& link : this->links) {
        if (link->isDialled() || link->state != PeerLink::State::AwaitingHello)
            continue;
        ++unknown;
        if (!oldest || link->connectedAt < oldest->connectedAt)
            oldest = link;
    }
    if (unknown < this->limits.maxUnknownLinks)
        return;
    this->budget.countRefusal(RefusalCause::TooManyConnections);
    oldest->close();
}

// Dialling -------------------------------------------------------------------------------------------------------

void PeerNetwork::Impl::scheduleDial(const std::string& name, Duration delay)
{
    const auto found = this->targets.find(name);
    if (found == this->targets.end() || this->isClosing)
        return;
    this->loop.timers.cancel(found->second.redial);
    found->second.redial = this->loop.timers.subscribeAfter(delay, [weak = this->weak_from_this(), name] {
        if (const auto self = weak.lock())
            self->dial(name);
    });
}

/// Counts the end of a link, and draws the delay before its target is dialled again.
Duration PeerNetwork::Impl::drawRedialDelay(Target& target, const PeerLink& link)
{
    if (!link.connectedAt)
        return this->limits.reconnectDelay;
    if (this->loop.timers.now() - *link.connectedAt >= this->limits.stableTime) {
        target.dropped = 0;
        return this->limits.reconnectDelay;
    }
    Duration longest = this->limits.reconnectDelay;
    for (std::uint32_t i = 0; i < target.dropped && longest < this->limits.maxReconnectDelay; ++i)
        longest *= 2;
    ++target.dropped;
    longest = std::min<Duration>(longest, this->limits.maxReconnectDelay);
    std::uniform_int_distribution<Duration::rep> delay(longest.count() / 2, longest.count());
    return Duration(delay(this->random));
}

bool PeerNetwork::Impl::shouldSkipDial(const std::string& name, const Target& target) const
{
    if (name == this->self.address || target.duplicateOf == this->self.node
        || this->upLinks.contains(target.duplicateOf))
        return true;
    for (const auto& [node, link] : this->upLinks) {
        if (link->hello.address == name)
            return true;
    }
    return false;
}

void PeerNetwork::Impl::dial(const std::string& name)
{
    const auto found = this->targets.find(name);
    if (found == this->targets.end() || found->second.link || this->isClosing)
        return;
    Target& target = found->second;
    const auto endpoint = toEndpoint(target.address);
    if (!endpoint)
        return;
    // Checked again later, since the existing link to this node may go down.
    if (this->shouldSkipDial(name, target)) {
        this->scheduleDial(name, this->limits.reconnectDelay);
        return;
    }
    target.duplicateOf = NodeId();
    auto link = std::make_shared<PeerLink>(this->shared_from_this(), Socket(this->loop.context.get_executor()),
        PeerSession::Side::Dialler, ++this->lastLinkNumber);
    link->target = name;
    target.link = link;
    this->links.insert(link);
    link->connect(*endpoint);
}

// Links up and down ----------------------------------------------------------------------------------------------

/// Decides which of two links to the same node is kept. Both ends reach the same decision, since both know the
/// incarnations, which end dialled, and the dialler's link numbers.
bool PeerNetwork::Impl::isPreferred(const PeerLink& later, const PeerLink& earlier) const
{
    if (later.hello.incarnation != earlier.hello.incarnation)
        return later.hello.incarnation > earlier.hello.incarnation;
    if (later.isDialled() == earlier.isDialled())
        return later.number() > earlier.number();
    return later.isDialled() == (this->self.node < later.hello.node);
}

void PeerNetwork::Impl::markDuplicate(const PeerLink& link, const NodeId& node)
{
    const auto found = this->targets.find(link.target);
    if (found != this->targets.end())
        found->second.duplicateOf = node;
}

void PeerNetwork::Impl::onHello(const std::shared_ptr<PeerLink>& link, const Hello& hello)
{
    link->hello = hello;
    const auto found = this->upLinks.find(hello.node);
    const auto earlier = found == this->upLinks.end() ? nullptr : found->second;
    if (hello.node == this->self.node || (earlier && !this->isPreferred(*link, *earlier))) {
        this->markDuplicate(*link, hello.node);
        link->close();
        return;
    }
    if (earlier) {
        this->markDuplicate(*earlier, hello.node);
        earlier->close();
    }
    if (link->state != PeerLink::State::AwaitingHello)
        return;
    link->state = PeerLink::State::Up;
    this->upLinks[hello.node] = link;
    this->handlers.onUp(hello);
}

void PeerNetwork::Impl::removeLink(const std::shared_ptr<PeerLink>& link)
{
    this->links.erase(link);
    const auto target = this->targets.find(link->target);
    if (target != this->targets.end() && target->second.link == link) {
        target->second.link = nullptr;
        this->scheduleDial(link->target, this->drawRedialDelay(target->second, *link));
    }
    const auto found = this->upLinks.find(link->hello.node);
    if (found == this->upLinks.end() || found->second != link)
        return;
    this->upLinks.erase(found);
    if (!this->isClosing)
        this->handlers.onDown(link->hello.node);
}

void PeerNetwork::Impl::stopAcceptingAndDialling()
{
    this->isClosing = true;
    ErrorCode ignored;
    this->acceptor.close(ignored);
    for (auto& [name, target] : this->targets)
        this->loop.timers.cancel(target.redial);
    this->targets.clear();
    this->upLinks.clear();
}

void PeerNetwork::Impl::beginClose()
{
    this->stopAcceptingAndDialling();
    const auto open = this->links;
    for (const auto& link : open) {
        if (link->state == PeerLink::State::Up)
            link->drain();
        else
            link->close();
    }
}

void PeerNetwork::Impl::closeNow()
{
    this->stopAcceptingAndDialling();
    const auto open = std::move(this->links);
    this->links.clear();
    for (const auto& link : open)
        link->shutdown();
}

PeerNetwork::PeerNetwork(EventLoop& loop, Hello self, PeerLimits limits, PeerHandlers handlers)
    : impl(std::make_shared<Impl>(loop, std::move(self), limits, nullptr, std::move(handlers)))
{
}

PeerNetwork::PeerNetwork(EventLoop& loop, Hello self, PeerLimits limits, MemoryBudget& budget, PeerHandlers handlers)
    : impl(std::make_shared<Impl>(loop, std::move(self), limits, &budget, std::move(handlers)))
{
}

PeerNetwork::~PeerNetwork() { this->impl->closeNow(); }

tl::expected<void, NetError> PeerNetwork::listen(const Address& address)
{
    return listenAndAccept(this->impl, address);
}

std::uint16_t PeerNetwork::port() const { return this->impl->port; }

void PeerNetwork::setSelf(Hello self) { this->impl->self = std::move(self); }

void PeerNetwork::keepLinksTo(const std::vector<Address>& addresses)
{
    if (this->impl->isClosing)
        return;
    std::map<std::string, Target> dropped = std::move(this->impl->targets);
    this->impl->targets.clear();
    for (const Address& address : addresses) {
        const std::string name = toString(address);
        if (auto known = dropped.extract(name)) {
            this->impl->targets.insert(std::move(known));
            continue;
        }
        if (this->impl->targets.try_emplace(name, Target { address, nullptr, {}, {}, 0 }).second)
            this->impl->scheduleDial(name, Duration(0));
    }
    for (auto& [name, target] : dropped) {
        this->impl->loop.timers.cancel(target.redial);
        // Posted, so that no handler is called within this call.
        if (target.link)
            Asio::post(this->impl->loop.context, this->impl->loop.bind([link = target.link] { link->close(); }));
    }
}

bool PeerNetwork::send(const NodeId& to, const Message& message)
{
    const auto found = this->impl->upLinks.find(to);
    return found != this->impl->upLinks.end() && found->second->send(message);
}

bool PeerNetwork::isUp(const NodeId& node) const { return this->impl->upLinks.contains(node); }

std::uint64_t PeerNetwork::dialCount() const { return this->impl->lastLinkNumber; }

std::uint64_t PeerNetwork::skippedMessages() const { return this->impl->skippedMessages; }

const PeerTrafficByKind& PeerNetwork::sentTraffic() const { return this->impl->sent; }

const PeerTrafficByKind& PeerNetwork::receivedTraffic() const { return this->impl->received; }

void PeerNetwork::close()
{
    if (!this->impl->isClosing)
        this->impl->beginClose();
}

bool PeerNetwork::isClosed() const { return this->impl->isClosing && this->impl->links.empty(); }

}
