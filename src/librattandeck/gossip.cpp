#include "Rattandeck/gossip.h"

#include <map>
#include <set>

namespace Rattandeck {

struct GossipTable::Impl : std::enable_shared_from_this<GossipTable::Impl> {
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
    std::map<std::string, GossipItem> topics;
    std::set<NodeId> linked;

    bool isNew(const std::string& topic, std::uint64_t version) const
    {
        const auto found = this->topics.find(topic);
        return found == this->topics.end() || found->second.version < version;
    }

    bool take(const GossipItem& item, const NodeId& from);
    void forgetLater(const std::string& topic);
    void onOffers(const NodeId& from, const GossipOffers& offers);
    void askFor(const NodeId& from, const GossipOffers& offers);
    void onWanted(const NodeId& from, const GossipRequest& wanted);
    void onBulletins(const NodeId& from, const GossipItems& items);
};

/// Returns whether the bulletin was new. Offers it to all links but the one that it came from.
bool GossipTable::Impl::take(const GossipItem& item, const NodeId& from)
{
    if (!this->isNew(item.topic, item.version))
        return false;
    this->topics[item.topic] = item;
    if (item.isRemoved)
        this->forgetLater(item.topic);
    for (const NodeId& node : this->linked) {
        if (node != from)
            this->send(node, GossipOffers { { { item.topic, item.version } } });
    }
    return true;
}

void GossipTable::Impl::forgetLater(const std::string& topic)
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

void GossipTable::Impl::onOffers(const NodeId& from, const GossipOffers& offers)
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

void GossipTable::Impl::askFor(const NodeId& from, const GossipOffers& offers)
{
    GossipRequest wanted;
    for (const GossipOffer& offer : offers.offers) {
        if (this->isNew(offer.topic, offer.version))
            wanted.topics.push_back(offer.topic);
    }
    if (!wanted.topics.empty())
        this->send(from, wanted);
}

void GossipTable::Impl::onWanted(const NodeId& from, const GossipRequest& wanted)
{
    GossipItems items;
    for (const std::string& topic : wanted.topics) {
        const auto found = this->topics.find(topic);
        if (found != this->topics.end())
            items.items.push_back(found->second);
    }
    if (!items.items.empty())
        this->send(from, items);
}

void GossipTable::Impl::onBulletins(const NodeId& from, const GossipItems& items)
{
    for (const GossipItem& item : items.items) {
        if (this->take(item, from) && this->onNews)
            this->onNews(item);
    }
}

// Public -------------------------------------------------------------------------------------------------------------

GossipTable::GossipTable(TimerService& timers, Settings settings, Send send, OnNews onNews)
    : impl(std::make_shared<Impl>(timers, settings, std::move(send), std::move(onNews)))
{
}

GossipTable::~GossipTable() = default;

void GossipTable::post(const GossipItem& item) { this->impl->take(item, {}); }

void GossipTable::postRemoval(const std::string& topic)
{
    const auto found = this->impl->topics.find(topic);
    if (found == this->impl->topics.end() || found->second.isRemoved)
        return;
    this->impl->take({ topic, found->second.version + 1, true, {} }, {});
}

void GossipTable::onLinkUp(const NodeId& node)
{
    this->impl->linked.insert(node);
    GossipOffers offers;
    for (const auto& [topic, item] : this->impl->topics)
        offers.offers.push_back({ topic, item.version });
    if (!offers.offers.empty())
        this->impl->send(node, offers);
}

void GossipTable::onLinkDown(const NodeId& node) { this->impl->linked.erase(node); }

void GossipTable::onMessage(const NodeId& from, const Message& message)
{
    if (const auto* offers = std::get_if<GossipOffers>(&message))
        this->impl->onOffers(from, *offers);
    else if (const auto* wanted = std::get_if<GossipRequest>(&message))
        this->impl->onWanted(from, *wanted);
    else if (const auto* items = std::get_if<GossipItems>(&message))
        this->impl->onBulletins(from, *items);
}

std::size_t GossipTable::topicCount() const { return this->impl->topics.size(); }

}
