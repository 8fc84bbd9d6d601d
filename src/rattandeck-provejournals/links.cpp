#include "links.h"

namespace RattandeckProve {

namespace {

    constexpr Milliseconds minDelay { 1 };
    constexpr Milliseconds maxDelay { 6 };
    /// Some links are slow, so that a journal may lag behind the others.
    constexpr double slowLinkProbability = 0.25;
    constexpr Milliseconds maxSlowDelay { 120 };
    constexpr Milliseconds minConnectTime { 40 };
    constexpr Milliseconds maxConnectTime { 150 };
    /// A link is closed after this time without traffic from its peer.
    constexpr Milliseconds idleTimeout { 1200 };

}

std::optional<std::size_t> Links::indexOf(const NodeId& node) const
{
    for (std::size_t i = 0; i < this->processes.size(); ++i) {
        if (this->processes[i]->node == node)
            return i;
    }
    return std::nullopt;
}

bool Links::isReachable(const Key& key) const
{
    const auto found = this->cuts.find(key);
    const bool isCut = found != this->cuts.end() && found->second > 0;
    return !isCut && this->at(key.first).isRunning && this->at(key.second).isRunning;
}

bool Links::isHealthy(const Key& key) const
{
    return this->isReachable(key) && this->at(key.first).canRun() && this->at(key.second).canRun();
}

bool Links::send(Process& from, const NodeId& to, const Message& message)
{
    const auto sender = this->indexOf(from.node);
    const auto receiver = this->indexOf(to);
    if (!sender || !receiver)
        return false;
    const Key key = keyOf(*sender, *receiver);
    Link& link = this->links[key];
    const std::size_t toSide = *receiver == key.first ? 0 : 1;
    if (!link.isUp.at(1 - toSide))
        return false;
    const Duration jitter = this->world.chance.between(Milliseconds(0), minDelay);
    const TimePoint when = std::max(this->world.now() + link.delay + jitter, link.lastArrival.at(toSide));
    link.lastArrival.at(toSide) = when;
    this->world.clock.subscribeAt(when, [this, key, toSide, pending = PendingMessage { message, link.generation }] {
        this->arrive(key, toSide, pending);
    });
    return true;
}

void Links::arrive(const Key& key, std::size_t toSide, PendingMessage pending)
{
    Link& link = this->links[key];
    if (pending.generation != link.generation || !link.isUp.at(toSide))
        return;
    if (!this->isReachable(key) || !link.pending.at(toSide).empty()) {
        link.pending.at(toSide).push_back(std::move(pending));
        return;
    }
    Process& receiver = this->at(toSide == 0 ? key.first : key.second);
    const NodeId from = this->at(toSide == 0 ? key.second : key.first).node;
    receiver.deliver(link.runNumbers.at(toSide),
        [&receiver, from, message = std::move(pending.message)] { receiver.onMessage(from, message); });
}

void Links::setDown(const Key& key, Link& link, std::size_t side)
{
    if (!link.isUp.at(side))
        return;
    link.isUp.at(side) = false;
    link.pending.at(side).clear();
    Process& process = this->at(side == 0 ? key.first : key.second);
    const Process& peer = this->at(side == 0 ? key.second : key.first);
    process.deliver(link.runNumbers.at(side), [&process, &peer] { process.onLinkDown(peer); });
}

void Links::connect(const Key& key, Link& link)
{
    link.readyAt.reset();
    ++link.generation;
    link.isUp = { true, true };
    link.lastHealthy = this->world.now();
    link.lastArrival = {};
    const bool isSlow = this->world.chance.happens(slowLinkProbability);
    link.delay = this->world.chance.between(minDelay, isSlow ? maxSlowDelay : maxDelay);
    Process& first = this->at(key.first);
    Process& second = this->at(key.second);
    link.runNumbers = { first.runNumber, second.runNumber };
    first.deliver(first.runNumber, [&first, &second] { first.onLinkUp(second); });
    second.deliver(second.runNumber, [&first, &second] { second.onLinkUp(first); });
}

void Links::breakLink(std::size_t one, std::size_t other)
{
    const Key key = keyOf(one, other);
    Link& link = this->links[key];
    this->setDown(key, link, 0);
    this->setDown(key, link, 1);
}

void Links::onEnded(const Process& process)
{
    const auto index = this->indexOf(process.node);
    for (auto& [key, link] : this->links) {
        if (key.first != *index && key.second != *index)
            continue;
        const std::size_t side = key.first == *index ? 0 : 1;
        link.isUp.at(side) = false;
        link.pending.at(side).clear();
    }
}

void Links::tick(const Key& key, Link& link)
{
    if (this->isHealthy(key))
        link.lastHealthy = this->world.now();
    const bool isSilent = this->world.now() - link.lastHealthy > idleTimeout;
    for (const std::size_t side : { 0UL, 1UL }) {
        // A peer that has closed its side of the link resets it, if reachable.
        const bool isResetByPeer = !link.isUp.at(1 - side) && this->isReachable(key);
        if (isSilent || isResetByPeer)
            this->setDown(key, link, side);
    }
    if (this->isReachable(key)) {
        for (const std::size_t side : { 0UL, 1UL }) {
            auto pending = std::exchange(link.pending.at(side), {});
            for (PendingMessage& each : pending)
                this->arrive(key, side, std::move(each));
        }
    }
    if (link.isUp[0] || link.isUp[1] || !this->isHealthy(key)) {
        link.readyAt.reset();
        return;
    }
    if (!link.readyAt)
        link.readyAt = this->world.now() + this->world.chance.between(minConnectTime, maxConnectTime);
    if (this->world.now() >= *link.readyAt)
        this->connect(key, link);
}

void Links::tick()
{
    for (std::size_t one = 0; one < this->processes.size(); ++one) {
        for (std::size_t other = one + 1; other < this->processes.size(); ++other) {
            const Key key { one, other };
            if (this->at(one).isJournal() || this->at(other).isJournal())
                this->tick(key, this->links[key]);
        }
    }
}

}
