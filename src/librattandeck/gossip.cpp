#include "Rattandeck/gossip.h"

#include <map>
#include <set>

namespace Rattandeck {

struct GossipTable::Impl : std::enable_shared_from_this<GossipTable::Impl> {
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
    std::map<std::string, GossipItem> topics;
    std::set<NodeId> peers;

    bool isNew(const std::string& topic, std::uint64_t version) const
    {
        const auto found = this->topics.find(topic);
        return found == this->topics.end() || found->second.version < version;
    }

    bool accept(const GossipItem& item, const NodeId& from);
    void scheduleExpiry(const std::string& topic);
    void onOffers(const NodeId& from, const GossipOffers& offers);
    void requestNewer(const NodeId& from, const GossipOffers& offers);
    void onRequest(const NodeId& from, const GossipRequest& request);
    void onItems(const NodeId& from, const GossipItems& items);
};

/// Stores an item if it is newer than the stored version, and offers it to all peers except its sender. Returns whether
/// it was newer.
bool GossipTable::Impl::accept(const GossipItem& item, const NodeId& from)
{
    if (!this->isNew(item.topic, item.version))
        return false;
    this->topics[item.topic] = item;
    if (item.isRemoved)
        this->scheduleExpiry(item.topic);
    for (const NodeId& node : this->peers) {
        if (node != from)
            this->send(node, GossipOffers { { { item.topic, item.version } } });
    }
    return true;
}

void GossipTable::Impl::scheduleExpiry(const std::string& topic)
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

void GossipTable::Impl::onOffers(const NodeId& from, const GossipOffers& offers)
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

void GossipTable::Impl::requestNewer(const NodeId& from, const GossipOffers& offers)
{
    GossipRequest request;
    for (const GossipOffer& offer : offers.offers) {
        if (this->isNew(offer.topic, offer.version))
            request.topics.push_back(offer.topic);
    }
    if (!request.topics.empty())
        this->send(from, request);
}

void GossipTable::Impl::onRequest(const NodeId& from, const GossipRequest& request)
{
    GossipItems items;
    for (const std::string& topic : request.topics) {
        const auto found = this->topics.find(topic);
        if (found != this->topics.end())
            items.items.push_back(found->second);
    }
    if (!items.items.empty())
        this->send(from, items);
}

void GossipTable::Impl::onItems(const NodeId& from, const GossipItems& items)
{
    for (const GossipItem& item : items.items) {
        if (this->accept(item, from) && this->onUpdate)
            this->onUpdate(item);
    }
}

// Public -------------------------------------------------------------------------------------------------------------

GossipTable::GossipTable(TimerService& timers, Settings settings, Send send, OnUpdate onUpdate)
    : impl(std::make_shared<Impl>(timers, settings, std::move(send), std::move(onUpdate)))
{
}

GossipTable::~GossipTable() = default;

void GossipTable::publish(const GossipItem& item) { this->impl->accept(item, {}); }

void GossipTable::publishRemoval(const std::string& topic)
{
    const auto found = this->impl->topics.find(topic);
    if (found == this->impl->topics.end() || found->second.isRemoved)
        return;
    this->impl->accept({ topic, found->second.version + 1, true, {} }, {});
}

void GossipTable::onLinkUp(const NodeId& node)
{
    this->impl->peers.insert(node);
    GossipOffers offers;
    for (const auto& [topic, item] : this->impl->topics)
        offers.offers.push_back({ topic, item.version });
    if (!offers.offers.empty())
        this->impl->send(node, offers);
}

void GossipTable::onLinkDown(const NodeId& node) { this->impl->peers.erase(node); }

void GossipTable::onMessage(const NodeId& from, const Message& message)
{
    if (const auto* offers = std::get_if<GossipOffers>(&message))
        this->impl->onOffers(from, *offers);
    else if (const auto* request = std::get_if<GossipRequest>(&message))
        this->impl->onRequest(from, *request);
    else if (const auto* items = std::get_if<GossipItems>(&message))
        this->impl->onItems(from, *items);
}

std::size_t GossipTable::topicCount() const { return this->impl->topics.size(); }

}
