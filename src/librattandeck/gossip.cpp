#include "Rattandeck/gossip.h"

#include <deque>
#include <map>
#include <set>
#include <utility>

namespace Rattandeck {

namespace {

    /// A version that was requested from a peer and has not arrived yet.
    struct PendingRequest {
        std::uint64_t version = 0;
        /// Peers that offered the version and have not been asked for it, in the order of their offers.
        std::deque<NodeId> alternatives;
    };

    /// Topics that are to be offered, each with the peer that it came from, which needs no offer.
    using PendingOffers = std::map<std::string, NodeId>;

}

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
    std::map<std::string, PendingRequest> requested;
    std::set<NodeId> peers;
    PendingOffers published;
    PendingOffers relayed;

    bool isNew(const std::string& topic, std::uint64_t version) const
    {
        const auto found = this->topics.find(topic);
        return found == this->topics.end() || found->second.version < version;
    }

    bool accept(const GossipItem& item, const NodeId& from);
    void scheduleExpiry(const std::string& topic);

    // Offering
    void offerLater(PendingOffers& pending, Milliseconds delay, const std::string& topic, const NodeId& from);
    void offer(const PendingOffers& pending);
    void onOffers(const NodeId& from, const GossipOffers& offers);

    // Requesting
    void requestNewer(const NodeId& from, const GossipOffers& offers);
    bool shouldRequest(const NodeId& from, const GossipOffer& offer);
    void onRequestTimeout(const std::string& topic, std::uint64_t version);
    void onRequest(const NodeId& from, const GossipRequest& request);
    void onItems(const NodeId& from, const GossipItems& items);
};

/// Stores an item if it is newer than the stored version, and offers it to the peers later. Returns whether it was
/// newer.
bool GossipTable::Impl::accept(const GossipItem& item, const NodeId& from)
{
    if (!this->isNew(item.topic, item.version))
        return false;
    this->topics[item.topic] = item;
    const auto pending = this->requested.find(item.topic);
    if (pending != this->requested.end() && pending->second.version <= item.version)
        this->requested.erase(pending);
    if (item.isRemoved)
        this->scheduleExpiry(item.topic);
    if (from == NodeId())
        this->offerLater(this->published, this->settings.publishDelay, item.topic, from);
    else if (!this->settings.isLeaf)
        this->offerLater(this->relayed, this->settings.relayDelay, item.topic, from);
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

// Offering -----------------------------------------------------------------------------------------------------------

void GossipTable::Impl::offerLater(
    PendingOffers& pending, Milliseconds delay, const std::string& topic, const NodeId& from)
{
    if (pending.empty()) {
        this->timers.subscribeAfter(delay, [weak = this->weak_from_this(), &pending] {
            if (const auto self = weak.lock())
                self->offer(std::exchange(pending, {}));
        });
    }
    pending[topic] = from;
}

void GossipTable::Impl::offer(const PendingOffers& pending)
{
    for (const NodeId& node : this->peers) {
        GossipOffers offers;
        for (const auto& [topic, from] : pending) {
            const auto found = this->topics.find(topic);
            if (found != this->topics.end() && from != node)
                offers.offers.push_back({ topic, found->second.version });
        }
        if (!offers.offers.empty())
            this->send(node, offers);
    }
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

// Requesting ---------------------------------------------------------------------------------------------------------

/// Returns whether the version is to be requested now. If it has been requested elsewhere, the peer is asked after a
/// timeout.
bool GossipTable::Impl::shouldRequest(const NodeId& from, const GossipOffer& offer)
{
    if (!this->isNew(offer.topic, offer.version))
        return false;
    const auto found = this->requested.find(offer.topic);
    if (found != this->requested.end() && found->second.version >= offer.version) {
        if (found->second.version == offer.version)
            found->second.alternatives.push_back(from);
        return false;
    }
    this->requested[offer.topic] = { offer.version, {} };
    this->timers.subscribeAfter(
        this->settings.requestTimeout, [weak = this->weak_from_this(), topic = offer.topic, version = offer.version] {
            if (const auto self = weak.lock())
                self->onRequestTimeout(topic, version);
        });
    return true;
}

void GossipTable::Impl::requestNewer(const NodeId& from, const GossipOffers& offers)
{
    GossipRequest request;
    for (const GossipOffer& offer : offers.offers) {
        if (this->shouldRequest(from, offer))
            request.topics.push_back(offer.topic);
    }
    if (!request.topics.empty())
        this->send(from, request);
}

void GossipTable::Impl::onRequestTimeout(const std::string& topic, std::uint64_t version)
{
    const auto found = this->requested.find(topic);
    if (found == this->requested.end() || found->second.version != version)
        return;
    const std::deque<NodeId> alternatives = std::move(found->second.alternatives);
    this->requested.erase(found);
    for (const NodeId& node : alternatives) {
        if (this->peers.contains(node))
            this->requestNewer(node, GossipOffers { { { topic, version } } });
    }
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

void GossipTable::restore(const std::vector<GossipItem>& items)
{
    for (const GossipItem& item : items) {
        if (!this->impl->isNew(item.topic, item.version))
            continue;
        this->impl->topics[item.topic] = item;
        if (item.isRemoved)
            this->impl->scheduleExpiry(item.topic);
    }
}

void GossipTable::setRequestDelay(Milliseconds delay) { this->impl->settings.requestDelay = delay; }

std::vector<GossipItem> GossipTable::items(const std::string& prefix) const
{
    std::vector<GossipItem> found;
    const auto& topics = this->impl->topics;
    for (auto it = topics.lower_bound(prefix); it != topics.end() && it->first.starts_with(prefix); ++it) {
        if (!it->second.isRemoved)
            found.push_back(it->second);
    }
    return found;
}

std::vector<GossipItem> GossipTable::allItems() const
{
    std::vector<GossipItem> all;
    for (const auto& [topic, item] : this->impl->topics)
        all.push_back(item);
    return all;
}

const GossipItem* GossipTable::find(const std::string& topic) const
{
    const auto found = this->impl->topics.find(topic);
    return found == this->impl->topics.end() ? nullptr : &found->second;
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
