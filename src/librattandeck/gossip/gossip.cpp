#include "Rattandeck/gossip.h"

#include "Rattandeck/digest.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace Rattandeck {

/// The digests of 64 buckets take about 0.6 kB, and one changed topic of 3,000 makes 47 offers.
constexpr std::size_t bucketCount = 64;

namespace {

    /// A version that was requested from a peer and has not arrived yet.
    struct PendingRequest {
        std::uint64_t version = 0;
        /// Peers that offered the version and have not been asked for it, in the order of their offers.
        std::deque<NodeId> alternatives;
    };

    /// Digests of the topics and their versions, by bucket. They don't depend on the order of changes.
    class TopicDigests {
    public:
        static std::size_t bucketOf(const std::string& topic) { return hash64(topic) % bucketCount; }

        /// Adds a topic that was absent, or removes one that was present, at this version.
        void toggle(const GossipItem& item)
        {
            this->buckets[bucketOf(item.topic)] ^= hash64(item.topic, item.version + 1);
        }
        std::vector<std::uint64_t> all() const { return { this->buckets.begin(), this->buckets.end() }; }
        std::uint64_t hash() const
        {
            const auto* bytes = reinterpret_cast<const char*>(this->buckets.data());
            return hash64(std::string_view(bytes, sizeof(this->buckets)));
        }
        bool differs(std::size_t bucket, const std::vector<std::uint64_t>& others) const
        {
            return bucket >= others.size() || others[bucket] != this->buckets[bucket];
        }

    private:
        std::array<std::uint64_t, bucketCount> buckets {};
    };

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
    TopicDigests digests;
    std::map<std::string, PendingRequest> requested;
    std::set<NodeId> peers;
    /// Topics read from the store that have not been offered yet.
    std::set<std::string> published;
    /// Peers that the news received lately came from. Empty while no notice is due.
    std::set<NodeId> newsSenders;
    /// Peers to compare digests with, and the one with which that is under way.
    std::deque<NodeId> toCompare;
    std::optional<NodeId> comparing;
    TimerId comparisonTimer;

    bool isNew(const std::string& topic, std::uint64_t version) const
    {
        const auto found = this->topics.find(topic);
        return found == this->topics.end() || found->second.version < version;
    }

    bool accept(const GossipItem& item);
    void scheduleExpiry(const std::string& topic);

    // Telling others
    void offerLater(const std::string& topic);
    void offerPublished();
    void noticeLater(const NodeId& from);
    void sendNotices();

    // Comparing digests
    void compareLater(const NodeId& node);
    void compareNext();
    void endComparison(const NodeId& node);
    void onNotice(const NodeId& from, const GossipNotice& notice);
    void onDigests(const NodeId& from, const GossipDigests& digests);

    // Requesting
    void onOffers(const NodeId& from, const GossipOffers& offers);
    bool requestNewer(const NodeId& from, const GossipOffers& offers);
    bool shouldRequest(const NodeId& from, const GossipOffer& offer);
    void onRequestTimeout(const std::string& topic, std::uint64_t version);
    void onRequest(const NodeId& from, const GossipRequest& request);
    void onItems(const NodeId& from, const GossipItems& items);
};

/// Stores an item if it is newer than the stored version. Returns whether it was.
bool GossipTable::Impl::accept(const GossipItem& item)
{
    const auto known = this->topics.find(item.topic);
    if (known != this->topics.end()) {
        if (known->second.version >= item.version)
            return false;
        this->digests.toggle(known->second);
    }
    this->topics[item.topic] = item;
    this->digests.toggle(item);
    const auto pending = this->requested.find(item.topic);
    if (pending != this->requested.end() && pending->second.version <= item.version)
        this->requested.erase(pending);
    if (item.isRemoved)
        this->scheduleExpiry(item.topic);
    return true;
}

void GossipTable::Impl::scheduleExpiry(const std::string& topic)
{
    this->timers.subscribeAfter(this->settings.tombstoneRetention, [weak = this->weak_from_this(), topic] {
        const auto self = weak.lock();
        if (!self)
            return;
        const auto found = self->topics.find(topic);
        if (found == self->topics.end() || !found->second.isRemoved)
            return;
        self->digests.toggle(found->second);
        self->topics.erase(found);
    });
}

// Telling others -----------------------------------------------------------------------------------------------------

void GossipTable::Impl::offerLater(const std::string& topic)
{
    if (this->published.empty()) {
        this->timers.subscribeAfter(this->settings.publishDelay, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                self->offerPublished();
        });
    }
    this->published.insert(topic);
}

void GossipTable::Impl::offerPublished()
{
    GossipOffers offers;
    for (const std::string& topic : std::exchange(this->published, {})) {
        const auto found = this->topics.find(topic);
        if (found != this->topics.end())
            offers.offers.push_back({ topic, found->second.version });
    }
    for (const NodeId& node : this->peers)
        this->send(node, offers);
}

void GossipTable::Impl::noticeLater(const NodeId& from)
{
    if (this->settings.isLeaf)
        return;
    if (this->newsSenders.empty()) {
        this->timers.subscribeAfter(this->settings.noticeDelay, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                self->sendNotices();
        });
    }
    this->newsSenders.insert(from);
}

void GossipTable::Impl::sendNotices()
{
    const std::set<NodeId> senders = std::exchange(this->newsSenders, {});
    const GossipNotice notice { this->digests.hash() };
    for (const NodeId& node : this->peers) {
        // The only sender knows all of it; one of several may lack what another one sent.
        if (senders.size() > 1 || !senders.contains(node))
            this->send(node, notice);
    }
}

// Comparing digests --------------------------------------------------------------------------------------------------

void GossipTable::Impl::compareLater(const NodeId& node)
{
    if (std::ranges::find(this->toCompare, node) == this->toCompare.end())
        this->toCompare.push_back(node);
    if (!this->comparing)
        this->compareNext();
}

void GossipTable::Impl::compareNext()
{
    this->timers.cancel(this->comparisonTimer);
    this->comparing.reset();
    if (this->toCompare.empty())
        return;
    this->comparing = this->toCompare.front();
    this->toCompare.pop_front();
    this->comparisonTimer
        = this->timers.subscribeAfter(this->settings.comparisonTimeout, [weak = this->weak_from_this()] {
              if (const auto self = weak.lock())
                  self->compareNext();
          });
    this->send(*this->comparing, GossipDigests { this->digests.all() });
}

void GossipTable::Impl::endComparison(const NodeId& node)
{
    if (this->comparing == node)
        this->compareNext();
}

void GossipTable::Impl::onNotice(const NodeId& from, const GossipNotice& notice)
{
    if (notice.hash == this->digests.hash())
        return;
    // What differs usually arrives from those that have read it.
    this->timers.subscribeAfter(this->settings.requestDelay, [weak = this->weak_from_this(), from, notice] {
        const auto self = weak.lock();
        if (self && self->peers.contains(from) && notice.hash != self->digests.hash())
            self->compareLater(from);
    });
}

void GossipTable::Impl::onDigests(const NodeId& from, const GossipDigests& digests)
{
    std::array<bool, bucketCount> isDifferent {};
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket)
        isDifferent[bucket] = this->digests.differs(bucket, digests.buckets);
    GossipOffers offers;
    offers.isAnswer = true;
    for (const auto& [topic, item] : this->topics) {
        if (isDifferent[TopicDigests::bucketOf(topic)])
            offers.offers.push_back({ topic, item.version });
    }
    this->send(from, offers);
}

// Requesting ---------------------------------------------------------------------------------------------------------

void GossipTable::Impl::onOffers(const NodeId& from, const GossipOffers& offers)
{
    if (offers.isAnswer) {
        if (!this->requestNewer(from, offers))
            this->endComparison(from);
        return;
    }
    if (this->settings.requestDelay == Milliseconds(0)) {
        this->requestNewer(from, offers);
        return;
    }
    this->timers.subscribeAfter(this->settings.requestDelay, [weak = this->weak_from_this(), from, offers] {
        if (const auto self = weak.lock())
            self->requestNewer(from, offers);
    });
}

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

/// Returns whether anything was requested.
bool GossipTable::Impl::requestNewer(const NodeId& from, const GossipOffers& offers)
{
    GossipRequest request;
    for (const GossipOffer& offer : offers.offers) {
        if (this->shouldRequest(from, offer))
            request.topics.push_back(offer.topic);
    }
    return !request.topics.empty() && this->send(from, request);
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
            this->requestNewer(node, GossipOffers { { { topic, version } }, false });
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
        if (!this->accept(item))
            continue;
        this->noticeLater(from);
        if (this->onUpdate)
            this->onUpdate(item);
    }
    this->endComparison(from);
}

// Public -------------------------------------------------------------------------------------------------------------

GossipTable::GossipTable(TimerService& timers, Settings settings, Send send, OnUpdate onUpdate)
    : impl(std::make_shared<Impl>(timers, settings, std::move(send), std::move(onUpdate)))
{
}

GossipTable::~GossipTable() = default;

void GossipTable::publish(const GossipItem& item)
{
    if (this->impl->accept(item))
        this->impl->offerLater(item.topic);
}

void GossipTable::publishRemoval(const std::string& topic)
{
    const auto found = this->impl->topics.find(topic);
    if (found == this->impl->topics.end() || found->second.isRemoved)
        return;
    this->publish({ topic, found->second.version + 1, true, {} });
}

void GossipTable::restore(const std::vector<GossipItem>& items)
{
    for (const GossipItem& item : items)
        this->impl->accept(item);
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
    this->impl->compareLater(node);
}

void GossipTable::onLinkDown(const NodeId& node)
{
    this->impl->peers.erase(node);
    std::erase(this->impl->toCompare, node);
    this->impl->endComparison(node);
}

void GossipTable::onMessage(const NodeId& from, const Message& message)
{
    if (const auto* offers = std::get_if<GossipOffers>(&message))
        this->impl->onOffers(from, *offers);
    else if (const auto* notice = std::get_if<GossipNotice>(&message))
        this->impl->onNotice(from, *notice);
    else if (const auto* digests = std::get_if<GossipDigests>(&message))
        this->impl->onDigests(from, *digests);
    else if (const auto* request = std::get_if<GossipRequest>(&message))
        this->impl->onRequest(from, *request);
    else if (const auto* items = std::get_if<GossipItems>(&message))
        this->impl->onItems(from, *items);
}

std::size_t GossipTable::topicCount() const { return this->impl->topics.size(); }

}
