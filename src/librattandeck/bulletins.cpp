#include "Rattandeck/bulletins.h"

#include <map>
#include <set>

namespace Rattandeck {

struct BulletinBoard::Impl : std::enable_shared_from_this<BulletinBoard::Impl> {
    Impl(TimerService& timers, Settings settings, Send send, OnNews onNews)
        : timers(timers)
        , settings(settings)
        , send(std::move(send))
        , onNews(std::move(onNews))
    {
    }

    TimerService& timers;
    Settings settings;
    Send send;
    OnNews onNews;
    std::map<std::string, Bulletin> topics;
    std::set<NodeId> linked;

    bool isNew(const std::string& topic, std::uint64_t version) const
    {
        const auto found = this->topics.find(topic);
        return found == this->topics.end() || found->second.version < version;
    }

    bool take(const Bulletin& bulletin, const NodeId& from);
    void forgetLater(const std::string& topic);
    void onOffers(const NodeId& from, const BulletinOffers& offers);
    void askFor(const NodeId& from, const BulletinOffers& offers);
    void onWanted(const NodeId& from, const BulletinsWanted& wanted);
    void onBulletins(const NodeId& from, const Bulletins& bulletins);
};

/// Returns whether the bulletin was new. Offers it to all links but the one that it came from.
bool BulletinBoard::Impl::take(const Bulletin& bulletin, const NodeId& from)
{
    if (!this->isNew(bulletin.topic, bulletin.version))
        return false;
    this->topics[bulletin.topic] = bulletin;
    if (bulletin.isRemoved)
        this->forgetLater(bulletin.topic);
    for (const NodeId& node : this->linked) {
        if (node != from)
            this->send(node, BulletinOffers { { { bulletin.topic, bulletin.version } } });
    }
    return true;
}

void BulletinBoard::Impl::forgetLater(const std::string& topic)
{
    this->timers.subscribeAfter(this->settings.removalMemory, [weak = this->weak_from_this(), topic] {
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
    if (this->settings.patience == Milliseconds(0)) {
        this->askFor(from, offers);
        return;
    }
    this->timers.subscribeAfter(this->settings.patience, [weak = this->weak_from_this(), from, offers] {
        if (const auto self = weak.lock())
            self->askFor(from, offers);
    });
}

void BulletinBoard::Impl::askFor(const NodeId& from, const BulletinOffers& offers)
{
    BulletinsWanted wanted;
    for (const BulletinOffer& offer : offers.offers) {
        if (this->isNew(offer.topic, offer.version))
            wanted.topics.push_back(offer.topic);
    }
    if (!wanted.topics.empty())
        this->send(from, wanted);
}

void BulletinBoard::Impl::onWanted(const NodeId& from, const BulletinsWanted& wanted)
{
    Bulletins bulletins;
    for (const std::string& topic : wanted.topics) {
        const auto found = this->topics.find(topic);
        if (found != this->topics.end())
            bulletins.bulletins.push_back(found->second);
    }
    if (!bulletins.bulletins.empty())
        this->send(from, bulletins);
}

void BulletinBoard::Impl::onBulletins(const NodeId& from, const Bulletins& bulletins)
{
    for (const Bulletin& bulletin : bulletins.bulletins) {
        if (this->take(bulletin, from) && this->onNews)
            this->onNews(bulletin);
    }
}

// Public -------------------------------------------------------------------------------------------------------------

BulletinBoard::BulletinBoard(TimerService& timers, Settings settings, Send send, OnNews onNews)
    : impl(std::make_shared<Impl>(timers, settings, std::move(send), std::move(onNews)))
{
}

BulletinBoard::~BulletinBoard() = default;

void BulletinBoard::post(const Bulletin& bulletin) { this->impl->take(bulletin, {}); }

void BulletinBoard::postRemoval(const std::string& topic)
{
    const auto found = this->impl->topics.find(topic);
    if (found == this->impl->topics.end() || found->second.isRemoved)
        return;
    this->impl->take({ topic, found->second.version + 1, true, {} }, {});
}

void BulletinBoard::onLinkUp(const NodeId& node)
{
    this->impl->linked.insert(node);
    BulletinOffers offers;
    for (const auto& [topic, bulletin] : this->impl->topics)
        offers.offers.push_back({ topic, bulletin.version });
    if (!offers.offers.empty())
        this->impl->send(node, offers);
}

void BulletinBoard::onLinkDown(const NodeId& node) { this->impl->linked.erase(node); }

void BulletinBoard::onMessage(const NodeId& from, const Message& message)
{
    if (const auto* offers = std::get_if<BulletinOffers>(&message))
        this->impl->onOffers(from, *offers);
    else if (const auto* wanted = std::get_if<BulletinsWanted>(&message))
        this->impl->onWanted(from, *wanted);
    else if (const auto* bulletins = std::get_if<Bulletins>(&message))
        this->impl->onBulletins(from, *bulletins);
}

std::size_t BulletinBoard::topicCount() const { return this->impl->topics.size(); }

}
