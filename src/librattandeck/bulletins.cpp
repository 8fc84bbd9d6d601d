#include "Rattandeck/bulletins.h"

#include <map>
#include <set>

namespace Rattandeck {

struct BulletinBoard::Impl : std::enable_shared_from_this<BulletinBoard::Impl> {
    Impl(TimerService& timers, Settings settings, Send send, OnUpdate onUpdate)
        : timers(timers)
        , settings(settings)
        , send(std::move(send))
        , onUpdate(std::move(onUpdate))
    {
    }

    TimerService& timers;
    Settings settings;
    Send send;
    OnUpdate onUpdate;
    std::map<std::string, Bulletin> topics;
    std::set<NodeId> peers;

    bool isNew(const std::string& topic, std::uint64_t version) const
    {
        const auto found = this->topics.find(topic);
        return found == this->topics.end() || found->second.version < version;
    }

    bool accept(const Bulletin& bulletin, const NodeId& from);
    void scheduleExpiry(const std::string& topic);
    void onOffers(const NodeId& from, const BulletinOffers& offers);
    void requestNewer(const NodeId& from, const BulletinOffers& offers);
    void onRequest(const NodeId& from, const BulletinsWanted& request);
    void onItems(const NodeId& from, const Bulletins& bulletins);
};

/// Stores an item if it is newer than the stored version, and offers it to all peers except its sender. Returns whether
/// it was newer.
bool BulletinBoard::Impl::accept(const Bulletin& bulletin, const NodeId& from)
{
    if (!this->isNew(bulletin.topic, bulletin.version))
        return false;
    this->topics[bulletin.topic] = bulletin;
    if (bulletin.isRemoved)
        this->scheduleExpiry(bulletin.topic);
    for (const NodeId& node : this->peers) {
        if (node != from)
            this->send(node, BulletinOffers { { { bulletin.topic, bulletin.version } } });
    }
    return true;
}

void BulletinBoard::Impl::scheduleExpiry(const std::string& topic)
{
    this->timers.subscribeAfter(this->settings.tombstoneRetention, [weak = this->weak_from_this(), topic] {
        const auto self = weak.lock();
        if (!self)
            return;
        const auto found = self->topics.find(topic);
        if (found != self->topics.end() && found->second.isRemoved)
            self->topics.erase(found);
    });
}

void BulletinBoard::Impl::onOffers(const NodeId& from, const BulletinOffers& offers)
{
    if (this->settings.requestDelay == Milliseconds(0)) {
        this->requestNewer(from, offers);
        return;
    }
    this->timers.subscribeAfter(this->settings.requestDelay, [weak = this->weak_from_this(), from, offers] {
        if (const auto self = weak.lock())
            self->requestNewer(from, offers);
    });
}

void BulletinBoard::Impl::requestNewer(const NodeId& from, const BulletinOffers& offers)
{
    BulletinsWanted request;
    for (const BulletinOffer& offer : offers.offers) {
        if (this->isNew(offer.topic, offer.version))
            request.topics.push_back(offer.topic);
    }
    if (!request.topics.empty())
        this->send(from, request);
}

void BulletinBoard::Impl::onRequest(const NodeId& from, const BulletinsWanted& request)
{
    Bulletins bulletins;
    for (const std::string& topic : request.topics) {
        const auto found = this->topics.find(topic);
        if (found != this->topics.end())
            bulletins.bulletins.push_back(found->second);
    }
    if (!bulletins.bulletins.empty())
        this->send(from, bulletins);
}

void BulletinBoard::Impl::onItems(const NodeId& from, const Bulletins& bulletins)
{
    for (const Bulletin& bulletin : bulletins.bulletins) {
        if (this->accept(bulletin, from) && this->onUpdate)
            this->onUpdate(bulletin);
    }
}

// Public -------------------------------------------------------------------------------------------------------------

BulletinBoard::BulletinBoard(TimerService& timers, Settings settings, Send send, OnUpdate onUpdate)
    : impl(std::make_shared<Impl>(timers, settings, std::move(send), std::move(onUpdate)))
{
}

BulletinBoard::~BulletinBoard() = default;

void BulletinBoard::publish(const Bulletin& bulletin) { this->impl->accept(bulletin, {}); }

void BulletinBoard::publishRemoval(const std::string& topic)
{
    const auto found = this->impl->topics.find(topic);
    if (found == this->impl->topics.end() || found->second.isRemoved)
        return;
    this->impl->accept({ topic, found->second.version + 1, true, {} }, {});
}

void BulletinBoard::onLinkUp(const NodeId& node)
{
    this->impl->peers.insert(node);
    BulletinOffers offers;
    for (const auto& [topic, bulletin] : this->impl->topics)
        offers.offers.push_back({ topic, bulletin.version });
    if (!offers.offers.empty())
        this->impl->send(node, offers);
}

void BulletinBoard::onLinkDown(const NodeId& node) { this->impl->peers.erase(node); }

void BulletinBoard::onMessage(const NodeId& from, const Message& message)
{
    if (const auto* offers = std::get_if<BulletinOffers>(&message))
        this->impl->onOffers(from, *offers);
    else if (const auto* request = std::get_if<BulletinsWanted>(&message))
        this->impl->onRequest(from, *request);
    else if (const auto* bulletins = std::get_if<Bulletins>(&message))
        this->impl->onItems(from, *bulletins);
}

std::size_t BulletinBoard::topicCount() const { return this->impl->topics.size(); }

}
