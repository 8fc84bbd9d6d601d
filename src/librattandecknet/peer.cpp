#include "peerlink.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace RattandeckNet {

namespace Asio = boost::asio;

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
