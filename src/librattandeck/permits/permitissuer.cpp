#include "Rattandeck/permitissuer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>

namespace Rattandeck {

namespace {

    using PermitCounts = std::array<std::uint64_t, urgencyLevels>;

    /// What one gateway has asked for.
    struct GatewayDemand {
        std::uint64_t ticket = 0;
        TimePoint askedAt;
        PermitCounts wanted {};
        /// Permits issued since the gateway's counts were `receivedBefore` and `unusedBefore`, and those of them that
        /// it has reported as received and as unused.
        std::uint64_t issued = 0;
        std::uint64_t received = 0;
        std::uint64_t unused = 0;
        std::uint64_t receivedBefore = 0;
        std::uint64_t unusedBefore = 0;

        bool isEmpty() const
        {
            return std::ranges::all_of(this->wanted, [](std::uint64_t count) { return count == 0; });
        }
    };

    struct LimitedInstance {
        StatedLimit stated;
        TokenBucket bucket;
        std::map<NodeId, GatewayDemand> demands;
        /// The gateway that received the last permit.
        NodeId lastServed;
        std::uint64_t issuedSinceReport = 0;
        TimePoint reportedAt;
    };

    /// Starts to count a gateway's permits from its present counts: it is new here, or it has begun to count anew.
    GatewayDemand newDemand(const PermitRequest& request)
    {
        GatewayDemand demand;
        demand.receivedBefore = request.received;
        demand.unusedBefore = request.unused;
        return demand;
    }

    /// Whether the counts of a request can't follow those that the gateway reported before.
    bool hasCountedAnew(const GatewayDemand& demand, const PermitRequest& request)
    {
        return request.received < demand.receivedBefore + demand.received
            || request.unused < demand.unusedBefore + demand.unused;
    }

    /// Counts of a request; the least urgent level stands for any beyond it.
    PermitCounts countsOf(const std::vector<std::uint32_t>& wanted)
    {
        PermitCounts counts {};
        for (std::size_t level = 0; level < wanted.size(); ++level)
            counts.at(std::min(level, urgencyLevels - 1)) += wanted[level];
        return counts;
    }

    /// Takes off permits that are on the way to the gateway, which receive the most urgent calls first.
    void removeInFlight(PermitCounts& wanted, std::uint64_t inFlight)
    {
        for (std::uint64_t& count : wanted) {
            const std::uint64_t covered = std::min(count, inFlight);
            count -= covered;
            inFlight -= covered;
        }
    }

}

struct PermitIssuer::Impl : std::enable_shared_from_this<PermitIssuer::Impl> {
    Impl(TimerService& timers, NodeId self, Send send, PermitSettings settings)
        : timers(timers)
        , self(std::move(self))
        , send(std::move(send))
        , settings(settings)
    {
    }

    TimerService& timers;
    NodeId self;
    Send send;
    PermitSettings settings;
    std::vector<JournalMember> members;
    std::set<NodeId> gateways;
    std::map<EndpointId, LimitedInstance> instances;
    /// Instances for which gateways may want permits that have not been issued yet.
    std::set<EndpointId> wanted;
    /// Instances whose limit has become known, has changed or has ended since the last news.
    std::set<EndpointId> changed;
    bool hasCountChanged = false;
    TimerId newsTimer;
    TimerId issueTimer;
    std::uint64_t issued = 0;

    /// Messages to gateways, collected while one message or timer is handled.
    std::map<NodeId, PermitGrants> outgoing;

    CallRate rateOf(const EndpointId& endpoint, const LimitedInstance& instance) const;
    void onRequest(const NodeId& from, std::uint64_t ticket, const PermitRequest& request);
    bool learn(const EndpointId& endpoint, const StatedLimit& update);
    void accept(LimitedInstance& instance, const NodeId& from, std::uint64_t ticket, const PermitRequest& request);
    void issue(const EndpointId& endpoint, LimitedInstance& instance);
    GatewayDemand* nextDemand(LimitedInstance& instance, NodeId& gateway, std::size_t& level);
    PermitGrant grantFor(const EndpointId& endpoint, const LimitedInstance& instance) const;
    std::vector<Milliseconds> backlogOf(const EndpointId& endpoint, const LimitedInstance& instance) const;
    void flush();
    void scheduleIssue();
    bool isWanted(const EndpointId& endpoint) const;
    void issueAll();
    void scheduleNews();
    void sendNews();
    void forgetOldLimits();
};

// Limits -------------------------------------------------------------------------------------------------------------

CallRate PermitIssuer::Impl::rateOf(const EndpointId& endpoint, const LimitedInstance& instance) const
{
    if (!instance.stated.limit)
        return CallRate(0);
    return issuingRate(issuersOf(this->members, endpoint), this->self, *instance.stated.limit, this->settings);
}

/// Takes a newer statement about an instance. Returns whether the instance is limited.
bool PermitIssuer::Impl::learn(const EndpointId& endpoint, const StatedLimit& update)
{
    const auto found = this->instances.find(endpoint);
    if (found == this->instances.end()) {
        if (!update.limit)
            return false;
        LimitedInstance& added = this->instances[endpoint];
        added.stated = update;
        added.bucket.updatedAt = this->timers.now();
        added.reportedAt = this->timers.now();
    } else {
        StatedLimit& known = found->second.stated;
        if (!relayedSupersedes(update, known, this->settings))
            return known.limit.has_value();
        const bool isSame = known.limit == update.limit && known.startedAt == update.startedAt;
        // What has accrued so far did so at the previous rate.
        refill(found->second.bucket, this->rateOf(endpoint, found->second), this->settings, this->timers.now());
        known = update;
        if (!update.limit)
            found->second.demands.clear();
        if (isSame)
            return update.limit.has_value();
    }
    this->changed.insert(endpoint);
    this->scheduleNews();
    return update.limit.has_value();
}

// Requests -----------------------------------------------------------------------------------------------------------

void PermitIssuer::Impl::onRequest(const NodeId& from, std::uint64_t ticket, const PermitRequest& request)
{
    StatedLimit update;
    update.startedAt = request.startedAt;
    if (request.isLimited)
        update.limit = CallRate(std::max(0.0, request.limit.value));
    update.statedAt = this->timers.now() - std::max(request.age, Milliseconds(0));
    if (!this->learn(request.endpoint, update)) {
        // The gateway learns that the limit is over; it needs no permits any more.
        const auto known = this->instances.find(request.endpoint);
        if (request.isLimited && known != this->instances.end())
            this->outgoing[from].grants.push_back(this->grantFor(request.endpoint, known->second));
        return;
    }
    LimitedInstance& instance = this->instances.at(request.endpoint);
    this->accept(instance, from, ticket, request);
    this->issue(request.endpoint, instance);
    const GatewayDemand& demand = instance.demands[from];
    if (demand.isEmpty())
        return;
    this->wanted.insert(request.endpoint);
    // Tells the gateway how long the rest will take.
    PermitGrant notice = this->grantFor(request.endpoint, instance);
    notice.ticket = ticket;
    notice.backlog = this->backlogOf(request.endpoint, instance);
    this->outgoing[from].grants.push_back(std::move(notice));
}

void PermitIssuer::Impl::accept(
    LimitedInstance& instance, const NodeId& from, std::uint64_t ticket, const PermitRequest& request)
{
    GatewayDemand& demand = instance.demands.try_emplace(from, newDemand(request)).first->second;
    if (hasCountedAnew(demand, request))
        demand = newDemand(request);
    demand.ticket = ticket;
    demand.askedAt = this->timers.now();
    demand.wanted = countsOf(request.wanted);
    demand.received = std::min(request.received - demand.receivedBefore, demand.issued);
    removeInFlight(demand.wanted, demand.issued - demand.received);
    const std::uint64_t unused = std::min(request.unused - demand.unusedBefore, demand.received);
    if (unused > demand.unused) {
        const CallRate rate = this->rateOf(request.endpoint, instance);
        giveBack(instance.bucket, static_cast<double>(unused - demand.unused), rate, this->settings);
        demand.unused = unused;
    }
}

// Issuing ------------------------------------------------------------------------------------------------------------

/// The most urgent demand; of equally urgent ones, that of the gateway after the one served last.
GatewayDemand* PermitIssuer::Impl::nextDemand(LimitedInstance& instance, NodeId& gateway, std::size_t& level)
{
    for (level = 0; level < urgencyLevels; ++level) {
        GatewayDemand* first = nullptr;
        for (auto& [node, demand] : instance.demands) {
            if (demand.wanted.at(level) == 0)
                continue;
            if (node > instance.lastServed) {
                gateway = node;
                return &demand;
            }
            if (!first) {
                first = &demand;
                gateway = node;
            }
        }
        if (first)
            return first;
    }
    return nullptr;
}

void PermitIssuer::Impl::issue(const EndpointId& endpoint, LimitedInstance& instance)
{
    const CallRate rate = this->rateOf(endpoint, instance);
    const TimePoint now = this->timers.now();
    refill(instance.bucket, rate, this->settings, now);
    // Calls that a gateway no longer asks for don't wait any more.
    for (auto& [node, demand] : instance.demands) {
        if (now - demand.askedAt > this->settings.permitLifetime)
            demand.wanted = {};
    }
    std::map<NodeId, std::uint32_t> permits;
    NodeId gateway;
    std::size_t level = 0;
    while (instance.bucket.tokens >= 1) {
        GatewayDemand* demand = this->nextDemand(instance, gateway, level);
        if (!demand)
            break;
        instance.bucket.tokens -= 1;
        --demand->wanted.at(level);
        ++demand->issued;
        ++permits[gateway];
        ++this->issued;
        ++instance.issuedSinceReport;
        instance.lastServed = gateway;
    }
    for (const auto& [node, count] : permits) {
        const GatewayDemand& demand = instance.demands.at(node);
        PermitGrant grant = this->grantFor(endpoint, instance);
        grant.permits = count;
        grant.ticket = demand.ticket;
        grant.heldFor = std::chrono::duration_cast<Milliseconds>(now - demand.askedAt);
        grant.backlog = this->backlogOf(endpoint, instance);
        this->outgoing[node].grants.push_back(std::move(grant));
    }
}

PermitGrant PermitIssuer::Impl::grantFor(const EndpointId& endpoint, const LimitedInstance& instance) const
{
    PermitGrant grant;
    grant.endpoint = endpoint;
    grant.startedAt = instance.stated.startedAt;
    grant.isLimited = instance.stated.limit.has_value();
    grant.limit = instance.stated.limit.value_or(CallRate(0));
    grant.age = std::chrono::duration_cast<Milliseconds>(this->timers.now() - instance.stated.statedAt);
    return grant;
}

std::vector<Milliseconds> PermitIssuer::Impl::backlogOf(
    const EndpointId& endpoint, const LimitedInstance& instance) const
{
    const CallRate rate = this->rateOf(endpoint, instance);
    if (rate.value <= 0)
        return {};
    std::vector<Milliseconds> backlog;
    double permits = 0;
    for (std::size_t level = 0; level < urgencyLevels; ++level) {
        for (const auto& [node, demand] : instance.demands)
            permits += static_cast<double>(demand.wanted.at(level));
        const std::chrono::duration<double> time(std::max(0.0, permits + 1 - instance.bucket.tokens) / rate.value);
        backlog.push_back(std::chrono::ceil<Milliseconds>(time));
    }
    return backlog;
}

void PermitIssuer::Impl::flush()
{
    const auto messages = std::move(this->outgoing);
    this->outgoing.clear();
    for (const auto& [node, grants] : messages)
        this->send(node, grants);
    this->scheduleIssue();
}

/// Wakes up when the next permit can be issued to a gateway that wants one.
void PermitIssuer::Impl::scheduleIssue()
{
    if (this->issueTimer.value != 0)
        return;
    std::erase_if(this->wanted, [this](const EndpointId& endpoint) { return !this->isWanted(endpoint); });
    std::optional<Duration> wait;
    for (const EndpointId& endpoint : this->wanted) {
        const LimitedInstance& instance = this->instances.at(endpoint);
        const Duration next = timeToNextToken(instance.bucket, this->rateOf(endpoint, instance));
        wait = std::min(wait.value_or(next), next);
    }
    if (!wait)
        return;
    const Duration delay = std::max<Duration>(*wait, this->settings.batchInterval);
    this->issueTimer = this->timers.subscribeAfter(delay, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->issueAll();
    });
}

/// Whether permits for the instance are wanted and may be issued here.
bool PermitIssuer::Impl::isWanted(const EndpointId& endpoint) const
{
    const auto found = this->instances.find(endpoint);
    if (found == this->instances.end() || this->rateOf(endpoint, found->second).value <= 0)
        return false;
    return std::ranges::any_of(found->second.demands, [](const auto& entry) { return !entry.second.isEmpty(); });
}

void PermitIssuer::Impl::issueAll()
{
    this->issueTimer = {};
    for (const EndpointId& endpoint : this->wanted) {
        const auto found = this->instances.find(endpoint);
        if (found != this->instances.end())
            this->issue(endpoint, found->second);
    }
    this->flush();
}

// News ---------------------------------------------------------------------------------------------------------------

void PermitIssuer::Impl::scheduleNews()
{
    if (this->newsTimer.value != 0)
        return;
    this->newsTimer = this->timers.subscribeAfter(this->settings.newsInterval, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->sendNews();
    });
}

void PermitIssuer::Impl::sendNews()
{
    this->newsTimer = {};
    this->forgetOldLimits();
    PermitGrants news;
    for (const EndpointId& endpoint : this->changed) {
        const auto found = this->instances.find(endpoint);
        if (found != this->instances.end())
            news.grants.push_back(this->grantFor(endpoint, found->second));
    }
    this->changed.clear();
    for (const NodeId& gateway : this->gateways) {
        if (!news.grants.empty())
            this->send(gateway, news);
        if (this->hasCountChanged)
            this->send(gateway, GatewaysLinked { static_cast<std::uint32_t>(this->gateways.size()) });
    }
    this->hasCountChanged = false;
}

void PermitIssuer::Impl::forgetOldLimits()
{
    const TimePoint oldest = this->timers.now() - this->settings.statementLifetime;
    std::erase_if(this->instances, [oldest](const auto& entry) { return entry.second.stated.statedAt < oldest; });
}

// Public -------------------------------------------------------------------------------------------------------------

PermitIssuer::PermitIssuer(TimerService& timers, NodeId self, Send send, PermitSettings settings)
    : impl(std::make_shared<Impl>(timers, std::move(self), std::move(send), settings))
{
}

PermitIssuer::~PermitIssuer() = default;

void PermitIssuer::setMembers(const std::vector<JournalMember>& members)
{
    auto& self = *this->impl;
    // What has accrued so far did so at the previous rates.
    for (auto& [endpoint, instance] : self.instances)
        refill(instance.bucket, self.rateOf(endpoint, instance), self.settings, self.timers.now());
    self.members = members;
}

void PermitIssuer::onLinkUp(const NodeId& node, Role role)
{
    auto& self = *this->impl;
    if (role != Role::Gateway)
        return;
    self.gateways.insert(node);
    PermitGrants known;
    self.forgetOldLimits();
    for (const auto& [endpoint, instance] : self.instances) {
        if (instance.stated.limit)
            known.grants.push_back(self.grantFor(endpoint, instance));
    }
    if (!known.grants.empty())
        self.send(node, known);
    self.hasCountChanged = true;
    self.scheduleNews();
}

void PermitIssuer::onLinkDown(const NodeId& node)
{
    auto& self = *this->impl;
    if (self.gateways.erase(node) == 0)
        return;
    for (auto& [endpoint, instance] : self.instances)
        instance.demands.erase(node);
    self.hasCountChanged = true;
    self.scheduleNews();
}

void PermitIssuer::onMessage(const NodeId& from, const Message& message)
{
    const auto* requests = std::get_if<PermitRequests>(&message);
    if (!requests || !this->impl->gateways.contains(from))
        return;
    for (const PermitRequest& request : requests->requests)
        this->impl->onRequest(from, requests->ticket, request);
    this->impl->flush();
}

std::size_t PermitIssuer::limitedInstances() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->impl->instances, [](const auto& entry) { return entry.second.stated.limit.has_value(); }));
}

std::uint64_t PermitIssuer::issuedPermits() const { return this->impl->issued; }

double PermitIssuer::takeLargestUse()
{
    auto& self = *this->impl;
    double largest = 0;
    for (auto& [endpoint, instance] : self.instances) {
        const std::chrono::duration<double> elapsed = self.timers.now() - instance.reportedAt;
        const double limit = instance.stated.limit.value_or(CallRate(0)).value;
        if (elapsed.count() > 0 && limit > 0)
            largest = std::max(largest, static_cast<double>(instance.issuedSinceReport) / elapsed.count() / limit);
        instance.issuedSinceReport = 0;
        instance.reportedAt = self.timers.now();
    }
    return largest;
}

}
