#include "network.h"

namespace RattandeckProve {

namespace {

    constexpr Milliseconds reviewInterval { 100 };
    constexpr Milliseconds silenceLimit { 4000 };
    constexpr Milliseconds minDelay { 1 };
    constexpr Milliseconds maxDelay { 8 };
    /// Maximum delay of a slow message. A message is slow with the probability `slowShare`.
    constexpr Milliseconds slowDelay { 400 };
    constexpr double slowShare = 0.01;
    constexpr Milliseconds redialFrom { 250 };
    constexpr Milliseconds redialUntil { 800 };

}

Network::Network(World& world, Cluster& cluster)
    : world(world)
    , chance(world.chanceFor(3))
    , cluster(cluster)
{
}

Network::Pair& Network::pairOf(std::uint32_t a, std::uint32_t b) { return this->pairs[std::minmax(a, b)]; }

Network::End& Network::endOf(std::uint32_t at, std::uint32_t peer)
{
    End& end = this->pairOf(at, peer).ends[at < peer ? 0 : 1];
    const Life life = this->cluster.at(at).life;
    if (end.life != life)
        end = { 0, life };
    return end;
}

void Network::start() { this->review(); }

void Network::review()
{
    this->world.after(reviewInterval, [this] { this->review(); });
    for (const Process& process : this->cluster.all()) {
        if (process.alive && process.frozen)
            this->frozenSince.try_emplace(process.index, this->world.now());
        else
            this->frozenSince.erase(process.index);
    }
    for (std::uint32_t a = 0; a < entryCount; ++a) {
        for (std::uint32_t b = a + 1; b < processCount; ++b)
            this->dial(a, b);
    }
}

// Links ------------------------------------------------------------------------------------------------------------

void Network::dial(std::uint32_t a, std::uint32_t b)
{
    Pair& pair = this->pairOf(a, b);
    if (pair.link != 0) {
        const auto silent = [&](std::uint32_t index) {
            const auto since = this->frozenSince.find(index);
            return since != this->frozenSince.end() && this->world.now() > since->second + silenceLimit;
        };
        if (silent(a) || silent(b))
            this->breakPair(a, b, Milliseconds(500));
        return;
    }
    const bool possible = this->cluster.at(a).canRun() && this->cluster.at(b).canRun() && pair.cuts == 0;
    if (!possible || this->world.now() < pair.nextDial)
        return;
    pair.link = ++this->links;
    this->greet(a, b, pair.link);
    this->greet(b, a, pair.link);
}

void Network::greet(std::uint32_t from, std::uint32_t to, std::uint64_t link)
{
    const Hello hello = this->cluster.helloOf(this->cluster.at(from));
    this->transmit(from, to, link, true, [this, from, to, link, hello] {
        Process& process = this->cluster.at(to);
        this->endOf(to, from) = { link, process.life };
        if (process.entry)
            process.entry->onLinkUp(hello);
        else
            process.sidecar->onLinkUp(hello);
    });
}

void Network::transmit(
    std::uint32_t from, std::uint32_t to, std::uint64_t link, bool greeting, std::function<void()> arrive)
{
    Pair& pair = this->pairOf(from, to);
    Direction& direction = pair.directions[from < to ? 0 : 1];
    const Life life = this->cluster.at(to).life;
    auto deliver = [this, from, to, link, life, greeting, arrive = std::move(arrive)] {
        const auto onArrival = [this, from, to, link, greeting, arrive] {
            // An end ignores messages of a link that it has closed or that a newer link has replaced.
            const std::uint64_t current = this->endOf(to, from).link;
            if (greeting ? current < link : current == link)
                arrive();
        };
        this->cluster.deliver(this->cluster.at(to), life, onArrival);
    };
    if (pair.cuts > 0) {
        // The transport retransmits the message when the partition ends, unless the link breaks first.
        pair.held.push_back([this, from, to, link, deliver] {
            if (this->pairOf(from, to).link == link)
                deliver();
        });
        return;
    }
    const Duration delay = this->chance.between(minDelay, this->chance.happens(slowShare) ? slowDelay : maxDelay);
    direction.lastArrival = std::max(direction.lastArrival, this->world.now() + delay);
    this->world.clock.subscribeAt(direction.lastArrival, [this, from, to, link, deliver] {
        Pair& now = this->pairOf(from, to);
        if (now.link == link && now.cuts > 0)
            now.held.push_back(deliver);
        else if (now.link == link || this->chance.happens(0.3))
            // Some messages in flight at a break are delivered nevertheless.
            deliver();
    });
}

void Network::send(const Process& from, const NodeId& to, const Message& message)
{
    const Process* peer = this->cluster.find(to);
    if (!peer)
        return;
    Pair& pair = this->pairOf(from.index, peer->index);
    const std::uint64_t link = this->endOf(from.index, peer->index).link;
    // Messages sent on a half-open link are lost.
    if (link == 0 || link != pair.link)
        return;
    const std::uint32_t target = peer->index;
    const NodeId sender = from.node;
    this->transmit(from.index, target, pair.link, false, [this, target, sender, message] {
        Process& process = this->cluster.at(target);
        if (process.entry)
            process.entry->onMessage(sender, message);
        else
            process.sidecar->onMessage(sender, message);
    });
}

// Breaks -----------------------------------------------------------------------------------------------------------

void Network::noticeDown(std::uint32_t at, std::uint32_t peer, std::uint64_t link, Duration delay)
{
    const Life life = this->cluster.at(at).life;
    this->world.after(delay, [this, at, peer, link, life] {
        this->cluster.deliver(this->cluster.at(at), life, [this, at, peer, link] {
            End& end = this->endOf(at, peer);
            if (end.link != link)
                return;
            end = {};
            Process& process = this->cluster.at(at);
            const NodeId& node = this->cluster.at(peer).node;
            if (process.entry)
                process.entry->onLinkDown(node);
            else
                process.sidecar->onLinkDown(node);
        });
    });
}

void Network::breakPair(std::uint32_t a, std::uint32_t b, Milliseconds slowest)
{
    Pair& pair = this->pairOf(a, b);
    const std::uint64_t link = pair.link;
    pair.link = 0;
    pair.held.clear();
    pair.nextDial = this->world.now() + this->chance.between(redialFrom, redialUntil);
    if (this->cluster.at(a).alive)
        this->noticeDown(a, b, link, this->chance.between(Milliseconds(0), slowest));
    if (this->cluster.at(b).alive)
        this->noticeDown(b, a, link, this->chance.between(Milliseconds(0), slowest));
}

bool Network::breakLink(std::uint32_t a, std::uint32_t b)
{
    if (a == b || this->pairOf(a, b).link == 0)
        return false;
    this->breakPair(a, b, Milliseconds(1000));
    return true;
}

void Network::cut(std::uint32_t a, std::uint32_t b)
{
    Pair& pair = this->pairOf(a, b);
    ++pair.cuts;
    const std::uint64_t link = pair.link;
    if (link == 0)
        return;
    this->world.after(silenceLimit, [this, a, b, link] {
        const Pair& now = this->pairOf(a, b);
        if (now.cuts > 0 && now.link == link)
            this->breakPair(a, b, Milliseconds(1000));
    });
}

void Network::heal(std::uint32_t a, std::uint32_t b)
{
    Pair& pair = this->pairOf(a, b);
    if (--pair.cuts > 0)
        return;
    std::vector<std::function<void()>> held;
    held.swap(pair.held);
    for (const auto& deliver : held)
        deliver();
}

void Network::onStarted(const Process& process)
{
    for (std::uint32_t other = 0; other < processCount; ++other) {
        if (other != process.index)
            this->pairOf(process.index, other).nextDial
                = this->world.now() + this->chance.between(Milliseconds(50), redialUntil);
    }
}

void Network::onEnded(const Process& process, bool planned)
{
    // Peers detect the death of a process after its last messages are due, but the death of a machine only after
    // `silenceLimit`. At a planned exit, messages in flight are still delivered.
    const bool machine = !planned && this->chance.happens(0.3);
    for (std::uint32_t other = 0; other < processCount; ++other) {
        if (other == process.index || this->pairOf(process.index, other).link == 0)
            continue;
        Pair& pair = this->pairOf(process.index, other);
        const std::uint64_t link = pair.link;
        const Duration arrived = pair.directions[process.index < other ? 0 : 1].lastArrival - this->world.now();
        const Duration wait = machine ? Duration(silenceLimit) : std::max(Duration(0), arrived) + Duration(minDelay);
        pair.nextDial = this->world.now() + wait;
        this->world.after(planned ? wait : Duration(0), [this, other, index = process.index, link] {
            Pair& now = this->pairOf(index, other);
            if (now.link != link)
                return;
            now.link = 0;
            now.held.clear();
        });
        this->noticeDown(other, process.index, link, wait);
    }
}

}
