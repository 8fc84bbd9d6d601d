#include "sidecarimpl.h"

#include "Rattandeck/digest.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Weight of recent orders: an entry that has just sent some gets a larger share of the credits than idle entries.
    constexpr double activityWeight = 4;
    // An entry whose `activity` is below this is treated as idle.
    constexpr double minActivity = 0.05;
    // Report intervals that a leaving sidecar waits after its last call, so that homes can copy its records.
    constexpr int drainGraceIntervals = 2;

    // Derived from node and incarnation, so that credits of an earlier incarnation are not mistaken for current ones.
    CreditId firstCredit(const SidecarSettings& settings)
    {
        constexpr unsigned sequenceBits = 32;
        const std::string identity = settings.node.value + "/" + std::to_string(settings.incarnation.value);
        return CreditId(hash64(identity) << sequenceBits >> 1U);
    }

}

// Public interface -------------------------------------------------------------------------------------------------

SidecarCore::SidecarCore(SidecarSettings settings, TimerService& timers, SidecarEffects effects)
    : impl(std::make_unique<Impl>(std::move(settings), timers, std::move(effects)))
{
}

SidecarCore::~SidecarCore() = default;

void SidecarCore::onLinkUp(const Hello& hello) { this->impl->linkUp(hello); }

void SidecarCore::onLinkDown(const NodeId& node) { this->impl->linkDown(node); }

void SidecarCore::onMessage(const NodeId& from, const Message& message) { this->impl->dispatch(from, message); }

void SidecarCore::onEndpointTokens(OrderId order, const std::string& text, TokenCount tokens)
{
    this->impl->onTokens(order, text, tokens);
}

void SidecarCore::onEndpointFinished(OrderId order, const EndpointResult& result)
{
    this->impl->onFinished(order, result);
}

void SidecarCore::onEndpointFailed(OrderId order, EndpointFailure failure) { this->impl->onFailed(order, failure); }

void SidecarCore::onPrefixEvicted(ProgramId program) { dropPrefix(this->impl->prefixes, program); }

void SidecarCore::beginShutdown() { this->impl->beginShutdown(); }

bool SidecarCore::isDrained() const { return this->impl->isDrained(); }

ConfigUpdate SidecarCore::configuration() const { return this->impl->config.all(); }

SidecarStatus SidecarCore::status() const
{
    SidecarStatus status = this->impl->counters;
    status.leaving = this->impl->isLeaving;
    status.running = this->impl->running;
    status.waiting = this->impl->waiting();
    status.limit = this->impl->concurrencySlots();
    status.records = recordCount(this->impl->records);
    status.heldPrefixes = this->impl->prefixes.held.size();
    status.configRevision = std::max(this->impl->config.revision(), this->impl->config.highestVersion());
    return status;
}

SidecarCore::Impl::Impl(SidecarSettings initial, TimerService& timerService, SidecarEffects given)
    : settings(std::move(initial))
    , timers(timerService)
    , effects(std::move(given))
{
    this->credits.lastId = firstCredit(this->settings);
    this->limit.limit = this->settings.initialConcurrency;
    this->limit.maxLimit = this->settings.maxConcurrency;
    this->lastTick = this->now();
    this->after(Duration(0), [this] { this->effects.releaseAllPrefixes(); });
    this->after(this->settings.reportInterval, [this] { this->tick(); });
}

void SidecarCore::Impl::after(Duration delay, std::function<void()> callback)
{
    const std::weak_ptr<int> guard = this->alive;
    this->timers.subscribeAfter(delay, [guard, callback = std::move(callback)] {
        if (!guard.expired())
            callback();
    });
}

void SidecarCore::Impl::dispatch(const NodeId& from, const Message& message)
{
    if (!this->links.contains(from))
        return;
    if (const auto* order = std::get_if<Order>(&message))
        this->onOrder(from, *order);
    else if (const auto* cancel = std::get_if<CancelOrder>(&message))
        this->onCancel(from, *cancel);
    else if (const auto* release = std::get_if<ReleaseProgram>(&message))
        this->onRelease(*release);
    else if (const auto* hold = std::get_if<HoldPrefix>(&message))
        this->onHoldPrefix(*hold);
    else if (const auto* recovery = std::get_if<RecoveryRequest>(&message))
        this->onRecoveryRequest(from, *recovery);
    else if (const auto* copy = std::get_if<CopyRecords>(&message))
        this->onCopy(from, *copy);
    else if (const auto* update = std::get_if<ConfigUpdate>(&message))
        this->onConfig(*update);
}

// Links ------------------------------------------------------------------------------------------------------------

EntryLink* SidecarCore::Impl::findLink(const NodeId& node)
{
    const auto found = this->links.find(node);
    return found == this->links.end() ? nullptr : &found->second;
}

bool SidecarCore::Impl::isReachable(const Subscriber& subscriber)
{
    const EntryLink* link = this->findLink(subscriber.node);
    return link && link->up && link->hello.incarnation == subscriber.incarnation;
}

void SidecarCore::Impl::sendTo(const NodeId& node, const Message& message)
{
    const EntryLink* link = this->findLink(node);
    if (link && link->up)
        this->effects.send(node, message);
}

void SidecarCore::Impl::linkUp(const Hello& hello)
{
    if (hello.role != Role::Entry)
        return;
    // When the link replaces another, the entry may have abandoned the orders that it sent over the earlier link.
    this->linkDown(hello.node);
    EntryLink& link = this->links[hello.node];
    if (link.hello.incarnation != hello.incarnation) {
        link = EntryLink {};
        revokeCredits(this->credits, hello.node);
        this->removeStaleSubscribers(hello.node, hello.incarnation);
    }
    link.hello = hello;
    link.up = true;
    link.reportedChange = 0;
    if (hello.configRevision < this->config.revision())
        this->sendTo(hello.node, this->config.all());

    const std::vector<UnsentEnd> unsent = std::exchange(link.unsentEnds, {});
    for (const UnsentEnd& end : unsent) {
        if (const TurnRecord* record = findTurn(this->records, end.program, end.turn))
            this->sendTo(hello.node, OrderEnded { end.order, *record });
    }
    this->scheduleEarlyReport(link);
}

void SidecarCore::Impl::linkDown(const NodeId& node)
{
    EntryLink* link = this->findLink(node);
    if (!link || !link->up)
        return;
    link->up = false;
    this->refuseQueuedOrders(*link);
    this->reportToEntriesWithoutCredits();
    this->checkDrained();
}

void SidecarCore::Impl::refuseQueuedOrders(EntryLink& link)
{
    std::vector<OrderId> withoutSubscribers;
    for (auto& [id, call] : this->calls) {
        if (call.running)
            continue;
        for (const Subscriber& subscriber : call.subscribers) {
            if (subscriber.node != link.hello.node)
                continue;
            Order order = call.order;
            order.id = subscriber.order;
            this->refuse(link, order, RefusalReason::Overloaded);
        }
        std::erase_if(
            call.subscribers, [&](const Subscriber& subscriber) { return subscriber.node == link.hello.node; });
        if (call.subscribers.empty())
            withoutSubscribers.push_back(id);
    }
    for (const OrderId id : withoutSubscribers)
        this->calls.erase(id);
}

void SidecarCore::Impl::removeStaleSubscribers(const NodeId& node, Incarnation incarnation)
{
    for (auto& [id, call] : this->calls) {
        std::erase_if(call.subscribers, [&](const Subscriber& subscriber) {
            return subscriber.node == node && subscriber.incarnation != incarnation;
        });
    }
}

void SidecarCore::Impl::cancelOrphanedCalls()
{
    std::vector<OrderId> orphaned;
    for (auto& [id, call] : this->calls) {
        const bool hasReachableSubscriber = std::ranges::any_of(
            call.subscribers, [this](const Subscriber& subscriber) { return this->isReachable(subscriber); });
        if (hasReachableSubscriber)
            call.orphanedSince.reset();
        else if (!call.orphanedSince)
            call.orphanedSince = this->now();
        else if (this->now() - *call.orphanedSince >= this->settings.orphanTimeout)
            orphaned.push_back(id);
    }
    for (const OrderId id : orphaned) {
        const auto found = this->calls.find(id);
        if (found != this->calls.end() && found->second.running && found->second.order.idempotent)
            this->cancelRunning(found->second);
    }
}

// Reports and credits ----------------------------------------------------------------------------------------------

void SidecarCore::Impl::tick()
{
    this->after(this->settings.reportInterval, [this] { this->tick(); });
    this->refuseAfterPause();
    this->lastTick = this->now();
    expireRecords(this->records, this->settings.keyRetention, this->now());
    for (const ProgramId& program : expiredPrefixes(this->prefixes, this->now())) {
        if (!this->isActive(program)) {
            this->effects.logEvent("prefix lease lapsed", toString(program));
            this->releasePrefix(program);
        }
    }
    std::erase_if(
        this->previouslyHeld, [this](const auto& item) { return !this->records.programs.contains(item.first); });
    std::erase_if(this->links, [this](const auto& item) {
        const EntryLink& link = item.second;
        return !link.up && this->now() - link.lastReport > this->settings.keyRetention;
    });
    this->cancelOrphanedCalls();
    this->reportAll();
    for (auto& [node, link] : this->links)
        link.activity = link.activity < minActivity ? 0 : link.activity / 2;
}

// Number of further calls that can be admitted: free slots of the endpoint and of the queue, less outstanding credits.
std::uint32_t SidecarCore::Impl::availableCredits()
{
    if (this->isLeaving)
        return 0;
    const auto capacity = this->concurrencySlots() + this->settings.queueLimit;
    const auto taken = static_cast<std::uint32_t>(this->calls.size()) + outstandingCredits(this->credits, this->now());
    return capacity > taken ? capacity - taken : 0;
}

std::map<NodeId, std::uint32_t> SidecarCore::Impl::divideAvailableCredits()
{
    std::unordered_map<NodeId, std::uint32_t> prefixesOf;
    for (const auto& [program, prefix] : this->prefixes.held) {
        const auto home = this->fence.homes.find(program.shard);
        if (home != this->fence.homes.end())
            ++prefixesOf[home->second.node];
    }
    std::vector<NodeId> nodes;
    std::vector<CreditClaim> claims;
    std::unordered_map<NodeId, std::uint32_t> held = outstandingCreditsByHolder(this->credits, this->now());
    for (const auto& [node, link] : this->links) {
        if (!link.up)
            continue;
        const std::uint32_t prefixCount = prefixesOf[node];
        const bool likely = link.activity > 0 || prefixCount > 0;
        nodes.push_back(node);
        claims.push_back({ 1 + activityWeight * link.activity + prefixCount, held[node], likely });
    }
    std::map<NodeId, std::uint32_t> shares;
    if (nodes.empty())
        return shares;
    const std::vector<std::uint32_t> extra = divideCredits(this->availableCredits(), claims, this->creditRotation);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        // Only half of the share is issued at a time. The other half follows with the next report, so that the credits
        // of an idle entry don't all expire at the same time.
        const std::uint32_t half = (claims[i].held + extra[i] + 1) / 2;
        shares[nodes[i]] = std::min(extra[i], half);
    }
    return shares;
}

void SidecarCore::Impl::reportAll()
{
    const std::map<NodeId, std::uint32_t> shares = this->divideAvailableCredits();
    this->creditRotation += 1;
    for (auto& [node, link] : this->links) {
        if (link.up)
            this->report(link, shares.at(node));
    }
}

void SidecarCore::Impl::scheduleEarlyReport(EntryLink& link)
{
    link.earlyReportDue = true;
    this->scheduleEarlyReports();
}

// Early reports are delayed, so that all requests for them that arrive in the meantime share one division of credits.
void SidecarCore::Impl::scheduleEarlyReports()
{
    if (std::exchange(this->earlyReportsScheduled, true))
        return;
    const TimePoint due = std::max(this->now(), this->lastEarlyReports + minEarlyReportInterval);
    this->after(due - this->now(), [this] { this->sendEarlyReports(); });
}

void SidecarCore::Impl::sendEarlyReports()
{
    this->earlyReportsScheduled = false;
    this->lastEarlyReports = this->now();
    const std::map<NodeId, std::uint32_t> shares = this->divideAvailableCredits();
    this->creditRotation += 1;
    const std::unordered_map<NodeId, std::uint32_t> held = outstandingCreditsByHolder(this->credits, this->now());
    for (auto& [node, link] : this->links) {
        const bool firstCredit = link.up && shares.at(node) > 0 && !held.contains(node);
        if (link.up && (link.earlyReportDue || firstCredit))
            this->report(link, shares.at(node));
    }
}

// Entries that have used up their credits get new ones without waiting for the next regular report.
void SidecarCore::Impl::reportToEntriesWithoutCredits()
{
    if (this->availableCredits() == 0)
        return;
    std::unordered_map<NodeId, std::uint32_t> held = outstandingCreditsByHolder(this->credits, this->now());
    for (auto& [node, link] : this->links) {
        if (link.up && link.activity > 0 && held[node] == 0)
            this->scheduleEarlyReport(link);
    }
}

// Engine memory of running calls in tokens, without the prefixes that are already counted as held.
TokenCount SidecarCore::Impl::runningTokens() const
{
    TokenCount sum;
    for (const auto& [id, call] : this->calls) {
        if (!call.running)
            continue;
        const auto held = this->prefixes.held.find(call.order.program.id);
        const std::int64_t prefix = held == this->prefixes.held.end() ? 0 : held->second.tokens.value;
        const std::int64_t used = call.order.historyTokens.value + call.order.inputTokens.value + call.textTokens.value;
        sum.value += std::max<std::int64_t>(0, used - prefix);
    }
    return sum;
}

void SidecarCore::Impl::report(EntryLink& link, std::uint32_t creditCount)
{
    const NodeId& node = link.hello.node;
    LoadReport report;
    report.sequence = ++link.reports;
    report.service = this->settings.service;
    report.leaving = this->isLeaving;
    report.running = this->running;
    report.waiting = this->waiting();
    report.limit = this->concurrencySlots();
    for (const auto& [id, call] : this->calls) {
        if (!call.running)
            report.waitingTokens.value += call.order.inputTokens.value + call.order.maxOutputTokens.value;
    }
    report.prefillTokensPerSecond = this->speed.prefillTokensPerSecond;
    report.decodeTokensPerSecond = this->speed.decodeTokensPerSecond;
    report.cacheCapacity = this->settings.cacheCapacity;
    report.cacheUsed = TokenCount(totalHeldTokens(this->prefixes).value + this->runningTokens().value);
    report.accountedOrder = link.accountedOrder;
    report.credits = issueCredits(this->credits, node, creditCount, this->settings.creditLifetime, this->now());
    if (creditCount > 0)
        this->after(this->settings.creditLifetime, [this] { this->scheduleEarlyReports(); });
    report.credits.lifetime = std::max(Milliseconds(0), report.credits.lifetime - creditTransitMargin);
    reportPrefixes(
        this->prefixes, link.reportedChange,
        [&](const ProgramId& program) { return isHome(this->fence, program.shard, node); }, report);
    link.reportedChange = this->prefixes.lastChange;
    link.lastReport = this->now();
    link.earlyReportDue = false;
    this->sendTo(node, report);
}

// Planned stop -----------------------------------------------------------------------------------------------------

void SidecarCore::Impl::beginShutdown()
{
    if (this->isLeaving)
        return;
    this->isLeaving = true;
    this->effects.logEvent("leaving", std::to_string(this->calls.size()) + " calls are still running or queued");
    this->reportAll();
    this->checkDrained();
}

// After the last call each home gets a final report, and time to copy the records of this sidecar.
void SidecarCore::Impl::checkDrained()
{
    if (!this->isLeaving || this->finalReportSent || !this->calls.empty())
        return;
    this->finalReportSent = true;
    // No program will call this endpoint again, and after the stop no process would free the engine's memory.
    while (!this->prefixes.held.empty()) {
        const ProgramId program = this->prefixes.held.begin()->first;
        this->releasePrefix(program);
    }
    const bool copiesNeeded = recordCount(this->records) > 0
        && std::ranges::any_of(this->links, [](const auto& item) { return item.second.up; });
    this->drainedFrom = this->now();
    if (copiesNeeded)
        this->drainedFrom += drainGraceIntervals * this->settings.reportInterval;
    this->reportAll();
}

bool SidecarCore::Impl::isDrained() const { return this->finalReportSent && this->now() >= this->drainedFrom; }

}
