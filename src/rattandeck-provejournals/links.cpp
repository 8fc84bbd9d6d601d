#include "links.h"

namespace RattandeckProve {

namespace {

    constexpr Milliseconds shortestDelay { 1 };
    constexpr Milliseconds longestDelay { 6 };
    /// Some links are slow, so that one journal may be well behind the others.
    constexpr double slowLinks = 0.25;
    constexpr Milliseconds longestSlowDelay { 120 };
    constexpr Milliseconds shortestConnect { 40 };
    constexpr Milliseconds longestConnect { 150 };
    /// A link that hears nothing for this long is given up.
    constexpr Milliseconds silenceLimit { 1200 };

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
    return !isCut && this->at(key.first).isAlive && this->at(key.second).isAlive;
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
    const Duration jitter = this->world.chance.between(Milliseconds(0), shortestDelay);
    const TimePoint when = std::max(this->world.now() + link.delay + jitter, link.lastArrival.at(toSide));
    link.lastArrival.at(toSide) = when;
    this->world.clock.subscribeAt(
        when, [this, key, toSide, held = Held { message, link.generation }] { this->arrive(key, toSide, held); });
    return true;
}

void Links::arrive(const Key& key, std::size_t toSide, Held held)
{
    Link& link = this->links[key];
    if (held.generation != link.generation || !link.isUp.at(toSide))
        return;
    if (!this->isReachable(key) || !link.held.at(toSide).empty()) {
        link.held.at(toSide).push_back(std::move(held));
        return;
    }
    Process& receiver = this->at(toSide == 0 ? key.first : key.second);
    const NodeId from = this->at(toSide == 0 ? key.second : key.first).node;
    receiver.deliver(link.lives.at(toSide),
        [&receiver, from, message = std::move(held.message)] { receiver.onMessage(from, message); });
}

void Links::setDown(const Key& key, Link& link, std::size_t side)
{
    if (!link.isUp.at(side))
        return;
    link.isUp.at(side) = false;
    link.held.at(side).clear();
    Process& process = this->at(side == 0 ? key.first : key.second);
    const Process& peer = this->at(side == 0 ? key.second : key.first);
    process.deliver(link.lives.at(side), [&process, &peer] { process.onLinkDown(peer); });
}

void Links::connect(const Key& key, Link& link)
{
    link.readyAt.reset();
    ++link.generation;
    link.isUp = { true, true };
    link.lastHealthy = this->world.now();
    link.lastArrival = {};
    const bool isSlow = this->world.chance.happens(slowLinks);
    link.delay = this->world.chance.between(shortestDelay, isSlow ? longestSlowDelay : longestDelay);
    Process& first = this->at(key.first);
    Process& second = this->at(key.second);
    link.lives = { first.life, second.life };
    first.deliver(first.life, [&first, &second] { first.onLinkUp(second); });
    second.deliver(second.life, [&first, &second] { second.onLinkUp(first); });
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
        link.held.at(side).clear();
    }
}

void Links::tick(const Key& key, Link& link)
{
    if (this->isHealthy(key))
        link.lastHealthy = this->world.now();
    const bool isSilent = this->world.now() - link.lastHealthy > silenceLimit;
    for (const std::size_t side : { 0UL, 1UL }) {
        // A peer that has given the link up resets it, if it can be reached.
        const bool isReset = !link.isUp.at(1 - side) && this->isReachable(key);
        if (isSilent || isReset)
            this->setDown(key, link, side);
    }
    if (this->isReachable(key)) {
        for (const std::size_t side : { 0UL, 1UL }) {
            auto held = std::exchange(link.held.at(side), {});
            for (Held& each : held)
                this->arrive(key, side, std::move(each));
        }
    }
    if (link.isUp[0] || link.isUp[1] || !this->isHealthy(key)) {
        link.readyAt.reset();
        return;
    }
    if (!link.readyAt)
        link.readyAt = this->world.now() + this->world.chance.between(shortestConnect, longestConnect);
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
