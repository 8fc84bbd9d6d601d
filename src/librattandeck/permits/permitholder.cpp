#include "Rattandeck/permitholder.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace Rattandeck {

/// Wait that is expected of a request that has not been answered yet: a round trip to the journal.
constexpr Milliseconds expectedRoundTrip { 15 };
/// Interval at which one call is let through to a limited instance without issuers, for each gateway, so that all
/// gateways together send one a second; and its lower bound.
constexpr Milliseconds probeIntervalPerGateway { 1000 };
constexpr Milliseconds minProbeInterval { 5000 };
/// Number of sent requests whose times are kept, to tell the age of permits.
constexpr std::size_t maxSentTickets = 512;
/// Bound on the permits of one grant, against malformed messages.
constexpr std::uint32_t maxPermitsPerGrant = 100000;

std::size_t urgencyOf(std::uint32_t rank, bool isFirstTurn)
{
    constexpr std::size_t ranks = urgencyLevels / 2;
    return 2 * std::min<std::size_t>(rank, ranks - 1) + (isFirstTurn ? 1 : 0);
}

namespace {

    struct PermitBatch {
        TimePoint useBy;
        std::uint32_t count = 0;
        /// The permits are in `KnownInstance::received`.
        bool isCounted = true;
    };

    struct KnownInstance {
        StatedLimit stated;
        /// The journal that was asked last; the counts below are of the link to it.
        NodeId issuer;
        std::uint64_t received = 0;
        std::uint64_t unused = 0;
        std::deque<PermitBatch> permits;
        std::array<std::uint32_t, urgencyLevels> wanted {};
        /// The issuer's backlog at each urgency, as of `backlogAt`.
        std::vector<Milliseconds> backlog;
        TimePoint backlogAt;
        /// When the next call is let through without an issuer; empty while one is linked.
        std::optional<TimePoint> nextProbeAt;

        std::uint32_t held() const
        {
            std::uint32_t count = 0;
            for (const PermitBatch& batch : this->permits)
                count += batch.count;
            return count;
        }
        std::uint32_t wantedUpTo(std::size_t urgency) const
        {
            std::uint32_t count = 0;
            for (std::size_t level = 0; level <= urgency; ++level)
                count += this->wanted.at(level);
            return count;
        }
        bool isWanted() const { return this->wantedUpTo(urgencyLevels - 1) > 0; }
    };

    /// Requests that were sent to a journal since its link came up.
    struct JournalLink {
        std::uint64_t lastTicket = 0;
        std::map<std::uint64_t, TimePoint> sentAt;
        std::uint32_t gateways = 0;
    };

}

struct PermitHolder::Impl : std::enable_shared_from_this<PermitHolder::Impl> {
    Impl(TimerService& timers, Io io, PermitSettings settings)
        : timers(timers)
        , io(std::move(io))
        , settings(settings)
    {
    }

    TimerService& timers;
    Io io;
    PermitSettings settings;
    std::vector<JournalMember> members;
    std::map<NodeId, JournalLink> links;
    std::optional<std::uint32_t> gateways;
    std::map<EndpointId, KnownInstance> instances;
    /// Instances whose requests are to be sent with the next batch.
    std::set<EndpointId> pending;
    TimerId batchTimer;
    TimerId repeatTimer;
    std::mt19937 random { this->settings.seed };

    KnownInstance* findLimited(const EndpointId& endpoint);
    const KnownInstance* findLimited(const EndpointId& endpoint) const;
    bool learn(const EndpointId& endpoint, const StatedLimit& update, const std::string& source);
    /// The linked issuer with the higher rate; empty if neither is linked.
    NodeId issuerOf(const EndpointId& endpoint) const;
    Milliseconds probeInterval() const;
    bool isProbeDue(KnownInstance& instance);
    void dropExpired(KnownInstance& instance);

    void schedule(const EndpointId& endpoint);
    void sendBatch();
    void scheduleRepeat();
    PermitRequest requestFor(const EndpointId& endpoint, const KnownInstance& instance) const;
    bool onGrant(const NodeId& from, const PermitGrant& grant);
    void addPermits(const NodeId& from, KnownInstance& instance, const PermitGrant& grant);
};

// Limits -------------------------------------------------------------------------------------------------------------

KnownInstance* PermitHolder::Impl::findLimited(const EndpointId& endpoint)
{
    const auto found = this->instances.find(endpoint);
    return found != this->instances.end() && found->second.stated.limit ? &found->second : nullptr;
}

const KnownInstance* PermitHolder::Impl::findLimited(const EndpointId& endpoint) const
{
    const auto found = this->instances.find(endpoint);
    return found != this->instances.end() && found->second.stated.limit ? &found->second : nullptr;
}

/// Takes a newer statement. Returns whether it changes what calls may be sent.
bool PermitHolder::Impl::learn(const EndpointId& endpoint, const StatedLimit& update, const std::string& source)
{
    const auto found = this->instances.find(endpoint);
    if (found == this->instances.end() && !update.limit)
        return false;
    if (found != this->instances.end() && !supersedes(update, found->second.stated))
        return false;
    KnownInstance& instance = this->instances[endpoint];
    const auto previous = instance.stated.limit;
    const bool isOtherProcess = instance.stated.startedAt != update.startedAt;
    instance.stated = update;
    if (isOtherProcess || !update.limit)
        instance.permits.clear();
    if (previous == update.limit)
        return false;
    const auto age = std::chrono::duration_cast<Milliseconds>(this->timers.now() - update.statedAt);
    this->io.onLimit({ endpoint, previous, update.limit, age, source });
    return true;
}

NodeId PermitHolder::Impl::issuerOf(const EndpointId& endpoint) const
{
    const PermitIssuers issuers = issuersOf(this->members, endpoint);
    if (this->links.contains(issuers.primary))
        return issuers.primary;
    return this->links.contains(issuers.standby) ? issuers.standby : NodeId();
}

Milliseconds PermitHolder::Impl::probeInterval() const
{
    return std::max(minProbeInterval, probeIntervalPerGateway * this->gateways.value_or(1));
}

/// Whether a call may be let through without an issuer. The first time is drawn, since many gateways may lose the
/// issuers at the same moment.
bool PermitHolder::Impl::isProbeDue(KnownInstance& instance)
{
    if (!instance.nextProbeAt) {
        std::uniform_int_distribution<std::int64_t> delay(0, this->probeInterval().count());
        instance.nextProbeAt = this->timers.now() + Milliseconds(delay(this->random));
    }
    return this->timers.now() >= *instance.nextProbeAt;
}

// Requests -----------------------------------------------------------------------------------------------------------

void PermitHolder::Impl::schedule(const EndpointId& endpoint)
{
    this->pending.insert(endpoint);
    if (this->batchTimer.value != 0)
        return;
    this->batchTimer = this->timers.subscribeAfter(this->settings.batchInterval, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->sendBatch();
    });
}

void PermitHolder::Impl::sendBatch()
{
    this->batchTimer = {};
    std::map<NodeId, PermitRequests> batches;
    for (const EndpointId& endpoint : this->pending) {
        const auto found = this->instances.find(endpoint);
        const NodeId issuer = this->issuerOf(endpoint);
        if (found == this->instances.end() || issuer.value.empty())
            continue;
        KnownInstance& instance = found->second;
        if (instance.issuer != issuer) {
            // Permits of another issuer, or of an earlier link, stay valid, but are not reported to this one.
            for (PermitBatch& batch : instance.permits)
                batch.isCounted = false;
            instance.issuer = issuer;
            instance.received = 0;
            instance.unused = 0;
            instance.backlog.clear();
        }
        this->dropExpired(instance);
        batches[issuer].requests.push_back(this->requestFor(endpoint, instance));
    }
    this->pending.clear();
    for (auto& [node, batch] : batches) {
        JournalLink& link = this->links.at(node);
        batch.ticket = ++link.lastTicket;
        link.sentAt[batch.ticket] = this->timers.now();
        if (link.sentAt.size() > maxSentTickets)
            link.sentAt.erase(link.sentAt.begin());
        this->io.send(node, batch);
    }
    this->scheduleRepeat();
}

PermitRequest PermitHolder::Impl::requestFor(const EndpointId& endpoint, const KnownInstance& instance) const
{
    PermitRequest request;
    request.endpoint = endpoint;
    request.startedAt = instance.stated.startedAt;
    request.isLimited = instance.stated.limit.has_value();
    request.limit = instance.stated.limit.value_or(CallRate(0));
    request.age = std::chrono::duration_cast<Milliseconds>(this->timers.now() - instance.stated.statedAt);
    request.received = instance.received;
    request.unused = instance.unused;
    std::uint32_t held = instance.held();
    for (const std::uint32_t count : instance.wanted) {
        const std::uint32_t covered = std::min(count, held);
        held -= covered;
        request.wanted.push_back(count - covered);
    }
    return request;
}

/// Requests are repeated while calls wait: the issuer forgets those that are older than the lifetime of a permit.
void PermitHolder::Impl::scheduleRepeat()
{
    const bool isNeeded
        = std::ranges::any_of(this->instances, [](const auto& entry) { return entry.second.isWanted(); });
    if (!isNeeded || this->repeatTimer.value != 0)
        return;
    this->repeatTimer = this->timers.subscribeAfter(this->settings.requestInterval, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->repeatTimer = {};
        for (const auto& [endpoint, instance] : self->instances) {
            if (instance.isWanted())
                self->schedule(endpoint);
        }
    });
}

// Permits ------------------------------------------------------------------------------------------------------------

void PermitHolder::Impl::dropExpired(KnownInstance& instance)
{
    const TimePoint now = this->timers.now();
    while (!instance.permits.empty() && instance.permits.front().useBy <= now) {
        if (instance.permits.front().isCounted)
            instance.unused += instance.permits.front().count;
        instance.permits.pop_front();
    }
}

bool PermitHolder::Impl::onGrant(const NodeId& from, const PermitGrant& grant)
{
    StatedLimit stated;
    stated.startedAt = grant.startedAt;
    if (grant.isLimited)
        stated.limit = CallRate(std::max(0.0, grant.limit.value));
    stated.statedAt = this->timers.now() - std::max(grant.age, Milliseconds(0));
    const auto known = this->instances.find(grant.endpoint);
    const bool isNew
        = known == this->instances.end() || relayedSupersedes(stated, known->second.stated, this->settings);
    const bool isChange = isNew && this->learn(grant.endpoint, stated, from.value);
    KnownInstance* instance = this->findLimited(grant.endpoint);
    if (!instance || instance->stated.startedAt != grant.startedAt)
        return isChange;
    if (from == instance->issuer && !grant.backlog.empty()) {
        instance->backlog = grant.backlog;
        instance->backlogAt = this->timers.now();
    }
    if (grant.permits > 0)
        this->addPermits(from, *instance, grant);
    return isChange || grant.permits > 0 || !grant.backlog.empty();
}

/// A permit was issued after its request was sent, so that its lifetime counted from there ends no later than at the
/// journal.
void PermitHolder::Impl::addPermits(const NodeId& from, KnownInstance& instance, const PermitGrant& grant)
{
    const auto link = this->links.find(from);
    if (link == this->links.end() || from != instance.issuer)
        return;
    const std::uint32_t count = std::min(grant.permits, maxPermitsPerGrant);
    instance.received += count;
    const auto sent = link->second.sentAt.find(grant.ticket);
    const TimePoint useBy = sent == link->second.sentAt.end()
        ? this->timers.now()
        : sent->second + std::max(grant.heldFor, Milliseconds(0)) + this->settings.permitLifetime;
    const auto later
        = std::ranges::find_if(instance.permits, [useBy](const PermitBatch& batch) { return batch.useBy > useBy; });
    instance.permits.insert(later, { useBy, count });
    this->dropExpired(instance);
}

// Public -------------------------------------------------------------------------------------------------------------

PermitHolder::PermitHolder(TimerService& timers, Io io, PermitSettings settings)
    : impl(std::make_shared<Impl>(timers, std::move(io), settings))
{
}

PermitHolder::~PermitHolder() = default;

void PermitHolder::setMembers(const std::vector<JournalMember>& members) { this->impl->members = members; }

void PermitHolder::onLinkUp(const NodeId& journal) { this->impl->links[journal] = {}; }

void PermitHolder::onLinkDown(const NodeId& journal)
{
    auto& self = *this->impl;
    self.links.erase(journal);
    for (auto& [endpoint, instance] : self.instances) {
        if (instance.issuer != journal)
            continue;
        instance.issuer = {};
        instance.backlog.clear();
        if (instance.isWanted())
            self.schedule(endpoint);
    }
}

void PermitHolder::onMessage(const NodeId& from, const Message& message)
{
    auto& self = *this->impl;
    if (const auto* linked = std::get_if<GatewaysLinked>(&message)) {
        if (const auto link = self.links.find(from); link != self.links.end())
            link->second.gateways = linked->count;
        // A journal that has just started is linked to few gateways: the highest count holds.
        std::uint32_t most = 1;
        for (const auto& [node, link] : self.links)
            most = std::max(most, link.gateways);
        self.gateways = most;
        return;
    }
    const auto* grants = std::get_if<PermitGrants>(&message);
    if (!grants)
        return;
    bool isChange = false;
    for (const PermitGrant& grant : grants->grants)
        isChange = self.onGrant(from, grant) || isChange;
    if (isChange)
        self.io.onChange();
}

std::optional<std::uint32_t> PermitHolder::gatewayCount() const { return this->impl->gateways; }

void PermitHolder::onAnswer(
    const EndpointId& endpoint, std::int64_t startedAt, std::optional<CallRate> limit, TimePoint sentAt)
{
    auto& self = *this->impl;
    const auto found = self.instances.find(endpoint);
    const bool isOlder = found != self.instances.end() && found->second.stated.startedAt == startedAt
        && found->second.stated.limit && sentAt <= found->second.stated.statedAt;
    if (!limit && isOlder)
        return;
    // The issuer tells the other gateways.
    if (self.learn(endpoint, { startedAt, limit, self.timers.now() }, "answer"))
        self.schedule(endpoint);
}

void PermitHolder::forget(const EndpointId& endpoint)
{
    auto& self = *this->impl;
    const auto found = self.instances.find(endpoint);
    if (found == self.instances.end())
        return;
    if (found->second.stated.limit)
        self.io.onLimit({ endpoint, found->second.stated.limit, std::nullopt, Milliseconds(0), "instance gone" });
    self.instances.erase(found);
    self.pending.erase(endpoint);
}

std::optional<CallRate> PermitHolder::limitOf(const EndpointId& endpoint) const
{
    const KnownInstance* instance = std::as_const(*this->impl).findLimited(endpoint);
    return instance ? instance->stated.limit : std::nullopt;
}

std::size_t PermitHolder::limitedInstances() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->impl->instances, [](const auto& entry) { return entry.second.stated.limit.has_value(); }));
}

std::optional<Milliseconds> PermitHolder::expectedWait(
    const EndpointId& endpoint, std::size_t urgency, bool isWaiting) const
{
    KnownInstance* instance = this->impl->findLimited(endpoint);
    if (!instance)
        return Milliseconds(0);
    const TimePoint now = this->impl->timers.now();
    this->impl->dropExpired(*instance);
    const std::uint32_t upToThis = instance->wantedUpTo(urgency);
    const std::uint32_t ahead = isWaiting ? upToThis - instance->wanted.at(urgency) : upToThis;
    if (instance->held() > ahead)
        return Milliseconds(0);
    if (this->impl->issuerOf(endpoint).value.empty())
        return this->impl->isProbeDue(*instance) ? std::optional(Milliseconds(0)) : std::nullopt;
    instance->nextProbeAt.reset();
    // Calls that began to wait here lately are not in the issuer's backlog yet.
    const double rate = std::max(instance->stated.limit->value, this->impl->settings.minRate.value);
    Milliseconds wait(static_cast<std::int64_t>(1000.0 * ahead / rate));
    if (urgency < instance->backlog.size()) {
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - instance->backlogAt);
        wait = std::max(wait, instance->backlog[urgency] - elapsed);
    }
    return std::max(wait, expectedRoundTrip);
}

void PermitHolder::want(const EndpointId& endpoint, std::size_t urgency)
{
    KnownInstance* instance = this->impl->findLimited(endpoint);
    if (!instance)
        return;
    ++instance->wanted.at(urgency);
    this->impl->schedule(endpoint);
}

void PermitHolder::unwant(const EndpointId& endpoint, std::size_t urgency)
{
    const auto found = this->impl->instances.find(endpoint);
    if (found != this->impl->instances.end() && found->second.wanted.at(urgency) > 0)
        --found->second.wanted.at(urgency);
}

TimePoint PermitHolder::take(const EndpointId& endpoint)
{
    auto& self = *this->impl;
    const TimePoint now = self.timers.now();
    KnownInstance* instance = self.findLimited(endpoint);
    if (!instance || instance->permits.empty()) {
        // A call that is let through without an issuer.
        if (instance)
            instance->nextProbeAt = now + self.probeInterval();
        return now + self.settings.permitLifetime;
    }
    PermitBatch& batch = instance->permits.front();
    const TimePoint useBy = batch.useBy;
    if (--batch.count == 0)
        instance->permits.pop_front();
    return useBy;
}

std::uint32_t PermitHolder::heldPermits(const EndpointId& endpoint) const
{
    const KnownInstance* instance = std::as_const(*this->impl).findLimited(endpoint);
    return instance ? instance->held() : 0;
}

}
